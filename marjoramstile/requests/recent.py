"""Recent completions by workspace and idempotency key, on one daemon."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

KEEP_MAX = 1024


class RequestState(StrEnum):
    """How far a request has come."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "outcome_unknown"


@dataclass(frozen=True)
class RecentRequest:
    """A completion and, when it is done, its text."""

    request_id: str
    content: str
    state: RequestState
    text: str = ""


class RecentRequests:
    """Keeps the newest requests in memory."""

    def __init__(self):
        self._requests: OrderedDict[tuple[str, str], RecentRequest] = OrderedDict()

    def get(self, workspace: str, key: str) -> RecentRequest | None:
        """Return the request of a workspace's key."""
        return self._requests.get((workspace, key))

    def put(self, workspace: str, key: str, request: RecentRequest) -> None:
        """Keep a request; without a key there is nothing to find it by."""
        if not key:
            return
        self._requests[workspace, key] = request
        self._requests.move_to_end((workspace, key))
        if len(self._requests) > KEEP_MAX:
            self._requests.popitem(last=False)
