"""Runs the operators' tool as ``python -m marjoramstile``."""

from marjoramstile.cli.main import main

main()
