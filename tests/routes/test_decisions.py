"""Decisions without I/O: stage split, retry budget, choice of replicas."""

import random

import pytest
from hypothesis import given, strategies as st

from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.budget import BudgetLimits, WindowedRetryBudget
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.stages import wanted_prefill_count

# Prompts of 3,200 tokens, answers of 800 in 3.5 seconds.
PROFILE = GenerationProfile(3200.0, 800.0, 3.5 / 800.0, 33_000.0)


def plain(name: str, **changes) -> Replica:
    """Return a plain replica."""
    fields = {"state": ReplicaState.READY, "started_at_ms": 1, **changes}
    return Replica(name, "ledger", "h", 1, "a", 6, **fields)


@pytest.mark.parametrize(
    ("prefill", "decode", "wanted"),
    [
        (4, 5, 2),
        (3, 6, 2),
        (2, 7, 2),
        (1, 8, 2),
        (2, 3, 2),
        (2, 2, 1),
        # Pools that have shrunk: two replicas serve most if both decode.
        (0, 2, 0),
        (2, 0, 0),
        (1, 0, 0),
        (0, 1, 0),
        (0, 0, 0),
    ],
)
def test_the_split_with_the_highest_throughput_is_chosen(prefill, decode, wanted):
    kv_tokens = 33_466 if prefill + decode == 9 else 42_071
    assert wanted_prefill_count(PROFILE, prefill, decode, kv_tokens) == wanted


@given(prefill=st.integers(0, 12), decode=st.integers(0, 12))
def test_a_pool_always_keeps_a_decode_replica(prefill, decode):
    wanted = wanted_prefill_count(PROFILE, prefill, decode, 33_466)
    assert 0 <= wanted < max(1, prefill + decode)


def test_all_daemons_together_stay_within_the_budget():
    limits = BudgetLimits(ratio=0.2, window_s=10.0, slack=54.0)
    daemons = [WindowedRetryBudget(limits, lambda: 7, started=-10.0) for _ in range(7)]
    for daemon in daemons:
        for number in range(20):
            daemon.record_request("s", number / 20)
    spent = sum(daemon.try_consume("s", 1.0) for daemon in daemons for _ in range(100))
    assert 0 < spent <= 0.2 * 140 + 54


def test_retries_are_allowed_again_once_the_window_has_passed():
    budget = WindowedRetryBudget(BudgetLimits(0.0, 10.0, 2.0), lambda: 1, started=-10.0)
    assert [budget.try_consume("s", 0.0) for _ in range(3)] == [True, False, False]
    assert budget.try_consume("s", 10.1)


def test_daemons_that_start_together_do_not_each_use_the_whole_slack():
    """After a power loss no daemon knows the others or the retries made before."""
    limits = BudgetLimits(ratio=0.2, window_s=10.0, slack=164.0)
    known = [None, 62]
    daemons = [
        WindowedRetryBudget(limits, lambda: known[0], started=0.0) for _ in range(62)
    ]
    spent = sum(daemon.try_consume("s", 0.5) for daemon in daemons for _ in range(20))
    assert spent == 0
    known.reverse()
    spent = sum(daemon.try_consume("s", 2.0) for daemon in daemons for _ in range(20))
    assert spent <= 164 / 2


def test_a_failing_replica_is_avoided_until_the_failure_has_decayed():
    balancer = Balancer("a", random.Random(1))
    good, bad = plain("good"), plain("bad")
    balancer.stats(bad).record_failure(0.0)
    assert {balancer.choose([good, bad], 0.0) for _ in range(10)} == {good}
    assert balancer.choose([good, bad], 60.0) in (good, bad)


def test_rows_that_expire_during_a_store_outage_are_kept_for_a_grace_period():
    directory = ReplicaDirectory()
    directory.put(plain("r"))
    directory.remove("r", keep_until=5.0, now=3.0)
    directory.expire(4.9)
    assert directory.usable("ledger")
    directory.expire(5.0)
    assert not directory.usable("ledger")


def test_a_replica_whose_row_returns_in_time_is_kept():
    directory = ReplicaDirectory()
    directory.put(plain("r"))
    directory.remove("r", keep_until=5.0, now=3.0)
    directory.put(plain("r"))
    directory.expire(9.0)
    assert directory.usable("ledger")


def test_draining_replicas_get_no_requests_even_if_their_row_expires():
    directory = ReplicaDirectory()
    directory.put(plain("r", state=ReplicaState.DRAINING))
    assert not directory.usable("ledger")
    directory.remove("r", keep_until=5.0, now=3.0)
    assert directory.get("r") is None


def test_a_misdirected_replica_is_excluded_until_it_restarts():
    directory = ReplicaDirectory()
    directory.put(plain("r"))
    directory.record_misdirected(plain("r"))
    assert not directory.usable("ledger")
    directory.put(plain("r", started_at_ms=2))
    assert directory.usable("ledger")


def test_a_replica_changing_stage_gets_no_requests_until_it_is_done():
    directory = ReplicaDirectory()
    directory.put(plain("r", stage=Stage.DECODE))
    directory.record_move("r", Stage.PREFILL, until=9.0)
    assert not directory.usable("ledger", Stage.DECODE)
    assert directory.expected_stages("ledger") == [
        (plain("r", stage=Stage.DECODE), Stage.PREFILL)
    ]
    directory.put(plain("r", stage=Stage.PREFILL))
    assert directory.usable("ledger", Stage.PREFILL)
    directory.record_move("r", Stage.PREFILL, until=9.0)
    assert directory.usable("ledger", Stage.PREFILL)


def test_a_replica_that_went_to_another_stage_and_back_stays_excluded():
    """A 421 in its first stage kept it out for as long as its process ran."""
    directory = ReplicaDirectory()
    first = plain("r", stage=Stage.PREFILL)
    directory.put(first)
    directory.record_misdirected(first)
    directory.put(plain("r", stage=Stage.DECODE))
    directory.put(first)
    assert directory.usable("ledger", Stage.PREFILL)


def test_a_stage_change_expires_and_ends_with_its_incarnation():
    directory = ReplicaDirectory()
    before = plain("r", stage=Stage.DECODE)
    directory.put(before)
    directory.record_move("r", Stage.PREFILL, until=9.0)
    directory.expire(8.9)
    assert not directory.usable("ledger", Stage.DECODE)
    directory.expire(9.0)
    assert directory.usable("ledger", Stage.DECODE)
    directory.record_move("r", Stage.PREFILL, until=20.0)
    directory.put(plain("r", stage=Stage.DECODE, started_at_ms=2))
    assert directory.usable("ledger", Stage.DECODE)


def test_a_replica_that_changed_its_stage_is_used_in_the_new_one():
    """A replica that was ordered into another stage answers 421 for the old one."""
    directory = ReplicaDirectory()
    before = plain("r", stage=Stage.PREFILL)
    after = plain("r", stage=Stage.DECODE)
    directory.put(before)
    directory.record_misdirected(before)
    assert not directory.usable("ledger", Stage.PREFILL)
    directory.put(after)
    assert directory.usable("ledger", Stage.DECODE)
    directory.record_misdirected(before)
    assert directory.usable("ledger", Stage.DECODE)
