"""Starts the routing daemon: ``python -m marjoramstile.platform``."""

from marjoramstile.platform.daemon import main

main()
