"""A daemon's own account: its balance, its share alone, and what callers are told."""

import random

import pytest

from marjoramstile.quotas.accounts import LEASE_S
from marjoramstile.quotas.spending import SpendingAccount
from marjoramstile.quotas.windows import Allowance
from marjoramstile.workspaces.table import QuotaUnit

WINDOW_S = 8.0


def account() -> SpendingAccount:
    """Return an account of a workspace that may use 100 units in a window."""
    result = SpendingAccount("first", QuotaUnit.REQUESTS, WINDOW_S)
    result.allowance = Allowance(100.0, 10.0)
    return result


def test_a_balance_is_spent_and_lapses():
    spending = account()
    spending.add(3.0, 100.0)
    assert [spending.take(2.0, 100.1) for _ in range(2)] == [True, False]
    assert spending.balance(100.0 + LEASE_S) == 0.0
    assert spending.changed
    assert spending.state(101.0).spent == 2.0


def test_a_daemon_wants_to_hold_what_it_spent_in_the_last_part_of_a_second():
    spending = account()
    spending.add(10.0, 100.0)
    assert not spending.wants_refill(100.0)
    for tenths in range(8):
        spending.take(1.0, 100.0 + tenths / 10)
    assert 4 <= spending.wanted_ahead(0.0, 100.7) <= 6
    assert spending.wants_refill(100.7)


def test_units_that_are_given_back_can_be_spent_at_once_and_are_reported():
    spending = account()
    spending.add(5.0, 100.0)
    spending.take(5.0, 100.0)
    spending.deny(1.0, 2.0, 100.0)
    spending.give_back(5.0, 100.1)
    assert spending.denied_s(1.0, 100.1) == 0.0
    assert spending.changed
    assert spending.take(1.0, 100.1)
    state = spending.state(100.1)
    assert (state.spent, state.held, state.recent) == (1.0, 4.0, 1.0)


def test_a_denial_holds_for_a_moment_and_not_for_smaller_requests():
    spending = account()
    spending.deny(5.0, 3.0, 100.0)
    assert spending.denied_s(4.0, 100.0) == 0.0
    assert spending.denied_s(5.0, 100.1) == pytest.approx(2.9)
    assert spending.denied_s(5.0, 101.0) == 0.0


def test_a_cut_daemon_goes_on_at_its_pace_for_a_window_then_at_an_equal_share():
    spending = account()
    for second in range(8):
        spending.add(5.0, 92.0 + second)
        spending.take(5.0, 92.0 + second)
    spending.record_contact(100.0, 100.0)
    alone = []
    for tenths in range(300):
        now = 100.0 + tenths / 10
        if spending.take_alone(1.0, 10, now):
            alone.append(now)
    first = [at for at in alone if at <= 108.0]
    later = [at for at in alone if at >= 110.0]
    assert 15 <= len(first) <= 28
    assert max(sum(at <= now < at + 8.0 for at in alone) for now in first) <= 40
    assert max(sum(at <= now < at + 8.0 for at in later) for now in later) == 10


def test_a_daemon_that_knows_no_other_may_spend_nothing_alone():
    spending = account()
    assert not spending.take_alone(1.0, None, 100.0)
    assert spending.take_alone(1.0, 10, 100.0)


def test_refused_callers_are_told_times_of_their_own_within_a_window():
    """Told the same time, they would all come at once and be refused again."""
    spending = account()
    rng = random.Random(3)
    waits = [spending.promise_s(1.0, 0.5, rng, 100.0) for _ in range(200)]
    assert waits[0] == 0.5
    assert waits[10] - waits[9] == pytest.approx(WINDOW_S / 100.0)
    assert min(waits) >= 0.5
    assert max(waits) <= WINDOW_S


def test_an_account_is_kept_until_the_owner_has_forgotten_it():
    spending = account()
    spending.add(1.0, 100.0)
    spending.take(1.0, 100.0)
    spending.state(100.0)
    assert not spending.is_idle(109.0)
    spending.state(120.0)
    assert not spending.is_idle(120.0)
    assert spending.is_idle(150.0)
