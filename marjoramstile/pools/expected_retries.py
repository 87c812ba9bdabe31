"""Requests that were refused or lost and whose callers are expected to come back."""

from collections import OrderedDict

# A caller who has not come back this long after the time it was told won't.
GRACE_S = 6.0
MAX_ENTRIES = 4096


class ExpectedRetries:
    """Contents of requests by the time at which they may be back."""

    def __init__(self):
        self._expected: OrderedDict[str, float] = OrderedDict()

    def expect(self, content: str, due: float) -> None:
        """Note that a request may be back at ``due``."""
        self._expected[content] = due
        self._expected.move_to_end(content)
        if len(self._expected) > MAX_ENTRIES:
            self._expected.popitem(last=False)

    def is_retry(self, content: str, now: float) -> bool:
        """Tell whether a request was here before."""
        due = self._expected.get(content)
        return due is not None and now <= due + GRACE_S

    def forget(self, content: str) -> None:
        """Note that a request was served."""
        self._expected.pop(content, None)

    def due(self, now: float) -> int:
        """Return how many were told to come back later than now."""
        while self._expected:
            oldest = next(iter(self._expected.values()))
            if now <= oldest + GRACE_S:
                break
            self._expected.popitem(last=False)
        return sum(due >= now for due in self._expected.values())
