"""Asks the schedulers of pools for places, and keeps them told of the leases."""

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
    PoolMessage,
    ProfileUpdate,
    placement_id,
)
from marjoramstile.pools.shards import PoolShards, SchedulerSelector
from marjoramstile.utils import TaskGroupOwner, loop_time

# Waits for a scheduler's first word, one after the other: datagrams may be lost.
FIRST_ANSWER_TIMEOUTS_S = (0.06, 0.08)
# Pause between two questions of a request that waits in a queue.
POLL_S = 0.12
# Questions without an answer after which a scheduler is taken for gone.
MAX_UNANSWERED_POLLS = 3
RENEW_PERIOD_S = 1.0
LEASES_PER_MESSAGE = 12
# The first schedulers of a part, by rank, that are always told of its leases.
NOTIFIED_SCHEDULERS = 2
# For how long one that was asked is told as well; its leases lapse before.
RECENTLY_ASKED_S = 4.0
# Characters of a daemon's incarnation in the ids of its places.
ID_PREFIX_LENGTH = 10

logger = get_logger(__name__)


class PoolSender(Protocol):
    """Sends messages to other daemons; they may be lost."""

    def send(self, peer: Peer, message: PoolMessage) -> None:
        """Send one message."""


@dataclass
class HeldLease:
    """A lease of this daemon and what has become of it."""

    request: PlacementRequest
    grant: PlacementGrant
    prefill_s: float = 0.0
    produced_tokens: int = 0
    first_token_at: float | None = None
    last_token_at: float = 0.0

    def record_prefill(self, seconds: float) -> None:
        """Note the time that the prefill took."""
        self.prefill_s = seconds

    def record_tokens(self, tokens: int) -> None:
        """Count tokens that have arrived."""
        self.last_token_at = loop_time()
        if self.first_token_at is None:
            self.first_token_at = self.last_token_at
        self.produced_tokens += tokens

    def usage(self) -> LeaseUsage:
        """Return what the scheduler is told."""
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
        )


class PoolClient:
    """Places of this daemon's requests at schedulers, here or on other VMs."""

    def __init__(
        self,
        own: Peer,
        selector: SchedulerSelector,
        shards: PoolShards,
        host: SchedulerHost,
        sender: PoolSender,
        tasks: TaskGroupOwner,
        rng: random.Random,
    ):
        self._own_vm = own.vm.name
        self._data_centre = own.vm.data_centre
        self._id_prefix = own.incarnation[:ID_PREFIX_LENGTH]
        self._selector = selector
        self._parts = shards
        self._host = host
        self._sender = sender
        self._tasks = tasks
        self._rng = rng
        self._numbers = itertools.count()
        self._answers: dict[str, asyncio.Queue[PlacementAnswer]] = {}
        self._leases: dict[str, HeldLease] = {}
        self._renewing = False
        self._asked_at: dict[tuple[str, int], dict[str, float]] = defaultdict(dict)

    @property
    def leases(self) -> int:
        """Leases that this daemon holds now."""
        return len(self._leases)

    @property
    def data_centre(self) -> str:
        """The data centre of this daemon."""
        return self._data_centre

    def new_id(self) -> str:
        """Return an id that no other request for a place has."""
        return placement_id(self._id_prefix, next(self._numbers))

    def choose_shard(self, service: str) -> int:
        """Return the part of a pool for a new request."""
        return self._parts.choose(service, self._rng)

    async def ask(self, request: PlacementRequest) -> HeldLease | PlacementRefusal:
        """Return a lease, or the scheduler's refusal.

        A scheduler that does not answer is followed by the next; without any this
        daemon schedules by what it knows itself.
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
        """Return a peer's answer; None if it is silent."""
        answers: asyncio.Queue[PlacementAnswer] = asyncio.Queue()
        self._answers[request.id] = answers
        try:
            answer = await self._first_answer(peer, request, answers)
            unanswered = 0
            while isinstance(answer, PlacementQueued) or (
                answer is None and 0 < unanswered < MAX_UNANSWERED_POLLS
            ):
                answer = await self._next_answer(answers, POLL_S)
                if answer is None:
                    unanswered += 1
                    self._sender.send(peer, request)
                elif isinstance(answer, PlacementQueued):
                    unanswered = 0
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
        """Take a scheduler's answer; a grant that nobody awaits is given back.

        ``reply`` sends a message to the scheduler.
        """
        answers = self._answers.get(answer.id)
        if answers is not None:
            answers.put_nowait(answer)
        elif isinstance(answer, PlacementGrant) and answer.id not in self._leases:
            reply(PlacementCancel(answer.id, answer.service, answer.shard))

    def end(self, lease: HeldLease, outcome: LeaseOutcome) -> None:
        """Tell the scheduler that a lease has ended."""
        if self._leases.pop(lease.grant.id, None) is None:
            return
        request = lease.request
        self._notify_schedulers(
            LeaseEnd(
                request.service, request.shard, request.content, lease.usage(), outcome
            )
        )

    def share_profile(self, service: str) -> None:
        """Tell the daemons that come next what this one, the first, has learned."""
        if self._selector.own_rank(service) != 0:
            return
        profile = self._host.scheduler(service, 0).statistics.profile()
        if profile is None:
            return
        for peer in self._selector.candidates(service, 0):
            if peer.vm.name != self._own_vm:
                self._sender.send(peer, ProfileUpdate(service, 0, profile))

    def _notify_schedulers(self, message: LeaseEnd | LeaseRenewal) -> None:
        """Send a message to all daemons that schedule a part, or soon may.

        Daemons don't agree on which one is silent: each that any of them asks must know
        the leases of all, or it gives away memory that is in use.
        """
        key = message.service, message.shard
        names = self._selector.ranked(*key)[:NOTIFIED_SCHEDULERS]
        for vm in {*names, *self._asked_lately(key)}:
            if vm == self._own_vm:
                self._host.handle_message(message, lambda answer: None)
            elif peer := self._selector.get(vm):
                self._sender.send(peer, message)

    def _record_asked(self, request: PlacementRequest, vm: str) -> None:
        key = request.service, request.shard
        self._asked_at[key][vm] = loop_time()

    def _asked_lately(self, key: tuple[str, int]) -> list[str]:
        """Return the VMs that may have granted leases which they still count."""
        oldest = loop_time() - RECENTLY_ASKED_S
        self._asked_at[key] = {
            vm: at for vm, at in self._asked_at[key].items() if at > oldest
        }
        return list(self._asked_at[key])

    async def _renew_periodically(self) -> None:
        """Renew leases now and then, as long as there are any."""
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
        for (service, shard), uses in groups.items():
            for start in range(0, len(uses), LEASES_PER_MESSAGE):
                chunk = tuple(uses[start : start + LEASES_PER_MESSAGE])
                self._notify_schedulers(LeaseRenewal(service, shard, chunk))
