"""Schedules the generations of one shard of a service's pool.

One daemon schedules a shard for all daemons. It keeps the leases, the queue and the
prefills in progress in memory only. A replica makes the final decision: if a second or
a new scheduler grants too many leases, a reservation on the replica is refused.

Queued requests are ranked: resumed streams, then requests that can still be on time,
then retries after a refusal. Each of these is ordered by whether the workspace holds
more than its share, by priority and by time of arrival. A request may overtake another
one only if it does not delay that one, and less urgent ones leave room for expected
arrivals of more urgent ones. A request whose expected wait is too long is refused on
arrival, or when others have gone ahead of it, with the time after which capacity is
expected for it.
"""

import math
import random
from collections.abc import Callable
from dataclasses import replace

from marjoramstile.logs import get_logger
from marjoramstile.pools.backoff import ReplicaBackoff
from marjoramstile.pools.decisions import (
    Placement,
    PoolSnapshot,
    Requirements,
    choose_placement,
    first_to_fit,
)
from marjoramstile.pools.estimator import PoolEstimator
from marjoramstile.pools.expected_retries import ExpectedRetries
from marjoramstile.pools.leases import Lease, LeaseTable
from marjoramstile.pools.memory import Generation, mean_tokens
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
    PollLater,
    Urgency,
    daemon_of,
)
from marjoramstile.pools.permits import UNLIMITED, ReplicaPermits
from marjoramstile.pools.pool_state import PoolState
from marjoramstile.pools.precedence import Precedence
from marjoramstile.pools.refusals import Refusals
from marjoramstile.pools.shares import WorkspaceShare
from marjoramstile.pools.speeds import ReplicaSpeeds
from marjoramstile.pools.statistics import PoolStatistics
from marjoramstile.pools.waiting import RequestQueue, WaitingRequest
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.requests import RefusalReason
from marjoramstile.routes.table import EngineTraits

# Time from a grant to the first event, without the prefill and the wait for it.
FIRST_EVENT_OVERHEAD_S = 0.08
# Factor on the estimated time of a prefill: prompts differ in speed.
PREFILL_MARGIN = 1.1
# Least fraction of the target that a request may wait, however long its prompt.
MIN_WAIT_FRACTION = 0.25
# Least wait limit of a request that was placed before and must be placed again.
RETRIED_WAIT_S = 0.25
# Wait limit of a resumed stream, in seconds and in targets, the larger one: callers
# abandon a stream after a gap of two seconds or four targets.
RESUME_WAIT_S = 1.5
RESUME_WAIT_TARGETS = 3.0
# Wait limit of a late request, in seconds and as a fraction of the time to its
# deadline.
LATE_WAIT_S = 0.5
LATE_TIME_LEFT_FRACTION = 0.25
# Queued requests that are examined for one that can be placed: so many of each set of
# replicas to avoid, as others may have room, and of so many sets.
MAX_EXAMINED = 6
MAX_AVOIDED_SETS = 4
# Length from which a queue is processed at most once a period, and that period.
LONG_QUEUE = 4
LONG_QUEUE_PERIOD_S = 0.02
# Time that each queued request adds to that period.
QUEUED_PERIOD_S = 0.0002
# Period after which a queued request polls, for each request in the queue, and the
# longest one. A request is told again if it has grown by the step.
POLL_AFTER_PER_QUEUED_S = 0.005
POLL_AFTER_MAX_S = 0.4
POLL_AFTER_STEP_S = 0.14
# Period at which queued requests that others went ahead of are examined again.
OVERTAKEN_PERIOD_S = 0.1
# Ends of leases whose requests were not sent to any replica.
UNSENT_OUTCOMES = frozenset({LeaseOutcome.NO_ROOM, LeaseOutcome.UNREACHABLE})
# Period at which expired leases are removed.
EXPIRY_PERIOD_S = 0.1

logger = get_logger(__name__)


