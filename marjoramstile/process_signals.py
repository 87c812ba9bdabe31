"""Signals of a daemon, handled from its first line until its process has ended.

Loaded before all other modules of a daemon, so it imports nothing that takes long.
"""

import os
import signal
import time
from collections.abc import Callable

from marjoramstile.exit_codes import PLANNED_STOP_EXIT

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class DaemonSignals:
    """Receives SIGTERM, SIGINT and SIGHUP; a process has one instance.

    The handlers stay installed throughout, and what they do changes: signals are
    delivered to the daemon once its event loop runs. Before, a stop ends the process at
    once, as it has accepted nothing, and SIGHUP is remembered.
    """

    def __init__(self, log_descriptor: int):
        """A stop before the daemon runs is logged to ``log_descriptor``."""
        self._log_descriptor = log_descriptor
        self._on_stop: Callable[[], object] | None = None
        self._on_reload: Callable[[], object] | None = None
        self._reload_pending = False

    def receive(self) -> None:
        """Install the handlers."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._handle)

    def deliver(
        self, on_stop: Callable[[], object], on_reload: Callable[[], object]
    ) -> None:
        """Call these from now on, also for a SIGHUP that was received before.

        They are called between any two instructions of the main thread.
        """
        self._on_stop = on_stop
        self._on_reload = on_reload
        if self._reload_pending:
            self._reload_pending = False
            on_reload()

    def ignore(self) -> None:
        """Ignore all signals; the interpreter's exit would restore their defaults."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _handle(self, number: int, frame: object) -> None:
        if number == signal.SIGHUP:
            self._handle_reload()
        elif self._on_stop is None:
            self._end(signal.Signals(number).name)
        else:
            self._on_stop()

    def _handle_reload(self) -> None:
        if self._on_reload is None:
            self._reload_pending = True
        else:
            self._on_reload()

    def _end(self, name: str) -> None:
        """End the process at once, with a log line if it can be written."""
        line = (
            f"ts={time.time():.3f} level=info event=daemon_stopped_while_starting "
            f"logger={__name__} signal={name}\n"
        )
        try:
            os.set_blocking(self._log_descriptor, False)
            os.write(self._log_descriptor, line.encode())
        except OSError:
            pass
        os._exit(PLANNED_STOP_EXIT)
