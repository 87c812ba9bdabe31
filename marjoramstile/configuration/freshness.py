"""Whether a daemon may still rely on the configuration it has in force.

A daemon confirms its version by reading the store; a confirmation holds for
``LEASE_S``. When the store doesn't answer, it asks its peers for the highest
version they know. If at least half of the members, itself included, answer and none
knows a later version, no change was committed, because a commit needs more than
half of the members to have prepared. With fewer answers the daemon is cut off and
refuses requests.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

LEASE_S = 6.0


@dataclass(frozen=True)
class PeerFreshness:
    """A peer's answer: the highest version it has prepared or put in force.

    A peer that can read the store looks up the asker's row there: ``removed`` is set
    if the asker is no longer a member, ``confirmed`` if it still is one.
    """

    version: int
    in_force_id: str = ""
    removed: bool = False
    confirmed: bool = False


class Standing(StrEnum):
    """What a daemon may do under its configuration."""

    CONFIRMED = "confirmed"
    STORE_DOWN = "store_down"
    BEHIND = "behind"
    CUT_OFF = "cut_off"


SERVING_STANDINGS = frozenset({Standing.CONFIRMED, Standing.STORE_DOWN})


def standing_from_peers(
    version: int, member_count: int, answers: Sequence[PeerFreshness]
) -> Standing:
    """Decide the standing of a daemon that can't read the store.

    ``version`` is the highest one it knows; ``member_count`` includes itself.
    """
    if any(answer.removed or answer.version > version for answer in answers):
        return Standing.BEHIND
    if any(answer.confirmed for answer in answers):
        return Standing.CONFIRMED
    if 2 * (len(answers) + 1) < member_count:
        return Standing.CUT_OFF
    return Standing.STORE_DOWN


def may_commit(prepared_count: int, member_count: int) -> bool:
    """Return whether more than half of the members have prepared.

    ``member_count`` includes the members removed during this change.
    """
    return 2 * prepared_count > member_count