class PoolScheduler:
    """Owns the queue, the leases and the statistics of one shard of a pool.

    Answers to requests are collected: after each call, the caller fetches them with
    ``pop_answers`` and sends them. ``now`` is the time of the event loop.
    """

    def __init__(
        self,
        replicas: Callable[[Stage], list[Replica]],
        balancer: Balancer,
        rng: random.Random,
        permits: ReplicaPermits = UNLIMITED,
        count: Callable[[str], None] = lambda name: None,
    ):
        """``replicas`` returns the usable replicas of this shard in a stage.

        ``permits`` tells which of them may be sent requests under their limits.
        ``count`` adds one to the counter of a name.
        """
        self._count = count
        self._leases = LeaseTable()
        self._backoff = ReplicaBackoff()
        self._estimator = PoolEstimator()
        self._state = PoolState(
            replicas, balancer, self._leases, self._backoff, self._estimator, permits
        )
        self._queue = RequestQueue()
        self._expected_retries = ExpectedRetries()
        self._precedence = Precedence(self._leases, self._queue)
        self._refusals = Refusals(
            self._queue, self._expected_retries, self._precedence, rng
        )
        self._next_expiry = 0.0
        self._next_overtaken = 0.0
        self._next_processing = 0.0
        self._answers: list[PlacementAnswer] = []

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def leases(self) -> LeaseTable:
        """Leases granted here or by another scheduler that have not ended."""
        return self._leases

    @property
    def statistics(self) -> PoolStatistics:
        """Statistics of the pool's generations."""
        return self._estimator.statistics

    @property
    def speeds(self) -> ReplicaSpeeds:
        """Learned speeds of the shard's replicas."""
        return self._estimator.speeds

    @property
    def workspace_shares(self) -> list[WorkspaceShare]:
        """The workspaces that hold memory or have queued requests."""
        return self._precedence.rows()

    def pop_answers(self) -> list[PlacementAnswer]:
        """Return the answers collected since the last call, and clear them."""
        answers, self._answers = self._answers, []
        return answers

    def pool_snapshot(self, now: float) -> PoolSnapshot:
        """Return a snapshot of the usable replicas."""
        return self._state.snapshot(now, self._queue.prompt_tokens)

    def ask(
        self, request: PlacementRequest, engine: EngineTraits, now: float, polls: bool
    ) -> None:
        """Handle a placement request, or a repetition of one; it is answered at once.

        ``polls`` means that its daemon repeats it while it is queued; if the daemon
        stops doing so, the request is dropped.
        """
        self._state.engine = engine
        if self._answer_repeated(request, now):
            return
        if not request.retried and not request.resumed:
            hint = request.output_tokens
            self._estimator.observe_request(request.prompt_tokens, hint, now)
        waiting = self._enqueue(request, now, polls)
        self._process_queue_unless_long(now)
        if waiting not in self._queue:
            return
        pool = self.pool_snapshot(now)
        if self._is_hopeless(waiting, pool, now):
            self._refuse(waiting, pool, now)
        else:
            self._answer_queued(waiting)

    def _is_hopeless(
        self, waiting: WaitingRequest, pool: PoolSnapshot, now: float
    ) -> bool:
        """Return whether a new request is better refused than queued.

        A stream that has begun can go on nowhere else: it waits for what its replicas
        free, and for replicas of its version that are away.
        """
        if waiting.urgency == Urgency.RESUMED:
            return not self._state.can_decode
        return self._refusals.would_time_out(waiting, pool, self.statistics, now)

    def _answer_queued(self, waiting: WaitingRequest) -> None:
        """Answer a request that waits; in a long queue it is to poll less.

        The load it answers: bursts, in which the polls of waiting requests take as much
        of the scheduler's processor as the placing.
        """
        self._answers.append(PlacementQueued(waiting.request.id))
        poll_after_s = min(POLL_AFTER_MAX_S, POLL_AFTER_PER_QUEUED_S * self.queued)
        is_longer = poll_after_s > waiting.poll_after_s + POLL_AFTER_STEP_S
        if waiting.polled_at is not None and is_longer:
            waiting.poll_after_s = round(poll_after_s, 2)
            self._answers.append(PollLater(waiting.request.id, waiting.poll_after_s))

    def _answer_repeated(self, request: PlacementRequest, now: float) -> bool:
        """Answer a request that is already known; return whether it is."""
        lease = self._leases.get(request.id)
        waiting = self._queue.find(request.id)
        refusal = self._refusals.find(request.id)
        if lease is not None:
            self._answers.append(lease.grant)
        elif refusal is not None:
            self._answers.append(refusal)
        elif waiting is not None:
            waiting.polled_at = now
            self._answer_queued(waiting)
        else:
            return False
        return True

    def _enqueue(
        self, request: PlacementRequest, now: float, polls: bool
    ) -> WaitingRequest:
        urgency = self._urgency(request, now)
        output_tokens = self._estimator.expected_output(request.output_tokens)
        wait_limit_s = self._wait_limit_s(request, urgency)
        if urgency == Urgency.ON_TIME and not request.retried:
            self._precedence.observe_asked(request, output_tokens, wait_limit_s, now)
        early = self._precedence.applies and self._expected_retries.is_early(
            request.content, now
        )
        standing = self._precedence.standing(request.workspace)
        waiting = WaitingRequest(
            self._queue.rank(request, urgency, now, standing, early),
            request,
            urgency,
            output_tokens,
            queued_at=now,
            deadline=now + wait_limit_s,
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
        """Return for how long a request may wait to be placed."""
        if urgency == Urgency.RESUMED:
            limit_s = max(RESUME_WAIT_S, RESUME_WAIT_TARGETS * request.target_s)
            return min(limit_s, request.time_left_s)
        if urgency == Urgency.LATE:
            return min(LATE_WAIT_S, LATE_TIME_LEFT_FRACTION * request.time_left_s)
        prefill_s = self._estimator.prefill_duration_s(request.prompt_tokens)
        limit_s = request.target_s - PREFILL_MARGIN * prefill_s - FIRST_EVENT_OVERHEAD_S
        limit_s = max(limit_s, MIN_WAIT_FRACTION * request.target_s) - request.waited_s
        if request.retried:
            limit_s = max(limit_s, RETRIED_WAIT_S)
        return min(limit_s, request.time_left_s)

    def cancel(self, message: PlacementCancel, now: float) -> None:
        """Remove a queued request, or a lease that has been granted meanwhile."""
        self._queue.cancel(message.id)
        self._leases.remove(message.id)
        self._process_queue_unless_long(now)

    def renew(self, renewal: LeaseRenewal, now: float) -> None:
        """Renew a daemon's leases; unknown ones are adopted."""
        for usage in renewal.leases:
            lease = self._leases.get(usage.id)
            if lease is None:
                self._adopt(renewal, usage, now)
                continue
            self._estimator.observe_usage(lease, usage, now)
            self._leases.renew(lease, usage, now)
            if usage.produced_tokens:
                self._backoff.record_progress(lease.decode)

    def _adopt(self, renewal: LeaseRenewal, usage: LeaseUsage, now: float) -> None:
        """Add a lease that another scheduler has granted."""
        output = self._estimator.expected_output(usage.output_tokens)
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
            decode_started_at_ms=self._state.started_at_ms(usage.decode),
            workspace=usage.workspace,
        )
        self._leases.add(lease)
        self._estimator.observe_adopted(usage, now)

    def end(self, message: LeaseEnd, now: float) -> None:
        """Release a lease and record how it ended."""
        lease = self._leases.remove(message.usage.id)
        if lease is not None:
            self._estimator.observe_usage(lease, message.usage, now)
            self._state.cancel_prefill(lease)
            if message.outcome in UNSENT_OUTCOMES:
                self._state.give_back_permits(lease.grant)
        self._handle_outcome(message, now)
        self._process_queue_unless_long(now)

    def _handle_outcome(self, message: LeaseEnd, now: float) -> None:
        """Update backoffs, expected retries and estimates by how a lease ended."""
        usage = message.usage
        if message.outcome == LeaseOutcome.FINISHED:
            self._expected_retries.forget(message.content)
            self._estimator.observe_finished(usage)
            self._backoff.record_progress(usage.decode)
        elif message.outcome == LeaseOutcome.NO_ROOM:
            self._backoff.record_no_room(usage.decode, now)
        elif message.outcome == LeaseOutcome.UNREACHABLE:
            self._backoff.record_no_answer(usage.decode, daemon_of(usage.id), now)
            self._state.record_decode_failure(usage.decode, now)
        elif message.outcome == LeaseOutcome.FAILED:
            self._expected_retries.expect(message.content, now)
            self._state.record_decode_failure(usage.decode, now)

    def _process_queue_unless_long(self, now: float) -> None:
        """Process the queue, a long one at most once a period.

        With many queued requests and replicas this takes a few milliseconds; if it were
        done for each message, there would be no time left to answer.
        """
        if len(self._queue) < LONG_QUEUE or now >= self._next_processing:
            self.process_queue(now)

    def process_queue(self, now: float) -> None:
        """Grant what can be granted now and refuse requests that would be late."""
        period_s = LONG_QUEUE_PERIOD_S + QUEUED_PERIOD_S * len(self._queue)
        self._next_processing = now + period_s
        self._expire(now)
        if not self._queue:
            return
        self._queue.drop_abandoned(now)
        self._refuse_overdue(now)
        self._precedence.update(now)
        self._refuse_overtaken(now)
        while self._queue:
            placed = self._next_placement(now)
            if placed is None:
                break
            waiting, placement = placed
            self._queue.remove(waiting)
            self._grant(waiting, placement, now)
            self._precedence.rerank(waiting.request.workspace, now)
            self._refuse_overdue(now)

    def _expire(self, now: float) -> None:
        """Remove expired leases, once a period as this examines all of them."""
        if now < self._next_expiry:
            return
        self._next_expiry = now + EXPIRY_PERIOD_S
        self._state.forget_missing()
        for lease in self._leases.expire(now):
            logger.info("lease_lapsed", lease=lease.id, replica=lease.decode)

    def _refuse_overdue(self, now: float) -> None:
        """Refuse requests that would be late even if they were placed now."""
        if not self._queue:
            return
        delay_s = self._state.prefill_delay_s(now)
        for waiting in self._queue.overdue(now + delay_s):
            self._refuse(waiting, self.pool_snapshot(now), now)

    def _refuse_overtaken(self, now: float) -> None:
        """Refuse requests that can't be on time any more as others go ahead of them."""
        if not self._precedence.applies or now < self._next_overtaken:
            return
        self._next_overtaken = now + OVERTAKEN_PERIOD_S
        pool = self.pool_snapshot(now)
        for waiting in self._refusals.overtaken(pool, self.statistics, now):
            self._count("placements_refused_overtaken")
            self._refuse(waiting, pool, now)

    def _next_placement(self, now: float) -> tuple[WaitingRequest, Placement] | None:
        """Return the next request to place, and where.

        It is the first one, or a later one that doesn't delay those ahead of it: the
        replicas expected to fit the blocked requests first are reserved for them, and
        a later request may be placed on the others. Late requests never overtake.
        Less urgent requests are passed over if more urgent ones are about to arrive.
        """
        pool = self.pool_snapshot(now)
        reserve = self._precedence.reserve(pool, self.statistics)
        blocked: list[WaitingRequest] = []
        reserved: set[str] = set()
        for waiting in self._queue.first_by_avoided(MAX_EXAMINED, MAX_AVOIDED_SETS):
            is_first = not blocked and not reserved
            if not is_first and waiting.urgency == Urgency.LATE:
                return None
            if not reserve.allows(waiting):
                self._note_held_back(waiting, reserve.places(waiting.request), now)
                blocked.append(waiting)
                continue
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

    def _note_held_back(self, waiting: WaitingRequest, places: int, now: float) -> None:
        """Count a request that leaves room for more urgent ones, once, and log some."""
        if not waiting.held_back:
            waiting.held_back = True
            self._count("placements_held_back")
            self._precedence.log_held_back(waiting, places, now)

    def _requirements(self, waiting: WaitingRequest, now: float) -> Requirements:
        prompt, output = self.statistics.typical
        prefill_s = self._estimator.prefill_s(waiting.request.prompt_tokens)
        on_time = waiting.urgency == Urgency.ON_TIME
        left_s = waiting.deadline - now if on_time else math.inf
        return Requirements(
            waiting.generation,
            waiting.urgency,
            typical=Generation(prompt, output, output),
            prefill_s=prefill_s,
            prefill_slack_s=left_s,
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
            workspace=request.workspace,
        )
        self._state.begin_prefill(lease, now)
        self._state.use_permits(grant)
        self._leases.add(lease)
        self._precedence.observe_granted(waiting, now)
        self._answers.append(grant)

    def _refuse(self, waiting: WaitingRequest, pool: PoolSnapshot, now: float) -> None:
        self._queue.remove(waiting)
        self._precedence.observe_refused(waiting, now)
        permit_wait_s = self._state.permit_wait_s
        reason = RefusalReason.NO_MEMORY
        if permit_wait_s is not None:
            reason = RefusalReason.LIMITED
        elif not self._state.can_decode:
            reason = RefusalReason.NO_REPLICA
        refusal = self._refusals.refuse(
            waiting, reason, pool, self.statistics, now, permit_wait_s
        )
        self._answers.append(refusal)


def _replicas_to_reserve(pool: PoolSnapshot, blocked: list[WaitingRequest]) -> set[str]:
    """Return the decode replicas expected to fit the blocked requests first."""
    reserved: set[str] = set()
    for waiting in blocked:
        first = first_to_fit(
            _without(pool, reserved), waiting.generation, waiting.request.avoid
        )
        if first is not None:
            reserved.add(first)
    return reserved


def _without(pool: PoolSnapshot, reserved: set[str]) -> PoolSnapshot:
    """Return a pool without the decode replicas that are reserved."""
    if not reserved:
        return pool
    decode = tuple(item for item in pool.decode if item.replica_id not in reserved)
    return replace(pool, decode=decode)
