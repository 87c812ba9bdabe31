"""Requests that were refused or failed and whose callers are expected to retry."""

from collections import OrderedDict

# A retry that comes this much before its time still counts as one at that time.
EARLY_TOLERANCE_S = 0.1
# A caller that has not retried this long after its retry time is no longer expected.
GRACE_S = 6.0
MAX_ENTRIES = 4096


class ExpectedRetries:
    """Retry times by the hash of a request's content; a pool's scheduler owns them."""

    def __init__(self):
        self._expected: OrderedDict[str, float] = OrderedDict()

    def expect(self, content: str, due: float) -> None:
        """Record that a request may be retried from ``due`` on."""
        self._expected[content] = due
        self._expected.move_to_end(content)
        if len(self._expected) > MAX_ENTRIES:
            self._expected.popitem(last=False)

    def is_retry(self, content: str, now: float) -> bool:
        """Return whether a request is an expected retry."""
        due = self._expected.get(content)
        return due is not None and now <= due + GRACE_S

    def is_early(self, content: str, now: float) -> bool:
        """Return whether a request is a retry before the time it was told to wait."""
        due = self._expected.get(content)
        return due is not None and now < due - EARLY_TOLERANCE_S

    def forget(self, content: str) -> None:
        """Remove a request that has been served."""
        self._expected.pop(content, None)

    def pending_count(self, now: float) -> int:
        """Return the number of requests whose retry time has not yet come."""
        while self._expected:
            oldest = next(iter(self._expected.values()))
            if now <= oldest + GRACE_S:
                break
            self._expected.popitem(last=False)
        return sum(due >= now for due in self._expected.values())
