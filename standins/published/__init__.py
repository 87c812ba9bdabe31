"""Stand-ins that implement the published protocol of the users' platform."""
