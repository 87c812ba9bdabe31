"""Learned speeds of replicas: what counts as slow, and what decisions make of it."""

import random
from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from marjoramstile.peers.pool_datagrams import decode_message, encode_message
from marjoramstile.pools.decisions import (
    Generation,
    PoolSnapshot,
    PrefillSnapshot,
    Requirements,
    choose_placement,
)
from marjoramstile.pools.forecasts import PoolForecast
from marjoramstile.pools.messages import SpeedUpdate, Urgency
from marjoramstile.pools.speeds import (
    FACTOR_MAX,
    FACTOR_MIN,
    HALF_LIFE_S,
    ReplicaSpeed,
    ReplicaSpeeds,
    next_batch,
)
from marjoramstile.pools.statistics import PoolStatistics
from marjoramstile.routes.replica_types import Stage
from tests.pools.support import PoolLoad, replica, request
from tests.pools.test_decisions import TYPICAL, decode_replica
from tests.support import captured_logs

MESSAGE_MAX_BYTES = 1_200


USUAL = dict.fromkeys([f"e{number}" for number in range(16)], 1.0)


def learned(
    ratios: dict[str, float],
    rounds: int = 30,
    stage: Stage = Stage.PREFILL,
) -> ReplicaSpeeds:
    """Return the speeds after each replica was observed ``rounds`` times in 3 s."""
    speeds = ReplicaSpeeds()
    for number in range(rounds):
        for name, ratio in ratios.items():
            speeds.observe(name, 1, stage, ratio, 3 * number / rounds)
    return speeds


def factor(speeds: ReplicaSpeeds, name: str, now: float = 3.0) -> float:
    """Return a replica's factor in prefilling."""
    return speeds.factor(replica(name, Stage.PREFILL), Stage.PREFILL, now)


def test_speeds_are_learned_relative_to_the_mean_of_the_pool():
    speeds = learned({"slow": 1 / 0.55, "fast": 1 / 1.2})
    mean = 2 / (1 / 0.55 + 1 / 1.2)
    assert factor(speeds, "slow") == pytest.approx(0.55 / mean, rel=0.07)
    assert factor(speeds, "fast") == pytest.approx(1.2 / mean, rel=0.12)
    assert factor(speeds, "unknown") == 1.0


def test_a_pool_that_slows_down_as_a_whole_has_no_slow_replicas():
    """The pool's statistics follow a change of the load only after a while."""
    speeds = learned({f"e{number}": 1.6 for number in range(8)})
    assert {factor(speeds, f"e{number}") for number in range(8)} == {1.0}


def test_no_decision_is_made_from_two_observations():
    speeds = learned({f"e{number}": 1.0 for number in range(8)})
    for _ in range(2):
        speeds.observe("new", 1, Stage.PREFILL, 9.0, 3.0)
        assert factor(speeds, "new") == 1.0


@pytest.mark.parametrize("seed", range(20))
def test_noise_is_not_a_slow_replica(seed):
    """15% of the prompts take 2.5 times as long, on any replica."""
    rng = random.Random(seed)
    speeds = ReplicaSpeeds()
    names = [f"e{number}" for number in range(8)]
    found = []
    for number in range(800):
        ratio = 2.5 if rng.random() < 0.15 else 1.0
        speeds.observe(rng.choice(names), 1, Stage.PREFILL, ratio, number / 25)
        found += [factor(speeds, name, number / 25) for name in names]
    assert min(found) > 0.7
    assert sum(item < 0.87 for item in found) < 0.1 * len(found)


def test_a_slow_replica_is_found_within_eight_prompts():
    speeds = learned({f"e{number}": 1.0 for number in range(8)})
    for number in range(8):
        speeds.observe("slow", 1, Stage.PREFILL, 1 / 0.55, 3.0 + number / 3)
    assert factor(speeds, "slow", 6.0) < 0.75


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]), st.floats(0.0, 1e9), st.floats(0.01, 1.0)
        ),
        max_size=60,
    )
)
def test_factors_are_bounded_whatever_is_observed(observations):
    speeds = ReplicaSpeeds()
    for number, (name, ratio, weight) in enumerate(observations):
        speeds.observe(name, 1, Stage.PREFILL, ratio, number / 10, weight)
        for other in "abc":
            assert FACTOR_MIN <= factor(speeds, other, number / 10) <= FACTOR_MAX


def test_a_new_incarnation_is_not_taken_for_the_one_before():
    speeds = learned({"slow": 2.0, "e0": 1.0, "e1": 1.0})
    assert factor(speeds, "slow") < 1.0
    restarted = replace(replica("slow", Stage.PREFILL), started_at_ms=2)
    assert speeds.factor(restarted, Stage.PREFILL, 3.0) == 1.0
    speeds.observe("slow", 2, Stage.PREFILL, 1.0, 3.0)
    for _ in range(9):
        speeds.observe("slow", 1, Stage.PREFILL, 2.0, 3.0)
    assert speeds.factor(restarted, Stage.PREFILL, 3.0) == 1.0
    assert factor(speeds, "slow") == 1.0


