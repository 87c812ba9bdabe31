"""A daemon's own account of a workspace: what it holds, has spent and may spend alone.

Pure; ``now`` is the time of the event loop in seconds.
"""

import math
import random

from marjoramstile.quotas.accounts import LEASE_S, alone_part
from marjoramstile.quotas.messages import SpenderState
from marjoramstile.quotas.windows import EPSILON, Allowance, SpendWindow
from marjoramstile.workspaces.table import QuotaUnit

# Time whose spending a daemon wants to hold, and the part of it below which it asks for
# more before a request has to wait.
AHEAD_S = 0.5
REFILL_PART = 0.5
# Time for which a denial holds for this daemon's next requests, at most: the owner has
# new units whenever others return theirs.
DENIAL_MAX_S = 0.25
# Time whose units a daemon without an owner may save up.
ALONE_BURST_S = 0.5
# Pace of such a daemon, relative to its former one: the owner may have missed a part.
ALONE_PACE = 0.9
# Time without spending after which an account is dropped. An owner remembers what a
# daemon has spent in total for two windows after its last message, and the total of a
# new account begins at 0.
KEPT_WINDOWS = 3
KEPT_S = 10.0
# Longest wait that a refused request is told.
RETRY_MAX_S = 60.0


class SpendingAccount:
    """One daemon's units of a workspace."""

    def __init__(self, workspace: str, unit: QuotaUnit, window_s: float):
        self.workspace = workspace
        self.unit = unit
        self.allowance = Allowance(0.0, 0.0)
        self._window_s = window_s
        self._keep_s = KEPT_WINDOWS * window_s + KEPT_S
        self._balance = 0.0
        self._granted_level = 0.0
        self._lease_until = 0.0
        self._spent = 0.0
        self._recent = SpendWindow(window_s)
        self._contact_at = -math.inf
        self._contact_recent = 0.0
        self._contact_free = 0.0
        self._alone = 0.0
        self._used = 0.0
        self._denied_until = 0.0
        self._denied_units = 0.0
        self._free_at = 0.0
        self._promised_until = 0.0
        self._reported_recent = 0.0
        self._used_at = 0.0
        self.changed = False
        # When this account is to be looked at next.
        self.due_at = 0.0

    @property
    def key(self) -> tuple[str, QuotaUnit]:
        """Name of the workspace, and what its quota counts."""
        return self.workspace, self.unit

    def state(self, now: float) -> SpenderState:
        """Return what messages say of this account."""
        balance = self.balance(now)
        self.changed = False
        self._reported_recent = self._recent.total(now)
        return SpenderState(
            self.workspace, self.unit, self._spent, balance, self._reported_recent
        )

    def wants_report(self, now: float) -> bool:
        """Return whether the owner needs to know what was spent in the window."""
        recent = max(self._reported_recent, self._recent.total(now))
        return self.allowance.is_significant(recent)

    def balance(self, now: float) -> float:
        """Return the units that may be spent without asking; drop lapsed ones."""
        if self._balance and now >= self._lease_until:
            self._balance = 0.0
            self.changed = True
        return self._balance

    def recent(self, now: float) -> float:
        """Return the units spent in the last window."""
        return self._recent.total(now)

    def take(self, units: float, now: float) -> bool:
        """Spend units of the balance, if there are enough."""
        balance = self.balance(now)
        if units > balance * (1 + EPSILON):
            return False
        self._balance = max(0.0, balance - units)
        self._spend(units, now)
        return True

    def _spend(self, units: float, now: float) -> None:
        self._used_at = now
        self._spent += units
        self._recent.add(units, now)

    def give_back(self, units: float, now: float) -> None:
        """Return the units of a request that did not run."""
        self._balance = self.balance(now) + units
        self._lease_until = max(self._lease_until, now + LEASE_S)
        self._spent -= units
        self._recent.remove(units, now)
        self._denied_until = now
        self.changed = True

    def add(self, units: float, asked_at: float) -> None:
        """Add units that were granted to a request for them."""
        self._balance = self.balance(asked_at) + units
        self._granted_level = self._balance
        self.due_at = min(self.due_at, asked_at + LEASE_S)
        self._lease_until = max(self._lease_until, asked_at + LEASE_S)

    def return_surplus(self, now: float) -> None:
        """Return units that were granted for requests that they don't suffice for."""
        kept = self.wanted_ahead(0.0, now)
        if self.balance(now) > kept:
            self._balance = kept
            self.changed = True

    def record_contact(self, used: float, now: float) -> None:
        """Record an owner's answer; ``used`` are the units that all have used."""
        self._contact_at = now
        self._used = used
        self._alone = 0.0
        self._contact_recent = self._recent.total(now)
        share = self._contact_recent / max(used, self._contact_recent, EPSILON)
        free = min(self.allowance.units - used, self.allowance.margin)
        self._contact_free = share * max(0.0, free)

    def wanted_ahead(self, need: float, now: float) -> float:
        """Return the units to hold: what was spent in the last part of a second.

        ``need`` is what is about to be spent; a single request asks for no more.
        """
        spent = self._recent.total_since(now - AHEAD_S)
        return spent + need if spent > 0 else 0.0

    def wants_refill(self, now: float) -> bool:
        """Return whether to ask for units before a request needs them."""
        wanted = min(self._granted_level, self.wanted_ahead(0.0, now))
        return self.balance(now) < REFILL_PART * wanted

    def take_alone(self, units: float, daemons: int | None, now: float) -> bool:
        """Spend units without an owner, if this daemon's share allows it.

        For a window after the last contact it goes on at the pace it had; later, it may
        use an equal share. ``daemons`` is None if unknown.
        """
        if units > self._alone_left(daemons, now):
            return False
        self._alone += units
        self._spend(units, now)
        return True

    def _alone_left(self, daemons: int | None, now: float) -> float:
        """Return the units that may be spent now without an owner."""
        recent = self._recent.total(now)
        silent_s = now - self._contact_at
        if silent_s > self._window_s:
            equal = 0.0 if daemons is None else self.allowance.units / max(1, daemons)
            return equal * (1 + EPSILON) - recent
        before = self._contact_recent
        part = ALONE_PACE * alone_part(silent_s, self._window_s)
        paced = before * part - self._alone
        # What could not be used at its time is not made up for: the owner holds back
        # no more than the pace.
        saved = max(1.0, before * ALONE_BURST_S / self._window_s)
        self._alone += max(0.0, paced - saved)
        return min(paced, saved, before - recent) + self._contact_free

    def wait_alone_s(self, units: float, daemons: int | None, now: float) -> float:
        """Return the time until this daemon's share allows a request."""
        return self._recent.wait_s(units - self._alone_left(daemons, now), now)

    def deny(self, units: float, wait_s: float, now: float) -> None:
        """Record a denial, which holds for requests of this size and larger ones."""
        if now < self._denied_until:
            units = min(units, self._denied_units)
        self._free_at = now + wait_s
        self._denied_until = now + min(wait_s, DENIAL_MAX_S)
        self._denied_units = units

    def denied_s(self, units: float, now: float) -> float:
        """Return the time until a denied request fits; 0 if no denial holds for it."""
        if units < self._denied_units or now >= self._denied_until:
            return 0.0
        return max(0.0, self._free_at - now)

    def refill_s(self, units: float) -> float:
        """Return the time in which as many units become free, about."""
        return units * self._window_s / max(EPSILON, self.allowance.units)

    def promise_s(
        self, units: float, wait_s: float, rng: random.Random, now: float
    ) -> float:
        """Return after how many seconds a refused caller should come again.

        Each gets a time of its own, in the pace at which units become free for this
        daemon. Beyond a window, times are random in the second half of one.
        """
        pace_s = units * self._window_s / max(EPSILON, self._own_part(now))
        pace_s = min(pace_s, self._window_s)
        promised_s = max(wait_s, self._promised_until - now)
        if promised_s > self._window_s:
            first_s = max(wait_s, 0.5 * self._window_s)
            promised_s = rng.uniform(first_s, max(first_s, self._window_s))
        else:
            self._promised_until = now + min(promised_s + pace_s, self._window_s)
        return min(promised_s, RETRY_MAX_S)

    def _own_part(self, now: float) -> float:
        """Return the units of the allowance that this daemon uses, about."""
        recent = self._recent.total(now)
        share = recent / self._used if self._used > recent > 0 else 1.0
        return share * self.allowance.units

    def is_idle(self, now: float) -> bool:
        """Return whether nothing would be lost with this account."""
        if self.balance(now) or self.changed or self._recent.total(now):
            return False
        return now >= max(self._denied_until, self._used_at + self._keep_s)
