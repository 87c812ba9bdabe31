"""Which decode replicas to ask for room: a pure decision over a snapshot.

It answers bursts that ask for more decode memory than there is. Timely requests may
fill the memory; late ones must leave room for the timely ones that come next.
"""

from dataclasses import dataclass
from enum import IntEnum

# Part of all decode memory that late requests leave free.
LATE_HEADROOM = 0.15
# Replicas that fit which are compared.
COMPARED_MOST = 4
# Replicas asked in one round.
ASKED_MOST = 3


class Urgency(IntEnum):
    """Classes of waiting requests, the first to be placed first."""

    RESUMED = 0
    ON_TIME = 1
    LATE = 2


@dataclass(frozen=True)
class ReplicaRoom:
    """Expected memory, in tokens, and requests of one decode replica.

    ``doubtful`` replicas have failed lately and are asked last. ``prefilling`` ones
    prefill a prompt themselves, which slows what they decode.
    """

    replica_id: str
    kv_tokens: int
    used_tokens: int
    requests: int
    slots: int
    doubtful: bool
    prefilling: bool = False

    @property
    def free_tokens(self) -> int:
        """Memory that expected generations leave."""
        return self.kv_tokens - self.used_tokens

    def fits(self, tokens: int) -> bool:
        """Tell whether a generation of ``tokens`` is expected to fit."""
        if self.requests == 0:
            return True
        return self.requests < self.slots and tokens <= self.free_tokens


def replicas_to_ask(
    rooms: list[ReplicaRoom], tokens: int, urgency: Urgency, timely_waiting: int
) -> list[str]:
    """Return ids of replicas to ask for room, the emptiest first.

    Only the first few that fit are compared: the caller draws ``rooms`` in random
    order, so that daemons with the same, somewhat old knowledge don't all ask the same
    replica.
    """
    if urgency == Urgency.LATE and not _leaves_headroom(rooms, tokens, timely_waiting):
        return []
    fitting = [room for room in rooms if room.fits(tokens)]
    fitting = fitting[:COMPARED_MOST]
    fitting.sort(key=lambda room: (room.doubtful, -room.free_tokens))
    return [room.replica_id for room in fitting[:ASKED_MOST]]


def _leaves_headroom(
    rooms: list[ReplicaRoom], tokens: int, timely_waiting: int
) -> bool:
    total = sum(room.kv_tokens for room in rooms)
    free = sum(max(0, room.free_tokens) for room in rooms)
    return timely_waiting == 0 and free - tokens >= LATE_HEADROOM * total
