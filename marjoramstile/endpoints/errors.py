"""Failures of requests to endpoints, and whether the request can have run."""

from dataclasses import dataclass
from enum import StrEnum


class EndpointProblem(StrEnum):
    """Kinds of failures, by what they imply about whether the request ran."""

    UNREACHABLE = "unreachable"
    LOST = "lost"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    GONE = "gone"


@dataclass(frozen=True)
class EndpointError:
    """A failed request to an endpoint.

    UNREACHABLE: no connection was made, so the request did not run. LOST: the
    connection broke after sending, or the endpoint answered with a server error.
    TIMEOUT: no answer in time. REFUSED: the endpoint declined without running it.
    GONE: what the request refers to no longer exists.
    """

    problem: EndpointProblem
    detail: str

    @property
    def known_not_run(self) -> bool:
        """Whether the endpoint can't have run the request."""
        return self.problem in (EndpointProblem.UNREACHABLE, EndpointProblem.REFUSED)


class EndpointFailedError(Exception):
    """Raised when a stream from an endpoint fails."""

    def __init__(self, endpoint: str, error: EndpointError):
        super().__init__(f"{endpoint}: {error.problem} ({error.detail})")
        self.endpoint = endpoint
        self.error = error
