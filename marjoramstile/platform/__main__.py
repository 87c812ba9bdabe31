"""Starts the routing daemon: ``python -m marjoramstile.platform``.

With ``python -S`` the interpreter starts in half the time, without the system's
packages; the daemon then takes its libraries from the build's folder.
"""

import os
import sys

from marjoramstile.process_signals import DaemonSignals
from marjoramstile.standard_descriptors import STANDARD_OUTPUT, open_log_descriptor

# Where deploy/build.py installs the libraries, from the root of the repository.
LIBRARIES = os.path.join("target", "deps")


def main() -> None:
    """Receive signals before the daemon's modules are imported, and run it."""
    log_descriptor = open_log_descriptor(STANDARD_OUTPUT)
    signals = DaemonSignals(log_descriptor)
    signals.receive()
    if sys.flags.no_site:
        root = os.path.dirname(os.path.dirname(os.path.dirname(__file__)))
        sys.path.append(os.path.join(root, LIBRARIES))
    from marjoramstile.platform.daemon import run_daemon

    exit_code = run_daemon(signals, log_descriptor)
    # The interpreter's own end would take a fifth of a second of the grace period.
    os._exit(exit_code)


if __name__ == "__main__":
    main()
