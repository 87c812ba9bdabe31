"""Records the versions that begin streams at two daemons each, and looks them up.

Streams are divided into buckets; the two daemons that rank first for a bucket keep its
streams. A stream that nobody has recorded has the version of its service if only one
has served lately; else its version is not known, and it is not continued.
"""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable
from contextlib import suppress
from functools import singledispatchmethod

from marjoramstile.logs import get_logger
from marjoramstile.membership.view import View
from marjoramstile.pools.client import PoolSender
from marjoramstile.pools.shards import SchedulerSelector
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.requests import RoutedRequest
from marjoramstile.streams.messages import (
    StreamBegun,
    VersionAnswer,
    VersionQuery,
)
from marjoramstile.streams.registry import AMBIGUOUS, StreamRegistry, stream_key
from marjoramstile.streams.storage import Bucket, StreamStore
from marjoramstile.streams.versions import StoredVersions, VersionHistory
from marjoramstile.utils import loop_time

# Daemons that keep a bucket's streams, the first ones by rank.
KEEPERS = 2
# Daemons for each bucket: a keeper's work doesn't grow with the fleet.
DAEMONS_PER_BUCKET = 24
# Times that a lookup waits for answers; it is sent again after the first.
ANSWER_TIMEOUTS_S = (0.05, 0.07)
# Time beyond the longest timeout of a route in which a stream may be taken up, and that
# timeout while the routes are unknown.
LATE_TAKE_UP_S = 2.0
UNKNOWN_TIMEOUT_S = 60.0
# Longest wait of a take-up for what the store knows, after a start.
LOAD_WAIT_S = 0.5
# Time between two reads for streams that no keeper knows.
READ_PERIOD_S = 1.0
# Delay after which the second keeper stores a change of versions.
SECOND_RANK_S = 1.0
# Age up to which the list of replicas proves by itself that one version serves alone.
LIST_AGE_MAX_S = 2.0
# Time before the row of a restarted replica is seen in which streams may have been
# begun by its new version.
RESTART_UNSEEN_S = 10.0
RETRY_S = 0.5
RETRY_MAX_S = 8.0

logger = get_logger(__name__)


