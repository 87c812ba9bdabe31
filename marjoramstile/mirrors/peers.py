"""The other daemons as sources of mirrors' changes."""

import math
import random

from marjoramstile.membership.view import Peer, View
from marjoramstile.mirrors.mirror import PeerChanges
from marjoramstile.peers.membership_caller import MembershipCaller
from marjoramstile.utils import rendezvous_weight

READERS_MIN = 3


class ViewPeers:
    """Chooses the readers by the view, alike on all daemons that agree on it."""

    def __init__(self, view: View, caller: MembershipCaller, rng: random.Random):
        self._view = view
        self._caller = caller
        self._rng = rng
        self._generation = -1
        self._readers: tuple[str, ...] = ()

    def _current_readers(self) -> tuple[str, ...]:
        if self._generation != self._view.generation:
            self._generation = self._view.generation
            self._readers = self._choose()
        return self._readers

    def _choose(self) -> tuple[str, ...]:
        """Return the readers: their number grows with the root of the daemons'."""
        serving = [peer.vm.name for peer in self._view.peers if peer.serving]
        count = max(READERS_MIN, math.isqrt(len(serving)))
        ranked = sorted(serving, key=lambda vm: rendezvous_weight("reader", vm))
        return tuple(ranked[:count])

    def reads_store(self) -> bool:
        """Tell whether this daemon is a reader."""
        return self._view.own.vm.name in self._current_readers()

    async def ask_reader(self, table: str, after: int) -> PeerChanges | None:
        """Ask one of the readers for changes; None if it doesn't answer."""
        readers = [self._view.get(vm) for vm in self._current_readers()]
        return await self._ask([peer for peer in readers if peer], table, after)

    async def ask_any(self, table: str, after: int) -> PeerChanges | None:
        """Ask any serving daemon for changes; None if it doesn't answer."""
        peers = [peer for peer in self._view.others if peer.serving]
        return await self._ask(peers, table, after)

    async def _ask(
        self, peers: list[Peer], table: str, after: int
    ) -> PeerChanges | None:
        if not peers:
            return None
        return await self._caller.changes(self._rng.choice(peers), table, after)
