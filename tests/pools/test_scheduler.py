"""The scheduler of a pool: which requests are placed, queued and refused, and when."""

import pytest

from marjoramstile.pools.backoff import (
    NO_ROOM_BACKOFF_S,
    UNREACHABLE_BACKOFF_MAX_S,
    UNREACHABLE_BACKOFF_S,
    ReplicaBackoff,
)
from marjoramstile.pools.leases import CONFIRMED_TTL_S, UNCONFIRMED_TTL_S
from marjoramstile.pools.messages import (
    LeaseOutcome,
    LeaseRenewal,
    PlacementCancel,
    PlacementGrant,
    PlacementQueued,
    PlacementRefusal,
    Urgency,
)
from marjoramstile.pools.pool_state import PoolState
from marjoramstile.pools.refusals import RETRY_MAX_S, RETRY_MIN_S
from marjoramstile.pools.scheduler import LONG_QUEUE_PERIOD_S
from marjoramstile.pools.waiting import POLL_TIMEOUT_S
from marjoramstile.routes.replica_types import Stage
from marjoramstile.routes.requests import RefusalReason
from tests.pools.support import SERVICE, Pool, request


def fill_pool(pool: Pool, limit: int = 200) -> list:
    """Request leases until one is not granted at once; return requests and grants."""
    granted = []
    for number in range(limit):
        asked = request(f"f{number}")
        answer = pool.ask(asked)
        if not isinstance(answer, PlacementGrant):
            pool.scheduler.cancel(PlacementCancel(asked.id, SERVICE, 0), pool.now)
            return granted
        granted.append((asked, answer))
        renewal = LeaseRenewal(SERVICE, 0, (pool.usage(asked, answer),))
        pool.scheduler.renew(renewal, pool.now)
        pool.now += 0.02
    raise AssertionError("the pool never becomes full")


def ask_until_refused(pool: Pool, content: str | None = None) -> PlacementRefusal:
    """Fill the queue until a request is refused at once; return the refusal."""
    for number in range(20):
        name = f"o{number}"
        answer = pool.ask(request(name, content=content or f"c-{name}"))
        if isinstance(answer, PlacementRefusal):
            return answer
    raise AssertionError("no request is refused")


def test_generations_are_spread_over_the_emptiest_replicas():
    pool = Pool(prefill=2, decode=3)
    grants = [pool.ask(request(f"q{n}")) for n in range(3)]
    assert {grant.decode for grant in grants} == {"d0", "d1", "d2"}
    assert {grant.prefill for grant in grants} == {"e0", "e1"}


def advance_to_near_completion(pool: Pool, granted: list) -> None:
    """Advance the clock; each generation has then produced 780 of its 800 tokens."""
    pool.now += 3.0
    for asked, grant in granted:
        renewal = LeaseRenewal(SERVICE, 0, (pool.usage(asked, grant, 780),))
        pool.scheduler.renew(renewal, pool.now)


def test_memory_is_leased_until_the_end_of_each_generation():
    """A replica of 33,000 tokens fits at most eight generations of 4,000."""
    pool = Pool(prefill=8, decode=1)
    granted = fill_pool(pool)
    assert 5 <= len(granted) <= 8


def test_a_queued_request_is_placed_when_memory_is_freed():
    pool = Pool(prefill=8, decode=1)
    granted = fill_pool(pool)
    advance_to_near_completion(pool, granted)
    assert isinstance(pool.ask(request("next")), PlacementQueued)
    pool.end(*granted[0])
    assert isinstance(pool.answer_to("next"), PlacementGrant)


def test_a_request_with_too_long_an_expected_wait_is_refused_at_once():
    pool = Pool(prefill=8, decode=1)
    fill_pool(pool)
    refusal = ask_until_refused(pool)
    assert refusal.reason == RefusalReason.NO_MEMORY
    assert RETRY_MIN_S <= refusal.retry_after_s <= RETRY_MAX_S
    assert pool.scheduler.queued <= 2


def test_a_retry_after_a_refusal_is_late_and_leaves_headroom():
    pool = Pool(prefill=8, decode=4)
    granted = fill_pool(pool)
    refused = ask_until_refused(pool)
    same = f"c-{refused.id}"
    pool.wait(1.0)
    pool.end(*granted[0])
    retried = pool.ask(request("second", content=same))
    assert not isinstance(retried, PlacementGrant)
    assert isinstance(pool.ask(request("fresh")), PlacementGrant)
    for item in granted[1:]:
        pool.end(*item)
    pool.wait(0.1)
    late = pool.ask(request("third", content=same))
    assert late.urgency == Urgency.LATE


def test_new_requests_are_not_classified_as_late():
    pool = Pool(prefill=4, decode=4)
    for number in range(8):
        grant = pool.ask(request(f"q{number}", time_left_s=11.0 + 0.37 * number))
        assert grant.urgency == Urgency.ON_TIME


