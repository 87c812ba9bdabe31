"""Pure decisions of a pool: room to the end, waits, estimates, means."""

import math
import random

import pytest
from hypothesis import given, strategies as st

from marjoramstile.pools.decisions import (
    PREFILL_AHEAD_S,
    DecodeRoom,
    PoolRoom,
    PrefillRoom,
    Run,
    Wanted,
    choose_place,
    peak_tokens,
    place_times,
)
from marjoramstile.pools.hints import HintModel
from marjoramstile.pools.messages import Urgency
from marjoramstile.pools.statistics import GenerationProfile, PoolStatistics
from tests.pools.support import request

USUAL = Run(3200, 800, 800)
RUNS = st.lists(
    st.builds(Run, st.integers(0, 9000), st.integers(0, 3000), st.just(800)),
    max_size=8,
)


def room(name: str, *runs: Run, **changes) -> DecodeRoom:
    """Return a decode replica of 33,000 tokens with runs."""
    used = sum(run.tokens for run in runs)
    fields = {"data_centre": "a", "kv_tokens": 33_000, "slots": 24, **changes}
    return DecodeRoom(name, free_tokens=33_000 - used, runs=tuple(runs), **fields)


def wanted(urgency: Urgency = Urgency.ON_TIME, **changes) -> Wanted:
    """Return what a usual request needs."""
    return Wanted(USUAL, urgency, USUAL, **changes)


def choose(pool: PoolRoom, need: Wanted, **changes):
    """Choose a place for a usual request."""
    return choose_place(pool, request("q", **changes), need)


IDLE = (PrefillRoom("e0", "a", 0.0),)


@given(RUNS)
def test_the_peak_is_the_most_memory_at_any_moment(runs):
    """All runs add a token a step; each frees its memory when it ends."""
    steps = range(max((run.left for run in runs), default=0) + 1)
    interesting = {0, *(run.left for run in runs)}
    most = max(
        (
            sum(run.tokens + step for run in runs if run.left >= step)
            for step in steps
            if step in interesting
        ),
        default=0,
    )
    assert peak_tokens(runs) == most


def test_the_emptiest_replica_comes_first_and_doubtful_ones_last():
    pool = PoolRoom(
        (room("a", USUAL, USUAL), room("b", USUAL), room("c", doubtful=True)), IDLE
    )
    assert choose(pool, wanted()).decode == "b"


def test_the_callers_data_centre_is_preferred_among_like_replicas():
    rooms = [room(name, USUAL, data_centre=name) for name in "abc"]
    place = choose(PoolRoom(tuple(rooms), IDLE), wanted(), data_centre="c")
    assert place.decode == "c"


def test_a_replica_without_memory_or_slots_gets_nothing():
    full = room("a", *[Run(4000, 100, 800)] * 8)
    crowded = room("b", *[Run(10, 5, 15)] * 24)
    assert choose(PoolRoom((full, crowded), IDLE), wanted()) is None


def test_a_generation_larger_than_the_memory_fits_an_idle_replica():
    need = Wanted(Run(40_000, 10, 10), Urgency.ON_TIME, USUAL)
    assert choose(PoolRoom((room("a"),), IDLE), need).decode == "a"


def test_uncertain_answers_leave_a_margin():
    runs = [Run(2000, 1500, 1500)] * 7
    assert room("a", *runs, spread=0.0).fits(Run(2000, 1500, 1500))
    assert not room("a", *runs, spread=0.6).fits(Run(2000, 1500, 1500))


def test_late_requests_leave_room_for_timely_ones():
    nearly = room("a", *[Run(4000, 400, 800)] * 6)
    full = room("b", *[Run(4000, 400, 800)] * 7)
    assert choose(PoolRoom((nearly, full), IDLE), wanted(Urgency.LATE)) is None
    assert choose(PoolRoom((nearly, full), IDLE), wanted()).decode == "a"
    free = (nearly, room("c", USUAL), room("d", USUAL))
    assert choose(PoolRoom(free, IDLE), wanted(Urgency.LATE)) is not None


