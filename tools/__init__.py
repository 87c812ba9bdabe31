"""Developer tools; the daemons don't use them."""
