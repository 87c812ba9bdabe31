"""State of an engine stand-in: memory, exports, batch, prefix cache, orders."""

import asyncio
import hashlib
import uuid
from collections import deque
from dataclasses import dataclass, field
from typing import Any

PIECE_TOKENS = 2048
KV_BYTES_PER_TOKEN = 131_072
EVENTS_KEPT = 64


@dataclass
class EngineSettings:
    """Speed, size and faults of an engine; all may be changed while it runs."""

    checks_fencing: bool = True
    slots: int = 20
    pieces: int = 400
    tokens_per_s: float = 50_000.0
    step_s: float = 0.02
    export_life_s: float = 0.9
    link_bytes_per_s: float = 12.5e9
    load_lag_s: float = 0.5
    event_lag_s: float = 0.2
    drop_every_event: int = 0
    stall_imports: bool = False
    ignore_cancels: int = 0
    crash_word: str = ""


@dataclass
class Work:
    """What the engine holds for one request."""

    request_id: str
    incarnation: str
    pieces: int
    phase: str
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    def to_item(self) -> dict[str, Any]:
        """Return the item of the work list."""
        return {
            "request_id": self.request_id,
            "incarnation": self.incarnation,
            "pieces": self.pieces,
        }


@dataclass
class EngineState:
    """State of one engine process; lost when the process ends."""

    settings: EngineSettings
    instance: str = field(default_factory=lambda: uuid.uuid4().hex)
    work: dict[str, Work] = field(default_factory=dict)
    exports: dict[str, dict[str, Any]] = field(default_factory=dict)
    queued_tokens: int = 0
    prefilled_tokens: int = 0
    decoded_tokens: int = 0
    fencing: int = 0
    ordered: dict[str, str] = field(default_factory=dict)
    order_count: int = 0
    events: deque[dict[str, Any]] = field(
        default_factory=lambda: deque(maxlen=EVENTS_KEPT)
    )
    event_count: int = 0
    prefixes: dict[str, int] = field(default_factory=dict)
    lagging_load: dict[str, Any] = field(default_factory=dict)

    def add(self, request_id: str, incarnation: str, pieces: int, phase: str) -> Work:
        """Reserve memory for a request."""
        work = Work(request_id, incarnation, pieces, phase)
        self.work[request_id] = work
        return work

    def remove(self, request_id: str) -> bool:
        """Free what a request holds; return whether it held something."""
        work = self.work.pop(request_id, None)
        if work is not None:
            work.ended.set()
        return work is not None

    def used_pieces(self) -> int:
        """Return the number of pieces in use."""
        return sum(work.pieces for work in self.work.values())

    def record_prefix(self, prompt: str, tokens: int) -> None:
        """Cache a prompt's prefix and publish an event of it after ``event_lag_s``.

        Every ``drop_every_event``-th event is dropped, which leaves a gap in the
        sequence.
        """
        digest = hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()
        self.prefixes[digest] = tokens
        self.event_count += 1
        every = self.settings.drop_every_event
        if every and self.event_count % every == 0:
            return
        loop = asyncio.get_running_loop()
        event = {"sequence": self.event_count, "prefix": digest, "tokens": tokens}
        loop.call_later(self.settings.event_lag_s, self.events.append, event)

    def report_load(self) -> dict[str, Any]:
        """Return the load as it was ``load_lag_s`` ago, and take a new sample."""
        loop = asyncio.get_running_loop()
        sample = {
            "queued_tokens": self.queued_tokens,
            "running": len(self.work),
            "used_pieces": self.used_pieces(),
        }
        if not self.lagging_load:
            self.lagging_load = sample
        loop.call_later(self.settings.load_lag_s, self.lagging_load.update, sample)
        return {
            "instance": self.instance,
            "tokens_per_s": self.settings.tokens_per_s,
            "settings": self.ordered,
            "fencing": self.fencing,
            **self.lagging_load,
        }


def count_tokens(text: str) -> int:
    """Return the length of a text in tokens."""
    return max(1, len(text.encode()) // 4)


def pieces_of(tokens: int) -> int:
    """Return the number of pieces that ``tokens`` occupy."""
    return max(1, -(-tokens // PIECE_TOKENS))
