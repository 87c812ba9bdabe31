"""Refuses requests that would crash replicas, and reports those that have.

When a replica loses a request that it had not begun to answer, the replica is probed at
once; if it accepts no connection, it has crashed.
"""

from dataclasses import dataclass

from marjoramstile.crashes.blocklist import BlockEntry, Blocklist
from marjoramstile.crashes.coordinator import CrashCoordinator
from marjoramstile.crashes.keys import keys_of
from marjoramstile.crashes.sharing import BlocklistSharing
from marjoramstile.logs import get_logger
from marjoramstile.routes.ports import ReplicaClient
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.requests import (
    RefusalReason,
    RequestRefusedError,
    RoutedRequest,
)
from marjoramstile.utils import BackgroundTasks, loop_time

# Bounds of the time after which a caller may return with a blocked request.
RETRY_AFTER_MIN_S = 3.0
RETRY_AFTER_MAX_S = 60.0
# Own reports that are kept.
STRUCK_KEPT = 4096

logger = get_logger(__name__)


@dataclass
class _Trial:
    entry: BlockEntry
    is_decided: bool = False


class CrashDetector:
    """Checks requests before they are sent, and records how they began or were lost."""

    def __init__(
        self,
        blocklist: Blocklist,
        sharing: BlocklistSharing,
        coordinator: CrashCoordinator,
        client: ReplicaClient,
        tasks: BackgroundTasks,
    ):
        self._blocklist = blocklist
        self._sharing = sharing
        self._coordinator = coordinator
        self._client = client
        self._tasks = tasks
        self._struck: dict[tuple[str, str], None] = {}
        self._trials: dict[str, _Trial] = {}

    def is_blocked(self, request: RoutedRequest) -> bool:
        """Return whether a request is refused, unless it is let through as a trial."""
        return bool(self._blocking(request))

    def _blocking(self, request: RoutedRequest) -> list[BlockEntry]:
        if self._blocklist.is_empty:
            return []
        return self._blocklist.blocking(request.service, keys_of(request).all)

    async def check(self, request: RoutedRequest) -> None:
        """Raise RequestRefusedError if a request has a blocked key.

        When a trial of its only blocked key is due, it is let through as that trial.
        """
        entries = self._blocking(request)
        if len(entries) == 1 and await self._starts_trial(request, entries[0]):
            return
        self.check_again(request)

    def check_again(self, request: RoutedRequest) -> None:
        """Raise RequestRefusedError if a request that is no trial has a blocked key.

        The key may have been blocked while the request waited.
        """
        entries = self._blocking(request)
        if not entries or request.id in self._trials:
            return
        entry = entries[0]
        logger.info(
            "request_blocked",
            request=request.id,
            key=entry.key,
            by=entry.by,
            since_s=entry.since_s,
            crashes=" ".join(entry.crashes),
        )
        retry_after_s = max(self._retry_after_s(entry) for entry in entries)
        raise RequestRefusedError(RefusalReason.QUARANTINED, retry_after_s)

    def _retry_after_s(self, entry: BlockEntry) -> float:
        wait_s = self._blocklist.trial_wait_s(entry, loop_time())
        if wait_s is None:
            return RETRY_AFTER_MAX_S
        return min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)

    async def _starts_trial(self, request: RoutedRequest, entry: BlockEntry) -> bool:
        if self._blocklist.trial_wait_s(entry, loop_time()) != 0.0:
            return False
        if not await self._sharing.claim_trial(entry):
            return False
        claimed = self._blocklist.find(*entry.id)
        self._trials[request.id] = _Trial(claimed)
        logger.warning("block_tried", request=request.id, key=entry.key)
        return True

    def end(self, request: RoutedRequest) -> None:
        """Record the end of a request; a trial that showed nothing is given back."""
        trial = self._trials.pop(request.id, None)
        if trial is not None and not trial.is_decided:
            entry = trial.entry
            self._sharing.publish(entry.changed(trials=entry.trials - 1))

    def record_begin(self, request: RoutedRequest, sent_at: float) -> None:
        """Record that a replica has begun to answer a request sent at ``sent_at``."""
        keys = keys_of(request)
        self._coordinator.begins.record(request.service, keys, sent_at, loop_time())
        if self._struck:
            for key in keys.all:
                self._struck.pop((request.service, key), None)
        trial = self._trials.get(request.id)
        if trial is not None and not trial.is_decided:
            trial.is_decided = True
            logger.warning("block_lifted", request=request.id, key=trial.entry.key)
            self._sharing.publish(trial.entry.changed(blocked=False))

    def is_suspect(self, request: RoutedRequest) -> bool:
        """Return whether a replica crashed under a request with one of its keys.

        Only crashes that this daemon saw, and no request with the key began since.
        """
        keys = keys_of(request).all
        return any((request.service, key) in self._struck for key in keys)

    def check_for_crash(self, request: RoutedRequest, replica: Replica) -> None:
        """Report in the background if a replica that lost a request has crashed."""
        self._tasks.start(self.has_crashed(request, replica), "look for a crash")

    async def has_crashed(self, request: RoutedRequest, replica: Replica) -> bool:
        """Return whether a replica that lost a request has crashed, and report it."""
        lost_at = loop_time()
        if await self._client.accepts_connections(replica):
            return False
        keys = keys_of(request)
        for key in keys.all:
            self._struck[request.service, key] = None
        while len(self._struck) > STRUCK_KEPT:
            del self._struck[next(iter(self._struck))]
        trial = self._trials.get(request.id)
        if trial is not None:
            trial.is_decided = True
        logger.warning(
            "replica_crashed_under",
            request=request.id,
            replica=replica.id,
            keys=" ".join(keys.all),
        )
        self._coordinator.report(replica, keys, lost_at)
        return True
