"""Stand-ins that speak the published protocol of the users' platform."""
