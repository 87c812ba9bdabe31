"""Fake prefill and decode engines on the loop's clock.

A prefill engine computes one prompt at a time, urgent ones first; its link sends one
export at a time. A decode engine produces one token per step for each running request.
An import into a full engine waits for room until its caller's timeout.
"""

import asyncio
import heapq
import itertools
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from result import Err, Ok, Result

from marjoramstile.endpoints.engines import (
    DecodeOrder,
    EngineLoad,
    EngineOrder,
    Export,
    PrefillOrder,
    Token,
)
from marjoramstile.endpoints.errors import (
    EndpointError,
    EndpointFailedError,
    EndpointProblem,
)
from marjoramstile.requests.attempts import BYTES_PER_TOKEN
from marjoramstile.slots.reservations import WorkItem
from marjoramstile.utils import loop_time
from standins.tokens import token_text

KV_BYTES_PER_TOKEN = 131_072
POLL_S = 0.005
SAMPLES_KEPT = 100


@dataclass(frozen=True)
class EngineModel:
    """Speed and size of a fake engine."""

    slots: int = 20
    pieces: int = 400
    tokens_per_s: float = 20_000.0
    step_s: float = 0.025
    step_per_request_s: float = 0.001
    export_life_s: float = 0.9
    link_bytes_per_s: float = 12.5e9
    load_lag_s: float = 0.5


@dataclass(eq=False)
class FakeEngine:
    """State and faults of one engine process."""

    url: str
    model: EngineModel
    instance: int = 0
    up: bool = True
    stalled: bool = False
    ignore_cancels: int = 0
    start_offset: int = 0
    checks_fencing: bool = True
    work: dict[str, WorkItem] = field(default_factory=dict)
    exports: dict[str, tuple[str, float]] = field(default_factory=dict)
    ended: dict[str, asyncio.Event] = field(default_factory=dict)
    prefill_queue: list = field(default_factory=list)
    computing: bool = False
    queued_tokens: int = 0
    link_free_at: float = 0.0
    fencing: int = 0
    ordered: dict[str, str] = field(default_factory=dict)
    samples: list[tuple[float, int, int, int]] = field(default_factory=list)

    def hold(self, request_id: str, incarnation: str, pieces: int) -> None:
        """Reserve memory for a request."""
        self.work[request_id] = WorkItem(request_id, incarnation, pieces)
        self.ended[request_id] = asyncio.Event()

    def free(self, request_id: str) -> None:
        """Free what a request holds."""
        self.work.pop(request_id, None)
        ended = self.ended.pop(request_id, None)
        if ended is not None:
            ended.set()

    def has_room(self, pieces: int) -> bool:
        """Return whether a request of ``pieces`` fits."""
        used = sum(item.pieces for item in self.work.values())
        return len(self.work) < self.model.slots and (
            used + pieces <= self.model.pieces
        )

    def crash(self) -> None:
        """Lose all state, as when the process crashes."""
        self.up = False
        self.instance += 1
        for request_id in list(self.work):
            self.free(request_id)
        self.exports.clear()
        self.prefill_queue.clear()
        self.queued_tokens = 0
        self.computing = False

    def restart(self) -> None:
        """Accept calls again, as a new process."""
        self.up = True


@dataclass
class WasteLedger:
    """Prefill tokens computed, and those whose result was never used, by cause."""

    prefilled: int = 0
    wasted: Counter[str] = field(default_factory=Counter)
    pending: dict[str, int] = field(default_factory=dict)

    def record_computed(self, request_id: str, tokens: int) -> None:
        """Record a finished prefill whose result is not used yet."""
        self.prefilled += tokens
        self.pending[request_id] = tokens

    def record_used(self, request_id: str) -> None:
        """Record that the result was imported."""
        self.pending.pop(request_id, None)

    def record_lost(self, request_id: str, cause: str) -> None:
        """Record that the result was discarded."""
        tokens = self.pending.pop(request_id, 0)
        if tokens:
            self.wasted[cause] += tokens


