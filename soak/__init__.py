"""Randomized faults against real processes, with the promises checked meanwhile."""
