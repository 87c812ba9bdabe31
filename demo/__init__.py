"""End-to-end demonstration: daemons and stand-ins as separate processes."""