def test_prompts_go_to_a_prefill_replica_that_is_about_to_take_them():
    busy = PrefillRoom("e0", "a", PREFILL_AHEAD_S + 0.01)
    assert choose(PoolRoom((room("a"),), (busy,)), wanted()) is None
    free = PrefillRoom("e1", "b", 0.0)
    assert choose(PoolRoom((room("a"),), (busy, free)), wanted()).prefill == "e1"


def test_decode_replicas_help_with_prompts_when_many_wait():
    busy = PrefillRoom("e0", "a", 0.3)
    pool = PoolRoom((room("a"),), (busy,), queued_prefill_s=0.5)
    assert choose(pool, wanted()).prefill is None
    assert choose(pool, wanted(in_haste=True)) is None
    assert choose(pool, wanted(Urgency.LATE)) is None


@given(RUNS)
def test_the_forecast_of_a_place_holds_when_its_time_has_come(runs):
    here = room("a", *runs)
    times = place_times(here, USUAL)
    if not here.fits(USUAL):
        assert times == sorted(times)
        assert times
        first = times[0]
        later = [
            Run(run.tokens + first, run.left - first, run.answer)
            for run in runs
            if run.left > first
        ]
        assert room("a", *later).fits(USUAL)


def test_estimates_are_believed_as_far_as_they_were_right():
    rng = random.Random(1)
    vague, exact = HintModel(), HintModel()
    for _ in range(600):
        tokens = round(800 * math.exp(rng.gauss(0.0, 0.5)))
        guess = round(tokens * math.exp(rng.gauss(0.0, 0.7)))
        for model, hint in ((vague, guess), (exact, tokens)):
            model.note_arrival(hint)
            model.note_finished(hint, tokens)
    assert exact.expected_tokens(3000) == pytest.approx(3000, rel=0.1)
    assert vague.expected_tokens(3000) < 2200
    assert exact.spread < 0.15 < vague.spread


def test_before_any_answer_an_estimate_counts_half():
    model = HintModel()
    assert model.expected_tokens(500) == 500.0
    for hint in (400, 800, 1600):
        model.note_arrival(hint)
    assert 1100 < model.expected_tokens(1600) < 1400


@given(st.lists(st.tuples(st.integers(0, 10**9), st.integers(0, 10**9)), max_size=30))
def test_any_estimates_give_a_finite_length(answers):
    model = HintModel()
    for hint, tokens in answers:
        model.note_arrival(hint)
        model.note_finished(hint, tokens)
    assert math.isfinite(model.expected_tokens(100))
    assert math.isfinite(model.spread)


def test_means_are_known_after_few_generations_and_follow_the_load():
    statistics = PoolStatistics()
    assert statistics.profile() is None
    for number in range(10):
        statistics.note_arrival(5200, 4900, number * 0.1)
        statistics.note_decoded(600, 0.4, number * 0.1)
        statistics.note_prefilled(5200, 0.094, number * 0.1)
    profile = statistics.profile()
    assert profile.prompt_tokens == pytest.approx(5200)
    assert profile.decode_s == pytest.approx(4900 * 0.4 / 600, rel=0.1)
    assert profile.prefill_tokens_per_s == pytest.approx(55_300, rel=0.05)
    for number in range(300):
        statistics.note_arrival(1000, 100, 60.0 + number * 0.1)
    assert statistics.profile().prompt_tokens == pytest.approx(1000, rel=0.1)


def test_means_told_by_another_daemon_replace_the_own_ones():
    statistics = PoolStatistics()
    profile = GenerationProfile(5200.0, 4900.0, 0.0007, 55_000.0)
    statistics.adopt(profile, 1.0)
    assert statistics.profile().prompt_tokens == pytest.approx(5200)
    statistics.adopt(GenerationProfile(1.0, 1.0, 1.0, 1.0), 2.0)
    assert statistics.profile().prompt_tokens == pytest.approx(5200)
    statistics.replace(GenerationProfile(100.0, 10.0, 0.004, 30_000.0), 3.0)
    assert statistics.profile().prompt_tokens == pytest.approx(100)
