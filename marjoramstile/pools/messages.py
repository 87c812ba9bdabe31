"""Messages between daemons and the scheduler of a pool.

Datagrams hold the values of the fields in the order of their declaration, without
optional ones at the end that have their defaults.
"""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import Any

from marjoramstile.pools.speeds import ReplicaSpeed
from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.routes.requests import RefusalReason

# Metadata key of fields that datagrams may lack.
OPTIONAL = "optional"


def optional_field(default: str | float | None) -> Any:
    """Return a field that datagrams hold only up to the last one that is not default.

    A field that is added to a message has to be optional, and the last one: daemons of
    the version before don't send it, and reject messages that have it.
    """
    return field(default=default, metadata={OPTIONAL: True})


class Urgency(IntEnum):
    """Classes of waiting requests, in the order in which they are placed."""

    RESUMED = 0
    ON_TIME = 1
    LATE = 2


def placement_id(daemon: str, number: int) -> str:
    """Return the id of a daemon's placement request; its lease has the same id."""
    return f"{daemon}-{number}"


def daemon_of(placement: str) -> str:
    """Return the daemon of a placement id, as it was given to ``placement_id``."""
    return placement.rpartition("-")[0]


@dataclass(frozen=True)
class PlacementRequest:
    """A request for a lease on a decode replica of one shard of a service's pool.

    ``content`` is a hash of the caller's request; it is the same when the caller
    retries after a refusal. ``tokens`` is the memory to reserve, ``output_tokens``
    the caller's estimate of the output. ``target_s`` is the target of the time to the
    first event, ``waited_s`` the time since the request arrived at its daemon and
    ``time_left_s`` the time to its deadline. ``resumed`` means that the request
    continues a stream that has begun, ``retried`` that it was placed before.
    ``avoid`` are ids of replicas: none of them may decode, and one of them prefills
    only if there is no other. ``workspace`` is empty if the caller named none;
    ``weight`` is that of its fair share and ``workspace_priority`` None if it has none.
    """

    id: str
    service: str
    shard: int
    content: str
    data_centre: str
    tokens: int
    prompt_tokens: int
    output_tokens: int
    priority: int
    target_s: float
    waited_s: float
    time_left_s: float
    resumed: bool = False
    retried: bool = False
    avoid: tuple[str, ...] = ()
    workspace: str = optional_field("")
    weight: float = optional_field(1.0)
    workspace_priority: int | None = optional_field(None)

    @property
    def priority_class(self) -> tuple[int, int]:
        """Priority of the workspace, or of the route if it has none, and the route's.

        Classes are compared by the first, then by the second; 0 is the highest.
        """
        if self.workspace_priority is None:
            return self.priority, self.priority
        return self.workspace_priority, self.priority


@dataclass(frozen=True)
class PlacementGrant:
    """A lease on the replica ``decode``, and the replica that should prefill.

    If ``prefill`` is None, the decode replica prefills the prompt itself.
    """

    id: str
    service: str
    shard: int
    decode: str
    prefill: str | None
    urgency: Urgency


@dataclass(frozen=True)
class PlacementQueued:
    """The request is queued; a daemon on another VM must repeat it to keep it there."""

    id: str


@dataclass(frozen=True)
class PollLater:
    """A queued request is to be repeated after so many seconds from now on.

    Builds that don't know it ignore it, and repeat at the usual period.
    """

    id: str
    poll_after_s: float


@dataclass(frozen=True)
class PlacementRefusal:
    """There is no capacity in time; some is expected in ``retry_after_s``."""

    id: str
    reason: RefusalReason
    retry_after_s: float


PlacementAnswer = PlacementGrant | PlacementQueued | PollLater | PlacementRefusal


@dataclass(frozen=True)
class PlacementCancel:
    """Withdraws a placement request, or releases the lease granted for it."""

    id: str
    service: str
    shard: int


@dataclass(frozen=True)
class LeaseUsage:
    """A granted lease as reported by its daemon.

    ``output_tokens`` is the caller's estimate of the output. ``produced_tokens`` are
    the tokens received so far and ``decode_s`` the time from the first to the last of
    them. ``prefill_s`` is the duration of the prefill; 0 if that is not known.
    ``workspace`` is that of the request; empty if it has none.
    """

    id: str
    decode: str
    prompt_tokens: int
    output_tokens: int
    produced_tokens: int
    decode_s: float
    prefill_s: float
    workspace: str = optional_field("")


@dataclass(frozen=True)
class LeaseRenewal:
    """Leases that a daemon still holds."""

    service: str
    shard: int
    leases: tuple[LeaseUsage, ...]


class LeaseOutcome(StrEnum):
    """How a lease ended.

    NO_ROOM and UNREACHABLE: the replica refused a reservation or did not answer.
    FAILED: the request to the replica failed or its output broke off.
    GIVEN_BACK: the lease was not needed any more.
    """

    FINISHED = "finished"
    NO_ROOM = "no_room"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    GIVEN_BACK = "given_back"


@dataclass(frozen=True)
class LeaseEnd:
    """Releases a lease; ``content`` is that of its request."""

    service: str
    shard: int
    content: str
    usage: LeaseUsage
    outcome: LeaseOutcome


@dataclass(frozen=True)
class ProfileUpdate:
    """Profile of a pool, sent to the daemons that would schedule it next."""

    service: str
    shard: int
    profile: GenerationProfile


@dataclass(frozen=True)
class SpeedUpdate:
    """Speeds of a shard's replicas, sent to the daemon that would schedule it next.

    It holds some of those that differ from the pool; later messages hold the others.
    Builds that don't know it ignore it.
    """

    service: str
    shard: int
    speeds: tuple[ReplicaSpeed, ...]


PoolMessage = (
    PlacementRequest
    | PlacementCancel
    | LeaseRenewal
    | LeaseEnd
    | ProfileUpdate
    | SpeedUpdate
    | PlacementAnswer
)
