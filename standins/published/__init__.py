"""Stand-ins that speak the users' platform's published protocol."""
