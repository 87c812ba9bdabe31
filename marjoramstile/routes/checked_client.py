"""Asks right before each send whether the replica still takes requests.

A replica is chosen first and sent to later: after a queue, a permit, a prefill, a pause
between tries. What was true at the choice may be so no more. All requests and
reservations of the routing core pass here, without a wait between check and send.
"""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from marjoramstile.routes.ports import ReplicaClient, StreamAnswer
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.requests import (
    Hold,
    KVHandle,
    NotExecutedError,
    NotSentError,
    OutdatedChoiceError,
    Reply,
    RoutedRequest,
    SendOptions,
)


@contextmanager
def recorded_send(request: RoutedRequest) -> Iterator[None]:
    """Record that a request may run, unless the block tells that it did not."""
    request.sends.count += 1
    try:
        yield
    except (NotSentError, NotExecutedError):
        request.sends.count -= 1
        raise


class CheckedReplicaClient:
    """A ReplicaClient whose sends raise OutdatedChoiceError to unusable replicas."""

    def __init__(self, client: ReplicaClient, directory: ReplicaDirectory):
        self._client = client
        self._directory = directory

    def _check(self, replica: Replica, holds_place: bool = False) -> None:
        if not self._directory.takes(replica, holds_place):
            raise OutdatedChoiceError(f"{replica.id} takes no more requests")

    async def call(
        self, replica: Replica, request: RoutedRequest, timeout_s: float
    ) -> Reply:
        """Send a request and return the complete answer."""
        self._check(replica)
        with recorded_send(request):
            return await self._client.call(replica, request, timeout_s)

    @asynccontextmanager
    async def stream(
        self,
        replica: Replica,
        request: RoutedRequest,
        timeout_s: float,
        options: SendOptions,
    ) -> AsyncIterator[StreamAnswer]:
        """Send a request and open its stream; exiting closes the connection."""
        self._check(replica, holds_place=options.hold is not None)
        with recorded_send(request):
            async with self._client.stream(
                replica, request, timeout_s, options
            ) as answer:
                yield answer

    async def read_reply(self, answer: StreamAnswer) -> Reply:
        """Return a whole answer; raise AnswerLostError if truncated or too long."""
        return await self._client.read_reply(answer)

    async def prefill(
        self, replica: Replica, request: RoutedRequest, timeout_s: float
    ) -> KVHandle:
        """Prefill the prompt; return a handle to its KV cache."""
        self._check(replica)
        return await self._client.prefill(replica, request, timeout_s)

    async def accepts_connections(self, replica: Replica) -> bool:
        """Return whether the replica accepts a connection; never raises."""
        return await self._client.accepts_connections(replica)

    async def started_at_ms(self, replica: Replica) -> int | None:
        """Return when the process at a replica's address began; None if unknown."""
        return await self._client.started_at_ms(replica)

    async def acquire_hold(
        self, replica: Replica, tokens: int, ttl_s: float
    ) -> Hold | None:
        """Reserve a slot and memory; None if the replica has no capacity."""
        self._check(replica)
        return await self._client.acquire_hold(replica, tokens, ttl_s)

    async def release_hold(self, replica: Replica, hold: Hold) -> None:
        """Release a reservation."""
        await self._client.release_hold(replica, hold)

    async def release_handle(self, handle: KVHandle) -> None:
        """Release a KV cache that will not be fetched."""
        await self._client.release_handle(handle)
