"""Routing core: forwards opaque requests to replicas of a route's service."""
