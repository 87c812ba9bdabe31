"""Starts the routing daemon: ``python -m marjoramstile.platform``."""

import sys

from marjoramstile.platform.daemon import main

sys.exit(main())
