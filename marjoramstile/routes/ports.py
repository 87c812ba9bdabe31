"""Ports of the routing core: replicas on one side, callers on the other."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.requests import (
    Headers,
    Hold,
    KVHandle,
    Reply,
    RoutedRequest,
    SendOptions,
)


@dataclass(frozen=True)
class StreamAnswer:
    """The head of a replica's stream and its bytes as they arrive.

    ``chunks`` raises AnswerLostError where the stream breaks off. It has no bound: what
    must be buffered in full is read by ``read_reply`` of the client, and incomplete
    events count against ``buffers``, if there is a budget.
    """

    status: int
    headers: Headers
    chunks: AsyncIterator[bytes]
    buffers: BufferBudget | None = None


class ReplicaClient(Protocol):
    """Calls to replicas; methods raise ReplicaError on failure."""

    async def call(
        self, replica: Replica, request: RoutedRequest, timeout_s: float
    ) -> Reply:
        """Send a request and return the complete answer."""

    def stream(
        self,
        replica: Replica,
        request: RoutedRequest,
        timeout_s: float,
        options: SendOptions,
    ) -> AbstractAsyncContextManager[StreamAnswer]:
        """Send a request and open its stream; exiting closes the connection."""

    async def read_reply(self, answer: StreamAnswer) -> Reply:
        """Return a whole answer; raise AnswerLostError if truncated or too long."""

    async def prefill(
        self, replica: Replica, request: RoutedRequest, timeout_s: float
    ) -> KVHandle:
        """Prefill the prompt; return a handle to its KV cache."""

    async def accepts_connections(self, replica: Replica) -> bool:
        """Return whether the replica accepts a connection; never raises."""

    async def started_at_ms(self, replica: Replica) -> int | None:
        """Return when the process at a replica's address began; None if unknown."""

    async def acquire_hold(
        self, replica: Replica, tokens: int, ttl_s: float
    ) -> Hold | None:
        """Reserve a slot and memory; None if the replica has no capacity."""

    async def release_hold(self, replica: Replica, hold: Hold) -> None:
        """Release a reservation."""

    async def release_handle(self, handle: KVHandle) -> None:
        """Release a KV cache that will not be fetched."""


class Responder(Protocol):
    """The caller's side of a stream."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""

    async def finish(self) -> None:
        """End the answer as complete."""
