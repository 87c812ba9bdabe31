"""The completions that run on this daemon and how far they are."""

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
    """A completion, its phase, and the tokens sent to its caller."""

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
        """Note the beginning of a completion."""
        self._entries[entry.request_id] = entry

    def enter(self, request_id: str, phase: Phase, tokens: int) -> None:
        """Note the phase that a completion has entered and its tokens so far."""
        entry = self._entries.get(request_id)
        if entry is not None:
            self._entries[request_id] = replace(entry, phase=phase, tokens=tokens)

    def remove(self, request_id: str) -> None:
        """Note the end of a completion."""
        self._entries.pop(request_id, None)
