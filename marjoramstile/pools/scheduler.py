"""Schedules the generations of one part of a service's pool.

One daemon schedules for all of them. It keeps the leases, the queue and the prefills
under way; nothing of it lasts. The replicas have the last word: a lease that a second
or a new scheduler has granted too many costs a refused reservation.

Waiting requests are ranked: resumed streams, then requests that can still be on time,
then those that came back after a refusal; each in order of arrival. None is delayed by
one that passes it. A request whose wait is known to be too long is refused when it
comes, with the time at which room is expected for it.
"""

import random
from collections.abc import Callable
from dataclasses import replace

from marjoramstile.logs import get_logger
from marjoramstile.pools.backoff import ReplicaBackoff
from marjoramstile.pools.decisions import (
    PREFILL_LOOKAHEAD_S,
    Generation,
    Placement,
    PoolSnapshot,
    Requirements,
    choose_placement,
    first_to_fit,
    mean_tokens,
)
from marjoramstile.pools.estimator import PoolEstimator
from marjoramstile.pools.expected_retries import ExpectedRetries
from marjoramstile.pools.leases import LOCAL_PREFILL_FACTOR, Lease, LeaseTable
from marjoramstile.pools.messages import (
    LeaseEnd,
    LeaseOutcome,
    LeaseRenewal,
    LeaseUsage,
    PlacementAnswer,
    PlacementCancel,
    PlacementGrant,
    PlacementQueued,
    PlacementRequest,
    Urgency,
    daemon_of,
)
from marjoramstile.pools.pool_state import PoolState
from marjoramstile.pools.refusals import Refusals
from marjoramstile.pools.statistics import PoolStatistics
from marjoramstile.pools.waiting import RequestQueue, WaitingRequest
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.requests import RefusalReason
from marjoramstile.routes.table import EngineTraits

# Time from a place to the first event, beside the prefill and what is before it.
FIRST_EVENT_OVERHEAD_S = 0.08
# Prompts differ in how fast they are prefilled.
PREFILL_MARGIN = 1.1
# Least part of the target for which a request may wait, however large its prompt.
MIN_WAIT_FRACTION = 0.25
# Wait for another place after one that was lost before it was used.
RETRIED_WAIT_S = 0.25
# Callers abandon a stream after two seconds of silence or more.
RESUME_WAIT_S = 1.5
# Wait of a request that is late anyway, and the part of its caller's patience.
LATE_WAIT_S = 0.5
LATE_TIME_LEFT_FRACTION = 0.25
# Waiting requests that are looked at for one that can be placed.
MAX_EXAMINED = 6
# Waiting requests from which looks at the queue have a pause, and that pause.
LONG_QUEUE = 4
LONG_QUEUE_PERIOD_S = 0.02
# Pause between two looks for leases that lapsed.
EXPIRY_PERIOD_S = 0.1

logger = get_logger(__name__)