def test_what_is_not_observed_any_more_is_forgotten():
    """A replica that is avoided as slow may have become fast."""
    speeds = learned({"slow": 2.0, "e0": 1.0, "e1": 1.0})
    later = 4 * HALF_LIFE_S
    assert factor(speeds, "slow", later) == 1.0
    for number in range(3):
        speeds.observe("e0", 1, Stage.PREFILL, 1.0, 10 * HALF_LIFE_S + 20 * number)
    assert len(speeds) == 1


def test_the_other_stage_tells_about_a_replica_that_was_not_observed_in_this_one():
    speeds = learned({"slow": 2.0, "d0": 1.0, "d1": 1.0}, stage=Stage.DECODE)
    slow = replica("slow", Stage.DECODE)
    assert speeds.factor(slow, Stage.PREFILL, 3.0) == 1.0
    decode = speeds.factor(slow, Stage.DECODE, 3.0)
    assert speeds.likely_factor(slow, Stage.PREFILL, 3.0) == decode < 1.0


def test_the_next_scheduler_takes_over_what_it_does_not_know_itself():
    first = learned({"slow": 2.0, **USUAL})
    told = first.differing(3.0)
    assert [item.replica for item in told] == ["slow"]
    second = ReplicaSpeeds()
    second.adopt(told, 3.0)
    assert factor(second, "slow") == pytest.approx(factor(first, "slow"), rel=0.02)
    own = learned({"slow": 1.0, **USUAL})
    own.adopt(told, 3.0)
    assert factor(own, "slow") == 1.0


@pytest.mark.parametrize("characters", [4, 24, 60, 250])
def test_messages_about_speeds_are_small_and_together_hold_all(characters):
    speeds = [
        ReplicaSpeed(f"{number:0{characters}}", 1_764_000_000_000, 0.55, 1.25)
        for number in range(60)
    ]
    told = set()
    after = ""
    for _ in range(60):
        batch = next_batch(speeds, after)
        message = SpeedUpdate("a-language-service", 12, batch)
        data = encode_message(message)
        assert len(data) < MESSAGE_MAX_BYTES
        assert decode_message(data) == message
        told |= set(batch)
        after = batch[-1].replica
    assert told == set(speeds)


def test_a_replica_that_begins_to_differ_is_logged_once():
    with captured_logs() as logs:
        speeds = learned({"slow": 2.0, **USUAL})
    lines = [line for line in logs.getvalue().splitlines() if "speed_changed" in line]
    assert len([line for line in lines if "slow" in line]) == 1
    assert speeds.pop_changes() == len(lines)
    assert speeds.pop_changes() == 0


def need(prefill_s: float = 0.1, **changes) -> Requirements:
    """Return the requirements of a typical request."""
    return Requirements(
        TYPICAL, Urgency.ON_TIME, TYPICAL, prefill_s=prefill_s, **changes
    )


def placed(decode, prefill, requirements=None, **changes):
    """Return the placement of a typical request in a pool."""
    pool = PoolSnapshot(tuple(decode), tuple(prefill))
    return choose_placement(pool, request("q", **changes), requirements or need())


def test_the_prefill_replica_that_completes_the_prompt_first_is_chosen():
    slow = PrefillSnapshot("slow", "a", 0.0, speed=0.55)
    fast = PrefillSnapshot("fast", "a", 0.05, speed=1.2)
    decode = [decode_replica("d0")]
    assert placed(decode, [slow, fast], need(0.1)).prefill == "fast"
    assert placed(decode, [slow, fast], need(0.02)).prefill == "slow"


def test_a_local_prefill_goes_to_a_replica_that_is_fast_enough():
    decode = [
        decode_replica("slow", prefill_speed=0.55),
        decode_replica("fast", TYPICAL, prefill_speed=1.2),
    ]
    busy = PrefillSnapshot("e0", "a", 0.3)
    pool = PoolSnapshot(tuple(decode), (busy,), queued_prefill_s=0.5)
    for slack_s, expected in ((0.3, "slow"), (0.1, "fast"), (0.05, None)):
        found = choose_placement(pool, request("q"), need(0.1, prefill_slack_s=slack_s))
        assert (found and found.decode) == expected


IDLE = [PrefillSnapshot("e0", "a", 0.0)]


def filled(name: str, share: float, **changes):
    """Return a decode replica of which a share of the memory is used."""
    tokens = round(share * 33_000)
    return decode_replica(name, Generation(tokens, 10, 10), **changes)


@pytest.mark.parametrize(
    ("slow", "fast", "expected"),
    [
        # A little less memory at the fast one.
        (0.40, 0.50, "fast"),
        # Far less.
        (0.10, 0.60, "slow"),
        # Near the limit memory decides.
        (0.80, 0.86, "slow"),
    ],
)
def test_a_decode_replica_is_chosen_by_memory_and_speed(slow, fast, expected):
    pool = [filled("slow", slow, speed=0.73), filled("fast", fast, speed=1.4)]
    small = Requirements(Generation(300, 100, 100), Urgency.ON_TIME, TYPICAL)
    assert placed(pool, IDLE, small).decode == expected


