"""Decides whether a request that waits for its answer is sent to a second replica.

Load addressed: single calls that take far longer than usual, through noise on one
replica, while others are idle. Where all replicas are busy a hedge only adds load.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

# Quantile beyond which an answer counts as slow, however large the share is that may
# be hedged: below it most hedges would repeat calls that are about to be answered.
TAIL_QUANTILE_MIN = 0.9
# Shortest wait before a hedge: less is within the jitter of a busy VM.
DELAY_MIN_S = 0.01
# A replica whose answers usually take this many times the service's median has a queue
# or is slow. Single slow answers move the average by less.
BUSY_FACTOR = 2.0


class HedgeRefusal(StrEnum):
    """Why a request that waits beyond the tail is not sent a second time."""

    MAY_CRASH = "may_crash_replicas"
    HELD_BACK = "replicas_paused_or_limited"
    LINKS = "links_lost"
    NO_TIME = "no_time_left"
    NO_ROOM = "no_free_replica"
    SHARE = "hedge_share_spent"
    BUDGET = "retry_budget_spent"


@dataclass(frozen=True)
class Candidate:
    """Another usable replica, as far as this daemon knows its load.

    ``latency_s`` is the median of its last answers to this daemon; None if too few.
    """

    replica_id: str
    slots: int
    outstanding: int
    latency_s: float | None
    is_suspect: bool


@dataclass(frozen=True)
class Situation:
    """What decides whether a request that has waited ``delay_s`` is hedged.

    ``usual_s`` is the median latency of the service, ``left_s`` the time left until the
    request's deadline.
    """

    may_crash: bool
    is_held_back: bool
    links_lost: bool
    left_s: float
    usual_s: float
    delay_s: float
    candidates: Sequence[Candidate]


def tail_quantile(max_share: float) -> float:
    """Return the quantile of the latencies after which a request is hedged.

    Hedges are then about as frequent as the share allows, and go to the slowest.
    """
    return max(TAIL_QUANTILE_MIN, 1.0 - max_share)


def may_ever_hedge(
    idempotent: bool, is_carried: bool, runs: int, max_attempts: int
) -> bool:
    """Return whether one more run is allowed beside the one that is about to begin."""
    return idempotent and not is_carried and runs + 2 <= max_attempts


def free_replicas(situation: Situation) -> list[str]:
    """Return the ids of the candidates that seem to have a free slot.

    Other daemons use the same replicas, so the latency tells more than this daemon's
    own requests.
    """
    busy_s = max(situation.delay_s, BUSY_FACTOR * situation.usual_s)
    return [
        item.replica_id
        for item in situation.candidates
        if item.outstanding < item.slots
        and (item.latency_s is None or item.latency_s < busy_s)
        and not item.is_suspect
    ]


def refusal(situation: Situation) -> HedgeRefusal | None:
    """Return why a waiting request is not hedged; None if budgets alone decide."""
    if situation.may_crash:
        return HedgeRefusal.MAY_CRASH
    if situation.is_held_back:
        return HedgeRefusal.HELD_BACK
    if situation.links_lost:
        return HedgeRefusal.LINKS
    if situation.left_s < situation.usual_s:
        return HedgeRefusal.NO_TIME
    if not free_replicas(situation):
        return HedgeRefusal.NO_ROOM
    return None
