"""Types of routed requests, their answers and their errors."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from marjoramstile.routes.table import Route
from marjoramstile.utils import content_fingerprint
from marjoramstile.workspaces.table import Workspace

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class GenerationSize:
    """Tokens of a generation; ``expected_output`` is the caller's estimate."""

    prompt: int
    max_output: int
    expected_output: int


@dataclass
class SendRecord:
    """To how many replicas a request has been sent that may run it, or have run it."""

    count: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request."""
        return self.count > 0


@dataclass(frozen=True)
class RoutedRequest:
    """One attempt of a caller: opaque bytes with their route and service.

    ``arrived`` and ``deadline`` are loop times; at the deadline the caller's or the
    route's timeout ends. ``target`` is the raw path with its query. ``size`` is None
    if the request is not a generation. ``resume_after`` is the id of the last event
    that the caller has received. ``shared_parts`` are the ids of the prompt's parts in
    order, without the last one, which belongs to the request or its session.
    ``resumes`` is the id of the caller's attempt that brought the first event of a
    stream that this one takes up; None if it names none. ``is_carried`` means that
    another VM's daemon has sent it, which reaches no replicas. ``sends`` is kept up to
    date while the request runs. ``credentials`` are the values of the caller's
    Authorization headers; replicas don't get them if ``hides_credentials``.
    ``workspace`` is the caller's; None if it named none.
    """

    id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    service: str
    arrived: float
    deadline: float
    size: GenerationSize | None = None
    resume_after: int | None = None
    shared_parts: tuple[str, ...] = ()
    resumes: str | None = None
    is_carried: bool = False
    sends: SendRecord = field(default_factory=SendRecord, compare=False)
    credentials: tuple[str, ...] = field(default=(), repr=False)
    hides_credentials: bool = False
    workspace: Workspace | None = None

    @property
    def workspace_priority(self) -> int:
        """The rank that goes before the route's priority; 0 is the highest."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    @property
    def is_take_up(self) -> bool:
        """Whether the caller has events of this stream from an earlier attempt."""
        return self.resume_after is not None or self.resumes is not None

    @cached_property
    def content(self) -> str:
        """Fingerprint of the request; the same when a caller retries it."""
        return content_fingerprint(self.method, self.route.host, self.target, self.body)


@dataclass(frozen=True)
class Reply:
    """A replica's complete answer.

    ``reservation`` holds the memory of the body while there is a reference to it.
    """

    status: int
    headers: Headers
    body: bytes
    reservation: object = field(default=None, compare=False, repr=False)


class RefusalReason(StrEnum):
    """Why a request was not run."""

    NOT_CONFIGURED = "not_configured"
    NO_REPLICA = "no_replica"
    PAUSED = "replicas_want_pause"
    LIMITED = "replicas_limit_requests"
    QUOTA = "workspace_quota_spent"
    NO_MEMORY = "no_memory"
    SHED = "shed"
    BUDGET = "retry_budget_spent"
    QUARANTINED = "crashes_replicas"
    VERSION_UNKNOWN = "stream_version_unknown"
    VERSION_GONE = "stream_version_gone"
    STOPPING = "stopping"
    TIMED_OUT = "timed_out"
    NO_CONNECTION = "too_many_connections"


class RequestRefusedError(Exception):
    """The request has not run and will not; the caller may retry it."""

    def __init__(self, reason: RefusalReason, retry_after_s: float):
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class OutcomeUnknownError(Exception):
    """The request was sent and may have run; its outcome is not known."""

    def __init__(self, message: str, timed_out: bool = False):
        super().__init__(message)
        self.timed_out = timed_out


class StreamBrokenError(Exception):
    """A stream of which the caller has received a part can't be completed."""


class CallerDisconnectedError(Exception):
    """The caller's connection closed while its response was being sent."""


class ReplicaError(Exception):
    """A replica gave no usable answer."""


class NotSentError(ReplicaError):
    """No connection to the replica: it has not received the request."""


class NoDescriptorError(NotSentError):
    """This process can open no more connections; the replica has not failed."""


class OutdatedChoiceError(NotSentError):
    """The replica was chosen when it took requests, and takes no more of them."""


class NotExecutedError(ReplicaError):
    """The replica's answer states that it did not run the request."""

    def __init__(self, status: int):
        super().__init__(f"status {status}")
        self.status = status


class MisdirectedError(NotExecutedError):
    """Another replica, or one of another stage, answered at the address."""


class AnswerLostError(ReplicaError):
    """The request was sent and no complete answer arrived: it may have run."""


@dataclass(frozen=True)
class Hold:
    """A slot and memory reserved at a decode replica."""

    id: str
    tokens: int


@dataclass(frozen=True)
class KVHandle:
    """A prefilled KV cache kept by a replica for a short time."""

    address: str
    id: str


@dataclass(frozen=True)
class SendOptions:
    """What the router adds to a request that it sends to a replica."""

    hold: Hold | None = None
    source: KVHandle | None = None
    resume_after: int | None = None
    extra: Headers = field(default=())
