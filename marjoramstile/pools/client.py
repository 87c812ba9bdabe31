"""Requests leases from the schedulers of pools, and renews and ends them."""

import asyncio
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Protocol

from marjoramstile.logs import get_logger
from marjoramstile.membership.view import Peer
from marjoramstile.pools.host import SchedulerHost
from marjoramstile.pools.messages import (
    LeaseEnd,
    LeaseOutcome,
    LeaseRenewal,
    LeaseUsage,
    PlacementAnswer,
    PlacementCancel,
    PlacementGrant,
    PlacementQueued,
    PlacementRefusal,
    PlacementRequest,
    PollLater,
    PoolMessage,
    ProfileUpdate,
    SpeedUpdate,
    placement_id,
)
from marjoramstile.pools.shards import PoolShards, SchedulerSelector
from marjoramstile.pools.speeds import next_batch
from marjoramstile.utils import BackgroundTasks, loop_time

# Timeouts of the first answer, one for each time that the request is sent: datagrams
# may be lost.
FIRST_ANSWER_TIMEOUTS_S = (0.06, 0.08)
# Period at which a queued request is repeated, unless the scheduler names another.
POLL_S = 0.12
# Longest such period.
POLL_MAX_S = 1.0
# Polls in a row without an answer after which a scheduler counts as silent.
MAX_UNANSWERED_POLLS = 3
RENEW_PERIOD_S = 1.0
LEASES_PER_MESSAGE = 12
# Number of schedulers of a shard, the first ones by rank, that are always notified of
# its leases.
NOTIFIED_SCHEDULERS = 2
# Time for which a daemon that was asked for a lease is notified as well. It exceeds the
# time after which that daemon would expire the lease.
RECENTLY_ASKED_S = 4.0
# Characters of a daemon's incarnation in its placement ids.
ID_PREFIX_LENGTH = 10

logger = get_logger(__name__)


class PoolSender(Protocol):
    """Sends messages to other daemons as datagrams, which may be lost."""

    def send(self, peer: Peer, message: PoolMessage) -> None:
        """Send one message."""


@dataclass
class HeldLease:
    """A lease that this daemon holds, and the progress of its generation."""

    request: PlacementRequest
    grant: PlacementGrant
    prefill_s: float = 0.0
    produced_tokens: int = 0
    first_token_at: float | None = None
    last_token_at: float = 0.0

    def record_prefill(self, seconds: float) -> None:
        """Record the duration of the prefill."""
        self.prefill_s = seconds

    def record_tokens(self, tokens: int) -> None:
        """Count tokens that have been received."""
        self.last_token_at = loop_time()
        if self.first_token_at is None:
            self.first_token_at = self.last_token_at
        self.produced_tokens += tokens

    def usage(self) -> LeaseUsage:
        """Return the report for the scheduler."""
        decode_s = (
            0.0
            if self.first_token_at is None
            else self.last_token_at - self.first_token_at
        )
        return LeaseUsage(
            self.grant.id,
            self.grant.decode,
            self.request.prompt_tokens,
            self.request.output_tokens,
            self.produced_tokens,
            decode_s,
            self.prefill_s,
            self.request.workspace,
        )


