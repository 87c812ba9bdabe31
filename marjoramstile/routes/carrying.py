"""Hands requests to other VMs while this one has lost its links to replicas.

The other VM, the carrier, runs a request as one of its own callers' and never hands it
on. What it says about it is the truth for this VM's caller too: an answer of a replica
is passed on unchanged, a refusal means that nothing has run.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AbstractAsyncContextManager, closing
from dataclasses import dataclass
from typing import Protocol

from marjoramstile.logs import get_logger
from marjoramstile.membership.nodes import NodeEntry
from marjoramstile.membership.view import View
from marjoramstile.routes.budget import WindowedRetryBudget
from marjoramstile.routes.checked_client import recorded_send
from marjoramstile.routes.events import EventSplitter, EventTooLongError
from marjoramstile.routes.links import LinkState, ReplicaLinks
from marjoramstile.routes.ports import Responder, StreamAnswer
from marjoramstile.routes.requests import (
    AnswerLostError,
    NotSentError,
    OutcomeUnknownError,
    RefusalReason,
    Reply,
    RequestRefusedError,
    RoutedRequest,
    StreamBrokenError,
)
from marjoramstile.utils import loop_time

# Time for which the state that a daemon has sent is taken for its present one.
STATE_FRESH_S = 3.0
# Carriers that one request may be sent to.
CARRIERS_MAX = 3
# A stream is lost after this time without bytes: longer than a carrier needs to resume
# it after its replica fell silent, shorter than callers wait.
STALL_S = 3.0
# Time for which a carrier is shown to operators after a request.
RECENT_S = 5.0
RETRY_AFTER_S = 0.25
# Least time left before the deadline for which a further carrier is worthwhile.
MIN_ATTEMPT_S = 0.02
OK = 200

logger = get_logger(__name__)


@dataclass(frozen=True)
class Carrier:
    """A VM that carries requests, and the ``host:port`` of its front."""

    vm: str
    front: str


@dataclass(frozen=True)
class CarriedSend:
    """What is added to a request that is sent to a carrier.

    ``runs`` is the number of replicas that may run it. ``resume_after`` is the id of
    the last event that the caller has from this daemon's attempts, None if it has none.
    """

    sender: str
    runs: int
    resume_after: int | None


class CarrierClient(Protocol):
    """Sends requests to carriers."""

    def send(
        self,
        carrier: Carrier,
        request: RoutedRequest,
        timeout_s: float,
        carried: CarriedSend,
    ) -> AbstractAsyncContextManager[StreamAnswer]:
        """Send a request; exiting closes the connection.

        Raises NotSentError if the carrier did not get it or can't run it,
        RequestRefusedError and OutcomeUnknownError if the carrier says so, and
        AnswerLostError if no answer came.
        """

    async def read_reply(self, answer: StreamAnswer) -> Reply:
        """Return a whole answer; raise AnswerLostError if truncated or too long."""


class CarrierPeers:
    """Knows which other VMs reach replicas, by what their probes say."""

    def __init__(
        self,
        view: View,
        entries: Callable[[], Mapping[str, NodeEntry]],
        links: ReplicaLinks,
        rng: random.Random,
    ):
        self._view = view
        self._entries = entries
        self._links = links
        self._rng = rng
        self._heard: dict[str, tuple[LinkState, float]] = {}

    @property
    def own_vm(self) -> str:
        """Name of this daemon's VM."""
        return self._view.own.vm.name

    def own_state(self) -> int:
        """Return the state of this VM's links, to be sent with a probe."""
        return int(self._links.state(loop_time()))

    def handle_state(self, vm: str, state: int) -> None:
        """Record the state that a known daemon has sent; older builds send none."""
        if self._view.get(vm) is not None and state in iter(LinkState):
            self._heard[vm] = LinkState(state), loop_time()

    def candidates(self) -> list[Carrier]:
        """Return carriers, in random order, first those known to reach replicas."""
        entries = self._entries()
        by_state: dict[LinkState, list[Carrier]] = {state: [] for state in LinkState}
        for peer in self._view.others:
            entry = entries.get(peer.vm.name)
            if peer.serving and entry is not None:
                carrier = Carrier(peer.vm.name, entry.front)
                by_state[self._state_of(peer.vm.name)].append(carrier)
        held, unknown = by_state[LinkState.HELD], by_state[LinkState.UNKNOWN]
        self._rng.shuffle(held)
        self._rng.shuffle(unknown)
        return held + unknown

    def _state_of(self, vm: str) -> LinkState:
        state, at = self._heard.get(vm, (LinkState.UNKNOWN, 0.0))
        return state if loop_time() - at <= STATE_FRESH_S else LinkState.UNKNOWN

    def forget_missing(self) -> None:
        """Drop what was heard of VMs that are gone."""
        self._heard = {
            vm: heard for vm, heard in self._heard.items() if self._view.get(vm)
        }


@dataclass
class CarriedProgress:
    """What became of a request so far, here and at carriers.

    ``runs`` counts the replicas that may have run it. ``last_event`` is the id of the
    last event that the caller has received.
    """

    runs: int = 0
    started: bool = False
    last_event: int | None = None


