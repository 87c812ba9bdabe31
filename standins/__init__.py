"""Stand-ins for the systems that marjoramstile connects to; each runs on its own."""
