"""Hedged requests: a second replica is asked where the first one is slow to answer."""
