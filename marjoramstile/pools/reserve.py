"""Room that less urgent requests leave for the expected arrivals of more urgent ones.

Designed for bursts of a less urgent class whose generations take all memory at once:
until the first of them end, more urgent requests with a shorter target find no place.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from marjoramstile.pools.decisions import (
    MEMORY_LIMIT_FRACTION,
    Generation,
    PoolSnapshot,
)

# Windows over which the arrivals of each class are measured; the short one shows that
# a burst has ended.
ARRIVALS_WINDOW_S = 4.0
SHORT_WINDOW_S = 1.0
# Standard deviations by which arrivals may exceed their expected number.
ARRIVALS_DEVIATIONS = 1.0
# Fraction of the ends of generations that make room for another one: some end at
# replicas that need several ends, as generations differ in size.
USABLE_ENDS_FRACTION = 0.8
# Largest part of the pool's memory that is reserved, so that the others are served.
MAX_RESERVED_FRACTION = 0.5

PriorityClass = tuple[int, int]


@dataclass(frozen=True)
class Arrival:
    """A new request of a class; ``wait_s`` is how long it may wait for its place."""

    priority_class: PriorityClass
    prompt_tokens: int
    output_tokens: int
    wait_s: float


@dataclass(frozen=True)
class ExpectedArrivals:
    """Expected requests: their rate, a typical generation, how long they may wait."""

    per_s: float
    typical: Generation
    wait_s: float


@dataclass
class _Sums:
    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    wait_s: float = 0.0

    def add(self, arrival: Arrival, sign: int) -> None:
        """Add an arrival, or remove it if ``sign`` is -1."""
        self.requests += sign
        self.prompt_tokens += sign * arrival.prompt_tokens
        self.output_tokens += sign * arrival.output_tokens
        self.wait_s += sign * arrival.wait_s


class _Window:
    """The arrivals of the last ``length_s`` seconds, and their sums by class."""

    def __init__(self, length_s: float):
        self._length_s = length_s
        self._recent: deque[tuple[float, Arrival]] = deque()
        self._sums: dict[PriorityClass, _Sums] = {}

    def __len__(self) -> int:
        """Return the number of classes."""
        return len(self._sums)

    def add(self, arrival: Arrival, now: float) -> None:
        """Add an arrival."""
        self._recent.append((now, arrival))
        self._sums.setdefault(arrival.priority_class, _Sums()).add(arrival, 1)

    def forget_old(self, now: float) -> int:
        """Forget arrivals before the window; return their number."""
        before = len(self._recent)
        while self._recent and self._recent[0][0] <= now - self._length_s:
            _, arrival = self._recent.popleft()
            sums = self._sums[arrival.priority_class]
            sums.add(arrival, -1)
            if not sums.requests:
                del self._sums[arrival.priority_class]
        return before - len(self._recent)

    def before(self, priority_class: PriorityClass) -> list[_Sums]:
        """Return the sums of the more urgent classes."""
        return [item for key, item in self._sums.items() if key < priority_class]


class ClassArrivals:
    """The arrivals of each priority class in the last seconds; a scheduler owns it.

    What is expected is kept until arrivals change, as each queued request asks for it.
    """

    def __init__(self):
        self._expected: dict[PriorityClass, ExpectedArrivals | None] = {}
        self._window = _Window(ARRIVALS_WINDOW_S)
        self._short_window = _Window(SHORT_WINDOW_S)

    def observe(self, arrival: Arrival, now: float) -> None:
        """Add a new request."""
        self._window.add(arrival, now)
        self._short_window.add(arrival, now)
        self._expected.clear()
        self.forget_old(now)

    def forget_old(self, now: float) -> None:
        """Forget arrivals before the windows."""
        for window in (self._window, self._short_window):
            if window.forget_old(now):
                self._expected.clear()

    @property
    def differ(self) -> bool:
        """Whether requests of more than one class have arrived."""
        return len(self._window) > 1

    def before(self, priority_class: PriorityClass) -> ExpectedArrivals | None:
        """Return the arrivals of all more urgent classes; None if there were none.

        They may wait as long as the least patient of these classes.
        """
        if priority_class not in self._expected:
            self._expected[priority_class] = self._expect(priority_class)
        return self._expected[priority_class]

    def _expect(self, priority_class: PriorityClass) -> ExpectedArrivals | None:
        sums = self._window.before(priority_class)
        if not sums:
            return None
        requests = sum(item.requests for item in sums)
        prompt = round(sum(item.prompt_tokens for item in sums) / requests)
        output = round(sum(item.output_tokens for item in sums) / requests)
        return ExpectedArrivals(
            min(requests / ARRIVALS_WINDOW_S, self._most_per_s(priority_class)),
            Generation(prompt, output, output),
            min(item.wait_s / item.requests for item in sums),
        )

    def _most_per_s(self, priority_class: PriorityClass) -> float:
        """Return the rate that the last second allows for, within a deviation."""
        sums = self._short_window.before(priority_class)
        requests = sum(item.requests for item in sums)
        return (requests + 1 + math.sqrt(requests)) / SHORT_WINDOW_S


def ends_s(pool: PoolSnapshot, decode_s_per_token: float) -> list[float]:
    """Return the times until the running generations are expected to end, sorted."""
    return sorted(
        item.remaining * decode_s_per_token
        for replica in pool.decode
        for item in replica.generations
    )


def places_needed(expected: ExpectedArrivals, ends: Sequence[float]) -> int:
    """Return how many places the expected arrivals need beside those that become free.

    Before the end number k, requests that arrived ``wait_s`` before it must have found
    a place in what is free now or in what k - 1 ends have freed.
    """
    needed = 0.0
    for number, end_s in enumerate(ends):
        arrivals = expected.per_s * max(0.0, end_s - expected.wait_s)
        arrivals += ARRIVALS_DEVIATIONS * math.sqrt(arrivals)
        needed = max(needed, arrivals - USABLE_ENDS_FRACTION * number)
    return math.ceil(needed)


def cap_of_reserve(pool: PoolSnapshot, typical: Generation) -> int:
    """Return how many places may be reserved at most."""
    peak = max(1, typical.tokens + typical.remaining)
    places = sum(
        min(replica.slots, int(MEMORY_LIMIT_FRACTION * replica.kv_tokens / peak))
        for replica in pool.decode
    )
    return int(MAX_RESERVED_FRACTION * places)


def leaves_places(
    pool: PoolSnapshot, generation: Generation, typical: Generation, places: int
) -> bool:
    """Return whether the pool keeps room for typical ones beside one more generation.

    The emptiest replicas are counted first, so that this is quick while there is
    plenty of room.
    """
    if places <= 0:
        return True
    peak = generation.tokens + generation.remaining
    taken = max(1, math.ceil(peak / max(1, typical.tokens + typical.remaining)))
    missing = places + taken
    for replica in sorted(pool.decode, key=lambda item: -item.free_tokens):
        missing -= 0 if replica.in_backoff else replica.count_fitting(typical)
        if missing <= 0:
            return True
    return False
