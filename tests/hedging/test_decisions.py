"""The decision to hedge, the learned tail and the share, without any clock."""

import random
from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from marjoramstile.hedging.decision import (
    Candidate,
    HedgeRefusal,
    Situation,
    free_replicas,
    may_ever_hedge,
    refusal,
    tail_quantile,
)
from marjoramstile.hedging.latencies import BIN_GROWTH, LatencyTail
from marjoramstile.hedging.share import SAVED_MAX, HedgeShare

IDLE = Candidate("p1", 6, 0, 0.03, is_suspect=False)
GOOD = Situation(
    may_crash=False,
    is_held_back=False,
    links_lost=False,
    left_s=0.5,
    usual_s=0.03,
    delay_s=0.1,
    candidates=(IDLE,),
)


def test_a_slow_request_is_not_hedged_although_a_replica_is_idle():
    assert refusal(GOOD) is None
    assert free_replicas(GOOD) == ["p1"]


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"may_crash": True}, HedgeRefusal.MAY_CRASH),
        ({"is_held_back": True}, HedgeRefusal.HELD_BACK),
        ({"links_lost": True}, HedgeRefusal.LINKS),
        ({"left_s": 0.02}, HedgeRefusal.NO_TIME),
        ({"candidates": ()}, HedgeRefusal.NO_ROOM),
        ({"candidates": (replace(IDLE, outstanding=6),)}, HedgeRefusal.NO_ROOM),
        ({"candidates": (replace(IDLE, latency_s=0.1),)}, HedgeRefusal.NO_ROOM),
        ({"candidates": (replace(IDLE, is_suspect=True),)}, HedgeRefusal.NO_ROOM),
    ],
)
def test_a_request_is_hedged_that_must_not_be(change, reason):
    assert refusal(replace(GOOD, **change)) == reason


def test_a_replica_that_was_not_used_yet_is_taken_for_busy():
    unused = replace(IDLE, latency_s=None)
    assert free_replicas(replace(GOOD, candidates=(unused,))) == ["p1"]


def test_where_all_answers_take_alike_none_is_hedged():
    """The tail is then near the median, and half of the replicas above it."""
    usual = replace(IDLE, latency_s=0.031)
    assert refusal(replace(GOOD, delay_s=0.03, candidates=(usual,))) is None


def test_a_busy_replica_gets_a_hedge_while_another_one_is_idle():
    busy = replace(IDLE, replica_id="p2", outstanding=6)
    assert free_replicas(replace(GOOD, candidates=(busy, IDLE))) == ["p1"]


@pytest.mark.parametrize(
    ("idempotent", "is_carried", "runs", "max_attempts", "allowed"),
    [
        (True, False, 0, 2, True),
        (True, False, 1, 3, True),
        (True, False, 0, 1, False),
        (True, False, 1, 2, False),
        (False, False, 0, 9, False),
        (True, True, 0, 9, False),
    ],
)
def test_a_request_may_run_more_often_than_its_route_allows(
    idempotent, is_carried, runs, max_attempts, allowed
):
    assert may_ever_hedge(idempotent, is_carried, runs, max_attempts) == allowed


@pytest.mark.parametrize(
    ("max_share", "quantile"), [(0.01, 0.99), (0.05, 0.95), (0.5, 0.9), (1.0, 0.9)]
)
def test_early_hedges_leave_none_for_the_slowest_requests(max_share, quantile):
    assert tail_quantile(max_share) == pytest.approx(quantile)


@given(
    latencies=st.lists(st.floats(0.001, 50.0), min_size=60, max_size=200),
    share=st.sampled_from([0.5, 0.9, 0.95]),
)
def test_a_learned_quantile_is_off_by_more_than_a_bin(latencies, share):
    tail = LatencyTail()
    for latency_s in latencies:
        tail.record(latency_s)
    learned_s = tail.quantile(share)
    if learned_s is None:
        return
    # Newer answers weigh up to 2 ** (200 / 256) times as much as the oldest.
    ordered = sorted(latencies)
    tail_weight = 1.8 * (1 - share)
    lowest = ordered[max(0, int((1 - tail_weight) * len(ordered)) - 2)]
    assert lowest / BIN_GROWTH <= learned_s <= ordered[-1] * BIN_GROWTH * 1.001


def test_a_tail_is_known_after_a_few_answers():
    """A hedge after the slowest of three answers would be sent too early."""
    tail = LatencyTail()
    for _ in range(30):
        tail.record(0.03)
    assert tail.quantile(0.95) is None
    for _ in range(20):
        tail.record(0.03)
    assert tail.quantile(0.95) == pytest.approx(0.03, rel=0.1)


def test_a_service_that_becomes_slower_is_hedged_by_its_old_latencies():
    """Each of its requests would be sent twice, when it has the least room."""
    tail = LatencyTail()
    for _ in range(100_000):
        tail.record(0.03)
    for _ in range(100):
        tail.record(0.3)
    assert tail.quantile(0.95) >= 0.3
    for _ in range(3000):
        tail.record(0.03)
    assert tail.quantile(0.95) < 0.04


@given(st.lists(st.booleans(), max_size=400), st.sampled_from([0.01, 0.05, 0.3, 1.0]))
def test_the_extra_work_exceeds_its_share(wanted, max_share):
    share = HedgeShare(max_share)
    sent = 0
    for number, is_slow in enumerate(wanted, start=1):
        share.record_request()
        if is_slow and share.allows_one:
            share.consume()
            sent += 1
        assert sent <= max_share * number + 1e-6


def test_hedges_that_never_win_use_the_whole_share():
    """Where all replicas have queues, hedges only make them longer."""
    share = HedgeShare(0.1)
    sent = 0
    for _ in range(5000):
        share.record_request()
        if share.allows_one:
            share.consume()
            share.record_ended(won=False)
            sent += 1
    assert 0.01 * 5000 <= sent < 0.02 * 5000
    for _ in range(20):
        share.record_ended(won=True)
    assert share.used_part == 1.0


def test_a_quiet_time_saves_up_hedges_without_end():
    share = HedgeShare(0.5)
    for _ in range(1000):
        share.record_request()
    sent = 0
    while share.allows_one:
        share.consume()
        sent += 1
    assert sent == SAVED_MAX


def test_the_learned_tail_takes_longer_the_more_it_has_seen():
    """The weights grow without end; they are scaled down before they overflow."""
    tail = LatencyTail()
    rng = random.Random(1)
    for _ in range(60_000):
        tail.record(rng.expovariate(20.0))
    assert 0 < tail.answers < 500
    assert tail.quantile(0.9) == pytest.approx(0.115, rel=0.4)
