"""Operators' orders to engines, with fencing tokens."""
