"""What can go wrong when an endpoint is asked to do something."""

from dataclasses import dataclass
from enum import StrEnum


class EndpointProblem(StrEnum):
    """Kinds of failures, by what they say about whether the request ran."""

    UNREACHABLE = "unreachable"
    LOST = "lost"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    GONE = "gone"


@dataclass(frozen=True)
class EndpointError:
    """A failed request to an endpoint.

    UNREACHABLE: no connection, surely not run. LOST: the connection broke after
    sending. TIMEOUT: no answer. REFUSED: the endpoint declined without running it.
    GONE: what the request refers to no longer exists.
    """

    problem: EndpointProblem
    detail: str

    @property
    def surely_not_run(self) -> bool:
        """Whether the endpoint can't have run the request."""
        return self.problem in (EndpointProblem.UNREACHABLE, EndpointProblem.REFUSED)


class EndpointFailedError(Exception):
    """Raised where a stream of an endpoint breaks off."""

    def __init__(self, endpoint: str, error: EndpointError):
        super().__init__(f"{endpoint}: {error.problem} ({error.detail})")
        self.endpoint = endpoint
        self.error = error
