"""Fake connections: calls reach the other daemons' real peer handlers."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

LATENCY_S = 0.0005


@dataclass
class FakeNetwork:
    """Peer handlers by address, and the faults between daemons.

    ``cut`` holds pairs of daemons that can't reach each other, ``frozen`` daemons
    that take no message until they go on.
    """

    handlers: dict[str, tuple[str, Any]] = field(default_factory=dict)
    cut: set[frozenset[str]] = field(default_factory=set)
    frozen: dict[str, asyncio.Event] = field(default_factory=dict)
    messages: int = 0

    def separate(self, left: set[str], right: set[str]) -> None:
        """Cut every daemon of ``left`` from every daemon of ``right``."""
        self.cut |= {frozenset((a, b)) for a in left for b in right}

    def heal(self) -> None:
        """Let all daemons reach each other."""
        self.cut.clear()

    def freeze(self, daemon: str) -> None:
        """Let a daemon take no messages."""
        self.frozen[daemon] = asyncio.Event()

    def thaw(self, daemon: str) -> None:
        """Deliver what a daemon missed and go on."""
        self.frozen.pop(daemon).set()


class FakeConnections:
    """One daemon's connections over the fake network."""

    def __init__(self, network: FakeNetwork, daemon: str):
        self._network = network
        self._daemon = daemon

    async def call(
        self, address: str, method: str, *arguments: Any, timeout_s: float
    ) -> Any | None:
        """Call a method of the daemon at ``address``; None if it fails."""
        self._network.messages += 1
        try:
            async with asyncio.timeout(timeout_s):
                return await self._deliver(address, method, arguments)
        except TimeoutError:
            return None

    async def _deliver(self, address: str, method: str, arguments: tuple) -> Any:
        await asyncio.sleep(LATENCY_S)
        if address not in self._network.handlers:
            return None
        target, handler = self._network.handlers[address]
        if frozenset((self._daemon, target)) in self._network.cut:
            await asyncio.Event().wait()
        if target in self._network.frozen:
            frozen = self._network.frozen[target]
            handling = asyncio.create_task(
                self._handle_later(frozen, handler, method, arguments)
            )
            return await asyncio.shield(handling)
        answer = await getattr(handler, method)(*arguments)
        await asyncio.sleep(LATENCY_S)
        return answer

    @staticmethod
    async def _handle_later(
        frozen: asyncio.Event, handler: Any, method: str, arguments: tuple
    ) -> Any:
        """Handle a message when its receiver goes on, however late that is."""
        await frozen.wait()
        return await getattr(handler, method)(*arguments)
