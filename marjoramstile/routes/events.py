"""Server-sent events: splits a byte stream into whole events with their ids."""

import re
from dataclasses import dataclass

from marjoramstile.fronts.buffers import BufferBudget, BufferBudgetExceededError

# Longest event that is buffered.
EVENT_MAX_BYTES = 1_048_576
# Longest separator between events.
END_MAX_BYTES = 4
_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_END_OF_LINE = re.compile(r"\r\n|\n|\r")
# Digits of the longest id that is read; events with a longer one count as without.
ID_DIGITS_MAX = 18
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d{1,%d})(?!\d)" % ID_DIGITS_MAX)


@dataclass(frozen=True)
class Event:
    """A whole event as received; ``id`` is None if it has none."""

    id: int | None
    data: bytes


class EventTooLongError(Exception):
    """An event has no end within EVENT_MAX_BYTES, or within the memory that is left."""


class EventSplitter:
    """Splits a stream into whole events; an incomplete event is never returned.

    Its bytes count against a budget until it is complete or the splitter is closed.
    """

    def __init__(self, buffers: BufferBudget | None = None):
        self._buffers = buffers
        self._reserved = 0
        self._rest = bytearray()
        self._searched = 0

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return bytes(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        Raises EventTooLongError once an incomplete event exceeds EVENT_MAX_BYTES or the
        budget.
        """
        self._rest += data
        events = []
        while found := _END_OF_EVENT.search(self._rest, self._searched):
            raw = bytes(self._rest[: found.end()])
            del self._rest[: found.end()]
            self._searched = 0
            events.append(Event(_event_id(raw), raw))
        self._searched = max(0, len(self._rest) - END_MAX_BYTES + 1)
        if not events and len(self._rest) > EVENT_MAX_BYTES:
            raise EventTooLongError(f"{len(self._rest)} bytes without end")
        self._count_rest()
        return events

    def _count_rest(self) -> None:
        if self._buffers is None:
            return
        added = len(self._rest) - self._reserved
        if added > 0:
            try:
                self._buffers.reserve(self._reserved, added)
            except BufferBudgetExceededError as error:
                raise EventTooLongError(str(error)) from error
        else:
            self._buffers.release(-added)
        self._reserved = len(self._rest)

    def close(self) -> None:
        """Drop the incomplete event and release its bytes."""
        self._rest.clear()
        self._count_rest()


def event_text(raw: bytes) -> str:
    """Return the text of an event: its data lines, joined by line feeds."""
    lines = _END_OF_LINE.split(raw.decode("utf-8", "replace"))
    data = [line.removeprefix("data:") for line in lines if line.startswith("data:")]
    return "\n".join(line.removeprefix(" ") for line in data)


def _event_id(raw: bytes) -> int | None:
    found = _ID_LINE.search(raw)
    return int(found.group(1)) if found else None
