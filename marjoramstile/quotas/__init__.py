"""Quotas of workspaces, which bind all daemons together."""