class RequestCarrier:
    """Sends requests to carriers until one answers, as far as they may be repeated."""

    def __init__(
        self,
        links: ReplicaLinks,
        peers: CarrierPeers,
        client: CarrierClient,
        budget: WindowedRetryBudget,
    ):
        self._links = links
        self._peers = peers
        self._client = client
        self._budget = budget
        self._used_at: dict[str, float] = {}

    @property
    def links(self) -> ReplicaLinks:
        """This VM's links to replicas."""
        return self._links

    def recent_carriers(self, now: float) -> list[str]:
        """Return the VMs that were sent requests in the last RECENT_S, by name."""
        return sorted(vm for vm, at in self._used_at.items() if now - at <= RECENT_S)

    def may_carry(self, request: RoutedRequest) -> bool:
        """Return whether a request is better handed to another VM."""
        if not self._links.lost or request.is_carried:
            return False
        return bool(self._peers.candidates())

    def check_carried(self, request: RoutedRequest) -> None:
        """Raise RequestRefusedError if a carried request has come to no better VM."""
        if request.is_carried and self._links.lost:
            raise RequestRefusedError(RefusalReason.NO_REPLICA, RETRY_AFTER_S)

    async def run(
        self,
        request: RoutedRequest,
        responder: Responder,
        progress: CarriedProgress | None = None,
    ) -> Reply | None:
        """Return the answer; None if it was streamed to ``responder``.

        Raises RequestRefusedError, OutcomeUnknownError and StreamBrokenError as a
        request that is run here does.
        """
        progress = progress or CarriedProgress()
        message = "no other VM reaches replicas"
        for carrier in self._peers.candidates()[:CARRIERS_MAX]:
            runs = self._runs_allowed(request, progress)
            if runs == 0:
                break
            try:
                with recorded_send(request):
                    return await self._send(carrier, request, runs, responder, progress)
            except NotSentError as error:
                message = str(error)
            except AnswerLostError as error:
                message = str(error)
                progress.runs += runs
                if not self._may_repeat(request, progress):
                    break
            except (RequestRefusedError, OutcomeUnknownError) as error:
                if progress.runs == 0:
                    raise
                message = str(error)
                break
            logger.info(
                "carrier_failed", request=request.id, vm=carrier.vm, reason=message
            )
        raise self._final_error(progress, message)

    @staticmethod
    def _runs_allowed(request: RoutedRequest, progress: CarriedProgress) -> int:
        """Return how many replicas the next carrier may use; one is kept for another.

        A request that may not be repeated runs once, wherever it is.
        """
        left = request.route.max_attempts - progress.runs
        if progress.runs and not request.route.repeatable:
            return 0
        return max(left - 1, min(left, 1))

    def _may_repeat(self, request: RoutedRequest, progress: CarriedProgress) -> bool:
        now = loop_time()
        if not request.route.repeatable or now > request.deadline - MIN_ATTEMPT_S:
            return False
        if progress.started and progress.last_event is None:
            return False
        return self._budget.try_consume(request.service, now)

    async def _send(
        self,
        carrier: Carrier,
        request: RoutedRequest,
        runs: int,
        responder: Responder,
        progress: CarriedProgress,
    ) -> Reply | None:
        now = loop_time()
        left_s = request.deadline - now
        self._used_at[carrier.vm] = now
        logger.info(
            "request_carried",
            request=request.id,
            carrier=carrier.vm,
            left_s=round(left_s, 3),
            resume_after=progress.last_event,
        )
        carried = CarriedSend(self._peers.own_vm, runs, progress.last_event)
        async with self._client.send(carrier, request, left_s, carried) as answer:
            if request.size is not None and answer.status == OK:
                stall_s = STALL_S if request.route.resumable else None
                await self._relay(answer, responder, progress, stall_s)
                return None
            if progress.started:
                raise AnswerLostError(f"status {answer.status} for a resumed stream")
            return await self._client.read_reply(answer)

    @staticmethod
    async def _relay(
        answer: StreamAnswer,
        responder: Responder,
        progress: CarriedProgress,
        stall_s: float | None,
    ) -> None:
        """Relay whole events to the caller; give up after ``stall_s`` without any."""
        with closing(EventSplitter(answer.buffers)) as splitter:
            chunks = aiter(answer.chunks)
            while (chunk := await _next_chunk(chunks, stall_s)) is not None:
                try:
                    events = splitter.feed(chunk)
                except EventTooLongError as error:
                    raise AnswerLostError(str(error)) from error
                for event in events:
                    if not progress.started:
                        progress.started = True
                        await responder.start(answer.status, answer.headers)
                    await responder.write(event.data)
                    if event.id is not None:
                        progress.last_event = event.id
            if splitter.rest or not progress.started:
                raise AnswerLostError("the stream ended within an event")
        await responder.finish()

    @staticmethod
    def _final_error(progress: CarriedProgress, message: str) -> Exception:
        if progress.started:
            return StreamBrokenError(message)
        if progress.runs:
            return OutcomeUnknownError(message)
        return RequestRefusedError(RefusalReason.NO_REPLICA, RETRY_AFTER_S)


async def _next_chunk(
    chunks: AsyncIterator[bytes], stall_s: float | None
) -> bytes | None:
    """Return the next bytes, None at the end; raise AnswerLostError after a stall."""
    try:
        async with asyncio.timeout(stall_s):
            return await anext(chunks, None)
    except TimeoutError:
        raise AnswerLostError("the carrier has fallen silent") from None
