"""Metrics and the report on service levels."""
