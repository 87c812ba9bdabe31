"""Runs completions: reserve, prefill, transfer, decode, and resume after failures."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import replace

from marjoramstile.admission.breakers import CircuitBreakers
from marjoramstile.admission.quarantine import Quarantine
from marjoramstile.admission.retries import RetryBudget
from marjoramstile.configuration.documents import (
    Configuration,
    ServiceClass,
)
from marjoramstile.endpoints.engines import (
    DecodeOrder,
    EngineClient,
    Export,
    PrefillOrder,
    Token,
)
from marjoramstile.endpoints.errors import (
    EndpointError,
    EndpointFailedError,
    EndpointProblem,
)
from marjoramstile.logs import get_logger
from marjoramstile.membership.view import View
from marjoramstile.reports.metrics import Metrics
from marjoramstile.requests.attempts import Attempt, CompletionRequest
from marjoramstile.requests.canceller import Canceller
from marjoramstile.requests.crashes import CrashObserver
from marjoramstile.requests.placement import PlacedEngine, Placer, slot_wait_limit_s
from marjoramstile.requests.running import Phase, RunningRequest, RunningRequests
from marjoramstile.requests.streams import in_order
from marjoramstile.results import Failure, RequestFailedError, ResultCode
from marjoramstile.routing.snapshots import Demand
from marjoramstile.slots.reservations import Ask
from marjoramstile.utils import BackgroundTasks, loop_time

EXPECTED_TRANSFER_S = 0.05
EXPECTED_TOKENS_PER_S = 20_000.0
IMPORT_TRIES = 2
EXPORT_MARGIN_S = 0.2
PROGRESS_TOKENS = 16
RESUME_FIRST_BACKOFF_S = 0.1
RESUME_MAX_BACKOFF_S = 2.0
PRIORITIES = {ServiceClass.IN_TIME: 0, ServiceClass.LATE: 1}

logger = get_logger(__name__)


class CompletionRunner:
    """Produces the tokens of completions on one daemon."""

    def __init__(
        self,
        view: View,
        engines: EngineClient,
        placer: Placer,
        canceller: Canceller,
        crashes: CrashObserver,
        quarantine: Quarantine,
        breakers: CircuitBreakers,
        budget: RetryBudget,
        metrics: Metrics,
        running: RunningRequests,
        tasks: BackgroundTasks,
    ):
        self._view = view
        self._engines = engines
        self._placer = placer
        self._canceller = canceller
        self._crashes = crashes
        self._quarantine = quarantine
        self._breakers = breakers
        self._budget = budget
        self._metrics = metrics
        self._running = running
        self._tasks = tasks

    async def run(
        self, request: CompletionRequest, configuration: Configuration
    ) -> AsyncIterator[Token]:
        """Yield every token of the answer exactly once and in order.

        Raises RequestFailedError if the answer can't be started or completed.
        """
        self._budget.record_request(configuration.limits.retry_percent)
        self._running.add(
            RunningRequest(
                request.request_id,
                request.workspace,
                request.service_name,
                request.received_at,
            )
        )
        try:
            async with aclosing(self._run(request, configuration)) as tokens:
                async for token in tokens:
                    yield token
        finally:
            self._running.remove(request.request_id)

    async def _run(
        self, request: CompletionRequest, configuration: Configuration
    ) -> AsyncIterator[Token]:
        attempt = Attempt(0, request, configuration)
        generated: list[str] = []
        deadline = request.received_at + request.service.late_limit_s
        while True:
            self._refuse_quarantined(attempt)
            try:
                async with aclosing(self._attempt(attempt)) as tokens:
                    async for token in tokens:
                        generated.append(token.text)
                        self._observe_progress(attempt, len(generated))
                        yield token
                return
            except EndpointFailedError as error:
                self._record_failure(attempt, error)
                excluded = frozenset({error.endpoint})
                sent = True
            except RequestFailedError as error:
                if attempt.number == 0 or not attempt.may_wait:
                    failure = replace(error.failure, ran=attempt.ran)
                    raise RequestFailedError(failure) from error
                excluded = frozenset()
                sent = False
            attempt = attempt.next_attempt(generated, excluded)
            await self._before_retry(attempt, deadline, sent)

    def _observe_progress(self, attempt: Attempt, tokens: int) -> None:
        """Clear a suspect request that ran past the point where an engine was lost."""
        if tokens - len(attempt.generated) == PROGRESS_TOKENS:
            self._crashes.observe_progress(attempt.request.content)

    def _record_failure(self, attempt: Attempt, error: EndpointFailedError) -> None:
        request = attempt.request
        self._metrics.count("attempts_failed", request.service_name)
        logger.warning(
            "attempt_failed",
            request_id=request.request_id,
            attempt=attempt.number,
            endpoint=error.endpoint,
            problem=error.error.problem,
            detail=error.error.detail,
        )

    def _refuse_quarantined(self, attempt: Attempt) -> None:
        limit = attempt.configuration.limits.crash_limit
        if self._quarantine.is_blocked(attempt.request.content, limit):
            raise RequestFailedError(
                Failure(
                    ResultCode.QUARANTINED,
                    f"this request has crashed {limit} endpoints",
                    ran=attempt.ran,
                )
            )

    async def _before_retry(
        self, attempt: Attempt, deadline: float, sent: bool
    ) -> None:
        """Back off before the next attempt; raise if it can't start by ``deadline``.

        Answers that may be delayed wait for the retry budget; others fail if it is
        spent. An attempt that failed before it was ``sent`` to an engine consumes none.
        """
        backoff_s = min(
            RESUME_MAX_BACKOFF_S, RESUME_FIRST_BACKOFF_S * 2 ** (attempt.number - 1)
        )
        while True:
            await asyncio.sleep(backoff_s)
            if loop_time() >= deadline:
                break
            if not sent or self._budget.try_consume(loop_time()):
                return
            if not attempt.may_wait:
                break
        raise RequestFailedError(
            Failure(
                ResultCode.ENDPOINT_FAILED,
                "the engines failed again and again",
                ran=attempt.ran,
                retry_after_s=RESUME_MAX_BACKOFF_S,
            )
        )

    async def _attempt(self, attempt: Attempt) -> AsyncIterator[Token]:
        """Reserve, prefill, transfer and decode once; yield the tokens."""
        used: set[str] = set()
        finished = False
        try:
            self._enter(attempt, Phase.QUEUED)
            decode = await self._reserve(attempt)
            used.add(decode.url)
            self._enter(attempt, Phase.PREFILL)
            export = await self._prefill(attempt, used)
            self._enter(attempt, Phase.TRANSFER)
            decode = await self._transfer(attempt, decode, export, used)
            self._enter(attempt, Phase.DECODE)
            async with aclosing(self._decode(attempt, decode)) as tokens:
                async for token in tokens:
                    yield token
            finished = True
            used.discard(decode.url)
        finally:
            self._clean_up(attempt, used, finished)

    def _enter(self, attempt: Attempt, phase: Phase) -> None:
        self._running.enter(attempt.request.request_id, phase, len(attempt.generated))

    def _clean_up(self, attempt: Attempt, used: set[str], finished: bool) -> None:
        """Release the slot, and cancel the work that engines may still hold."""
        self._tasks.start(self._placer.release(attempt.work_id), "release_slot")
        if finished:
            return
        for url in used:
            self._canceller.cancel(url, attempt.work_id)

    def _remaining_s(self, attempt: Attempt, needed_s: float) -> float:
        """Return how long an attempt may wait if it needs ``needed_s`` after that."""
        request = attempt.request
        limit_s = slot_wait_limit_s(request.service, needed_s, attempt.resumed)
        return max(0.0, limit_s - (loop_time() - request.received_at))

    def _ask(self, attempt: Attempt, demand: Demand) -> Ask:
        request = attempt.request
        ready_in_s = demand.prompt_tokens / EXPECTED_TOKENS_PER_S + EXPECTED_TRANSFER_S
        return Ask(
            request_id=attempt.work_id,
            engine="",
            holder=self._view.own.incarnation,
            holder_vm=self._view.own.vm.name,
            pieces=demand.pieces,
            service_class=request.service.service_class,
            workspace=request.workspace,
            share=request.share,
            ready_in_s=ready_in_s,
            max_wait_s=self._remaining_s(attempt, ready_in_s),
            suspect=self._quarantine.is_suspect(request.content),
        )

    async def _reserve(
        self, attempt: Attempt, limit_s: float = math.inf
    ) -> PlacedEngine:
        demand = attempt.demand
        ask = self._ask(attempt, demand)
        placed = await self._placer.place_decode(
            attempt.configuration,
            attempt.request.service,
            demand,
            replace(ask, max_wait_s=min(ask.max_wait_s, limit_s)),
        )
        if placed.is_err():
            raise RequestFailedError(placed.unwrap_err())
        return placed.unwrap()

    async def _prefill(self, attempt: Attempt, used: set[str]) -> Export:
        request = attempt.request
        service = request.service
        demand = attempt.demand
        duration_s = demand.prompt_tokens / EXPECTED_TOKENS_PER_S
        wait_s = self._remaining_s(attempt, duration_s + EXPECTED_TRANSFER_S)
        placed = await self._placer.place_prefill(
            attempt.configuration, service, demand, wait_s
        )
        if placed.is_err():
            raise RequestFailedError(placed.unwrap_err())
        engine = placed.unwrap()
        used.add(engine.url)
        instance = await self._crashes.instance_of(engine)
        order = PrefillOrder(
            request_id=attempt.work_id,
            incarnation=self._view.own.incarnation,
            prompt=request.prompt,
            generated="".join(attempt.generated),
            priority=PRIORITIES[service.service_class],
        )
        answer = await self._engines.prefill(engine.url, order)
        if answer.is_err():
            await self._crashes.observe_failure(
                engine, instance, request.content, loop_time()
            )
            raise EndpointFailedError(engine.name, answer.unwrap_err())
        self._breakers.record_success(engine.name)
        return answer.unwrap()

    async def _transfer(
        self,
        attempt: Attempt,
        decode: PlacedEngine,
        export: Export,
        used: set[str],
    ) -> PlacedEngine:
        """Transfer the KV cache to ``decode``, or to another engine if that fails.

        Returns the engine that imported it before the export expired.
        """
        expires_at = loop_time() + export.lives_s
        demand = attempt.demand
        for number in range(1, IMPORT_TRIES + 1):
            answer = await self._engines.import_kv(
                decode.url,
                attempt.work_id,
                self._view.own.incarnation,
                demand.pieces,
                export,
                _import_timeout_s(export, number),
            )
            if answer.is_ok():
                return decode
            error = answer.unwrap_err()
            self._metrics.count("transfers_failed", attempt.request.service_name)
            self._breakers.record_loss(decode.name, loop_time())
            in_time = loop_time() + EXPORT_MARGIN_S < expires_at
            if error.problem == EndpointProblem.GONE or not in_time:
                break
            if number < IMPORT_TRIES:
                life_s = expires_at - EXPORT_MARGIN_S - loop_time()
                decode = await self._reserve_other(attempt, decode, life_s)
                used.add(decode.url)
        raise EndpointFailedError(decode.name, error)

    async def _reserve_other(
        self, attempt: Attempt, decode: PlacedEngine, life_s: float
    ) -> PlacedEngine:
        """Release ``decode`` and reserve another engine, waiting at most ``life_s``."""
        await self._placer.release(attempt.work_id)
        self._canceller.cancel(decode.url, attempt.work_id)
        excluded = attempt.excluded | {decode.name}
        try:
            return await self._reserve(replace(attempt, excluded=excluded), life_s)
        except RequestFailedError as error:
            refused = EndpointError(EndpointProblem.REFUSED, error.failure.message)
            raise EndpointFailedError(decode.name, refused) from error

    async def _decode(
        self, attempt: Attempt, decode: PlacedEngine
    ) -> AsyncIterator[Token]:
        request = attempt.request
        instance = await self._crashes.instance_of(decode)
        order = DecodeOrder(
            request_id=attempt.work_id,
            incarnation=self._view.own.incarnation,
            prompt=request.prompt,
            start=len(attempt.generated),
            max_tokens=request.max_tokens,
            priority=PRIORITIES[request.service.service_class],
        )
        try:
            stream = self._engines.decode(decode.url, order)
            stream = in_order(stream, order.start, decode.name)
            async with aclosing(stream):
                async for token in stream:
                    yield token
        except EndpointFailedError as error:
            await self._crashes.observe_failure(
                decode, instance, request.content, loop_time()
            )
            raise EndpointFailedError(decode.name, error.error) from error
        self._crashes.observe_success(decode, request.content)


def _import_timeout_s(export: Export, number: int) -> float:
    """Return the timeout of an import; two attempts fit in the export's lifetime."""
    if number < IMPORT_TRIES:
        return export.lives_s * 0.45
    return export.lives_s * 0.5