class PoolScheduler:
    """The queue, leases and means of one part of a pool.

    Answers are collected; the caller of any method takes them with
    ``pop_answers`` and sends them on.
    """

    def __init__(
        self,
        replicas: Callable[[Stage], list[Replica]],
        balancer: Balancer,
        rng: random.Random,
    ):
        """``replicas`` returns the usable replicas of this part in a stage."""
        self._leases = LeaseTable()
        self._pauses = ReplicaBackoff()
        self._knowledge = PoolEstimator()
        self._state = PoolState(
            replicas, balancer, self._leases, self._pauses, self._knowledge
        )
        self._queue = RequestQueue()
        self._expected_retries = ExpectedRetries()
        self._refusals = Refusals(self._queue, self._expected_retries, rng)
        self._next_expiry = 0.0
        self._next_processing = 0.0
        self._answers: list[PlacementAnswer] = []

    @property
    def queued(self) -> int:
        """Requests that wait for a place."""
        return len(self._queue)

    @property
    def leases(self) -> LeaseTable:
        """Leases granted and not ended."""
        return self._leases

    @property
    def statistics(self) -> PoolStatistics:
        """Means of the pool."""
        return self._knowledge.statistics

    def pop_answers(self) -> list[PlacementAnswer]:
        """Return the answers that have come up since the last call."""
        answers, self._answers = self._answers, []
        return answers

    def pool_snapshot(self, now: float) -> PoolSnapshot:
        """Return a snapshot of the usable replicas."""
        return self._state.snapshot(now, self._queue.prompt_tokens)

    def ask(
        self, request: PlacementRequest, engine: EngineTraits, now: float, polls: bool
    ) -> None:
        """Take a request, or the same one again; it is answered at once.

        ``polls`` means that its daemon asks again while it waits, and has gone if not.
        """
        self._state.engine = engine
        if self._answer_repeated(request, now):
            return
        if not request.retried and not request.resumed:
            hint = request.output_tokens
            self._knowledge.observe_request(request.prompt_tokens, hint, now)
        waiting = self._enqueue(request, now, polls)
        self._process_queue_unless_long(now)
        if waiting not in self._queue:
            return
        pool = self.pool_snapshot(now)
        if self._refusals.would_time_out(waiting, pool, self.statistics, now):
            self._refuse(waiting, pool, now)
        else:
            self._answers.append(PlacementQueued(request.id))

    def _answer_repeated(self, request: PlacementRequest, now: float) -> bool:
        """Answer a request that was heard before; return whether it was."""
        lease = self._leases.get(request.id)
        waiting = self._queue.find(request.id)
        refusal = self._refusals.find(request.id)
        if lease is not None:
            self._answers.append(lease.grant)
        elif refusal is not None:
            self._answers.append(refusal)
        elif waiting is not None:
            waiting.polled_at = now
            self._answers.append(PlacementQueued(request.id))
        else:
            return False
        return True

    def _enqueue(
        self, request: PlacementRequest, now: float, polls: bool
    ) -> WaitingRequest:
        urgency = self._urgency(request, now)
        waiting = WaitingRequest(
            self._queue.rank(request, urgency, now),
            request,
            urgency,
            self._knowledge.expected_output(request.output_tokens),
            queued_at=now,
            deadline=now + self._wait_limit_s(request, urgency),
            polled_at=now if polls else None,
        )
        self._queue.add(waiting)
        if urgency == Urgency.ON_TIME:
            self._refusals.observe_arrival(now)
        return waiting

    def _urgency(self, request: PlacementRequest, now: float) -> Urgency:
        if request.resumed:
            return Urgency.RESUMED
        if self._expected_retries.is_retry(request.content, now):
            return Urgency.LATE
        return Urgency.ON_TIME

    def _wait_limit_s(self, request: PlacementRequest, urgency: Urgency) -> float:
        """Return for how long a request may wait for its place."""
        if urgency == Urgency.RESUMED:
            return min(RESUME_WAIT_S, request.time_left_s)
        if urgency == Urgency.LATE:
            return min(LATE_WAIT_S, LATE_TIME_LEFT_FRACTION * request.time_left_s)
        prefill_s = self._knowledge.prefill_s(request.prompt_tokens)
        limit_s = request.target_s - PREFILL_MARGIN * prefill_s - FIRST_EVENT_OVERHEAD_S
        limit_s = max(limit_s, MIN_WAIT_FRACTION * request.target_s) - request.waited_s
        if request.retried:
            limit_s = max(limit_s, RETRIED_WAIT_S)
        return min(limit_s, request.time_left_s)

    def cancel(self, message: PlacementCancel, now: float) -> None:
        """Drop a waiting request, or a lease that was granted meanwhile."""
        self._queue.cancel(message.id)
        self._leases.remove(message.id)
        self._process_queue_unless_long(now)

    def renew(self, renewal: LeaseRenewal, now: float) -> None:
        """Take what a daemon says of its leases; unknown ones are taken over."""
        for usage in renewal.leases:
            lease = self._leases.get(usage.id)
            if lease is None:
                self._adopt(renewal, usage, now)
                continue
            self._knowledge.observe_usage(lease, usage, now)
            self._leases.renew(lease, usage, now)
            if usage.produced_tokens:
                self._pauses.record_progress(lease.decode)

    def _adopt(self, renewal: LeaseRenewal, usage: LeaseUsage, now: float) -> None:
        """Take over a lease that another scheduler has granted."""
        output = self._knowledge.expected_output(usage.output_tokens)
        grant = PlacementGrant(
            usage.id,
            renewal.service,
            renewal.shard,
            usage.decode,
            None,
            Urgency.ON_TIME,
        )
        lease = Lease(
            id=usage.id,
            grant=grant,
            tokens=mean_tokens(usage.prompt_tokens, output),
            prompt_tokens=usage.prompt_tokens,
            output_tokens=output,
            granted_at=now - usage.decode_s,
            produced_tokens=usage.produced_tokens,
            decode_s=usage.decode_s,
            renewed_at=now,
            confirmed=True,
        )
        self._leases.add(lease)
        self._knowledge.observe_adopted(usage, now)

    def end(self, message: LeaseEnd, now: float) -> None:
        """Free a lease."""
        lease = self._leases.remove(message.usage.id)
        if lease is not None:
            self._knowledge.observe_usage(lease, message.usage, now)
            self._state.cancel_prefill(lease)
        self._handle_outcome(message, now)
        self._process_queue_unless_long(now)

    def _handle_outcome(self, message: LeaseEnd, now: float) -> None:
        """Learn from how a lease ended."""
        usage = message.usage
        if message.outcome == LeaseOutcome.FINISHED:
            self._expected_retries.forget(message.content)
            self._knowledge.observe_finished(usage)
            self._pauses.record_progress(usage.decode)
        elif message.outcome == LeaseOutcome.NO_ROOM:
            self._pauses.record_no_room(usage.decode, now)
        elif message.outcome == LeaseOutcome.UNREACHABLE:
            self._pauses.record_no_answer(usage.decode, daemon_of(usage.id), now)
            self._state.record_failure(usage.decode, now)
        elif message.outcome == LeaseOutcome.FAILED:
            self._expected_retries.expect(message.content, now)
            self._state.record_failure(usage.decode, now)

    def _process_queue_unless_long(self, now: float) -> None:
        """Look at the queue, or leave a long one to the next look at its time.

        A look costs a few milliseconds where many wait for many replicas; one for each
        message would leave no time for answers.
        """
        if len(self._queue) < LONG_QUEUE or now >= self._next_processing:
            self.process_queue(now)

    def process_queue(self, now: float) -> None:
        """Grant what can be granted now and refuse what has waited for too long."""
        self._next_processing = now + LONG_QUEUE_PERIOD_S
        self._expire(now)
        if not self._queue:
            return
        self._queue.drop_abandoned(now)
        self._refuse_overdue(now)
        while self._queue:
            placed = self._next_placement(now)
            if placed is None:
                break
            waiting, placement = placed
            self._queue.remove(waiting)
            self._grant(waiting, placement, now)
            self._refuse_overdue(now)

    def _expire(self, now: float) -> None:
        """Drop leases that lapsed; a look at all of them now and then will do."""
        if now < self._next_expiry:
            return
        self._next_expiry = now + EXPIRY_PERIOD_S
        for lease in self._leases.expire(now):
            logger.info("lease_lapsed", lease=lease.id, replica=lease.decode)

    def _refuse_overdue(self, now: float) -> None:
        """Refuse those that would be late if they were placed now."""
        busy_s = self._state.prefill_busy_s(now)
        for waiting in self._queue.overdue(now + min(busy_s, PREFILL_LOOKAHEAD_S)):
            self._refuse(waiting, self.pool_snapshot(now), now)

    def _next_placement(self, now: float) -> tuple[WaitingRequest, Placement] | None:
        """Return the next request to place: the first, or one that doesn't delay it.

        Requests on time may pass a larger one before them at other replicas than the
        one that will have room for it first.
        """
        pool = self.pool_snapshot(now)
        blocked: list[WaitingRequest] = []
        reserved: set[str] = set()
        for waiting in self._queue.first(MAX_EXAMINED):
            is_first = not blocked and not reserved
            if not is_first and waiting.urgency == Urgency.LATE:
                return None
            requirements = self._requirements(waiting, now)
            placement = choose_placement(pool, waiting.request, requirements)
            if placement is not None and not is_first:
                reserved |= _replicas_to_reserve(_without(pool, reserved), blocked)
                blocked.clear()
                rest = _without(pool, reserved)
                placement = choose_placement(rest, waiting.request, requirements)
            if placement is not None:
                return waiting, placement
            blocked.append(waiting)
        return None

    def _requirements(self, waiting: WaitingRequest, now: float) -> Requirements:
        prompt, output = self.statistics.typical
        prefill_s = self._knowledge.prefill_s(waiting.request.prompt_tokens)
        more_s = (LOCAL_PREFILL_FACTOR - 1) * prefill_s
        on_time = waiting.urgency == Urgency.ON_TIME
        return Requirements(
            waiting.generation,
            waiting.urgency,
            typical=Generation(prompt, output, output),
            needs_prefill_replica=on_time and now + more_s > waiting.deadline,
        )

    def _grant(self, waiting: WaitingRequest, placement: Placement, now: float) -> None:
        request = waiting.request
        grant = PlacementGrant(
            request.id,
            request.service,
            request.shard,
            placement.decode,
            placement.prefill,
            waiting.urgency,
        )
        lease = Lease(
            id=request.id,
            grant=grant,
            tokens=waiting.tokens,
            prompt_tokens=request.prompt_tokens,
            output_tokens=waiting.output_tokens,
            granted_at=now,
            renewed_at=now,
        )
        self._state.begin_prefill(lease, now)
        self._leases.add(lease)
        self._answers.append(grant)

    def _refuse(self, waiting: WaitingRequest, pool: PoolSnapshot, now: float) -> None:
        self._queue.remove(waiting)
        reason = RefusalReason.NO_MEMORY
        if not self._state.can_decode:
            reason = RefusalReason.NO_REPLICA
        refusal = self._refusals.refuse(waiting, reason, pool, self.statistics, now)
        self._answers.append(refusal)


def _replicas_to_reserve(pool: PoolSnapshot, blocked: list[WaitingRequest]) -> set[str]:
    """Return the replicas that will have room first for requests that wait."""
    reserved: set[str] = set()
    for waiting in blocked:
        first = first_to_fit(_without(pool, reserved), waiting.generation)
        if first is not None:
            reserved.add(first)
    return reserved


def _without(pool: PoolSnapshot, reserved: set[str]) -> PoolSnapshot:
    """Return a pool without the decode replicas that are kept for others."""
    if not reserved:
        return pool
    decode = tuple(item for item in pool.decode if item.replica_id not in reserved)
    return replace(pool, decode=decode)
