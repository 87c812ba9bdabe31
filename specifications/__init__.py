"""Formal models of the protocols between daemons, checked by exhaustive search."""
