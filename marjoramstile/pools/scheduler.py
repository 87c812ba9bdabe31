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
from marjoramstile.pools.backoff import ReplicaPauses
from marjoramstile.pools.decisions import (
    PREFILL_AHEAD_S,
    ChosenPlace,
    PoolRoom,
    Run,
    Wanted,
    choose_place,
    first_to_have_room,
    mean_tokens,
)
from marjoramstile.pools.estimator import PoolKnowledge
from marjoramstile.pools.expected_retries import Returners
from marjoramstile.pools.leases import LOCAL_PREFILL_FACTOR, Lease, LeaseBook
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
from marjoramstile.pools.pool_state import Rooms
from marjoramstile.pools.refusals import Refusals
from marjoramstile.pools.statistics import PoolStatistics
from marjoramstile.pools.waiting import Waiting, WaitingList
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.requests import RefusalReason
from marjoramstile.routes.table import EngineTraits

# Time from a place to the first event, beside the prefill and what is before it.
TO_FIRST_EVENT_S = 0.08
# Prompts differ in how fast they are prefilled.
PREFILL_MARGIN = 1.1
# Least part of the target for which a request may wait, however large its prompt.
WAIT_SHARE_MIN = 0.25
# Wait for another place after one that was lost before it was used.
AGAIN_WAIT_S = 0.25
# Callers abandon a stream after two seconds of silence or more.
RESUME_WAIT_S = 1.5
# Wait of a request that is late anyway, and the part of its caller's patience.
LATE_WAIT_S = 0.5
LATE_PATIENCE_SHARE = 0.25
# Waiting requests that are looked at for one that can be placed.
LOOKED_AT_MAX = 6
# Waiting requests from which looks at the queue have a pause, and that pause.
CROWDED = 4
CROWDED_PAUSE_S = 0.02
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
        self._leases = LeaseBook()
        self._pauses = ReplicaPauses()
        self._knowledge = PoolKnowledge()
        self._rooms = Rooms(
            replicas, balancer, self._leases, self._pauses, self._knowledge
        )
        self._queue = WaitingList()
        self._returners = Returners()
        self._refusals = Refusals(self._queue, self._returners, rng)
        self._next_expiry = 0.0
        self._next_pump = 0.0
        self._answers: list[PlacementAnswer] = []

    @property
    def queued(self) -> int:
        """Requests that wait for a place."""
        return len(self._queue)

    @property
    def leases(self) -> LeaseBook:
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

    def pool_snapshot(self, now: float) -> PoolRoom:
        """Return a snapshot of the usable replicas."""
        return self._rooms.snapshot(now, self._queue.prompt_tokens)

    def ask(
        self, request: PlacementRequest, engine: EngineTraits, now: float, polls: bool
    ) -> None:
        """Take a request, or the same one again; it is answered at once.

        ``polls`` means that its daemon asks again while it waits, and has gone if not.
        """
        self._rooms.engine = engine
        if self._answer_again(request, now):
            return
        if not request.retried and not request.resumed:
            hint = request.output_tokens
            self._knowledge.note_request(request.prompt_tokens, hint, now)
        waiting = self._enqueue(request, now, polls)
        self._pump_unless_crowded(now)
        if waiting not in self._queue:
            return
        pool = self.pool_snapshot(now)
        if self._refusals.is_hopeless(waiting, pool, self.statistics, now):
            self._refuse(waiting, pool, now)
        else:
            self._answers.append(PlacementQueued(request.id))

    def _answer_again(self, request: PlacementRequest, now: float) -> bool:
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

    def _enqueue(self, request: PlacementRequest, now: float, polls: bool) -> Waiting:
        urgency = self._urgency(request, now)
        waiting = Waiting(
            self._queue.rank(request, urgency, now),
            request,
            urgency,
            self._knowledge.expected_output(request.output_tokens),
            asked_at=now,
            until=now + self._wait_limit_s(request, urgency),
            polled_at=now if polls else None,
        )
        self._queue.add(waiting)
        if urgency == Urgency.ON_TIME:
            self._refusals.note_arrival(now)
        return waiting

    def _urgency(self, request: PlacementRequest, now: float) -> Urgency:
        if request.resumed:
            return Urgency.RESUMED
        if self._returners.is_back(request.content, now):
            return Urgency.LATE
        return Urgency.ON_TIME

    def _wait_limit_s(self, request: PlacementRequest, urgency: Urgency) -> float:
        """Return for how long a request may wait for its place."""
        if urgency == Urgency.RESUMED:
            return min(RESUME_WAIT_S, request.time_left_s)
        if urgency == Urgency.LATE:
            return min(LATE_WAIT_S, LATE_PATIENCE_SHARE * request.time_left_s)
        prefill_s = self._knowledge.prefill_s(request.prompt_tokens)
        limit_s = request.target_s - PREFILL_MARGIN * prefill_s - TO_FIRST_EVENT_S
        limit_s = max(limit_s, WAIT_SHARE_MIN * request.target_s) - request.waited_s
        if request.retried:
            limit_s = max(limit_s, AGAIN_WAIT_S)
        return min(limit_s, request.time_left_s)

    def cancel(self, message: PlacementCancel, now: float) -> None:
        """Drop a waiting request, or a lease that was granted meanwhile."""
        self._queue.cancel(message.id)
        self._leases.remove(message.id)
        self._pump_unless_crowded(now)

    def renew(self, renewal: LeaseRenewal, now: float) -> None:
        """Take what a daemon says of its leases; unknown ones are taken over."""
        for use in renewal.leases:
            lease = self._leases.get(use.id)
            if lease is None:
                self._adopt(renewal, use, now)
                continue
            self._knowledge.note_use(lease, use, now)
            self._leases.renew(lease, use, now)
            if use.produced_tokens:
                self._pauses.note_running(lease.decode)

    def _adopt(self, renewal: LeaseRenewal, use: LeaseUsage, now: float) -> None:
        """Take over a lease that another scheduler has granted."""
        output = self._knowledge.expected_output(use.output_tokens)
        grant = PlacementGrant(
            use.id, renewal.service, renewal.shard, use.decode, None, Urgency.ON_TIME
        )
        lease = Lease(
            id=use.id,
            grant=grant,
            tokens=mean_tokens(use.prompt_tokens, output),
            prompt_tokens=use.prompt_tokens,
            output_tokens=output,
            granted_at=now - use.decode_s,
            produced_tokens=use.produced_tokens,
            decode_s=use.decode_s,
            renewed_at=now,
            confirmed=True,
        )
        self._leases.add(lease)
        self._knowledge.note_adopted(use, now)

    def end(self, message: LeaseEnd, now: float) -> None:
        """Free a lease."""
        lease = self._leases.remove(message.use.id)
        if lease is not None:
            self._knowledge.note_use(lease, message.use, now)
            self._rooms.drop_prefill(lease)
        self._take_outcome(message, now)
        self._pump_unless_crowded(now)

    def _take_outcome(self, message: LeaseEnd, now: float) -> None:
        """Learn from how a lease ended."""
        use = message.use
        if message.outcome == LeaseOutcome.FINISHED:
            self._returners.forget(message.content)
            self._knowledge.note_finished(use)
            self._pauses.note_running(use.decode)
        elif message.outcome == LeaseOutcome.NO_ROOM:
            self._pauses.note_full(use.decode, now)
        elif message.outcome == LeaseOutcome.UNREACHABLE:
            self._pauses.note_silent(use.decode, daemon_of(use.id), now)
            self._rooms.record_failure(use.decode, now)
        elif message.outcome == LeaseOutcome.FAILED:
            self._returners.expect(message.content, now)
            self._rooms.record_failure(use.decode, now)

    def _pump_unless_crowded(self, now: float) -> None:
        """Look at the queue, or leave a long one to the next look at its time.

        A look costs a few milliseconds where many wait for many replicas; one for each
        message would leave no time for answers.
        """
        if len(self._queue) < CROWDED or now >= self._next_pump:
            self.pump(now)

    def pump(self, now: float) -> None:
        """Grant what can be granted now and refuse what has waited for too long."""
        self._next_pump = now + CROWDED_PAUSE_S
        self._expire(now)
        if not self._queue:
            return
        self._queue.drop_silent(now)
        self._refuse_overdue(now)
        while self._queue:
            found = self._next_place(now)
            if found is None:
                break
            waiting, place = found
            self._queue.remove(waiting)
            self._grant(waiting, place, now)
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
        busy_s = self._rooms.prefill_busy_s(now)
        for waiting in self._queue.overdue(now + min(busy_s, PREFILL_AHEAD_S)):
            self._refuse(waiting, self.pool_snapshot(now), now)

    def _next_place(self, now: float) -> tuple[Waiting, ChosenPlace] | None:
        """Return the next request to place: the first, or one that doesn't delay it.

        Requests on time may pass a larger one before them at other replicas than the
        one that will have room for it first.
        """
        pool = self.pool_snapshot(now)
        blocked: list[Waiting] = []
        kept: set[str] = set()
        for waiting in self._queue.first(LOOKED_AT_MAX):
            is_first = not blocked and not kept
            if not is_first and waiting.urgency == Urgency.LATE:
                return None
            wanted = self._wanted(waiting, now)
            place = choose_place(pool, waiting.request, wanted)
            if place is not None and not is_first:
                kept |= _first_rooms(_without(pool, kept), blocked)
                blocked.clear()
                rest = _without(pool, kept)
                place = choose_place(rest, waiting.request, wanted)
            if place is not None:
                return waiting, place
            blocked.append(waiting)
        return None

    def _wanted(self, waiting: Waiting, now: float) -> Wanted:
        prompt, output = self.statistics.usual
        prefill_s = self._knowledge.prefill_s(waiting.request.prompt_tokens)
        more_s = (LOCAL_PREFILL_FACTOR - 1) * prefill_s
        on_time = waiting.urgency == Urgency.ON_TIME
        return Wanted(
            waiting.run,
            waiting.urgency,
            usual=Run(prompt, output, output),
            in_haste=on_time and now + more_s > waiting.until,
        )

    def _grant(self, waiting: Waiting, place: ChosenPlace, now: float) -> None:
        request = waiting.request
        grant = PlacementGrant(
            request.id,
            request.service,
            request.shard,
            place.decode,
            place.prefill,
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
        self._rooms.begin_prefill(lease, now)
        self._leases.add(lease)
        self._answers.append(grant)

    def _refuse(self, waiting: Waiting, pool: PoolRoom, now: float) -> None:
        self._queue.remove(waiting)
        reason = RefusalReason.NO_MEMORY
        if not self._rooms.can_decode:
            reason = RefusalReason.NO_REPLICA
        refusal = self._refusals.refuse(waiting, reason, pool, self.statistics, now)
        self._answers.append(refusal)


def _first_rooms(pool: PoolRoom, blocked: list[Waiting]) -> set[str]:
    """Return the replicas that will have room first for requests that wait."""
    kept: set[str] = set()
    for waiting in blocked:
        first = first_to_have_room(_without(pool, kept), waiting.run)
        if first is not None:
            kept.add(first)
    return kept


def _without(pool: PoolRoom, kept: set[str]) -> PoolRoom:
    """Return a pool without the decode replicas that are kept for others."""
    if not kept:
        return pool
    decode = tuple(room for room in pool.decode if room.replica_id not in kept)
    return replace(pool, decode=decode)
