"""Metrics and service-level burn rates."""
