"""The daemon ``marjoramstiled``; importing this package loads none of its parts."""

import sys

from marjoramstile.process_signals import DaemonSignals

STANDARD_ERROR = 2


def main() -> None:
    """Receive signals before the daemon's modules are imported, and run it."""
    signals = DaemonSignals(STANDARD_ERROR)
    signals.receive()
    from marjoramstile.daemon.service import run_command

    sys.exit(run_command(signals, STANDARD_ERROR))
