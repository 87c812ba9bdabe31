"""Headroom for work in time: slots that late work must leave free."""

import math

AVERAGING_S = 10.0
SHORTAGE_STEP = 0.5
MARGIN_SLOTS = 1.0


class Headroom:
    """Estimates how many slots work in time needs, with a margin for bursts.

    The estimate is an exponential moving average of the slots that work in time
    holds; each shortage raises it by a fixed step. One instance per engine.
    """

    def __init__(self, slots: int):
        self._slots = slots
        self._level = 0.0
        self._updated_at: float | None = None

    def observe(self, in_time_held: int, now: float) -> None:
        """Add the number of slots held by work in time since the last observation."""
        if self._updated_at is not None:
            weight = 1 - math.exp(-(now - self._updated_at) / AVERAGING_S)
            self._level += weight * (in_time_held - self._level)
        self._updated_at = now

    def observe_shortage(self) -> None:
        """Raise the estimate after work in time has found no free slot."""
        self._level = min(self._slots - 1.0, self._level + SHORTAGE_STEP)

    def headroom_slots(self, in_time_held: int) -> int:
        """Return how many free slots late work must leave."""
        if self._level < MARGIN_SLOTS / 2:
            return 0
        wanted = math.ceil(self._level + math.sqrt(self._level) + MARGIN_SLOTS)
        return max(0, min(self._slots - 1, wanted) - in_time_held)
