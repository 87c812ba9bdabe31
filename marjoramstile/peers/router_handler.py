"""Answers the calls that routing daemons make to each other."""

from collections.abc import Callable, Mapping

from marjoramstile.membership.prober import Prober
from marjoramstile.mirrors.follower import MirrorFollower
from marjoramstile.peers.membership_messages import (
    changes_to_wire,
    probe_from_wire,
    probe_to_wire,
    version_from_wire,
)
from marjoramstile.ports.feeds import Changes, era_of
from marjoramstile.utils import loop_time

# Bytes of one table's rows that a reader sends to each of the daemons that poll it.
# Longer rows would saturate its link; the daemons read them from the store.
RELAYED_MAX_BYTES = 32_768


class RouterPeerHandler:
    """One method for each call of peer.thrift that routing daemons make."""

    def __init__(
        self,
        prober: Prober,
        followers: Mapping[str, MirrorFollower],
        answer_query: Callable[[str], str],
    ):
        self._prober = prober
        self._followers = followers
        self._answer_query = answer_query

    async def probe(self, message):
        """Exchange reports and strikes with a daemon."""
        answer = await self._prober.handle_probe(probe_from_wire(message))
        return probe_to_wire(answer)

    async def probe_through(self, vm: str) -> bool:
        """Probe a daemon for another."""
        return await self._prober.handle_probe_through(vm)

    async def changes(self, versions, whole: bool):
        """Return the changes that a daemon lacks, by table in the order requested.

        Rows that are too long are withheld unless ``whole`` is set. Raises ValueError
        if a table is unknown, or asked for twice.
        """
        tables = {item.table for item in versions}
        if len(tables) < len(versions) or not tables <= self._followers.keys():
            raise ValueError(f"{len(versions)} changes of {len(tables)} tables")
        return [self._changes_of(item, whole) for item in versions]

    def _changes_of(self, asked, whole: bool):
        follower = self._followers[asked.table]
        after = version_from_wire(asked, era_of(follower.mirror.version))
        changes = follower.mirror.changes_after(after)
        age_s = follower.age_s(loop_time())
        size = sum(len(row.value or b"") for row in changes.rows)
        if size <= RELAYED_MAX_BYTES or whole:
            return changes_to_wire(changes, age_s)
        nothing = Changes((), after, complete=False)
        return changes_to_wire(nothing, age_s, withheld=True)

    async def query(self, request: str) -> str:
        """Answer an operator's query with this daemon's rows."""
        return self._answer_query(request)
