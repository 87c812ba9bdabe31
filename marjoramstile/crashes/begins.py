"""What one daemon knows of requests that replicas have begun to answer."""

from collections import OrderedDict
from dataclasses import dataclass

from marjoramstile.crashes.evidence import NO_BEGINS, Begins
from marjoramstile.crashes.keys import RequestKeys

# Requests are counted in periods of this length, the current and the last one.
PERIOD_S = 150.0
# Keys of each kind that are kept, those used last.
KEYS_KEPT = 4096
# Stands for all requests of a service.
ANY_KEY = ""


@dataclass
class _Count:
    sent_at: float
    period: int
    count: int = 0
    last_count: int = 0

    def add(self, sent_at: float, period: int) -> None:
        self.move_to(period)
        self.count += 1
        self.sent_at = max(self.sent_at, sent_at)

    def move_to(self, period: int) -> None:
        if period != self.period:
            self.last_count = self.count if period == self.period + 1 else 0
            self.count = 0
            self.period = period


class BeginLog:
    """Counts requests that began, by service and key."""

    def __init__(self):
        self._parts: OrderedDict[tuple[str, str], _Count] = OrderedDict()
        self._contents: OrderedDict[tuple[str, str], _Count] = OrderedDict()
        self._services: OrderedDict[tuple[str, str], _Count] = OrderedDict()

    def record(
        self, service: str, request: RequestKeys, sent_at: float, now: float
    ) -> None:
        """Record that a replica began to answer a request sent at ``sent_at``."""
        period = int(now // PERIOD_S)
        _record(self._services, (service, ANY_KEY), sent_at, period)
        _record(self._contents, (service, request.content), sent_at, period)
        for part in request.parts:
            _record(self._parts, (service, part), sent_at, period)

    def begins(self, service: str, key: str, now: float) -> Begins:
        """Return the begins of a key."""
        for counts in (self._parts, self._contents, self._services):
            count = counts.get((service, key))
            if count is not None:
                count.move_to(int(now // PERIOD_S))
                return Begins(count.count + count.last_count, count.sent_at)
        return NO_BEGINS


def _record(
    counts: OrderedDict[tuple[str, str], _Count],
    key: tuple[str, str],
    sent_at: float,
    period: int,
) -> None:
    if key not in counts:
        counts[key] = _Count(sent_at, period)
        if len(counts) > KEYS_KEPT:
            counts.popitem(last=False)
    counts.move_to_end(key)
    counts[key].add(sent_at, period)
