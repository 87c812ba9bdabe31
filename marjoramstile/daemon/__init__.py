"""The daemon ``marjoramstiled``; importing this package loads none of its parts."""

import sys

from marjoramstile.process_signals import DaemonSignals
from marjoramstile.standard_descriptors import STANDARD_ERROR, open_log_descriptor


def main() -> None:
    """Receive signals before the daemon's modules are imported, and run it."""
    log_descriptor = open_log_descriptor(STANDARD_ERROR)
    signals = DaemonSignals(log_descriptor)
    signals.receive()
    from marjoramstile.daemon.service import run_command

    sys.exit(run_command(signals, log_descriptor))
