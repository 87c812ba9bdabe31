"""The owner's account: what daemons have spent and hold, and what it takes over."""

import pytest

from marjoramstile.quotas.accounts import (
    HANDOVER_S,
    LEASE_LAPSE_S,
    QuotaAccount,
    alone_part,
    silent_part,
)
from marjoramstile.quotas.messages import Sender, SpenderState
from marjoramstile.quotas.windows import Allowance
from marjoramstile.workspaces.table import QuotaUnit

WINDOW_S = 8.0
ALLOWANCE = Allowance(units=100.0, margin=10.0)
LIMIT = 110.0


class Spender:
    """A daemon's messages to an account."""

    def __init__(self, account: QuotaAccount, vm: str = "vm-1"):
        self.account = account
        self.vm = vm
        self.number = 0
        self.spent = 0.0

    def tell(self, held: float, recent: float, now: float) -> bool:
        """Send the state."""
        self.number += 1
        state = SpenderState("first", QuotaUnit.REQUESTS, self.spent, held, recent)
        return self.account.report(Sender(self.vm, "i", self.number), state, now)

    def ask(self, need: float, first: float, ahead: float, now: float, held=0.0):
        """Ask for units; return the grant."""
        self.tell(held, self.spent, now)
        return self.account.grant(self.vm, (need, first, ahead), ALLOWANCE, LIMIT, now)


def account() -> QuotaAccount:
    """Return an account that this daemon has owned for long."""
    return QuotaAccount(WINDOW_S, owned_since=0.0)


def test_units_are_granted_up_to_the_limit_and_the_wait_holds():
    spender = Spender(account())
    assert spender.ask(110.0, 1.0, 0.0, 100.0).granted == pytest.approx(110.0)
    spender.spent = 110.0
    grant = spender.ask(1.0, 1.0, 0.0, 102.0)
    assert grant.granted == 0
    assert 5.9 <= grant.wait_s <= 6.1
    later = 102.0 + grant.wait_s
    assert spender.ask(1.0, 1.0, 0.0, later).granted >= 1.0


def test_a_grant_that_never_arrived_is_free_after_the_next_message():
    """Each lost answer would otherwise count as spent for a window."""
    spender = Spender(account())
    spender.ask(60.0, 1.0, 0.0, 100.0)
    assert spender.account.used(ALLOWANCE, 100.0) == pytest.approx(60.0)
    spender.tell(0.0, 0.0, 100.2)
    assert spender.account.used(ALLOWANCE, 100.2) == 0.0


def test_units_that_daemons_hold_stay_within_half_of_the_margin():
    """What is held elsewhere must not make requests within the quota fail."""
    owned = account()
    for number in range(5):
        Spender(owned, f"vm-{number}").ask(0.0, 0.0, 3.0, 100.0)
    assert owned.used(ALLOWANCE, 100.0) == pytest.approx(5.0)


def test_units_of_a_lapsed_lease_count_as_spent_until_the_daemon_tells():
    owned = account()
    spender = Spender(owned)
    spender.ask(0.0, 0.0, 3.0, 100.0)
    now = 100.0 + LEASE_LAPSE_S
    owned.update(ALLOWANCE, 10, {"vm-1"}, now)
    assert owned.used(ALLOWANCE, now) == pytest.approx(3.0)
    spender.spent = 1.0
    spender.tell(0.0, 1.0, now + 0.1)
    assert owned.used(ALLOWANCE, now + 0.1) == pytest.approx(1.0)


def test_an_older_message_is_ignored():
    owned = account()
    spender = Spender(owned)
    spender.spent = 5.0
    spender.tell(0.0, 5.0, 100.0)
    spender.number = 0
    spender.spent = 0.0
    assert not spender.tell(0.0, 0.0, 100.1)
    assert owned.used(ALLOWANCE, 100.1) == 5.0


def test_an_account_that_was_taken_over_is_full_and_forgets_evenly():
    taken = QuotaAccount(WINDOW_S, owned_since=100.0)
    assert taken.used(ALLOWANCE, 100.0) == pytest.approx(105.0)
    half = 100.0 + HANDOVER_S + 0.5 * WINDOW_S
    assert taken.used(ALLOWANCE, half) == pytest.approx(52.5)
    assert taken.used(ALLOWANCE, 100.0 + HANDOVER_S + WINDOW_S) == 0.0


def test_what_daemons_tell_to_a_new_owner_is_not_forgotten_early():
    """All of the quota may have been spent right before the former owner died."""
    taken = QuotaAccount(WINDOW_S, owned_since=100.0)
    Spender(taken).tell(0.0, 90.0, 104.0)
    assert taken.used(ALLOWANCE, 104.0) == pytest.approx(90.0)


def test_units_are_held_back_for_a_daemon_that_fell_silent():
    owned = account()
    spender = Spender(owned)
    spender.spent = 80.0
    spender.tell(0.0, 80.0, 100.0)
    owned.update(ALLOWANCE, 10, set(), 100.0 + WINDOW_S)
    held_back = owned.held_back(ALLOWANCE, 1, 10)
    assert held_back == pytest.approx(80.0 * silent_part(8.0, 8.0) - 10.0)
    owned.update(ALLOWANCE, 10, set(), 100.0 + 2 * WINDOW_S)
    assert owned.held_back(ALLOWANCE, 1, 10) == 0.0


def test_what_is_held_back_covers_what_a_daemon_may_spend_alone():
    """Whatever is spent alone at its pace, the part within a window is held back."""
    for tenths in range(200):
        silent_s = tenths / 10
        in_window = alone_part(silent_s, 8.0) - alone_part(silent_s - 8.0, 8.0)
        held = silent_part(silent_s, 8.0)
        assert held >= in_window - alone_part(silent_s - 8.0, 8.0) - 1e-9
        assert 0.0 <= held <= 1.0


def test_a_request_larger_than_the_limit_is_granted_if_nothing_else_runs():
    """It could never run otherwise."""
    wide = Allowance(units=100.0, margin=10.0)
    owned = account()
    spender = Spender(owned)
    spender.tell(0.0, 0.0, 100.0)
    grant = owned.grant("vm-1", (118.0, 118.0, 0.0), wide, LIMIT, 100.0)
    assert grant.granted == 118.0
    spender.spent = 118.0
    spender.tell(0.0, 118.0, 100.1)
    again = owned.grant("vm-1", (118.0, 118.0, 0.0), wide, LIMIT, 100.1)
    assert (again.granted, again.wait_s > 0) == (0.0, True)
