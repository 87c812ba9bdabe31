"""Routing decisions: functions of immutable snapshots, without I/O or clocks."""
