"""Room that less urgent requests leave for more urgent ones that will arrive."""

import pytest
from hypothesis import given, strategies as st

from marjoramstile.pools.decisions import Generation, PoolSnapshot
from marjoramstile.pools.reserve import (
    ARRIVALS_WINDOW_S,
    SHORT_WINDOW_S,
    Arrival,
    ClassArrivals,
    ExpectedArrivals,
    cap_of_reserve,
    ends_s,
    leaves_places,
    places_needed,
)
from tests.pools.test_decisions import TYPICAL, decode_replica

MASTERS, PREVIEWS = (0, 0), (2, 2)
EXPECTED = ExpectedArrivals(4.0, TYPICAL, 0.6)


def test_no_places_are_needed_if_generations_end_before_arrivals_must_be_placed():
    assert places_needed(EXPECTED, [0.1, 0.2, 0.5, 0.6, 0.9]) == 0


def test_arrivals_before_the_first_end_need_places():
    """Four a second arrive for 1.4 s, and may exceed that by a deviation."""
    assert places_needed(EXPECTED, [2.0, 2.0, 2.1]) == pytest.approx(5.6 + 2.4, abs=1)


def test_an_idle_pool_needs_no_reserve():
    assert places_needed(EXPECTED, []) == 0


@given(
    st.lists(st.floats(0.0, 30.0), max_size=30).map(sorted),
    st.floats(0.0, 20.0),
    st.floats(0.0, 3.0),
)
def test_more_patient_arrivals_never_need_more_places(ends, per_s, wait_s):
    needed = places_needed(ExpectedArrivals(per_s, TYPICAL, wait_s), ends)
    patient = places_needed(ExpectedArrivals(per_s, TYPICAL, wait_s + 1.0), ends)
    assert 0 <= patient <= needed


def test_ends_are_those_of_all_replicas_in_order():
    pool = PoolSnapshot(
        (
            decode_replica("a", Generation(100, 500, 800)),
            decode_replica("b", Generation(100, 100, 800), Generation(9, 900, 900)),
        ),
        (),
    )
    assert ends_s(pool, 0.01) == pytest.approx([1.0, 5.0, 9.0])


def test_arrivals_are_those_of_more_urgent_classes_in_the_window():
    arrivals = ClassArrivals()
    for number in range(8):
        at = number * ARRIVALS_WINDOW_S / 8
        arrivals.observe(Arrival(MASTERS, 3000, 800, 0.6), at)
        arrivals.observe(Arrival(PREVIEWS, 9000, 100, 1.8), at)
    before = arrivals.before(PREVIEWS)
    assert before.per_s == pytest.approx(8 / ARRIVALS_WINDOW_S)
    assert before.typical == Generation(3000, 800, 800)
    assert before.wait_s == pytest.approx(0.6)
    assert arrivals.before(MASTERS) is None
    assert arrivals.differ
    arrivals.forget_old(3 * ARRIVALS_WINDOW_S)
    assert arrivals.before(PREVIEWS) is None
    assert not arrivals.differ


def test_a_burst_that_has_ended_is_not_expected_to_go_on():
    """After a burst of masters, previews would be refused for seconds."""
    arrivals = ClassArrivals()
    for number in range(40):
        arrivals.observe(Arrival(MASTERS, 3000, 800, 0.6), number / 40)
    assert arrivals.before(PREVIEWS).per_s == pytest.approx(40 / ARRIVALS_WINDOW_S)
    arrivals.forget_old(2.0)
    assert arrivals.before(PREVIEWS).per_s == pytest.approx(1 / SHORT_WINDOW_S)


def test_a_single_class_has_no_more_urgent_arrivals():
    arrivals = ClassArrivals()
    arrivals.observe(Arrival(PREVIEWS, 3000, 800, 1.8), 1.0)
    assert not arrivals.differ
    assert arrivals.before(PREVIEWS) is None


def test_places_left_are_counted_beside_the_request():
    """Eight typical generations fit a replica; four run on the first."""
    pool = PoolSnapshot((decode_replica("a", *[TYPICAL] * 4), decode_replica("b")), ())
    assert leaves_places(pool, TYPICAL, TYPICAL, 10)
    assert not leaves_places(pool, TYPICAL, TYPICAL, 12)
    assert not leaves_places(pool, Generation(9000, 800, 800), TYPICAL, 10)
    assert leaves_places(pool, TYPICAL, TYPICAL, 0)


def test_at_most_half_of_the_places_are_reserved():
    pool = PoolSnapshot((decode_replica("a"), decode_replica("b", slots=4)), ())
    assert cap_of_reserve(pool, TYPICAL) == 6