class PoolClient:
    """Requests and owns this daemon's leases.

    The schedulers that grant them run in this daemon or on other VMs.
    """

    def __init__(
        self,
        own: Peer,
        selector: SchedulerSelector,
        shards: PoolShards,
        host: SchedulerHost,
        sender: PoolSender,
        tasks: BackgroundTasks,
        rng: random.Random,
    ):
        self._own_vm = own.vm.name
        self._data_centre = own.vm.data_centre
        self._id_prefix = own.incarnation[:ID_PREFIX_LENGTH]
        self._selector = selector
        self._shards = shards
        self._host = host
        self._sender = sender
        self._tasks = tasks
        self._rng = rng
        self._numbers = itertools.count()
        self._answers: dict[str, asyncio.Queue[PlacementAnswer]] = {}
        self._leases: dict[str, HeldLease] = {}
        self._renewing = False
        self._asked_at: dict[tuple[str, int], dict[str, float]] = defaultdict(dict)
        self._last_shared: dict[tuple[str, int], str] = {}

    @property
    def leases(self) -> int:
        """Leases that this daemon holds now."""
        return len(self._leases)

    @property
    def data_centre(self) -> str:
        """The data centre of this daemon."""
        return self._data_centre

    def new_id(self) -> str:
        """Return a placement id that no other request has."""
        return placement_id(self._id_prefix, next(self._numbers))

    def choose_shard(self, service: str, avoid: frozenset[str] = frozenset()) -> int:
        """Return a random shard of a pool for a new request.

        It has a replica that is not in ``avoid``, if any shard has.
        """
        return self._shards.choose(service, self._rng, avoid)

    async def ask(self, request: PlacementRequest) -> HeldLease | PlacementRefusal:
        """Request a lease; return it or the scheduler's refusal.

        If a scheduler does not answer, the next one is asked; after two of them, or if
        the next one is this daemon itself, its own scheduler decides.
        """
        started = loop_time()
        for peer in self._selector.candidates(request.service, request.shard)[:2]:
            if peer.vm.name == self._own_vm:
                break
            self._record_asked(request, peer.vm.name)
            answer = await self._ask_peer(peer, request)
            if answer is not None:
                self._selector.record_answer(peer.vm.name)
                return self._accept_answer(request, answer)
            self._selector.record_no_answer(peer.vm.name)
            logger.info("scheduler_silent", vm=peer.vm.name, place=request.id)
            waited_s = request.waited_s + loop_time() - started
            request = replace(request, id=self.new_id(), waited_s=waited_s)
        self._record_asked(request, self._own_vm)
        return self._accept_answer(request, await self._ask_own(request))

    def _accept_answer(
        self, request: PlacementRequest, answer: PlacementGrant | PlacementRefusal
    ) -> HeldLease | PlacementRefusal:
        if isinstance(answer, PlacementRefusal):
            return answer
        lease = HeldLease(request, answer)
        self._leases[answer.id] = lease
        if not self._renewing:
            self._renewing = True
            self._tasks.start(self._renew_periodically(), "renew leases")
        return lease

    async def _ask_own(
        self, request: PlacementRequest
    ) -> PlacementGrant | PlacementRefusal:
        answers: asyncio.Queue[PlacementAnswer] = asyncio.Queue()
        self._host.handle_message(request, answers.put_nowait, polls=False)
        try:
            while True:
                answer = await answers.get()
                if not isinstance(answer, PlacementQueued):
                    return answer
        except asyncio.CancelledError:
            self._host.handle_message(self._cancel(request), answers.put_nowait)
            raise

    async def _ask_peer(
        self, peer: Peer, request: PlacementRequest
    ) -> PlacementGrant | PlacementRefusal | None:
        """Return a peer's final answer; None if it does not answer."""
        answers: asyncio.Queue[PlacementAnswer] = asyncio.Queue()
        self._answers[request.id] = answers
        try:
            answer = await self._first_answer(peer, request, answers)
            unanswered = 0
            poll_s = POLL_S
            while isinstance(answer, (PlacementQueued, PollLater)) or (
                answer is None and 0 < unanswered < MAX_UNANSWERED_POLLS
            ):
                answer = await self._next_answer(answers, poll_s)
                if answer is None:
                    unanswered += 1
                    self._sender.send(peer, request)
                    continue
                unanswered = 0
                if isinstance(answer, PollLater):
                    poll_s = max(POLL_S, min(answer.poll_after_s, POLL_MAX_S))
            return answer
        except asyncio.CancelledError:
            self._sender.send(peer, self._cancel(request))
            raise
        finally:
            del self._answers[request.id]

    async def _first_answer(
        self,
        peer: Peer,
        request: PlacementRequest,
        answers: asyncio.Queue[PlacementAnswer],
    ) -> PlacementAnswer | None:
        for wait_s in FIRST_ANSWER_TIMEOUTS_S:
            self._sender.send(peer, request)
            answer = await self._next_answer(answers, wait_s)
            if answer is not None:
                return answer
        return None

    @staticmethod
    async def _next_answer(
        answers: asyncio.Queue[PlacementAnswer], wait_s: float
    ) -> PlacementAnswer | None:
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                return await answers.get()
        return None

    @staticmethod
    def _cancel(request: PlacementRequest) -> PlacementCancel:
        return PlacementCancel(request.id, request.service, request.shard)

    def handle_answer(
        self, answer: PlacementAnswer, reply: Callable[[PlacementCancel], None]
    ) -> None:
        """Handle a scheduler's answer; release a grant that no request waits for.

        ``reply`` sends a message to the scheduler.
        """
        answers = self._answers.get(answer.id)
        if answers is not None:
            answers.put_nowait(answer)
        elif isinstance(answer, PlacementGrant) and answer.id not in self._leases:
            reply(PlacementCancel(answer.id, answer.service, answer.shard))

    def end(self, lease: HeldLease, outcome: LeaseOutcome) -> None:
        """End a lease and notify the schedulers; without effect if it has ended."""
        if self._leases.pop(lease.grant.id, None) is None:
            return
        request = lease.request
        self._notify_schedulers(
            LeaseEnd(
                request.service, request.shard, request.content, lease.usage(), outcome
            )
        )

    def share_profile(self, service: str) -> None:
        """Send a pool's profile to its other schedulers, if this daemon ranks first."""
        if self._selector.own_rank(service) != 0:
            return
        profile = self._host.scheduler(service, 0).statistics.profile()
        if profile is None:
            return
        for peer in self._selector.candidates(service, 0):
            if peer.vm.name != self._own_vm:
                self._sender.send(peer, ProfileUpdate(service, 0, profile))

    def share_speeds(self, service: str) -> None:
        """Send the speeds of replicas to the next schedulers of this daemon's shards.

        One small message a shard is sent at a time; later ones hold the other replicas.
        """
        for shard in range(self._shards.count(service)):
            ranked = self._selector.ranked(service, shard)
            if ranked[:1] != (self._own_vm,):
                continue
            others = [
                peer
                for peer in self._selector.candidates(service, shard)
                if peer.vm.name != self._own_vm
            ]
            speeds = self._host.differing_speeds(service, shard) if others else []
            if speeds:
                key = service, shard
                batch = next_batch(speeds, self._last_shared.get(key, ""))
                self._last_shared[key] = batch[-1].replica
                self._sender.send(others[0], SpeedUpdate(service, shard, batch))

    def _notify_schedulers(self, message: LeaseEnd | LeaseRenewal) -> None:
        """Send a message to all daemons that schedule a shard or may do so soon.

        Daemons may disagree on which scheduler is silent. Each one that any of them
        asks must know the leases of all, or it would grant memory that is in use.
        """
        key = message.service, message.shard
        names = self._selector.ranked(*key)[:NOTIFIED_SCHEDULERS]
        for vm in {*names, *self._asked_recently(key)}:
            if vm == self._own_vm:
                self._host.handle_message(message, lambda answer: None)
            elif peer := self._selector.get(vm):
                self._sender.send(peer, message)

    def _record_asked(self, request: PlacementRequest, vm: str) -> None:
        key = request.service, request.shard
        self._asked_at[key][vm] = loop_time()

    def _asked_recently(self, key: tuple[str, int]) -> list[str]:
        """Return the VMs of daemons that may still count leases they have granted."""
        oldest = loop_time() - RECENTLY_ASKED_S
        self._asked_at[key] = {
            vm: at for vm, at in self._asked_at[key].items() if at > oldest
        }
        return list(self._asked_at[key])

    async def _renew_periodically(self) -> None:
        """Renew all leases periodically while there are any."""
        try:
            while True:
                await asyncio.sleep(RENEW_PERIOD_S)
                if not self._leases:
                    return
                self._renew_all()
        finally:
            self._renewing = False

    def _renew_all(self) -> None:
        groups: dict[tuple[str, int], list[LeaseUsage]] = defaultdict(list)
        for lease in self._leases.values():
            groups[lease.request.service, lease.request.shard].append(lease.usage())
        for (service, shard), usages in groups.items():
            for start in range(0, len(usages), LEASES_PER_MESSAGE):
                chunk = tuple(usages[start : start + LEASES_PER_MESSAGE])
                self._notify_schedulers(LeaseRenewal(service, shard, chunk))
