"""Service-level burn: how fast each service consumes its error budget."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from marjoramstile.logs import get_logger

OBJECTIVE = 0.95
BUCKET_S = 10.0
WINDOWS_S = {"5m": 300.0, "1h": 3600.0, "6h": 21600.0}
MAX_BUCKETS = int(max(WINDOWS_S.values()) / BUCKET_S)
# Maximum of (service, class) pairs; six hours of buckets take up to 200 KB a pair.
KEYS_MAX = 64

logger = get_logger(__name__)


@dataclass(frozen=True)
class BurnRow:
    """Burn of one service and class over one window.

    ``bad`` of ``total`` answers failed or missed their targets. ``burn_rate`` is 1
    if the share of bad answers is exactly the one that the objective allows.
    """

    service: str
    service_class: str
    window: str
    total: int
    bad: int
    burn_rate: float


@dataclass(slots=True)
class _Bucket:
    index: int
    total: int = 0
    bad: int = 0


class BurnReport:
    """Counts good and bad answers by service and class in buckets of BUCKET_S."""

    def __init__(self):
        self._buckets: dict[tuple[str, str], deque[_Bucket]] = {}

    def record(self, service: str, service_class: str, good: bool, now: float) -> None:
        """Count an answer: ``good`` if it met its targets.

        Answers of pairs beyond the first KEYS_MAX are logged and not counted.
        """
        key = service, service_class
        if key not in self._buckets:
            if len(self._buckets) >= KEYS_MAX:
                logger.warning("burn_not_counted", service=service)
                return
            self._buckets[key] = deque(maxlen=MAX_BUCKETS)
        buckets = self._buckets[key]
        index = int(now // BUCKET_S)
        if not buckets or buckets[-1].index != index:
            buckets.append(_Bucket(index))
        buckets[-1].total += 1
        buckets[-1].bad += not good

    def rows(self, now: float) -> list[BurnRow]:
        """Return the burn of each service and class over each window."""
        return [
            self._row(key, window, now)
            for key in sorted(self._buckets)
            for window in WINDOWS_S
        ]

    def _row(self, key: tuple[str, str], window: str, now: float) -> BurnRow:
        first = int((now - WINDOWS_S[window]) // BUCKET_S)
        recent = [bucket for bucket in self._buckets[key] if bucket.index > first]
        total = sum(bucket.total for bucket in recent)
        bad = sum(bucket.bad for bucket in recent)
        return BurnRow(*key, window, total, bad, burn_rate(total, bad))


def burn_rate(total: int, bad: int) -> float:
    """Return the share of bad answers divided by the share that is allowed."""
    if total == 0:
        return 0.0
    return round(bad / total / (1 - OBJECTIVE), 3)


def merge_burn_rows(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Merge the rows of several daemons by service, class and window."""
    merged: dict[tuple[str, str, str], dict[str, Any]] = {}
    for row in rows:
        key = row["service"], row["service_class"], row["window"]
        total = merged.setdefault(key, {**row, "total": 0, "bad": 0})
        total["total"] += row["total"]
        total["bad"] += row["bad"]
        total["burn_rate"] = burn_rate(total["total"], total["bad"])
    return list(merged.values())
