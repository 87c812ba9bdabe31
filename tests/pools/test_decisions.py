"""Pure decisions of a pool: placement, capacity forecasts, estimates, statistics."""

import math
import random

import pytest
from hypothesis import given, strategies as st

from marjoramstile.pools.decisions import (
    PREFILL_LOOKAHEAD_S,
    DecodeSnapshot,
    PoolSnapshot,
    PrefillSnapshot,
    Requirements,
    capacity_times,
    choose_placement,
)
from marjoramstile.pools.hints import HintModel
from marjoramstile.pools.memory import Generation, peak_tokens
from marjoramstile.pools.messages import Urgency
from marjoramstile.pools.statistics import GenerationProfile, PoolStatistics
from tests.pools.support import request

TYPICAL = Generation(3200, 800, 800)
GENERATIONS = st.lists(
    st.builds(Generation, st.integers(0, 9000), st.integers(0, 3000), st.just(800)),
    max_size=8,
)


def decode_replica(name: str, *generations: Generation, **changes) -> DecodeSnapshot:
    """Return a decode replica of 33,000 tokens with running generations."""
    used = sum(generation.tokens for generation in generations)
    fields = {"data_centre": "a", "kv_tokens": 33_000, "slots": 24, **changes}
    return DecodeSnapshot(
        name, free_tokens=33_000 - used, generations=tuple(generations), **fields
    )


def requirements(urgency: Urgency = Urgency.ON_TIME, **changes) -> Requirements:
    """Return the requirements of a typical request."""
    return Requirements(TYPICAL, urgency, TYPICAL, **changes)


def choose(pool: PoolSnapshot, need: Requirements, **changes):
    """Choose the placement of a typical request."""
    return choose_placement(pool, request("q", **changes), need)


IDLE = (PrefillSnapshot("e0", "a", 0.0),)


@pytest.mark.parametrize(("version", "prefill"), [("v1", "e0"), ("v2", "e1")])
def test_a_prompt_is_prefilled_at_the_version_that_decodes_if_possible(
    version, prefill
):
    ready = (
        PrefillSnapshot("e0", "a", 0.0, version="v1"),
        PrefillSnapshot("e1", "b", 0.1, version="v2"),
    )
    pool = PoolSnapshot((decode_replica("d0", version=version),), ready)
    assert choose(pool, requirements()).prefill == prefill
    alone = PoolSnapshot((decode_replica("d0", version="v3"),), ready)
    assert choose(alone, requirements()).prefill == "e0"


@given(GENERATIONS)
def test_peak_tokens_is_the_largest_memory_at_any_step(generations):
    """All generations add a token a step; each frees its memory at its end."""
    steps = range(
        max((generation.remaining for generation in generations), default=0) + 1
    )
    ends = {0, *(generation.remaining for generation in generations)}
    peak = max(
        (
            sum(
                generation.tokens + step
                for generation in generations
                if generation.remaining >= step
            )
            for step in steps
            if step in ends
        ),
        default=0,
    )
    assert peak_tokens(generations) == peak


def test_the_emptiest_replica_is_chosen_first_and_a_suspect_one_last():
    pool = PoolSnapshot(
        (
            decode_replica("a", TYPICAL, TYPICAL),
            decode_replica("b", TYPICAL),
            decode_replica("c", suspect=True),
        ),
        IDLE,
    )
    assert choose(pool, requirements()).decode == "b"


def test_the_data_centre_of_the_request_breaks_ties():
    replicas = [decode_replica(name, TYPICAL, data_centre=name) for name in "abc"]
    placement = choose(
        PoolSnapshot(tuple(replicas), IDLE), requirements(), data_centre="c"
    )
    assert placement.decode == "c"


def test_a_replica_without_memory_or_slots_is_not_chosen():
    full = decode_replica("a", *[Generation(4000, 100, 800)] * 8)
    without_slots = decode_replica("b", *[Generation(10, 5, 15)] * 24)
    assert choose(PoolSnapshot((full, without_slots), IDLE), requirements()) is None


def test_a_generation_larger_than_the_memory_fits_an_idle_replica():
    need = Requirements(Generation(40_000, 10, 10), Urgency.ON_TIME, TYPICAL)
    assert choose(PoolSnapshot((decode_replica("a"),), IDLE), need).decode == "a"


def test_a_larger_spread_of_output_lengths_leaves_a_margin():
    generations = [Generation(2000, 1500, 1500)] * 7
    assert decode_replica("a", *generations, spread=0.0).fits(
        Generation(2000, 1500, 1500)
    )
    assert not decode_replica("a", *generations, spread=0.6).fits(
        Generation(2000, 1500, 1500)
    )


def test_late_requests_leave_a_reserve_for_requests_on_time():
    nearly = decode_replica("a", *[Generation(4000, 400, 800)] * 6)
    full = decode_replica("b", *[Generation(4000, 400, 800)] * 7)
    assert (
        choose(PoolSnapshot((nearly, full), IDLE), requirements(Urgency.LATE)) is None
    )
    assert choose(PoolSnapshot((nearly, full), IDLE), requirements()).decode == "a"
    free = (nearly, decode_replica("c", TYPICAL), decode_replica("d", TYPICAL))
    assert choose(PoolSnapshot(free, IDLE), requirements(Urgency.LATE)) is not None