class StreamKeeper:
    """One daemon's part in remembering the versions of streams."""

    def __init__(
        self,
        view: View,
        selector: SchedulerSelector,
        sender: PoolSender,
        registry: StreamRegistry,
        history: VersionHistory,
        store: StreamStore,
        list_age_s: Callable[[], float],
        longest_timeout_s: Callable[[], float | None],
    ):
        """``list_age_s`` is the age of the list of replicas.

        ``longest_timeout_s`` is that of the routes in force; None before any is.
        """
        self._view = view
        self._selector = selector
        self._sender = sender
        self._registry = registry
        self._history = history
        self._store = store
        self._list_age_s = list_age_s
        self._longest_timeout_s = longest_timeout_s
        self._numbers = itertools.count()
        self._loaded = asyncio.Event()
        self._reading: asyncio.Future[bool] | None = None
        self._read_at = 0.0
        self._differs_since: dict[str, float] = {}
        self._answers: dict[str, dict[str, VersionAnswer]] = {}
        self._arrived: dict[str, asyncio.Event] = {}
        self._kept: dict[Bucket, StreamRegistry] = defaultdict(StreamRegistry)
        self._begun_at: dict[tuple[str, int], list[tuple[str, str, float]]] = (
            defaultdict(list)
        )

    @property
    def _own_vm(self) -> str:
        return self._view.own.vm.name

    @property
    def _life_s(self) -> float:
        timeout_s = self._longest_timeout_s() or UNKNOWN_TIMEOUT_S
        return timeout_s + LATE_TAKE_UP_S

    def versions_lately(self, service: str) -> set[str]:
        """Return the versions that may have begun a stream that still matters."""
        return self._history.seen_since(service, loop_time() - self._life_s)

    def is_mixed(self, service: str) -> bool:
        """Return whether several versions serve, or have done so lately."""
        return len(self.versions_lately(service)) > 1

    def _bucket(self, service: str, stream: str) -> Bucket:
        count = 1
        while DAEMONS_PER_BUCKET * count <= len(self._view.peers):
            count *= 2
        return service, int(stream, 16) % count

    def keepers(self, bucket: Bucket) -> tuple[str, ...]:
        """Return the VMs of the daemons that keep a bucket's streams."""
        service, number = bucket
        return self._selector.ranked(f"streams/{service}", number)[:KEEPERS]

    def record_begin(self, request: RoutedRequest, replica: Replica) -> None:
        """Record that a replica brings the first event of a caller's attempt."""
        stream = stream_key(request.service, request.id, request.content)
        self._begun_at[replica.id, replica.started_at_ms].append(
            (request.service, stream, loop_time())
        )
        self._record(request.service, stream, replica.version)

    def _record(self, service: str, stream: str, version: str) -> None:
        self._registry.record(stream, version, loop_time())
        bucket = self._bucket(service, stream)
        message = StreamBegun(service, stream, version)
        for vm in self.keepers(bucket):
            if vm == self._own_vm:
                self._keep(bucket, message)
            elif peer := self._view.get(vm):
                self._sender.send(peer, message)

    def _keep(self, bucket: Bucket, message: StreamBegun) -> None:
        now = loop_time()
        self._registry.record(message.stream, message.version, now)
        self._kept[bucket].record(message.stream, message.version, now)

    def handle_restart(self, known: Replica, restarted: Replica) -> None:
        """Withdraw the versions of streams that a restart may have falsified.

        The replica's row is seen later than the replica itself is used.
        """
        begun = self._begun_at.pop((known.id, known.started_at_ms), [])
        if known.version == restarted.version:
            return
        oldest = loop_time() - RESTART_UNSEEN_S
        for service, stream, at in begun:
            if at >= oldest:
                self._record(service, stream, restarted.version)

    def expire(self) -> None:
        """Drop what was begun too long ago to be falsified by a restart.

        So are old streams of services without replicas, which may not exist.
        """
        since = loop_time() - self._life_s
        for bucket, kept in list(self._kept.items()):
            if not self._history.present(bucket[0]) and not kept.since(since):
                del self._kept[bucket]
        oldest = loop_time() - RESTART_UNSEEN_S
        for incarnation, begun in list(self._begun_at.items()):
            kept = [item for item in begun if item[2] >= oldest]
            if kept:
                self._begun_at[incarnation] = kept
            else:
                del self._begun_at[incarnation]

    async def version_of(self, request: RoutedRequest) -> str | None:
        """Return the version that began the stream that a request takes up.

        None if that is not certain.
        """
        await self._wait_for_store()
        service = request.service
        stream = stream_key(service, request.resumes or "", request.content)
        version = self._registry.version(stream) if request.resumes else None
        versions = self.versions_lately(service)
        if version is None:
            answers = await self._ask(service, stream)
            version, versions = _combine(answers, versions)
        if version is None and len(versions) == 1:
            version = next(iter(versions)) if self._knows_all(service) else None
        elif version is None and request.resumes and await self._read_again():
            version = self._registry.version(stream)
        logger.info(
            "take_up_decided",
            request=request.id,
            resumes=request.resumes,
            version=version,
            versions=" ".join(sorted(versions)),
        )
        return None if version == AMBIGUOUS else version

    async def _read_again(self) -> bool:
        """Read stored streams, which their keepers may have been lost with.

        Return whether they were read since the call or just before it. Take-ups at the
        same time share one read.
        """
        if self._reading is None or (
            self._reading.done() and loop_time() >= self._read_at + READ_PERIOD_S
        ):
            self._read_at = loop_time()
            self._reading = asyncio.ensure_future(self._store.load_streams())
        try:
            async with asyncio.timeout(LOAD_WAIT_S):
                return await asyncio.shield(self._reading)
        except TimeoutError:
            return False

    async def _wait_for_store(self) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(LOAD_WAIT_S):
                await self._loaded.wait()

    def _knows_all(self, service: str) -> bool:
        """Return whether this daemon knows all versions that served lately."""
        since = loop_time() - self._life_s
        complete = self._history.is_complete_since(service, since)
        return complete and self._list_age_s() <= LIST_AGE_MAX_S

    async def _ask(self, service: str, stream: str) -> list[VersionAnswer]:
        """Return the keepers' answers, as far as they arrive in time."""
        keepers = self.keepers(self._bucket(service, stream))
        others = [self._view.get(vm) for vm in keepers if vm != self._own_vm]
        others = [peer for peer in others if peer is not None]
        if not others:
            return []
        query = VersionQuery(f"{self._own_vm}-{next(self._numbers)}", service, stream)
        answers = self._answers[query.id] = {}
        arrived = self._arrived[query.id] = asyncio.Event()
        try:
            for wait_s in ANSWER_TIMEOUTS_S:
                for peer in others:
                    if peer.vm.name not in answers:
                        self._sender.send(peer, query)
                await self._wait_for_answers(answers, len(others), arrived, wait_s)
        finally:
            del self._answers[query.id]
            del self._arrived[query.id]
        return list(answers.values())

    @staticmethod
    async def _wait_for_answers(
        answers: dict[str, VersionAnswer],
        count: int,
        arrived: asyncio.Event,
        wait_s: float,
    ) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while len(answers) < count:
                    arrived.clear()
                    await arrived.wait()

    @singledispatchmethod
    def handle_message(
        self, message: object, reply: Callable[[VersionAnswer], None]
    ) -> None:
        """Handle another daemon's message; ``reply`` sends an answer to it."""
        raise TypeError(f"not a message about streams: {message!r}")

    @handle_message.register
    def _(self, message: StreamBegun, reply) -> None:
        self._keep(self._bucket(message.service, message.stream), message)

    @handle_message.register
    def _(self, message: VersionQuery, reply) -> None:
        version = self._registry.version(message.stream)
        versions = tuple(sorted(self.versions_lately(message.service)))
        reply(VersionAnswer(message.id, self._own_vm, version, versions))

    @handle_message.register
    def _(self, message: VersionAnswer, reply) -> None:
        if message.id in self._answers:
            self._answers[message.id][message.vm] = message
            self._arrived[message.id].set()

    async def load(self) -> None:
        """Read the store at a start, retrying until it answers."""
        pause_s = RETRY_S
        while not await self._store.load():
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)
        self._loaded.set()

    def store_again(self) -> None:
        """Store everything with the next changes: a restored store may lack it."""
        self._store.forget()

    async def store_changes(self, services: list[str]) -> None:
        """Store versions and streams that this daemon has to; run periodically."""
        if not self._loaded.is_set():
            return
        for service in services:
            await self._store_versions(service)
        for bucket, kept in list(self._kept.items()):
            if self.keepers(bucket)[:1] != (self._own_vm,):
                continue
            if self.is_mixed(bucket[0]):
                streams = kept.since(loop_time() - self._life_s)
                await self._store.write_streams(bucket, streams)
            else:
                await self._store.remove_ring(bucket)

    async def _store_versions(self, service: str) -> None:
        """Store a service's versions if they have changed, unless another has to."""
        keepers = self.keepers((service, 0))
        present = self._history.present(service)
        if self._own_vm not in keepers or not present:
            return
        stored = self._store.stored_versions(service) or StoredVersions()
        forget_gone = bool(stored.gone) and not self.is_mixed(service)
        if set(stored.present) == present and not forget_gone:
            self._differs_since.pop(service, None)
            return
        since = self._differs_since.setdefault(service, loop_time())
        if loop_time() >= since + SECOND_RANK_S * keepers.index(self._own_vm):
            await self._store.write_versions(service, present, forget_gone)


def _combine(
    answers: list[VersionAnswer], versions: set[str]
) -> tuple[str | None, set[str]]:
    """Return the version that answers agree on, and all versions seen lately."""
    named = {answer.version for answer in answers if answer.version is not None}
    versions = versions.union(*(answer.versions for answer in answers))
    if len(named) > 1:
        return AMBIGUOUS, versions
    return next(iter(named), None), versions
