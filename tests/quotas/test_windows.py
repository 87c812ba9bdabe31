"""Sums over a sliding window: never too low, and right about when units leave."""

import math

import pytest
from hypothesis import given, strategies as st

from marjoramstile.quotas.windows import (
    SLICES,
    Allowance,
    QuotaBounds,
    SpendWindow,
    units_of,
)
from marjoramstile.routes.requests import GenerationSize
from marjoramstile.workspaces.table import Quota, QuotaUnit

WINDOW_S = 8.0
SLICE_S = WINDOW_S / SLICES
SIZE = GenerationSize(prompt=3200, max_output=800, expected_output=70)


def test_an_allowance_splits_the_overage_and_the_slack():
    quota = Quota(50.0, 20.0, QuotaUnit.REQUESTS, 0)
    allowance = Allowance.of(quota, QuotaBounds(8.0, 0.1, 6.0))
    assert allowance.units == 420.0
    assert allowance.margin == pytest.approx(24.0)
    assert allowance.most == pytest.approx(420.0 * 1.1 + 6.0)


@pytest.mark.parametrize(
    ("unit", "size", "units"),
    [
        (QuotaUnit.REQUESTS, None, 1.0),
        (QuotaUnit.REQUESTS, SIZE, 1.0),
        (QuotaUnit.TOKENS, SIZE, 4000.0),
        (QuotaUnit.TOKENS, None, 500.0),
    ],
)
def test_a_request_counts_by_its_unit(unit, size, units):
    assert units_of(Quota(1.0, 0.0, unit, 500), size) == units


def test_units_leave_within_a_slice_after_the_window():
    window = SpendWindow(WINDOW_S)
    window.add(5.0, 100.0)
    assert window.total(100.0 + WINDOW_S - 0.001) == 5.0
    assert window.total(100.0 + WINDOW_S + SLICE_S) == 0.0


def test_the_wait_is_the_time_until_enough_units_have_left():
    window = SpendWindow(WINDOW_S)
    for second in range(4):
        window.add(10.0, 100.0 + second)
    wait_s = window.wait_s(15.0, 104.0)
    assert window.wait_s(1000.0, 104.0) == WINDOW_S
    assert window.total(104.0 + wait_s - SLICE_S / 2) == 30.0
    assert window.total(104.0 + wait_s) == 20.0


def test_removed_units_are_the_newest():
    window = SpendWindow(WINDOW_S)
    window.add(5.0, 100.0)
    window.add(5.0, 104.0)
    window.remove(7.0, 104.0)
    assert window.total(104.0) == 3.0
    assert window.total_since(101.0) == 0.0
    window.remove(100.0, 104.0)
    assert window.total(104.0) == 0.0


@given(
    st.lists(st.tuples(st.floats(0.0, 0.5), st.floats(0.1, 100.0)), max_size=200),
)
def test_the_total_is_never_less_than_what_was_spent(steps):
    """A total that is too low would let a quota be exceeded."""
    window = SpendWindow(WINDOW_S)
    now, spent = 50.0, []
    for pause_s, units in steps:
        now += pause_s
        window.add(units, now)
        spent.append((now, units))
        exact = sum(item for at, item in spent if at > now - WINDOW_S)
        late = sum(item for at, item in spent if at > now - WINDOW_S - 2 * SLICE_S)
        total = window.total(now)
        assert exact <= total * (1 + 1e-9) + 1e-9
        assert total <= late * (1 + 1e-9) + 1e-9


@pytest.mark.parametrize("rate", [1e-9, 1e12, 1e15])
def test_odd_rates_have_an_allowance(rate):
    allowance = Allowance.of(Quota(rate, 0.0, QuotaUnit.REQUESTS, 0), QuotaBounds())
    assert 0 < allowance.units < math.inf
    window = SpendWindow(WINDOW_S)
    window.add(rate, 10.0)
    assert window.total(30.0) == 0.0
