"""Simulated replicas for the routing core, on the event loop's clock.

They have the platform's published speeds and sizes. A prefill replica prefills its
prompts one after another; a decode replica produces one token per step for each running
generation and accepts generations while memory and slots last. Reservations and handles
expire. Faults are set per replica and apply from its next action on.
"""

import asyncio
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

from marjoramstile.routes.ports import StreamAnswer
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.requests import (
    AnswerLostError,
    Hold,
    KVHandle,
    NotExecutedError,
    NotSentError,
    Reply,
    RoutedRequest,
    SendOptions,
)
from marjoramstile.utils import loop_time

OK = 200
STAMP = (("X-Server-Stamp", "s"),)


@dataclass(frozen=True)
class ReplicaModel:
    """Speed and size of a replica; times in seconds, memory in tokens."""

    slots: int = 24
    kv_tokens: int = 33_466
    step_s: float = 0.00423
    stride: int = 11
    prefill_tokens_per_s: float = 33_333.0
    handle_ttl_s: float = 0.5
    work_s: float = 0.03


DRIBBLE_S = 0.4
# Tokens and end of a reservation that a replica doesn't know.
NO_HOLD = (0, 0.0)


@dataclass
class Faults:
    """Faults of one replica; counts decrease by one with each use.

    A request with the body ``deadly_body`` crashes the replica that runs it. Streams
    of a replica with ``dribble`` send that text every ``DRIBBLE_S`` instead of events.
    A ``leaving`` replica marks all its answers; one with ``pause_s`` refuses requests
    and asks each caller to wait until ``pause_s`` after that caller's first one. One
    with ``limit_per_s`` names that limit in its answers and does not enforce it. A
    request whose prompt shares the part ``deadly_part`` crashes the replica when it
    begins to write the answer. Streams of an ``unframed`` replica have neither length
    nor chunks: one that breaks off ends within an event, and not with an error.
    ``endless_answers`` are answers with ``endless_status`` whose bodies have no end;
    only the replica over the published protocol sends them. It also sends
    ``raw_answers`` answers of the text ``raw_answer``, in which ``ID`` stands for the
    request's id, as soon as it has read a request's head, and ends the connection.
    Answers to calls have ``answer_bytes`` more than the request's id.
    """

    refuse: bool = False
    full: bool = False
    lose_answers: int = 0
    errors: int = 0
    break_after_events: int | None = None
    lose_handles: int = 0
    hang: bool = False
    dribble: str = ""
    leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float = 0.0
    deadly_body: bytes | None = None
    deadly_part: str | None = None
    unframed: bool = False
    endless_answers: int = 0
    endless_status: int = 500
    raw_answers: int = 0
    raw_answer: str = ""
    answer_bytes: int = 0


@dataclass(eq=False)
class FakeReplica:
    """State of one replica process; lost when it is restarted."""

    replica: Replica
    model: ReplicaModel
    faults: Faults = field(default_factory=Faults)
    running: dict[str, int] = field(default_factory=dict)
    holds: dict[str, tuple[int, float]] = field(default_factory=dict)
    handles: dict[str, float] = field(default_factory=dict)
    prefill_free_at: float = 0.0
    orders: list = field(default_factory=list)

    @property
    def used_tokens(self) -> int:
        """Tokens held by running generations and unexpired reservations."""
        now = loop_time()
        self.holds = {key: hold for key, hold in self.holds.items() if hold[1] > now}
        held = sum(tokens for tokens, _ in self.holds.values())
        return held + sum(self.running.values())

    def has_room(self, tokens: int) -> bool:
        """Return whether a generation of ``tokens`` fits now."""
        busy = len(self.running) + len(self.holds)
        fits = self.used_tokens + tokens <= self.model.kv_tokens
        return not self.faults.full and busy < self.model.slots and fits


