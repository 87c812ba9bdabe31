"""Which daemons are alive: soft state from probes and the platform's list."""
