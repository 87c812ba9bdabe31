"""The other daemons as a source of changes to mirrors."""

import asyncio
import math
import random

from marjoramstile.membership.view import Peer, View
from marjoramstile.mirrors.mirror import PeerChanges
from marjoramstile.peers.membership_client import MembershipClient
from marjoramstile.utils import BackgroundTasks, rendezvous_weight

READERS_MIN = 3
# Requests for several tables within this time are sent as one.
BATCH_DELAY_S = 0.05
# Longest wait for an answer, including the time for which a deferrable request waits
# for another one to be sent with.
ANSWER_TIMEOUT_S = 2.0


class PeerChangeSource:
    """Chooses the readers by the view; daemons with equal views choose the same.

    Requests are batched: one call to one reader asks for all tables that are wanted at
    about the same time.
    """

    def __init__(
        self,
        view: View,
        client: MembershipClient,
        tasks: BackgroundTasks,
        rng: random.Random,
    ):
        self._view = view
        self._client = client
        self._tasks = tasks
        self._rng = rng
        self._generation = -1
        self._readers: tuple[str, ...] = ()
        self._pending_versions: dict[str, int] = {}
        self._pending_answers: dict[str, asyncio.Future[PeerChanges | None]] = {}
        self._batch_scheduled = False

    def _current_readers(self) -> tuple[str, ...]:
        if self._generation != self._view.generation:
            self._generation = self._view.generation
            self._readers = self._choose_readers()
        return self._readers

    def _choose_readers(self) -> tuple[str, ...]:
        """Return the names of the readers.

        Their number is the square root of that of the daemons, at least READERS_MIN.
        """
        names = [peer.vm.name for peer in self._view.peers if peer.presumed_alive]
        count = max(READERS_MIN, math.isqrt(len(names)))
        ranked = sorted(names, key=lambda vm: rendezvous_weight("reader", vm))
        return tuple(ranked[:count])

    def reads_store(self) -> bool:
        """Return whether this daemon is a reader."""
        return self._view.own.vm.name in self._current_readers()

    async def ask_reader(
        self, table: str, after: int, deferrable: bool
    ) -> PeerChanges | None:
        """Ask one of the readers for changes; None if it doesn't answer.

        A ``deferrable`` request is sent with the next one for another table.
        """
        answer = self._pending_answers.get(table)
        if answer is None:
            answer = asyncio.get_running_loop().create_future()
            self._pending_answers[table] = answer
        self._pending_versions[table] = after
        if not deferrable and not self._batch_scheduled:
            self._batch_scheduled = True
            self._tasks.start(self._send_batch(), "ask a reader")
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await asyncio.shield(answer)
        except TimeoutError:
            return None

    async def _send_batch(self) -> None:
        await asyncio.sleep(BATCH_DELAY_S)
        self._batch_scheduled = False
        versions, self._pending_versions = self._pending_versions, {}
        answers, self._pending_answers = self._pending_answers, {}
        peers = [self._view.get(vm) for vm in self._current_readers()]
        own = self._view.own.vm.name
        peers = [peer for peer in peers if peer and peer.vm.name != own]
        received = await self._request_changes(peers, versions, whole=False)
        for table, answer in answers.items():
            if not answer.done():
                answer.set_result(received and received.get(table))

    async def ask_any_peer(self, table: str, after: int) -> PeerChanges | None:
        """Ask any serving daemon for changes; None if it doesn't answer."""
        peers = [peer for peer in self._view.others if peer.serving]
        received = await self._request_changes(peers, {table: after}, whole=True)
        return received and received[table]

    async def _request_changes(
        self, peers: list[Peer], versions: dict[str, int], whole: bool
    ) -> dict[str, PeerChanges] | None:
        if not peers:
            return None
        return await self._client.changes(self._rng.choice(peers), versions, whole)
