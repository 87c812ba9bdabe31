"""Schedules generations on a pool of replicas that all daemons share."""