def test_only_a_prefill_replica_that_is_soon_free_is_chosen():
    busy = PrefillSnapshot("e0", "a", PREFILL_LOOKAHEAD_S + 0.01)
    assert choose(PoolSnapshot((decode_replica("a"),), (busy,)), requirements()) is None
    free = PrefillSnapshot("e1", "b", 0.0)
    assert (
        choose(
            PoolSnapshot((decode_replica("a"),), (busy, free)), requirements()
        ).prefill
        == "e1"
    )


def test_decode_replicas_prefill_when_prefill_replicas_are_saturated():
    busy = PrefillSnapshot("e0", "a", 0.3)
    pool = PoolSnapshot((decode_replica("a"),), (busy,), queued_prefill_s=0.5)
    assert choose(pool, requirements()).prefill is None
    in_time = requirements(prefill_s=0.1, prefill_slack_s=0.1)
    assert choose(pool, in_time).prefill is None
    too_late = requirements(prefill_s=0.1, prefill_slack_s=0.099)
    assert choose(pool, too_late) is None
    assert choose(pool, requirements(Urgency.LATE)) is None


@given(GENERATIONS)
def test_a_generation_fits_at_the_forecast_time(generations):
    replica = decode_replica("a", *generations)
    times = capacity_times(replica, TYPICAL)
    if not replica.fits(TYPICAL):
        assert times == sorted(times)
        assert times
        first = times[0]
        later = [
            Generation(
                generation.tokens + first,
                generation.remaining - first,
                generation.output_tokens,
            )
            for generation in generations
            if generation.remaining > first
        ]
        assert decode_replica("a", *later).fits(TYPICAL)


def test_estimates_are_weighted_by_their_past_accuracy():
    rng = random.Random(1)
    vague, exact = HintModel(), HintModel()
    for _ in range(600):
        tokens = round(800 * math.exp(rng.gauss(0.0, 0.5)))
        guess = round(tokens * math.exp(rng.gauss(0.0, 0.7)))
        for model, hint in ((vague, guess), (exact, tokens)):
            model.observe_arrival(hint)
            model.observe_finished(hint, tokens)
    assert exact.expected_tokens(3000) == pytest.approx(3000, rel=0.1)
    assert vague.expected_tokens(3000) < 2200
    assert exact.spread < 0.15 < vague.spread


def test_an_estimate_has_half_the_weight_before_any_output():
    model = HintModel()
    assert model.expected_tokens(500) == 500.0
    for hint in (400, 800, 1600):
        model.observe_arrival(hint)
    assert 1100 < model.expected_tokens(1600) < 1400


@given(st.lists(st.tuples(st.integers(0, 10**9), st.integers(0, 10**9)), max_size=30))
def test_extreme_estimates_and_lengths_give_finite_predictions(answers):
    model = HintModel()
    for hint, tokens in answers:
        model.observe_arrival(hint)
        model.observe_finished(hint, tokens)
    assert math.isfinite(model.expected_tokens(100))
    assert math.isfinite(model.spread)


def test_statistics_are_available_after_few_generations_and_follow_the_load():
    statistics = PoolStatistics()
    assert statistics.profile() is None
    for number in range(10):
        statistics.observe_arrival(5200, 4900, number * 0.1)
        statistics.observe_decode(600, 0.4, number * 0.1)
        statistics.observe_prefill(5200, 0.094, number * 0.1)
    profile = statistics.profile()
    assert profile.prompt_tokens == pytest.approx(5200)
    assert profile.decode_s == pytest.approx(4900 * 0.4 / 600, rel=0.1)
    assert profile.prefill_tokens_per_s == pytest.approx(55_300, rel=0.05)
    for number in range(300):
        statistics.observe_arrival(1000, 100, 60.0 + number * 0.1)
    assert statistics.profile().prompt_tokens == pytest.approx(1000, rel=0.1)


def test_a_profile_of_another_daemon_replaces_the_own_statistics():
    statistics = PoolStatistics()
    profile = GenerationProfile(5200.0, 4900.0, 0.0007, 55_000.0)
    statistics.adopt(profile, 1.0)
    assert statistics.profile().prompt_tokens == pytest.approx(5200)
    statistics.adopt(GenerationProfile(1.0, 1.0, 1.0, 1.0), 2.0)
    assert statistics.profile().prompt_tokens == pytest.approx(5200)
    statistics.replace(GenerationProfile(100.0, 10.0, 0.004, 30_000.0), 3.0)
    assert statistics.profile().prompt_tokens == pytest.approx(100)


@pytest.mark.parametrize(("slots", "count"), [(24, 8), (3, 3)])
def test_an_idle_replica_has_capacity_for_all_that_fit_beside_each_other(slots, count):
    replica = decode_replica("a", slots=slots)
    assert capacity_times(replica, TYPICAL) == [0] * count
