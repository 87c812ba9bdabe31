"""Soak test: random faults in real processes while the guarantees are checked."""
