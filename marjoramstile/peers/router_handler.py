"""Answers the calls that routing daemons make to each other."""

from collections.abc import Mapping

from marjoramstile.membership.prober import Prober
from marjoramstile.mirrors.mirror import TableMirror
from marjoramstile.peers.membership_messages import (
    changes_to_wire,
    probe_from_wire,
    probe_to_wire,
)


class RouterPeerHandler:
    """One method for each call of peer.thrift that routing daemons make."""

    def __init__(self, prober: Prober, mirrors: Mapping[str, TableMirror]):
        self._prober = prober
        self._mirrors = mirrors

    async def probe(self, message):
        """Exchange news with a daemon."""
        answer = await self._prober.on_probe(probe_from_wire(message))
        return probe_to_wire(answer)

    async def probe_through(self, vm: str) -> bool:
        """Probe a daemon for another."""
        return await self._prober.on_probe_through(vm)

    async def changes(self, table: str, after: int):
        """Return what a daemon that lost the store lacks of a table."""
        return changes_to_wire(self._mirrors[table].changes_after(after))
