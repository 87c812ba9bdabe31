"""Fair shares of workspaces, and who counts as served too rarely."""

import pytest
from hypothesis import given, strategies as st

from marjoramstile.pools.expected_retries import ExpectedRetries
from marjoramstile.pools.messages import Urgency
from marjoramstile.pools.served import HALF_LIFE_S, MAX_KEYS, ServedRatios
from marjoramstile.pools.shares import Standing, WorkspaceShares, fair_level
from marjoramstile.pools.waiting import RequestQueue, WaitingRequest
from tests.pools.support import request

DEMANDS = st.lists(
    st.tuples(st.floats(0.0, 1e6), st.floats(0.01, 1e4)), min_size=1, max_size=20
)


def shares_of(**weights: float) -> WorkspaceShares:
    """Return shares of workspaces with their weights; each has asked once."""
    shares = WorkspaceShares()
    for name, weight in weights.items():
        shares.observe_request(request("q", workspace=name, weight=weight))
        shares.observe_decided(name, 0.0)
        shares.observe_granted(name, 0.0)
    return shares


@given(DEMANDS, st.floats(0.0, 1e6))
def test_fair_shares_use_the_capacity_and_no_more(demands, capacity):
    """A level too high gives shares that nobody can have; too low starves the rest."""
    level = fair_level(demands, capacity)
    total = sum(demand for demand, _ in demands)
    if level is None:
        assert total <= capacity * (1 + 1e-6) + 1e-6
    else:
        given_out = sum(min(demand, weight * level) for demand, weight in demands)
        assert given_out == pytest.approx(capacity, rel=1e-6, abs=1e-6)


def test_a_workspace_that_holds_more_than_its_weighted_share_is_over_it():
    shares = shares_of(small=1.0, large=3.0)
    shares.update({"small": 40, "large": 60}, {"small": 100, "large": 100})
    assert shares.share_tokens("small") == pytest.approx(25)
    assert shares.standing("small") == Standing.OVER_SHARE
    assert shares.standing("large") == Standing.WITHIN_SHARE


def test_what_a_workspace_does_not_demand_is_shared_by_the_others():
    shares = shares_of(idle=1.0, first=1.0, second=1.0)
    held = {"idle": 10, "first": 45, "second": 45}
    shares.update(held, {"first": 100, "second": 100})
    assert shares.share_tokens("first") == pytest.approx(45)
    assert {shares.standing(name) for name in held} == {Standing.WITHIN_SHARE}


def test_no_share_binds_while_nothing_is_queued():
    shares = shares_of(flood=1.0, other=1.0)
    shares.update({"flood": 990, "other": 10}, {})
    assert shares.share_tokens("flood") is None
    assert shares.standing("flood") == Standing.WITHIN_SHARE


def test_a_workspace_that_gets_memory_while_others_wait_comes_to_be_over_its_share():
    """Without this one queue run would grant a whole burst of one workspace."""
    shares = shares_of(a=1.0, b=1.0)
    held = {"a": 50, "b": 50}
    shares.update(held, {"a": 200, "b": 200})
    assert shares.standing("a") == Standing.WITHIN_SHARE
    held["a"] = 60
    assert shares.standing("a") == Standing.OVER_SHARE


def test_requests_without_a_workspace_share_as_one_of_average_weight():
    """Weights are rates of quotas: a weight of 1 would be next to nothing."""
    shares = shares_of(a=4000.0, b=2000.0)
    shares.update({"": 300, "a": 300, "b": 300}, {"": 900, "a": 900, "b": 900})
    assert shares.share_tokens("") == pytest.approx(300)
    assert shares.share_tokens("a") == pytest.approx(400)


@pytest.mark.parametrize("weight", [0.0, -1.0, float("inf"), float("nan")])
def test_a_weight_that_makes_no_sense_counts_as_one(weight):
    shares = shares_of(odd=weight, other=1.0)
    shares.update({"odd": 50, "other": 50}, {"odd": 50, "other": 50})
    assert shares.share_tokens("odd") == pytest.approx(50)


def test_a_workspace_served_a_quarter_as_often_as_all_goes_first():
    """Also the one that is over its share, or that others' priority keeps waiting."""
    shares = shares_of(flood=1.0, other=1.0)
    for _ in range(10):
        shares.observe_decided("flood", 0.0)
        shares.observe_decided("other", 0.0)
        shares.observe_granted("other", 0.0)
    shares.update({"flood": 60, "other": 40}, {"flood": 60, "other": 90})
    assert shares.standing("flood") == Standing.STARVED
    for _ in range(5):
        shares.observe_granted("flood", 0.0)
    assert shares.standing("flood") == Standing.OVER_SHARE


def test_old_requests_do_not_make_anybody_count_as_starved():
    served = ServedRatios()
    for _ in range(4):
        served.observe_asked("a", 0.0)
        served.observe_asked("b", 0.0)
        served.observe_granted("b", 0.0)
    assert served.is_starved("a")
    served.observe_asked("a", 10 * HALF_LIFE_S)
    assert not served.is_starved("a")


def test_the_memory_of_the_served_ratios_is_bounded():
    served = ServedRatios()
    for number in range(MAX_KEYS + 10):
        served.observe_asked(number, 0.0)
    assert len(served._by_key) == MAX_KEYS


def queue_of(*names: str, **changes) -> RequestQueue:
    """Return a queue of on-time requests by workspace, in order of arrival."""
    queue = RequestQueue()
    for number, name in enumerate(names):
        asked = request(f"{name}{number}", workspace=name, **changes)
        rank = queue.rank(asked, Urgency.ON_TIME, number * 0.1)
        queue.add(
            WaitingRequest(rank, asked, Urgency.ON_TIME, 800, 0.0, 9.0, polled_at=None)
        )
    return queue


def test_the_order_of_queued_requests_follows_the_shares():
    queue = queue_of("a", "b", "a", "b")
    over = {"a": Standing.OVER_SHARE, "b": Standing.WITHIN_SHARE}
    assert queue.rerank(over.get) == {"a"}
    assert [item.request.id for item in queue] == ["b1", "b3", "a0", "a2"]
    assert queue.rerank(over.get) == set()
    queue.rerank(lambda name: Standing.WITHIN_SHARE)
    assert [item.request.id for item in queue] == ["a0", "b1", "a2", "b3"]


def test_requests_are_ranked_by_workspace_priority_then_route_priority():
    queue = RequestQueue()
    classes = {"p": (None, 1), "q": (0, 2), "r": (0, 1), "s": (None, 0), "t": (2, 0)}
    for name, (workspace_priority, priority) in classes.items():
        asked = request(name, priority=priority, workspace_priority=workspace_priority)
        rank = queue.rank(asked, Urgency.ON_TIME, 0.0)
        queue.add(
            WaitingRequest(rank, asked, Urgency.ON_TIME, 800, 0.0, 9.0, polled_at=None)
        )
    assert [item.request.id for item in queue] == ["s", "r", "q", "p", "t"]


def test_a_retry_before_its_time_is_told_from_one_at_its_time():
    retries = ExpectedRetries()
    retries.expect("c", 10.0)
    assert retries.is_early("c", 9.0)
    assert not retries.is_early("c", 9.95)
    assert not retries.is_early("c", 12.0)
    assert not retries.is_early("other", 9.0)
