"""Sums over a sliding window, and the numbers that follow from a quota.

All is pure; ``now`` is the time of the event loop in seconds.
"""

import math
from collections import deque
from dataclasses import dataclass

from marjoramstile.routes.requests import GenerationSize
from marjoramstile.workspaces.table import Quota, QuotaUnit

DEFAULT_WINDOW_S = 8.0
DEFAULT_OVERAGE = 0.1
DEFAULT_SLACK = 0.0
# Parts of a window that are told apart: units leave it up to one part late.
SLICES = 256
# Part of the overage and of the slack that an owner uses itself. The rest covers
# daemons that spend without it.
OWNER_PART = 0.5
# Part of the allowance from which a daemon's spending matters to the others: it tells
# the owner each second, and the owner holds units back while it is silent.
SIGNIFICANT_PART = 0.01
# Rounding error of a sum of units, relative to the sum.
EPSILON = 1e-9


@dataclass(frozen=True)
class QuotaBounds:
    """The window of quotas, and by how much one may be exceeded in it.

    ``slack`` is in units of the quota, for all daemons together.
    """

    window_s: float = DEFAULT_WINDOW_S
    overage: float = DEFAULT_OVERAGE
    slack: float = DEFAULT_SLACK


@dataclass(frozen=True)
class Allowance:
    """Units that a workspace may use in a window.

    What is within ``units`` is not refused; ``margin`` are further units that the
    owner may grant, and as many again that others may spend without it.
    """

    units: float
    margin: float

    @classmethod
    def of(cls, quota: Quota, bounds: QuotaBounds) -> "Allowance":
        """Return the allowance of a quota."""
        units = quota.rate_per_s * bounds.window_s + quota.burst
        margin = OWNER_PART * (units * bounds.overage + bounds.slack)
        return cls(units, margin)

    def is_significant(self, recent: float) -> bool:
        """Return whether a daemon that has spent so much in the window matters."""
        return recent > 0 and recent >= SIGNIFICANT_PART * self.units

    @property
    def most(self) -> float:
        """The bound on what all daemons together may use in a window."""
        return self.units + self.margin / OWNER_PART


def units_of(quota: Quota, size: GenerationSize | None) -> float:
    """Return what a request counts."""
    if quota.unit != QuotaUnit.TOKENS:
        return 1.0
    if size is None:
        return float(quota.plain_tokens)
    return float(size.prompt + size.max_output)


class SpendWindow:
    """Units spent in a sliding window, in slices.

    A slice leaves when all of it is older than the window, so that the total is never
    less than what was spent in the window.
    """

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._slice_s = window_s / SLICES
        self._slices: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, units: float, now: float) -> None:
        """Record units that are spent now."""
        self._trim(now)
        index = math.floor(now / self._slice_s)
        if self._slices and self._slices[-1][0] >= index:
            self._slices[-1][1] += units
        else:
            self._slices.append([index, units])
        self._total += units

    def remove(self, units: float, now: float) -> None:
        """Remove units that were not spent after all, the newest first."""
        self._trim(now)
        while units > 0 and self._slices:
            taken = min(units, self._slices[-1][1])
            self._slices[-1][1] -= taken
            self._total -= taken
            units -= taken
            if self._slices[-1][1] <= 0:
                self._slices.pop()
        if not self._slices:
            self._total = 0.0

    def total(self, now: float) -> float:
        """Return the units spent in the window."""
        self._trim(now)
        return self._total

    def total_since(self, at: float) -> float:
        """Return the units of the slices that began at a time or later."""
        total = 0.0
        for index, units in reversed(self._slices):
            if index * self._slice_s < at:
                break
            total += units
        return total

    def wait_s(self, units: float, now: float) -> float:
        """Return the time until as many units have left the window."""
        self._trim(now)
        left = 0.0
        for index, spent in self._slices:
            left += spent
            if left >= units * (1 - EPSILON):
                return max(0.0, self._end_s(index) - now)
        return self._window_s

    def _end_s(self, index: float) -> float:
        return (index + 1) * self._slice_s + self._window_s

    def _trim(self, now: float) -> None:
        while self._slices and self._end_s(self._slices[0][0]) <= now:
            self._total -= self._slices.popleft()[1]
        if not self._slices:
            self._total = 0.0
