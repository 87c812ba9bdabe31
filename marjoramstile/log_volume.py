"""Bounds log output: the rate of each event, and the buffer for a stalled reader."""

import os
import time
from collections import Counter
from collections.abc import Callable

# Lines of one event written per second, by level.
MAX_LINES_PER_S = {"debug": 50, "info": 200, "warning": 500, "error": 500}
# Bytes buffered while the reader is stalled.
BUFFER_MAX_BYTES = 262_144


class VolumeLimit:
    """Limits the lines per event and second, and counts those left out."""

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._second = 0
        self._written: Counter[tuple[str, str]] = Counter()
        self._left_out: Counter[tuple[str, str]] = Counter()

    def admits(self, event: str, level: str) -> bool:
        """Return whether another line of ``event`` may be written in this second."""
        key = (event, level)
        self._written[key] += 1
        if self._written[key] <= MAX_LINES_PER_S[level]:
            return True
        self._left_out[key] += 1
        return False

    def collect_left_out(self) -> dict[str, int]:
        """Reset the counts if a new second has begun.

        Return the number of lines left out by event; empty within the same second.
        """
        second = int(self._clock())
        if second == self._second:
            return {}
        self._second = second
        left_out = {event: count for (event, _), count in self._left_out.items()}
        self._written.clear()
        self._left_out.clear()
        return left_out


class NonBlockingStream:
    """Writes lines to a file descriptor without blocking.

    Up to ``max_bytes`` are buffered while the reader is stalled; further lines are
    dropped and counted. The descriptor is set to non-blocking mode.
    """

    def __init__(self, descriptor: int, max_bytes: int = BUFFER_MAX_BYTES):
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last line was accepted."""
        return self._dropped

    def write(self, line: str) -> None:
        """Buffer a line, or drop it if the buffer is full."""
        data = line.encode(errors="backslashreplace")
        if len(self._buffer) + len(data) > self._max_bytes:
            self._flush_buffer()
        if len(self._buffer) + len(data) > self._max_bytes:
            self._dropped += 1
            return
        if self._dropped:
            notice = f"level=warning event=log_lines_dropped count={self._dropped}\n"
            self._buffer += notice.encode()
            self._dropped = 0
        self._buffer += data

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        self._flush_buffer()

    def _flush_buffer(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The descriptor can't be written any more, as when its reader has
                # closed it: discard the lines rather than fail the daemon.
                self._buffer.clear()
                return
            del self._buffer[:written]
