"""Workspaces of the routed configuration: their keys, priorities and quotas."""
