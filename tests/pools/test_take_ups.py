"""Streams that are taken up at one software version while its replica is away."""

import pytest

from marjoramstile.pools.backoff import UNREACHABLE_BACKOFF_S
from marjoramstile.pools.messages import (
    LeaseOutcome,
    PlacementGrant,
    PlacementQueued,
    PlacementRefusal,
    Urgency,
)
from marjoramstile.pools.scheduler import LONG_QUEUE_PERIOD_S
from marjoramstile.routes.replica_types import Stage
from tests.pools.support import Pool, request

TAKE_UPS = 8
# Callers abandon a stream after four of their targets without an event.
PATIENCE_S = 4 * 0.9


def lose_replica(pool: Pool) -> None:
    """Let two daemons find the first decode replica unreachable."""
    other = pool.replicas[Stage.DECODE].pop()
    for daemon in ("x", "y"):
        asked = request(f"{daemon}-1")
        grant = pool.ask(asked)
        pool.end(asked, grant, LeaseOutcome.UNREACHABLE, produced=0)
        pool.now += UNREACHABLE_BACKOFF_S / 2
    pool.replicas[Stage.DECODE].append(other)


def take_up(number: int):
    """Return a taken-up stream that only the first decode replica may run."""
    return request(f"t-{number}", resumed=True, avoid=("d1",))


@pytest.fixture
def pool():
    """A pool whose first decode replica can't be reached for a while."""
    pool = Pool(prefill=4, decode=2)
    lose_replica(pool)
    return pool


def test_take_ups_are_not_refused_at_once_while_their_replica_may_come_back(pool):
    answers = [pool.ask(take_up(number)) for number in range(TAKE_UPS)]
    assert all(isinstance(answer, PlacementQueued) for answer in answers)


def test_take_ups_are_placed_when_their_replica_is_back(pool):
    numbers = range(TAKE_UPS // 2)
    for number in numbers:
        pool.ask(take_up(number))
    pool.wait(2 * UNREACHABLE_BACKOFF_S)
    answers = [pool.answer_to(f"t-{number}") for number in numbers]
    assert all(isinstance(answer, PlacementGrant) for answer in answers)
    assert {answer.decode for answer in answers} == {"d0"}


def test_a_take_up_waits_while_its_caller_does(pool):
    pool.replicas[Stage.DECODE] = pool.replicas[Stage.DECODE][1:]
    assert isinstance(pool.ask(take_up(0)), PlacementQueued)
    pool.wait(0.7 * PATIENCE_S)
    assert isinstance(pool.answer_to("t-0"), PlacementQueued)
    pool.wait(0.3 * PATIENCE_S)
    assert isinstance(pool.answer_to("t-0"), PlacementRefusal)


def test_waiting_take_ups_keep_no_new_request_from_an_idle_replica(pool):
    for number in range(TAKE_UPS):
        pool.ask(take_up(number))
    assert isinstance(pool.ask(request("fresh")), PlacementQueued)
    pool.wait(LONG_QUEUE_PERIOD_S, step_s=LONG_QUEUE_PERIOD_S)
    answer = pool.answer_to("fresh")
    assert isinstance(answer, PlacementGrant)
    assert answer.decode == "d1"
    assert answer.urgency == Urgency.ON_TIME


def test_waiting_take_ups_don_t_count_as_ahead_of_requests_for_other_replicas(pool):
    del pool.replicas[Stage.PREFILL][1:]
    for number in range(2 * TAKE_UPS):
        pool.ask(take_up(number))
    names = ("first", "second", "third")
    answers = [pool.ask(request(name)) for name in names]
    assert not any(isinstance(answer, PlacementRefusal) for answer in answers)
    pool.wait(0.4)
    answers = [pool.answer_to(name) for name in names]
    assert [answer.decode for answer in answers] == ["d1"] * len(names)


def test_a_take_up_is_refused_at_once_where_no_replica_decodes(pool):
    pool.replicas[Stage.DECODE].clear()
    assert isinstance(pool.ask(take_up(0)), PlacementRefusal)
