"""Starts the routing daemon: ``python -m marjoramstile.platform``."""

import sys

from marjoramstile.process_signals import DaemonSignals

STANDARD_OUTPUT = 1


def main() -> None:
    """Receive signals before the daemon's modules are imported, and run it."""
    signals = DaemonSignals(STANDARD_OUTPUT)
    signals.receive()
    from marjoramstile.platform.daemon import run_daemon

    sys.exit(run_daemon(signals, STANDARD_OUTPUT))


if __name__ == "__main__":
    main()
