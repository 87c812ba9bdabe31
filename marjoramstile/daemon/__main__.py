"""Runs ``marjoramstiled`` as ``python -m marjoramstile.daemon``."""

from marjoramstile.daemon import main

main()
