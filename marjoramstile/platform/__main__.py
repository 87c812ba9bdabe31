"""Starts the routing daemon: ``python -m marjoramstile.platform``."""

import sys

from marjoramstile.process_signals import DaemonSignals
from marjoramstile.standard_descriptors import STANDARD_OUTPUT, open_log_descriptor


def main() -> None:
    """Receive signals before the daemon's modules are imported, and run it."""
    log_descriptor = open_log_descriptor(STANDARD_OUTPUT)
    signals = DaemonSignals(log_descriptor)
    signals.receive()
    from marjoramstile.platform.daemon import run_daemon

    sys.exit(run_daemon(signals, log_descriptor))


if __name__ == "__main__":
    main()
