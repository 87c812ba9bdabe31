"""Keeps logs within bounds: lines by event, and a reader that stands still."""

import os
import time
from collections import Counter
from collections.abc import Callable

# Lines of one event and level that are written in a second.
LINES_PER_S = {"debug": 50, "info": 200, "warning": 500, "error": 500}
# Bytes kept for a reader that stands still.
BUFFER_MAX_BYTES = 262_144


class VolumeLimit:
    """Tells which lines to write, and counts those left out."""

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._second = 0
        self._written: Counter[tuple[str, str]] = Counter()
        self._left_out: Counter[tuple[str, str]] = Counter()

    def admits(self, event: str, level: str) -> bool:
        """Tell whether another line of ``event`` may be written in this second."""
        key = (event, level)
        self._written[key] += 1
        if self._written[key] <= LINES_PER_S[level]:
            return True
        self._left_out[key] += 1
        return False

    def end_second(self) -> dict[str, int]:
        """Return the lines left out by event, once each second; else nothing."""
        second = int(self._clock())
        if second == self._second:
            return {}
        self._second = second
        left_out = {event: count for (event, _), count in self._left_out.items()}
        self._written.clear()
        self._left_out.clear()
        return left_out


class NonBlockingStream:
    """Writes lines to a descriptor; drops and counts what its reader does not take."""

    def __init__(self, descriptor: int, max_bytes: int = BUFFER_MAX_BYTES):
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._waiting = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last that was written."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line, or drop it if too much is waiting."""
        data = line.encode()
        if len(self._waiting) + len(data) > self._max_bytes:
            self._flush_waiting()
        if len(self._waiting) + len(data) > self._max_bytes:
            self._dropped += 1
            return
        if self._dropped:
            note = f"level=warning event=log_lines_dropped count={self._dropped}\n"
            self._waiting += note.encode()
            self._dropped = 0
        self._waiting += data

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._flush_waiting()

    def _flush_waiting(self) -> None:
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read: the lines are lost, the daemon is not.
                self._waiting.clear()
                return
            del self._waiting[:written]