def test_resumed_streams_are_placed_before_all_others():
    pool = Pool(prefill=8, decode=1)
    granted = fill_pool(pool)
    advance_to_near_completion(pool, granted)
    assert isinstance(pool.ask(request("fresh")), PlacementQueued)
    assert isinstance(pool.ask(request("resumed", resumed=True)), PlacementQueued)
    pool.end(*granted[0])
    assert isinstance(pool.answer_to("resumed"), PlacementGrant)


def test_small_requests_overtake_a_large_one_only_without_delaying_it():
    pool = Pool(prefill=8, decode=4)
    granted = fill_pool(pool)
    for decode in ("d0", "d1", "d2", "d3"):
        pool.end(*next(item for item in granted if item[1].decode == decode))
    large = request("large", prompt_tokens=20_000, tokens=20_500, target_s=30.0)
    assert isinstance(pool.ask(large), PlacementQueued)
    answers = [pool.ask(request(f"s{n}", target_s=30.0)) for n in range(6)]
    named = {answer.decode for answer in answers if isinstance(answer, PlacementGrant)}
    assert len(named) == 3
    (kept,) = {"d0", "d1", "d2", "d3"} - named
    for item in granted:
        if item[1].decode == kept:
            pool.end(*item)
    pool.wait(LONG_QUEUE_PERIOD_S, step_s=LONG_QUEUE_PERIOD_S)
    assert pool.answer_to("large").decode == kept


def test_a_repeated_request_gets_the_same_answer():
    pool = Pool(prefill=8)
    asked = request("q")
    first = pool.ask(asked)
    assert pool.ask(asked) == first
    assert len(pool.scheduler.leases) == 1
    fill_pool(pool)
    refused = ask_until_refused(pool)
    assert pool.ask(request(refused.id)) == refused


def test_a_queued_request_whose_daemon_stops_polling_is_dropped():
    pool = Pool(prefill=8, decode=1)
    granted = fill_pool(pool)
    advance_to_near_completion(pool, granted)
    assert isinstance(pool.ask(request("gone"), polls=True), PlacementQueued)
    pool.wait(POLL_TIMEOUT_S + 0.1)
    assert pool.scheduler.queued == 0


def test_a_cancelled_request_releases_its_lease():
    pool = Pool()
    asked = request("q")
    assert isinstance(pool.ask(asked), PlacementGrant)
    pool.scheduler.cancel(PlacementCancel("q", SERVICE, 0), pool.now)
    assert len(pool.scheduler.leases) == 0


def test_leases_that_are_not_renewed_expire():
    pool = Pool()
    kept, lost = request("kept"), request("lost")
    grant = pool.ask(kept)
    pool.ask(lost)
    pool.now += UNCONFIRMED_TTL_S - 0.1
    renewal = LeaseRenewal(SERVICE, 0, (pool.usage(kept, grant, 100),))
    pool.scheduler.renew(renewal, pool.now)
    pool.now += 0.2
    pool.scheduler.process_queue(pool.now)
    assert [lease.id for lease in pool.scheduler.leases] == ["kept"]
    pool.now += CONFIRMED_TTL_S + 0.1
    pool.scheduler.process_queue(pool.now)
    assert len(pool.scheduler.leases) == 0


def test_a_new_scheduler_adopts_leases_from_renewals():
    before, after = Pool(prefill=8, decode=1), Pool(prefill=8, decode=1)
    granted = fill_pool(before)
    uses = tuple(before.usage(asked, grant, 50) for asked, grant in granted)
    after.scheduler.renew(LeaseRenewal(SERVICE, 0, uses), after.now)
    assert len(after.scheduler.leases) == len(granted)
    assert not isinstance(after.ask(request("next")), PlacementGrant)


def test_a_replica_that_refused_a_reservation_is_in_backoff():
    pool = Pool(decode=2)
    asked = request("q")
    grant = pool.ask(asked)
    pool.end(asked, grant, LeaseOutcome.NO_ROOM, produced=0)
    retried = pool.ask(request("q2", retried=True))
    assert retried.decode != grant.decode


def test_the_backoff_of_an_unreachable_replica_grows_up_to_its_limit():
    backoff = ReplicaBackoff()
    backoff.record_no_answer("d0", "vm-1", 0.0)
    backoff.record_no_answer("d0", "vm-1", 0.2)
    assert not backoff.in_backoff("d0", 0.2 + 2 * NO_ROOM_BACKOFF_S)
    backoff.record_no_answer("d0", "vm-2", 1.0)
    backoff.record_no_answer("d0", "vm-1", 1.6)
    assert backoff.in_backoff("d0", 1.6 + 2 * UNREACHABLE_BACKOFF_S - 0.01)
    for number in range(9):
        backoff.record_no_answer("d0", "vm-3", 2.0 + number)
    assert not backoff.in_backoff("d0", 10.0 + UNREACHABLE_BACKOFF_MAX_S)
    backoff.record_progress("d0")
    backoff.record_no_answer("d0", "vm-1", 20.0)
    assert not backoff.in_backoff("d0", 20.0 + NO_ROOM_BACKOFF_S)


