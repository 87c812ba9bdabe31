"""Immutable inputs of routing decisions."""

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineView:
    """What a daemon knows of one engine.

    ``queued`` counts requests waiting at its owner, ``hold_s`` is how long a request
    typically holds its slot, ``backlog_tokens`` is prefill work not yet done,
    ``cached_tokens`` the part of the prompt in its prefix cache, ``distance_s`` the
    one-way latency, and ``age_s`` the age of these numbers.
    """

    name: str
    slots: int
    pieces: int
    used_slots: int = 0
    used_pieces: int = 0
    queued: int = 0
    hold_s: float = 5.0
    backlog_tokens: int = 0
    tokens_per_s: float = 20_000.0
    cached_tokens: int = 0
    distance_s: float = 0.0
    age_s: float = 0.0

    @property
    def free_slots(self) -> int:
        """Slots that no request holds."""
        return max(0, self.slots - self.used_slots)

    @property
    def free_pieces(self) -> int:
        """Pieces that no request holds."""
        return max(0, self.pieces - self.used_pieces)


@dataclass(frozen=True)
class Demand:
    """What a request needs: prompt and output in tokens, memory in pieces.

    ``excluded`` names the engines that must not be used.
    """

    prompt_tokens: int
    output_tokens: int
    pieces: int
    excluded: frozenset[str] = frozenset()
