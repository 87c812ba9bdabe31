"""Owners of engines: they grant decode slots and prefill places to daemons."""