def test_failures_seen_by_one_daemon_only_make_no_replica_unreachable():
    pool = Pool(prefill=8, decode=2)
    for number in range(6):
        asked = request(f"cut-{number}", retried=True)
        grant = pool.ask(asked)
        pool.end(asked, grant, LeaseOutcome.UNREACHABLE, produced=0)
        pool.now += 0.6
    names = {pool.ask(request(f"vm-{number}")).decode for number in range(4)}
    assert names == {"d0", "d1"}


def test_a_failed_replica_is_chosen_last():
    pool = Pool(prefill=4, decode=2)
    asked = request("q")
    grant = pool.ask(asked)
    pool.end(asked, grant, LeaseOutcome.FAILED, produced=0)
    names = {pool.ask(request(f"n{number}")).decode for number in range(3)}
    assert grant.decode not in names


def test_prompts_wait_in_the_queue_and_not_at_the_prefill_replica():
    pool = Pool(prefill=1, decode=6)
    answers = [pool.ask(request(f"q{number}")) for number in range(4)]
    granted = [item for item in answers if isinstance(item, PlacementGrant)]
    assert len(granted) == 2
    pool.wait(0.3)
    assert isinstance(pool.answer_to("q2"), PlacementGrant)
    assert isinstance(pool.answer_to("q3"), PlacementGrant)


def test_a_decode_replica_prefills_if_there_is_no_prefill_replica():
    pool = Pool(prefill=0)
    assert pool.ask(request("q")).prefill is None


def test_without_any_replica_requests_are_refused_at_once():
    pool = Pool(decode=0)
    refusal = pool.ask(request("q"))
    assert refusal.reason == RefusalReason.NO_REPLICA


def test_a_replica_that_has_left_is_not_chosen():
    pool = Pool(prefill=4, decode=2)
    pool.replicas[Stage.DECODE] = pool.replicas[Stage.DECODE][1:]
    assert {pool.ask(request(f"q{n}")).decode for n in range(3)} == {"d1"}


@pytest.mark.parametrize("decode", [1, 4])
def test_a_burst_of_twice_the_memory_is_served_near_the_bound(decode):
    """Requests for twice the memory arrive for four seconds; outputs take 3.4 s.

    None of them may be late, and at least 70% of what the memory can serve is served.
    """
    pool = Pool(prefill=2 * decode, decode=decode)
    rate = 2 * decode * 8 / 3.4
    running: list = []
    served = late = number = 0
    end_at = pool.now + 4.0
    next_at = pool.now
    while pool.now < end_at:
        pool.now += 0.01
        for item in [item for item in running if item[0] <= pool.now]:
            running.remove(item)
            pool.end(item[1], item[2])
        if pool.now >= next_at:
            next_at += 1 / rate
            number += 1
            pool.ask(request(f"b{number}", waited_s=0.0))
        pool.scheduler.process_queue(pool.now)
        pool.collect()
        for answer in pool.answers:
            if isinstance(answer, PlacementGrant):
                served += 1
                late += answer.urgency == Urgency.LATE
                running.append((pool.now + 3.4, request(answer.id), answer))
        pool.answers.clear()
    assert late == 0
    assert served >= 0.7 * decode * 8 * (4.0 + 0.5) / 3.4


def test_a_long_queue_is_not_processed_for_each_message(monkeypatch):
    """A hundred messages arrive within 50 ms while eight decode replicas are full.

    A snapshot for each of them would leave the scheduler no time to answer.
    """
    snapshots = []
    snapshot = PoolState.snapshot

    def count_snapshot(pool_state, now, queued):
        snapshots.append(now)
        return snapshot(pool_state, now, queued)

    pool = Pool(prefill=8, decode=8)
    fill_pool(pool)
    waiting = [request(f"w{number}", target_s=30.0) for number in range(12)]
    for asked in waiting:
        pool.ask(asked)
    assert pool.scheduler.queued >= 8
    monkeypatch.setattr(PoolState, "snapshot", count_snapshot)
    for number in range(100):
        pool.now += 0.0005
        message = PlacementCancel(f"gone-{number}", SERVICE, 0)
        pool.scheduler.cancel(message, pool.now)
    assert len(snapshots) <= 4


def test_a_kept_snapshot_shows_a_new_lease_and_an_ended_one_at_once():
    """A snapshot that is used again must not hide what changed at its replica."""
    pool = Pool(decode=1)
    before = pool.scheduler.pool_snapshot(pool.now)
    grant = pool.ask(request("a"))
    held = pool.scheduler.pool_snapshot(pool.now)
    pool.end(request("a"), grant)
    after = pool.scheduler.pool_snapshot(pool.now)
    counts = [len(item.decode[0].generations) for item in (held, after)]
    assert counts == [1, 0]
    assert not before.decode


def test_a_kept_snapshot_is_renewed_as_its_generations_grow():
    pool = Pool(decode=1)
    pool.ask(request("a"))
    first = pool.scheduler.pool_snapshot(pool.now).decode[0]
    assert pool.scheduler.pool_snapshot(pool.now + 0.01).decode[0] is first
    later = pool.scheduler.pool_snapshot(pool.now + 1.0).decode[0]
    assert later.generations[0].tokens > first.generations[0].tokens