class FakeEngines:
    """Engine client that runs calls on the fake engines."""

    def __init__(self):
        self.engines: dict[str, FakeEngine] = {}
        self.waste = WasteLedger()
        self.crash_prompts: set[str] = set()
        self._numbers = itertools.count()

    def add(self, url: str, model: EngineModel) -> FakeEngine:
        """Add an engine."""
        self.engines[url] = FakeEngine(url, model)
        return self.engines[url]

    def held_by(self, prefix: str) -> list[str]:
        """Return the work held anywhere for requests with this id prefix."""
        return [
            f"{engine.url} {request_id}"
            for engine in self.engines.values()
            for request_id in engine.work
            if request_id.startswith(prefix)
        ]

    async def prefill(
        self, url: str, order: PrefillOrder
    ) -> Result[Export, EndpointError]:
        """Prefill a prompt and export its KV cache."""
        engine = self.engines[url]
        if not engine.up:
            return Err(_unreachable())
        instance = engine.instance
        tokens = _tokens(order.prompt + order.generated)
        engine.hold(order.request_id, order.incarnation, 1)
        ended = engine.ended[order.request_id]
        computed = await self._compute(engine, order, tokens, ended)
        if engine.instance != instance:
            return Err(EndpointError(EndpointProblem.LOST, "the engine crashed"))
        if not computed:
            return Err(EndpointError(EndpointProblem.REFUSED, "cancelled"))
        export_id = f"export-{next(self._numbers)}"
        self.waste.record_computed(order.request_id, tokens)
        life_s = engine.model.export_life_s
        engine.exports[export_id] = (order.request_id, loop_time() + life_s)
        asyncio.get_running_loop().call_later(
            life_s, self._expire, engine, export_id, instance
        )
        return Ok(Export(export_id, url, tokens, tokens * KV_BYTES_PER_TOKEN, life_s))

    async def _compute(
        self,
        engine: FakeEngine,
        order: PrefillOrder,
        tokens: int,
        ended: asyncio.Event,
    ) -> bool:
        """Wait by priority and compute; return False if cancelled or crashed."""
        granted = asyncio.Event()
        entry = (order.priority, next(self._numbers), granted, ended)
        heapq.heappush(engine.prefill_queue, entry)
        engine.queued_tokens += tokens
        self._start_next(engine)
        instance = engine.instance
        waiting = [asyncio.ensure_future(event.wait()) for event in (granted, ended)]
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for future in waiting:
                future.cancel()
        if engine.instance != instance:
            return False
        engine.queued_tokens -= tokens
        if ended.is_set():
            if granted.is_set():
                self._finish_prefill(engine)
            return False
        asyncio.get_running_loop().call_later(
            tokens / engine.model.tokens_per_s, self._finish_prefill, engine, instance
        )
        await asyncio.sleep(tokens / engine.model.tokens_per_s)
        if ended.is_set() and engine.instance == instance:
            self.waste.prefilled += tokens
            self.waste.wasted["cancelled"] += tokens
        return not ended.is_set()

    def _start_next(self, engine: FakeEngine) -> None:
        while engine.prefill_queue and not engine.computing:
            _, _, granted, ended = heapq.heappop(engine.prefill_queue)
            if not ended.is_set():
                engine.computing = True
                granted.set()

    def _finish_prefill(self, engine: FakeEngine, instance: int | None = None) -> None:
        if instance is None or instance == engine.instance:
            engine.computing = False
            self._start_next(engine)

    def _expire(self, engine: FakeEngine, export_id: str, instance: int) -> None:
        if engine.instance != instance:
            return
        request_id, _ = engine.exports.pop(export_id, ("", 0.0))
        self.waste.record_lost(request_id, "expired")
        engine.free(request_id)

    async def import_kv(
        self,
        url: str,
        request_id: str,
        incarnation: str,
        pieces: int,
        export: Export,
        timeout_s: float,
    ) -> Result[None, EndpointError]:
        """Fetch an export within ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._import(url, request_id, incarnation, pieces, export)
        except TimeoutError:
            self.engines[url].free(request_id)
            return Err(EndpointError(EndpointProblem.TIMEOUT, "no answer in time"))

    async def _import(
        self, url: str, request_id: str, incarnation: str, pieces: int, export: Export
    ) -> Result[None, EndpointError]:
        engine = self.engines[url]
        source = self.engines[export.engine_url]
        if not engine.up:
            return Err(_unreachable())
        while not engine.has_room(pieces):
            await asyncio.sleep(POLL_S)
        engine.hold(request_id, incarnation, pieces)
        if engine.stalled or source.stalled:
            await asyncio.Event().wait()
        start = max(loop_time(), source.link_free_at)
        source.link_free_at = start + export.kv_bytes / source.model.link_bytes_per_s
        await asyncio.sleep(source.link_free_at - loop_time())
        if not engine.up:
            return Err(EndpointError(EndpointProblem.LOST, "the engine crashed"))
        if export.export_id not in source.exports:
            engine.free(request_id)
            return Err(EndpointError(EndpointProblem.GONE, "the export has expired"))
        del source.exports[export.export_id]
        source.free(request_id)
        self.waste.record_used(request_id)
        return Ok(None)

    async def decode(self, url: str, order: DecodeOrder) -> AsyncIterator[Token]:
        """Stream tokens; production continues without a reader until cancelled."""
        engine = self.engines[url]
        if not engine.up:
            raise EndpointFailedError(url, _unreachable())
        if order.request_id not in engine.work:
            gone = EndpointError(EndpointProblem.GONE, "no KV cache")
            raise EndpointFailedError(url, gone)
        if order.prompt in self.crash_prompts:
            engine.crash()
        queue: asyncio.Queue[Token | None] = asyncio.Queue()
        producer = asyncio.create_task(self._produce(engine, order, queue))
        while True:
            token = await queue.get()
            if token is None:
                break
            yield token
        if not await producer:
            lost = EndpointError(EndpointProblem.LOST, "the stream broke")
            raise EndpointFailedError(url, lost)

    async def _produce(
        self, engine: FakeEngine, order: DecodeOrder, queue: asyncio.Queue
    ) -> bool:
        ended = engine.ended.get(order.request_id)
        complete = True
        first = max(0, order.start + engine.start_offset)
        for position in range(first, order.max_tokens):
            if ended is None or ended.is_set():
                complete = False
                break
            model = engine.model
            await asyncio.sleep(
                model.step_s + model.step_per_request_s * len(engine.work)
            )
            if ended.is_set():
                complete = False
                break
            queue.put_nowait(Token(position, token_text(order.prompt, position)))
        if complete:
            engine.free(order.request_id)
        queue.put_nowait(None)
        return complete

    async def cancel(self, url: str, request_id: str) -> Result[None, EndpointError]:
        """Free everything that the engine holds for a request."""
        engine = self.engines[url]
        await asyncio.sleep(POLL_S)
        if not engine.up:
            return Err(_unreachable())
        if engine.ignore_cancels > 0:
            engine.ignore_cancels -= 1
            return Err(EndpointError(EndpointProblem.TIMEOUT, "no answer in time"))
        for export_id, (owner, _) in list(engine.exports.items()):
            if owner == request_id:
                del engine.exports[export_id]
                self.waste.record_lost(request_id, "cancelled")
        engine.free(request_id)
        return Ok(None)

    async def work(self, url: str) -> Result[tuple[WorkItem, ...], EndpointError]:
        """Return the requests that hold memory."""
        engine = self.engines[url]
        await asyncio.sleep(POLL_S)
        if not engine.up:
            return Err(_unreachable())
        return Ok(tuple(engine.work.values()))

    async def load(self, url: str) -> Result[EngineLoad, EndpointError]:
        """Return the load as it was ``load_lag_s`` ago."""
        engine = self.engines[url]
        await asyncio.sleep(POLL_S)
        if not engine.up:
            return Err(_unreachable())
        now = loop_time()
        pieces = sum(item.pieces for item in engine.work.values())
        engine.samples.append((now, engine.queued_tokens, len(engine.work), pieces))
        lag_s = engine.model.load_lag_s
        old = [sample for sample in engine.samples if sample[0] <= now - lag_s]
        engine.samples = engine.samples[-SAMPLES_KEPT:]
        _, queued_tokens, running, used_pieces = old[-1] if old else (0.0, 0, 0, 0)
        return Ok(
            EngineLoad(
                str(engine.instance),
                queued_tokens,
                engine.model.tokens_per_s,
                running,
                used_pieces,
                dict(engine.ordered),
            )
        )

    async def order(self, url: str, order: EngineOrder) -> Result[None, EndpointError]:
        """Execute an order; refuse a stale fencing number if fencing is checked."""
        engine = self.engines[url]
        if not engine.up:
            return Err(_unreachable())
        if engine.checks_fencing and order.fencing < engine.fencing:
            return Err(EndpointError(EndpointProblem.REFUSED, "stale fencing number"))
        engine.fencing = max(engine.fencing, order.fencing)
        engine.ordered[order.action] = order.argument
        return Ok(None)


def _unreachable() -> EndpointError:
    return EndpointError(EndpointProblem.UNREACHABLE, "connection refused")


def _tokens(text: str) -> int:
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)
