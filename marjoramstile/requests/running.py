"""The completions that run on this daemon and their progress."""

from dataclasses import dataclass, replace
from enum import StrEnum


class Phase(StrEnum):
    """Phases of a completion."""

    QUEUED = "queued"
    PREFILL = "prefill"
    TRANSFER = "transfer"
    DECODE = "decode"


@dataclass(frozen=True)
class RunningRequest:
    """A completion, its phase, and the tokens sent before the current attempt."""

    request_id: str
    workspace: str
    service: str
    started_at: float
    phase: Phase = Phase.QUEUED
    tokens: int = 0


class RunningRequests:
    """Table of running completions."""

    def __init__(self):
        self._entries: dict[str, RunningRequest] = {}

    @property
    def entries(self) -> tuple[RunningRequest, ...]:
        """All running completions."""
        return tuple(self._entries.values())

    def add(self, entry: RunningRequest) -> None:
        """Add a completion that has started."""
        self._entries[entry.request_id] = entry

    def enter(self, request_id: str, phase: Phase, tokens: int) -> None:
        """Record the phase that a completion has entered and its tokens so far."""
        entry = self._entries.get(request_id)
        if entry is not None:
            self._entries[request_id] = replace(entry, phase=phase, tokens=tokens)

    def remove(self, request_id: str) -> None:
        """Remove a completion that has ended."""
        self._entries.pop(request_id, None)
