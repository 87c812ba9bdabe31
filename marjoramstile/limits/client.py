"""Asks for permission to send requests to replicas that name a limit."""

import asyncio
import itertools
from contextlib import suppress

from marjoramstile.limits.coordinator import (
    GRANTED,
    LimitCoordinator,
    PermitDecision,
)
from marjoramstile.limits.messages import LimitedReplica, PermitAnswer, PermitRequest
from marjoramstile.logs import get_logger
from marjoramstile.membership.view import Peer
from marjoramstile.pools.client import PoolSender
from marjoramstile.pools.shards import SchedulerSelector
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.notices import Incarnation, incarnation
from marjoramstile.routes.replica_types import Replica
from marjoramstile.utils import loop_time

# Time after which a coordinator counts as silent; it answers from memory.
ANSWER_TIMEOUT_S = 0.06
# Longest wait that is accepted from a coordinator.
WAIT_MAX_S = 10.0

logger = get_logger(__name__)


class PermitClient:
    """Acquires a permit for each request to a replica that names a limit.

    If a coordinator doesn't answer, the next one is asked; if none does, this daemon
    decides by its share of the limit.
    """

    def __init__(
        self,
        own: Peer,
        selector: SchedulerSelector,
        coordinator: LimitCoordinator,
        sender: PoolSender,
        metrics: Metrics,
    ):
        self._own_vm = own.vm.name
        self._selector = selector
        self._coordinator = coordinator
        self._sender = sender
        self._metrics = metrics
        self._numbers = itertools.count()
        self._answers: dict[str, asyncio.Future[PermitAnswer]] = {}
        self._denied_until: dict[Incarnation, float] = {}

    async def acquire(self, replica: Replica, request_id: str) -> PermitDecision:
        """Return whether a request may be sent to a replica now.

        A denial holds for this daemon's next requests until its wait is over.
        """
        limit_per_s = self._coordinator.limit_per_s(replica)
        if limit_per_s is None:
            return GRANTED
        now = loop_time()
        denied_until = self._denied_until.get(incarnation(replica), 0.0)
        if now < denied_until:
            decision = PermitDecision(False, denied_until - now)
        else:
            decision = await self._decide(replica, limit_per_s)
            self._keep_denial(replica, decision)
        outcome = "permit_granted" if decision.granted else "permit_denied"
        self._metrics.count(outcome, replica.service)
        logger.info(
            outcome,
            request=request_id,
            replica=replica.id,
            limit_per_s=limit_per_s,
            wait_s=round(decision.wait_s, 3),
        )
        return decision

    def is_limited(self, replica: Replica) -> bool:
        """Return whether a replica names a limit."""
        return self._coordinator.limit_per_s(replica) is not None

    def _keep_denial(self, replica: Replica, decision: PermitDecision) -> None:
        if decision.granted:
            return
        now = loop_time()
        self._denied_until = {
            key: until for key, until in self._denied_until.items() if until > now
        }
        self._denied_until[incarnation(replica)] = now + decision.wait_s

    async def _decide(self, replica: Replica, limit_per_s: float) -> PermitDecision:
        limited = self._coordinator.describe(replica)
        for peer in self._candidates(limited):
            if peer.vm.name == self._own_vm:
                break
            answer = await self._ask(peer, limited, limit_per_s)
            if answer is not None:
                self._selector.record_answer(peer.vm.name)
                return self._accept(replica, answer)
            self._selector.record_no_answer(peer.vm.name)
            logger.info("coordinator_silent", vm=peer.vm.name, replica=replica.id)
        return self._coordinator.decide(limited)

    def _candidates(self, replica: LimitedReplica) -> list[Peer]:
        """Return the coordinators to ask, without those that don't answer."""
        coordinators = self._coordinator.coordinators(replica)
        candidates = self._selector.candidates(replica.service, replica.shard)
        return [peer for peer in candidates if peer.vm.name in coordinators]

    async def _ask(
        self, peer: Peer, replica: LimitedReplica, limit_per_s: float
    ) -> PermitAnswer | None:
        """Return a coordinator's answer; None if none arrives in time."""
        request_id = str(next(self._numbers))
        future = asyncio.get_running_loop().create_future()
        self._answers[request_id] = future
        try:
            self._sender.send(peer, PermitRequest(request_id, replica, limit_per_s))
            with suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    return await future
            return None
        finally:
            del self._answers[request_id]

    def _accept(self, replica: Replica, answer: PermitAnswer) -> PermitDecision:
        if answer.limit_per_s is None:
            self._coordinator.record_ended(replica)
        wait_s = min(max(0.0, answer.wait_s), WAIT_MAX_S)
        return PermitDecision(answer.granted, wait_s)

    def handle_answer(self, answer: PermitAnswer) -> None:
        """Pass an answer to the request that waits for it; a late one is ignored."""
        future = self._answers.get(answer.id)
        if future is not None and not future.done():
            future.set_result(answer)
