"""What daemons say to the scheduler of a pool, and what it answers."""

from dataclasses import dataclass
from enum import IntEnum, StrEnum

from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.routes.requests import RefusalReason


class Urgency(IntEnum):
    """Classes of waiting requests, the first to be placed first."""

    RESUMED = 0
    ON_TIME = 1
    LATE = 2


def placement_id(daemon: str, number: int) -> str:
    """Return the id of a daemon's request for a place."""
    return f"{daemon}-{number}"


def daemon_of(placement: str) -> str:
    """Return the daemon whose request for a place has an id."""
    return placement.rpartition("-")[0]


@dataclass(frozen=True)
class PlacementRequest:
    """A request for room at a decode replica of one part of a service's pool.

    ``content`` is the same when the caller comes back with the request after a
    refusal. ``tokens`` is the memory to reserve, ``output_tokens`` the answer expected.
    ``waited_s`` is the time since the request came to its daemon, ``time_left_s`` what
    its caller still waits. ``again`` means that the request was placed before.
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


@dataclass(frozen=True)
class PlacementGrant:
    """A lease on a decode replica, and the replica that should prefill.

    Without ``prefill`` the decode replica prefills the prompt itself.
    """

    id: str
    service: str
    shard: int
    decode: str
    prefill: str | None
    urgency: Urgency


@dataclass(frozen=True)
class PlacementQueued:
    """The request waits; the daemon that asked must ask again now and then."""

    id: str


@dataclass(frozen=True)
class PlacementRefusal:
    """No place in useful time; one is expected in ``retry_after_s``."""

    id: str
    reason: RefusalReason
    retry_after_s: float


PlacementAnswer = PlacementGrant | PlacementQueued | PlacementRefusal


@dataclass(frozen=True)
class PlacementCancel:
    """The caller of a waiting request has gone."""

    id: str
    service: str
    shard: int


@dataclass(frozen=True)
class LeaseUsage:
    """A granted lease as its daemon sees it.

    ``produced_tokens`` came in ``decode_s`` since the first of them. ``prefill_s`` is
    the time that the prefill took; 0 if that is not known.
    """

    id: str
    decode: str
    prompt_tokens: int
    output_tokens: int
    produced_tokens: int
    decode_s: float
    prefill_s: float


@dataclass(frozen=True)
class LeaseRenewal:
    """Leases that a daemon still uses."""

    service: str
    shard: int
    leases: tuple[LeaseUsage, ...]


class LeaseOutcome(StrEnum):
    """How a lease ended.

    The replica had no room, or gave no answer, when a reservation was asked for; or
    the generation's answer broke off; or the lease was not needed any more.
    """

    FINISHED = "finished"
    NO_ROOM = "no_room"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    GIVEN_BACK = "given_back"


@dataclass(frozen=True)
class LeaseEnd:
    """The end of a lease; ``content`` is that of the request."""

    service: str
    shard: int
    content: str
    usage: LeaseUsage
    outcome: LeaseOutcome


@dataclass(frozen=True)
class ProfileUpdate:
    """Means of a pool, told to the daemons that would schedule it next."""

    service: str
    shard: int
    profile: GenerationProfile


PoolMessage = (
    PlacementRequest
    | PlacementCancel
    | LeaseRenewal
    | LeaseEnd
    | ProfileUpdate
    | PlacementAnswer
)
