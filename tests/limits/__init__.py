"""Tests of the limits that replicas name."""