@given(st.floats(FACTOR_MIN, FACTOR_MAX), st.floats(0.0, 0.8), st.floats(0.01, 0.1))
def test_of_equally_fast_replicas_that_with_more_memory_is_chosen(speed, used, more):
    pool = [filled("less", used + more, speed=speed), filled("more", used, speed=speed)]
    small = Requirements(Generation(10, 10, 10), Urgency.ON_TIME, TYPICAL)
    assert placed(pool, IDLE, small).decode == "more"


def test_a_replica_of_the_own_data_centre_still_ranks_first_among_equals():
    pool = [
        filled("far", 0.50, data_centre="b", speed=0.7),
        filled("near", 0.52, data_centre="a", speed=0.7),
    ]
    assert placed(pool, IDLE).decode == "near"


def test_forecasts_count_speed_and_not_replicas():
    statistics = PoolStatistics()
    for _ in range(8):
        statistics.observe_arrival(3200, 800, 0.0)
    full = [Generation(3200, 400, 800)] * 24
    slow = decode_replica("d0", *full, speed=0.5)
    usual = decode_replica("d0", *full)
    waits = [
        PoolForecast(PoolSnapshot((item,), ()), TYPICAL, statistics).memory_wait_s(23)
        for item in (usual, slow)
    ]
    assert waits[1] == pytest.approx(2 * waits[0])
    waits = [
        PoolForecast(
            PoolSnapshot((usual,), (PrefillSnapshot("e0", "a", 0.0, speed=speed),)),
            TYPICAL,
            statistics,
        ).prefill_wait_s(6_000)
        for speed in (1.0, 0.5)
    ]
    assert waits[1] == pytest.approx(2 * waits[0])


EVEN = dict.fromkeys([f"e{n}" for n in range(4)] + [f"d{n}" for n in range(8)], 1.0)
UNEVEN = {name: (0.55, 1.2)[number % 2] for number, name in enumerate(EVEN)}


@pytest.mark.parametrize("seed", range(3))
def test_a_pool_of_equally_fast_replicas_is_scheduled_as_without_speeds(
    seed, monkeypatch
):
    with_speeds = PoolLoad(EVEN, seed).play(seconds=40.0, per_s=14.0)
    monkeypatch.setattr(ReplicaSpeeds, "observe", lambda *args: None)
    without = PoolLoad(EVEN, seed).play(seconds=40.0, per_s=14.0)
    assert with_speeds.grants == without.grants
    assert with_speeds.first_token_s == without.first_token_s


def test_noise_in_a_pool_of_equally_fast_replicas_costs_next_to_nothing(monkeypatch):
    """15% of the prompts and of the generations take 2.5 times as long."""

    def play() -> list[PoolLoad]:
        return [PoolLoad(EVEN, seed, 0.15).play(40.0, 14.0) for seed in range(4)]

    with_speeds = play()
    monkeypatch.setattr(ReplicaSpeeds, "observe", lambda *args: None)
    without = play()
    for measure, tolerance in (
        (lambda load: load.late_share(0.9), 0.01),
        (lambda load: load.first_token_percentile(50), 0.015),
        (lambda load: load.first_token_percentile(90), 0.04),
    ):
        assert sum(map(measure, with_speeds)) / 4 <= (
            sum(map(measure, without)) / 4 + tolerance
        )


@pytest.mark.parametrize("noise", [0.0, 0.15])
@pytest.mark.parametrize("seed", range(3))
def test_a_pool_of_uneven_replicas_starts_its_answers_sooner(seed, noise, monkeypatch):
    learns = PoolLoad(UNEVEN, seed, noise).play(seconds=60.0, per_s=14.0)
    monkeypatch.setattr(ReplicaSpeeds, "observe", lambda *args: None)
    without = PoolLoad(UNEVEN, seed, noise).play(seconds=60.0, per_s=14.0)
    assert learns.late_share(0.9) <= without.late_share(0.9)
    assert learns.first_token_percentile(90) < without.first_token_percentile(90)


def test_the_learned_speeds_are_those_of_the_replicas():
    load = PoolLoad(UNEVEN, 1)
    load.play(seconds=60.0, per_s=14.0)
    speeds = load.pool.scheduler.speeds
    now = load.pool.now
    for stage in Stage:
        replicas = load.pool.replicas[stage]
        factors = {item.id: speeds.factor(item, stage, now) for item in replicas}
        slow = [factors[item.id] for item in replicas if UNEVEN[item.id] < 1]
        fast = [factors[item.id] for item in replicas if UNEVEN[item.id] > 1]
        assert max(slow) < 1.0
        assert min(fast) >= 1.0
        mean_slow, mean_fast = sum(slow) / len(slow), sum(fast) / len(fast)
        assert mean_fast / mean_slow == pytest.approx(1.2 / 0.55, rel=0.25)
