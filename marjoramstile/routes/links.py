"""Whether this VM reaches any replica, as far as its connections show.

A connection that fails says little about its replica: this VM may be cut off from all
of them. So after a failure others are tried; while none accepts a connection, the links
are lost, and they are tried again until one does.
"""

import asyncio
import math
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from enum import IntEnum

from marjoramstile.logs import get_logger
from marjoramstile.routes.ports import ReplicaClient
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.requests import AnswerLostError
from marjoramstile.utils import loop_time

# Time for which an answer of a replica shows that the links hold.
REACHED_FRESH_S = 2.0
# Replicas that are tried at once: after a failure, and while the links are lost.
TRIED_AT_ONCE = 3
TRIED_WHILE_LOST = 1
# Pause between two tries.
TRY_PERIOD_S = 0.3
# Time in which a replica that is tried accepts a connection.
TRY_TIMEOUT_S = 0.2
# Longest wait for the result of a try.
CONFIRM_TIMEOUT_S = 0.6
# Time after the loss of the links in which answers still arrive on open connections.
INTERRUPT_AFTER_S = 0.6

logger = get_logger(__name__)


class LinkState(IntEnum):
    """What a daemon knows of its VM's links to replicas; sent with probes."""

    UNKNOWN = 0
    HELD = 1
    LOST = 2


class ReplicaLinks:
    """The state of the links; the client of replicas records each connection."""

    def __init__(self):
        self._reached_at = -math.inf
        self._lost_since: float | None = None
        self._doubted = asyncio.Event()
        self._settled = asyncio.Event()
        self._settled.set()
        self._waits: set[asyncio.Timeout] = set()

    @property
    def lost(self) -> bool:
        """Whether no replica accepts connections from this VM."""
        return self._lost_since is not None

    @property
    def lost_since(self) -> float | None:
        """Loop time at which the links were lost; None while they hold."""
        return self._lost_since

    def state(self, now: float) -> LinkState:
        """Return the state to tell other daemons."""
        if self.lost:
            return LinkState.LOST
        fresh = now - self._reached_at <= REACHED_FRESH_S
        return LinkState.HELD if fresh else LinkState.UNKNOWN

    def record_reached(self) -> None:
        """Record that a replica has accepted a connection or answered."""
        self._reached_at = loop_time()
        if self._lost_since is not None:
            lost_s = round(self._reached_at - self._lost_since, 3)
            logger.warning("replica_links_regained", after_s=lost_s)
            self._lost_since = None

    def record_failure(self) -> None:
        """Record that a connection to a replica has failed."""
        if not self.lost:
            self._settled.clear()
        self._doubted.set()

    def record_lost(self, tried: list[Replica]) -> None:
        """Record that no replica accepted a connection."""
        if self._lost_since is None:
            self._lost_since = loop_time()
            names = " ".join(replica.id for replica in tried)
            logger.warning("replica_links_lost", tried=names)
            for wait in self._waits:
                wait.reschedule(self._lost_since + INTERRUPT_AFTER_S)

    @asynccontextmanager
    async def interrupt_when_lost(self) -> AsyncIterator[None]:
        """Raise AnswerLostError in the block if the links are lost during it.

        For answers that another VM can ask for again.
        """
        try:
            async with asyncio.timeout(None) as wait:
                self._waits.add(wait)
                try:
                    yield
                finally:
                    self._waits.discard(wait)
        except TimeoutError:
            if not wait.expired():
                raise
            raise AnswerLostError("the links to replicas are lost") from None

    async def wait_for_doubt(self) -> None:
        """Wait for a failed connection."""
        await self._doubted.wait()

    def settle(self) -> None:
        """End the doubt about the failures recorded so far."""
        self._doubted.clear()
        self._settled.set()

    async def hold(self) -> bool:
        """Return whether a failure just recorded is that of a replica alone."""
        if not self.lost and loop_time() - self._reached_at <= TRY_PERIOD_S:
            return True
        with suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await self._settled.wait()
        return not self.lost


class LinkMonitor:
    """Tries replicas after a failure, and while the links are lost."""

    def __init__(
        self,
        links: ReplicaLinks,
        directory: ReplicaDirectory,
        client: ReplicaClient,
        rng: random.Random,
        on_regained: Callable[[], None],
    ):
        """``on_regained`` is called when a replica is reached again."""
        self._links = links
        self._directory = directory
        self._client = client
        self._rng = rng
        self._on_regained = on_regained

    async def run(self) -> None:
        """Try until cancelled."""
        while True:
            if not self._links.lost:
                await self._links.wait_for_doubt()
            await self.check()
            await asyncio.sleep(TRY_PERIOD_S)

    async def check(self) -> None:
        """Try some replicas, and record whether any was reached."""
        was_lost = self._links.lost
        known = list(self._directory.all)
        count = TRIED_WHILE_LOST if was_lost else TRIED_AT_ONCE
        tried = self._rng.sample(known, min(count, len(known)))
        accepted = await asyncio.gather(*(self._accepts(item) for item in tried))
        if any(accepted):
            self._links.record_reached()
        elif tried:
            self._links.record_lost(tried)
        self._links.settle()
        if was_lost and not self._links.lost:
            self._on_regained()

    async def _accepts(self, replica: Replica) -> bool:
        with suppress(TimeoutError):
            async with asyncio.timeout(TRY_TIMEOUT_S):
                return await self._client.accepts_connections(replica)
        return False
