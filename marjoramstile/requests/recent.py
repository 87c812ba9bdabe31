"""Recent completions by workspace and idempotency key, on one daemon."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

MAX_RECENT_REQUESTS = 1024


class RequestState(StrEnum):
    """State of a completion."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"


@dataclass(frozen=True)
class RecentRequest:
    """A completion, its state and, once it is done, its text."""

    request_id: str
    content: str
    state: RequestState
    text: str = ""


class RecentRequests:
    """Bounded in-memory table of the newest requests; the oldest are evicted."""

    def __init__(self):
        self._requests: OrderedDict[tuple[str, str], RecentRequest] = OrderedDict()

    def get(self, workspace: str, key: str) -> RecentRequest | None:
        """Return the request stored under a workspace's key, if any."""
        return self._requests.get((workspace, key))

    def put(self, workspace: str, key: str, request: RecentRequest) -> None:
        """Store a request; one without a key can't be looked up and isn't stored."""
        if not key:
            return
        self._requests[workspace, key] = request
        self._requests.move_to_end((workspace, key))
        if len(self._requests) > MAX_RECENT_REQUESTS:
            self._requests.popitem(last=False)
