"""Limits on requests that replicas name, kept by all daemons together."""
