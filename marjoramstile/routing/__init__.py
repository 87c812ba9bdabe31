"""Routing decisions: pure functions of frozen snapshots, without I/O or clocks."""
