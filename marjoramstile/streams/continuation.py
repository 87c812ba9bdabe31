"""Decides at which replicas a stream may go on: those of the version that began it."""

from typing import Protocol

from marjoramstile.routes.ports import ReplicaClient
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.requests import (
    RefusalReason,
    RequestRefusedError,
    RoutedRequest,
)

# Time after which a caller may come back with a stream whose version is not known: the
# daemons that know it may be reached again.
RETRY_AFTER_S = 1.0


class VersionKeeper(Protocol):
    """Remembers the versions of streams; see keeper.StreamKeeper."""

    async def version_of(self, request: RoutedRequest) -> str | None:
        """Return the version of the stream that a request takes up, if certain."""

    def record_begin(self, request: RoutedRequest, replica: Replica) -> None:
        """Record that a replica brings the first event of a caller's attempt."""

    def is_mixed(self, service: str) -> bool:
        """Return whether several versions serve, or have done so lately."""


class StreamVersions:
    """What running a generation needs to know of software versions."""

    def __init__(
        self,
        keeper: VersionKeeper,
        directory: ReplicaDirectory,
        client: ReplicaClient,
    ):
        self._keeper = keeper
        self._directory = directory
        self._client = client

    async def require_version(self, request: RoutedRequest) -> str:
        """Return the version that began the stream that a request takes up.

        Raises RequestRefusedError if that is not certain.
        """
        version = await self._keeper.version_of(request)
        if version is None:
            raise RequestRefusedError(RefusalReason.VERSION_UNKNOWN, RETRY_AFTER_S)
        return version

    def record_begin(self, request: RoutedRequest, replica: Replica) -> None:
        """Record that a replica brings the first event of a caller's attempt."""
        self._keeper.record_begin(request, replica)

    async def may_continue(self, version: str | None, replica: Replica) -> bool:
        """Return whether a stream of a version may be sent to a replica.

        The replica is asked whether it is still the process that its row describes: it
        may have started again with another version, and the store be away. Streams that
        have not begun may go anywhere.
        """
        if version is None:
            return True
        started_at_ms = await self._client.started_at_ms(replica)
        if started_at_ms is None and not replica.started_at_ms:
            return not self._keeper.is_mixed(replica.service)
        return started_at_ms == replica.started_at_ms

    def is_certain(self, origin: Replica) -> bool:
        """Return whether the replica that began a stream had the version of its row.

        A row that has another version now may have been outdated then.
        """
        known = self._directory.get(origin.id)
        return known is None or known.version == origin.version
