"""Routed requests: opaque requests that go to replicas of a route's service."""
