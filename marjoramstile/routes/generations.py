"""Runs generations: reserves a decode replica, prefills the prompt, relays the stream.

A stream that breaks off is resumed at another replica after the last whole event that
the caller has received, if its route is resumable.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, closing

from marjoramstile.crashes.detector import CrashDetector
from marjoramstile.logs import get_logger
from marjoramstile.pools.messages import LeaseOutcome
from marjoramstile.routes.budget import WindowedRetryBudget
from marjoramstile.routes.carrying import CarriedProgress, RequestCarrier
from marjoramstile.routes.events import Event, EventSplitter, EventTooLongError
from marjoramstile.routes.failures import FailureRecorder
from marjoramstile.routes.placement import DecodePlacer, Placement
from marjoramstile.routes.ports import ReplicaClient, Responder, StreamAnswer
from marjoramstile.routes.prefiller import (
    MIN_ATTEMPT_S,
    RETRY_AFTER_S,
    Prefiller,
)
from marjoramstile.routes.progress import (
    PrefilledPrompt,
    Progress,
    SendFailedError,
)
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.requests import (
    AnswerLostError,
    NotExecutedError,
    OutcomeUnknownError,
    OutdatedChoiceError,
    RefusalReason,
    ReplicaError,
    Reply,
    RequestRefusedError,
    RoutedRequest,
    SendOptions,
    StreamBrokenError,
)
from marjoramstile.routes.table import EngineTraits
from marjoramstile.streams.continuation import StreamVersions
from marjoramstile.utils import BackgroundTasks, loop_time

# A stream is treated as lost after this many gap targets without a whole event, but not
# before MIN_STALL_S.
STALL_GAPS = 5
MIN_STALL_S = 2.0
# Events after which a replica counts as having begun to answer: one that crashes while
# it begins may have sent the first.
BEGUN_EVENTS = 2
# A KV cache whose lifetime ends sooner is not offered to another decode replica.
HANDLE_MARGIN_S = 0.1
OK = 200

logger = get_logger(__name__)


class GenerationRunner:
    """Runs generations on prefill and decode replicas and relays their streams."""

    def __init__(
        self,
        client: ReplicaClient,
        placer: DecodePlacer,
        prefiller: Prefiller,
        budget: WindowedRetryBudget,
        failures: FailureRecorder,
        crashes: CrashDetector,
        streams: StreamVersions,
        carrier: RequestCarrier,
        tasks: BackgroundTasks,
    ):
        self._client = client
        self._placer = placer
        self._prefiller = prefiller
        self._budget = budget
        self._failures = failures
        self._crashes = crashes
        self._streams = streams
        self._carrier = carrier
        self._tasks = tasks

    async def run(
        self, request: RoutedRequest, engine: EngineTraits, responder: Responder
    ) -> Reply | None:
        """Stream the answer to ``responder``; return a replica's non-200 answer.

        Raises RequestRefusedError if the request has not run, OutcomeUnknownError if
        it may have, and StreamBrokenError if the caller has received a part of the
        answer.
        """
        progress = Progress(request.resume_after)
        if request.is_take_up:
            progress.version = await self._streams.require_version(request)
        try:
            return await self._run_attempts(request, engine, responder, progress)
        finally:
            self._release_prefilled(progress)

    async def _run_attempts(
        self,
        request: RoutedRequest,
        engine: EngineTraits,
        responder: Responder,
        progress: Progress,
    ) -> Reply | None:
        failed: set[str] = set()
        while True:
            try:
                return await self._attempt(
                    request, engine, responder, progress, frozenset(failed)
                )
            except SendFailedError as failure:
                failed.add(failure.replica.id)
                self._record_failure(request, progress, failure)
                if not await self._may_retry(request, progress, failure):
                    raise self._final_error(progress, failure) from failure
                if self._carrier.may_carry(request):
                    return await self._continue_elsewhere(request, responder, progress)
            except RequestRefusedError as refusal:
                if progress.runs == 0:
                    raise
                if self._carrier.may_carry(request):
                    return await self._continue_elsewhere(request, responder, progress)
                raise self._incomplete_error(progress, str(refusal)) from refusal

    async def _continue_elsewhere(
        self, request: RoutedRequest, responder: Responder, progress: Progress
    ) -> Reply | None:
        """Let another VM go on, as this one has lost its links to replicas."""
        last_event = progress.last_event if progress.started else None
        carried = CarriedProgress(progress.runs, progress.started, last_event)
        return await self._carrier.run(request, responder, carried)

    async def _attempt(
        self,
        request: RoutedRequest,
        engine: EngineTraits,
        responder: Responder,
        progress: Progress,
        failed: frozenset[str],
    ) -> Reply | None:
        resumed = progress.runs > 0 or progress.version is not None
        placement = await self._placer.place(
            request, engine, resumed, failed, progress.version
        )
        hold_sent = False
        outcome = LeaseOutcome.GIVEN_BACK
        try:
            if not self._has_prefilled(progress) and placement.prefill is not None:
                await self._prefill(request, engine, placement, progress, failed)
            hold_sent = True
            reply = await self._decode(request, engine, placement, responder, progress)
            outcome = LeaseOutcome.FINISHED
            return reply
        except BaseException as error:
            if isinstance(error, SendFailedError) and not error.is_outdated:
                outcome = LeaseOutcome.FAILED
                self._release_prefilled(progress)
            if not hold_sent:
                release = self._placer.release_reservation(placement)
                self._tasks.start(release, "drop_hold")
            raise
        finally:
            self._placer.end_lease(placement, outcome)

    async def _prefill(
        self,
        request: RoutedRequest,
        engine: EngineTraits,
        placement: Placement,
        progress: Progress,
        failed: frozenset[str],
    ) -> None:
        is_retry = progress.prefills > 0
        progress.prefills += 1
        began = loop_time()
        handle = await self._prefiller.prefill(
            request, failed, placement.prefill, placement.replica.data_centre, is_retry
        )
        if handle is not None:
            placement.lease.record_prefill(loop_time() - began)
            expires_at = loop_time() + engine.handle_ttl_s - HANDLE_MARGIN_S
            progress.prefilled = PrefilledPrompt(handle, expires_at)

    def _has_prefilled(self, progress: Progress) -> bool:
        """Return whether an earlier attempt's KV cache can still be fetched."""
        prefilled = progress.prefilled
        if prefilled is not None and loop_time() >= prefilled.expires_at:
            self._release_prefilled(progress)
        return progress.prefilled is not None

    def _release_prefilled(self, progress: Progress) -> None:
        """Release in the background a KV cache that will not be fetched."""
        if progress.prefilled is not None:
            release = self._prefiller.release_kv_cache(progress.prefilled.handle)
            self._tasks.start(release, "free_handle")
            progress.prefilled = None

    async def _decode(
        self,
        request: RoutedRequest,
        engine: EngineTraits,
        placement: Placement,
        responder: Responder,
        progress: Progress,
    ) -> Reply | None:
        placement = await self._renew(placement, engine)
        prefilled = progress.prefilled
        options = SendOptions(
            hold=placement.hold,
            source=None if prefilled is None else prefilled.handle,
            resume_after=progress.last_event,
        )
        if not await self._streams.may_continue(progress.version, placement.replica):
            error = OutdatedChoiceError("the replica may have started again")
            raise SendFailedError(placement.replica, error, ran=False)
        left_s = request.deadline - loop_time()
        self._crashes.check_again(request)
        runs_before = progress.runs
        progress.replica_events = 0
        progress.sent_at = loop_time()
        try:
            async with self._open_stream(
                placement.replica, request, left_s, options
            ) as answer:
                if answer.status != OK:
                    reply = await self._read_whole_reply(answer, progress)
                    self._crashes.record_begin(request, progress.sent_at)
                    return reply
                progress.runs += 1
                progress.prefilled = None
                lease = placement.lease
                await self._relay(
                    request,
                    answer,
                    responder,
                    progress,
                    placement.replica,
                    lambda: lease.record_tokens(engine.stride),
                )
                if progress.replica_events < BEGUN_EVENTS:
                    self._crashes.record_begin(request, progress.sent_at)
                return None
        except NotExecutedError as error:
            raise SendFailedError(placement.replica, error, ran=False) from error
        except ReplicaError as error:
            ran = isinstance(error, AnswerLostError)
            if ran and progress.runs == runs_before:
                progress.runs += 1
            raise SendFailedError(placement.replica, error, ran) from error

    async def _renew(self, placement: Placement, engine: EngineTraits) -> Placement:
        """Reserve the place again if it has lapsed while the prompt was read."""
        try:
            return await self._placer.renew(placement, engine)
        except ReplicaError as error:
            raise SendFailedError(placement.replica, error, ran=False) from error

    @asynccontextmanager
    async def _open_stream(
        self,
        replica: Replica,
        request: RoutedRequest,
        left_s: float,
        options: SendOptions,
    ) -> AsyncIterator[StreamAnswer]:
        """Open a stream; a resumable one is not waited for without links."""
        opening = self._client.stream(replica, request, left_s, options)
        async with AsyncExitStack() as stack:
            if request.route.resumable:
                async with self._carrier.links.interrupt_when_lost():
                    answer = await stack.enter_async_context(opening)
            else:
                answer = await stack.enter_async_context(opening)
            yield answer

    async def _read_whole_reply(
        self, answer: StreamAnswer, progress: Progress
    ) -> Reply:
        progress.runs += 1
        if progress.started:
            raise AnswerLostError(f"status {answer.status} for a resumed stream")
        return await self._client.read_reply(answer)

    async def _relay(
        self,
        request: RoutedRequest,
        answer: StreamAnswer,
        responder: Responder,
        progress: Progress,
        replica: Replica,
        on_event: Callable[[], None],
    ) -> None:
        """Relay a replica's whole events to the caller; call ``on_event`` for each."""
        with closing(EventSplitter(answer.buffers)) as splitter:
            chunks = aiter(answer.chunks)
            stalled_at = self._stalled_at(request)
            while True:
                chunk = await self._next_chunk(
                    chunks, min(request.deadline, stalled_at)
                )
                if chunk is None:
                    break
                for event in self._events(splitter, chunk):
                    on_event()
                    if not progress.started:
                        progress.started = True
                        self._record_origin(request, progress, replica)
                        await responder.start(answer.status, answer.headers)
                    await responder.write(event.data)
                    progress.events += 1
                    progress.replica_events += 1
                    if progress.replica_events == BEGUN_EVENTS:
                        self._crashes.record_begin(request, progress.sent_at)
                    if event.id is not None:
                        progress.last_event = event.id
                        stalled_at = self._stalled_at(request)
            if splitter.rest or not progress.started:
                raise AnswerLostError("the stream ended within an event")
        await responder.finish()

    def _record_origin(
        self, request: RoutedRequest, progress: Progress, replica: Replica
    ) -> None:
        progress.origin = replica
        progress.version = replica.version
        if request.route.resumable:
            self._streams.record_begin(request, replica)

    @staticmethod
    def _events(splitter: EventSplitter, chunk: bytes) -> list[Event]:
        try:
            return splitter.feed(chunk)
        except EventTooLongError as error:
            raise AnswerLostError(str(error)) from error

    @staticmethod
    def _stalled_at(request: RoutedRequest) -> float:
        """Return the loop time at which a stream without a new event counts as lost.

        Bytes that complete no event are not progress. A stream that can't be resumed
        elsewhere has until its deadline.
        """
        if not request.route.resumable:
            return request.deadline
        gap_s = request.route.gap_target_s or 0.0
        return loop_time() + max(MIN_STALL_S, STALL_GAPS * gap_s)

    @staticmethod
    async def _next_chunk(chunks, until: float) -> bytes | None:
        """Return the next bytes, None at the end.

        Raises AnswerLostError if none arrive by loop time ``until``.
        """
        try:
            async with asyncio.timeout_at(until):
                return await anext(chunks, None)
        except TimeoutError:
            raise AnswerLostError("no event came in time") from None

    def _record_failure(
        self, request: RoutedRequest, progress: Progress, failure: SendFailedError
    ) -> None:
        logger.info(
            "attempt_failed",
            request=request.id,
            replica=failure.replica.id,
            may_have_run=failure.ran,
            events_sent=progress.events,
            replica_events=progress.replica_events,
            runs=progress.runs,
            shared_parts=" ".join(request.shared_parts),
        )
        self._failures.record(failure.replica, request, failure.error)

    async def _may_retry(
        self, request: RoutedRequest, progress: Progress, failure: SendFailedError
    ) -> bool:
        """Return whether a request may be sent to another replica.

        One whose replica has crashed before the answer had begun may be the cause.
        """
        unbegun = failure.ran and progress.events < BEGUN_EVENTS
        if unbegun and await self._may_have_crashed(request, failure.replica):
            return False
        if progress.origin and not self._streams.is_certain(progress.origin):
            return False
        now = loop_time()
        if now > request.deadline - MIN_ATTEMPT_S:
            return False
        if progress.started and progress.last_event is None:
            return False
        if progress.runs > 0:
            route = request.route
            if not route.resumable or progress.runs >= route.max_attempts:
                return False
        if failure.is_outdated:
            return True
        return self._budget.try_consume(request.service, now)

    async def _may_have_crashed(self, request: RoutedRequest, replica: Replica) -> bool:
        """Return whether a request may be what has ended its replica.

        A VM without links to replicas can't tell.
        """
        if await self._crashes.has_crashed(request, replica):
            self._carrier.links.record_failure()
            return await self._carrier.links.hold()
        return self._crashes.is_suspect(request)

    def _final_error(self, progress: Progress, failure: SendFailedError) -> Exception:
        if progress.runs == 0:
            return RequestRefusedError(RefusalReason.SHED, RETRY_AFTER_S)
        return self._incomplete_error(progress, str(failure.error))

    @staticmethod
    def _incomplete_error(progress: Progress, message: str) -> Exception:
        if progress.started:
            return StreamBrokenError(message)
        return OutcomeUnknownError(message)
