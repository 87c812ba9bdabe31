"""The other daemons as sources of mirrors' changes."""

import asyncio
import math
import random

from marjoramstile.membership.view import Peer, View
from marjoramstile.mirrors.mirror import PeerChanges
from marjoramstile.peers.membership_client import MembershipClient
from marjoramstile.utils import TaskGroupOwner, rendezvous_weight

READERS_MIN = 3
# Time in which the questions of several tables are gathered into one.
GATHER_S = 0.05
# How long a table that may wait does so for the question of another.
PATIENT_S = 2.0


class PeerChangeSource:
    """Chooses the readers by the view, alike on all daemons that agree on it.

    Tables are asked for together: one question to one reader carries all that are
    wanted at about the same time.
    """

    def __init__(
        self,
        view: View,
        caller: MembershipClient,
        tasks: TaskGroupOwner,
        rng: random.Random,
    ):
        self._view = view
        self._caller = caller
        self._tasks = tasks
        self._rng = rng
        self._generation = -1
        self._readers: tuple[str, ...] = ()
        self._wanted: dict[str, int] = {}
        self._answers: dict[str, asyncio.Future[PeerChanges | None]] = {}
        self._gathering = False

    def _current_readers(self) -> tuple[str, ...]:
        if self._generation != self._view.generation:
            self._generation = self._view.generation
            self._readers = self._choose()
        return self._readers

    def _choose(self) -> tuple[str, ...]:
        """Return the readers: their number grows with the root of the daemons'."""
        presumed_alive = [
            peer.vm.name for peer in self._view.peers if peer.presumed_alive
        ]
        count = max(READERS_MIN, math.isqrt(len(presumed_alive)))
        ranked = sorted(presumed_alive, key=lambda vm: rendezvous_weight("reader", vm))
        return tuple(ranked[:count])

    def reads_store(self) -> bool:
        """Tell whether this daemon is a reader."""
        return self._view.own.vm.name in self._current_readers()

    async def ask_reader(
        self, table: str, after: int, deferrable: bool
    ) -> PeerChanges | None:
        """Ask one of the readers for changes; None if it doesn't answer.

        A ``patient`` table goes with the next question for another one.
        """
        answer = self._answers.get(table)
        if answer is None:
            answer = asyncio.get_running_loop().create_future()
            self._answers[table] = answer
        self._wanted[table] = after
        if not deferrable and not self._gathering:
            self._gathering = True
            self._tasks.start(self._ask_soon(), "ask a reader")
        try:
            async with asyncio.timeout(PATIENT_S):
                return await asyncio.shield(answer)
        except TimeoutError:
            return None

    async def _ask_soon(self) -> None:
        await asyncio.sleep(GATHER_S)
        self._gathering = False
        wanted, self._wanted = self._wanted, {}
        answers, self._answers = self._answers, {}
        peers = [self._view.get(vm) for vm in self._current_readers()]
        own = self._view.own.vm.name
        peers = [peer for peer in peers if peer and peer.vm.name != own]
        heard = await self._ask(peers, wanted, whole=False)
        for table, answer in answers.items():
            if not answer.done():
                answer.set_result(heard and heard.get(table))

    async def ask_any(self, table: str, after: int) -> PeerChanges | None:
        """Ask any serving daemon for changes; None if it doesn't answer."""
        peers = [peer for peer in self._view.others if peer.serving]
        heard = await self._ask(peers, {table: after}, whole=True)
        return heard and heard[table]

    async def _ask(
        self, peers: list[Peer], wanted: dict[str, int], whole: bool
    ) -> dict[str, PeerChanges] | None:
        if not peers:
            return None
        return await self._caller.changes(self._rng.choice(peers), wanted, whole)