class FakePool:
    """All replicas and counters of runs; implements the core's ReplicaClient."""

    def __init__(self):
        self.replicas: dict[str, FakeReplica] = {}
        self.runs: Counter[str] = Counter()
        self.arrivals: Counter[str] = Counter()
        self.arrived_at: dict[str, list[float]] = defaultdict(list)
        self.versions: dict[str, list[str]] = defaultdict(list)
        self.prefilled_tokens = 0
        self.decoded_prompt_tokens = 0
        self._last_number = 0
        self.on_run: Callable[[str], None] = lambda request_id: None
        self.on_crash: Callable[[], None] = lambda: None
        self.crashes: list[float] = []

    def add(
        self,
        replica_id: str,
        service: str,
        stage: Stage | None = None,
        model: ReplicaModel | None = None,
        version: str = "v1",
    ) -> FakeReplica:
        """Add a replica, with a version of its software."""
        model = model or ReplicaModel()
        replica = Replica(
            replica_id,
            service,
            "10.0.0.1",
            8000 + len(self.replicas),
            "a",
            model.slots,
            ReplicaState.READY,
            started_at_ms=1,
            stage=stage,
            version=version,
        )
        self.replicas[replica_id] = FakeReplica(replica, model)
        return self.replicas[replica_id]

    def restart(self, replica_id: str, version: str | None = None) -> Replica:
        """Restart a replica under its id, with empty state and maybe a new version."""
        old = self.replicas[replica_id]
        restarted = replace(
            old.replica,
            started_at_ms=old.replica.started_at_ms + 1,
            version=version or old.replica.version,
        )
        self.replicas[replica_id] = FakeReplica(restarted, old.model)
        return restarted

    def _record_arrival(self, replica: Replica, request: RoutedRequest) -> None:
        self.arrivals[request.id] += 1
        self.arrived_at[replica.id].append(loop_time())

    def _record_run(self, fake: FakeReplica, request: RoutedRequest) -> None:
        self.runs[request.id] += 1
        self.on_run(request.id)
        if fake.faults.deadly_body is not None:
            self._crash_on(fake.faults.deadly_body, fake, request)

    def _crash_on(self, body: bytes, fake: FakeReplica, request: RoutedRequest) -> None:
        if request.body == body:
            self._crash(fake)

    def _crash(self, fake: FakeReplica) -> None:
        self.crashes.append(loop_time())
        fake.faults.refuse = True
        self.on_crash()
        raise AnswerLostError("reset")

    def _fake(self, replica: Replica) -> FakeReplica:
        fake = self.replicas[replica.id]
        if fake.faults.refuse:
            raise NotSentError("connection refused")
        return fake

    async def call(
        self, replica: Replica, request: RoutedRequest, timeout_s: float
    ) -> Reply:
        """Run a plain request."""
        fake = self._fake(replica)
        self._record_arrival(replica, request)
        if fake.faults.full:
            raise NotExecutedError(503)
        self._record_run(fake, request)
        if fake.faults.hang or fake.model.work_s > timeout_s:
            await asyncio.sleep(timeout_s)
            raise AnswerLostError("timeout")
        await asyncio.sleep(fake.model.work_s)
        if fake.faults.refuse:
            raise AnswerLostError("reset")
        if fake.faults.lose_answers:
            fake.faults.lose_answers -= 1
            raise AnswerLostError("reset")
        if fake.faults.errors:
            fake.faults.errors -= 1
            return Reply(500, STAMP, b"error")
        return Reply(OK, STAMP, request.id.encode() + b"x" * fake.faults.answer_bytes)

    async def accepts_connections(self, replica: Replica) -> bool:
        """Return whether the replica accepts a connection."""
        return not self.replicas[replica.id].faults.refuse

    async def started_at_ms(self, replica: Replica) -> int | None:
        """Return the start of the process that has a replica's id now."""
        fake = self.replicas[replica.id]
        return None if fake.faults.refuse else fake.replica.started_at_ms

    async def prefill(
        self, replica: Replica, request: RoutedRequest, timeout_s: float
    ) -> KVHandle:
        """Prefill a prompt behind those that are queued already."""
        fake = self._fake(replica)
        self._record_arrival(replica, request)
        if fake.faults.full:
            raise NotExecutedError(503)
        now = loop_time()
        took_s = request.size.prompt / fake.model.prefill_tokens_per_s
        fake.prefill_free_at = max(now, fake.prefill_free_at) + took_s
        self.prefilled_tokens += request.size.prompt
        await asyncio.sleep(fake.prefill_free_at - now)
        self._last_number += 1
        handle = f"h{self._last_number}"
        fake.handles[handle] = loop_time() + fake.model.handle_ttl_s
        return KVHandle(replica.address, handle)

    async def acquire_hold(
        self, replica: Replica, tokens: int, ttl_s: float
    ) -> Hold | None:
        """Reserve a slot and memory; return None if there is no room."""
        fake = self._fake(replica)
        await asyncio.sleep(0.001)
        if not fake.has_room(tokens):
            return None
        self._last_number += 1
        hold = Hold(f"r{self._last_number}", tokens)
        fake.holds[hold.id] = (tokens, loop_time() + ttl_s)
        return hold

    async def release_hold(self, replica: Replica, hold: Hold) -> None:
        """Release a reservation."""
        self._fake(replica).holds.pop(hold.id, None)

    async def release_handle(self, handle: KVHandle) -> None:
        """Free a KV cache."""
        for fake in self.replicas.values():
            if fake.replica.address == handle.address:
                fake.handles.pop(handle.id, None)

    def _consume_handle(self, handle: KVHandle) -> bool:
        for fake in self.replicas.values():
            if fake.replica.address == handle.address:
                expires = fake.handles.pop(handle.id, 0.0)
                if fake.faults.lose_handles:
                    fake.faults.lose_handles -= 1
                    return False
                return expires > loop_time()
        return False

    @asynccontextmanager
    async def stream(
        self,
        replica: Replica,
        request: RoutedRequest,
        timeout_s: float,
        options: SendOptions,
    ) -> AsyncIterator[StreamAnswer]:
        """Run a generation; its memory is freed when the block ends."""
        fake = self._fake(replica)
        self._record_arrival(replica, request)
        _, held_until = fake.holds.pop(options.hold.id if options.hold else "", NO_HOLD)
        held = held_until > loop_time()
        if options.source is not None and not self._consume_handle(options.source):
            raise NotExecutedError(503)
        if not held and not fake.has_room(request.size.prompt):
            raise NotExecutedError(503)
        key = f"{request.id}/{self.arrivals[request.id]}"
        fake.running[key] = request.size.prompt
        try:
            self._record_run(fake, request)
            if options.source is None:
                await self._prefill_locally(fake, request)
            chunks = self._events(fake, key, request, options)
            yield StreamAnswer(OK, STAMP, chunks)
        finally:
            fake.running.pop(key, None)

    async def read_reply(self, answer: StreamAnswer) -> Reply:
        """Return a whole answer."""
        body = b"".join([chunk async for chunk in answer.chunks])
        return Reply(answer.status, answer.headers, body)

    async def _prefill_locally(self, fake: FakeReplica, request: RoutedRequest) -> None:
        self.decoded_prompt_tokens += request.size.prompt
        await asyncio.sleep(2 * request.size.prompt / fake.model.prefill_tokens_per_s)

    async def _events(
        self, fake: FakeReplica, key: str, request: RoutedRequest, options: SendOptions
    ) -> AsyncIterator[bytes]:
        first = (options.resume_after or 0) + 1
        last = -(-request.size.max_output // fake.model.stride)
        for number in range(first, last + 1):
            if fake.faults.hang:
                await asyncio.sleep(3600)
            while fake.faults.dribble:
                await asyncio.sleep(DRIBBLE_S)
                yield fake.faults.dribble.encode()
            await asyncio.sleep(fake.model.step_s * fake.model.stride)
            if fake.faults.deadly_part in request.shared_parts:
                self._crash(fake)
            if fake.faults.refuse or number - first == fake.faults.break_after_events:
                fake.faults.break_after_events = None
                yield b"id: %d\nda" % number
                if fake.faults.unframed and not fake.faults.refuse:
                    return
                raise AnswerLostError("reset")
            fake.running[key] += fake.model.stride
            if fake.replica.version not in self.versions[request.id]:
                self.versions[request.id].append(fake.replica.version)
            version = fake.replica.version.encode()
            yield b"id: %d\nversion: %s\ndata: %s\n\n" % (
                number,
                version,
                request.id.encode(),
            )
