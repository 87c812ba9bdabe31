"""Fake connections that call the real peer handlers of other daemons."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

LATENCY_S = 0.0005


@dataclass
class FakeNetwork:
    """Peer handlers by address, and the faults between daemons.

    ``cut`` holds pairs of daemons that can't reach each other, ``frozen`` those daemons
    that receive no messages until they are thawed.
    """

    handlers: dict[str, tuple[str, Any]] = field(default_factory=dict)
    cut: set[frozenset[str]] = field(default_factory=set)
    frozen: dict[str, asyncio.Event] = field(default_factory=dict)
    messages: int = 0

    def separate(self, left: set[str], right: set[str]) -> None:
        """Cut every daemon of ``left`` from every daemon of ``right``."""
        self.cut |= {frozenset((a, b)) for a in left for b in right}

    def heal(self) -> None:
        """Restore the connections between all daemons."""
        self.cut.clear()

    def freeze(self, daemon: str) -> None:
        """Hold back all messages to a daemon."""
        self.frozen[daemon] = asyncio.Event()

    def thaw(self, daemon: str) -> None:
        """Deliver the messages held back for a daemon, and all later ones."""
        self.frozen.pop(daemon).set()


class FakeConnections:
    """One daemon's connections over the fake network."""

    def __init__(self, network: FakeNetwork, daemon: str):
        self._network = network
        self._daemon = daemon

    async def call(
        self, address: str, method: str, *arguments: Any, timeout_s: float
    ) -> Any | None:
        """Call a method of the daemon at ``address``; return None if it fails."""
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
                self._deliver_when_thawed(frozen, handler, method, arguments)
            )
            return await asyncio.shield(handling)
        answer = await getattr(handler, method)(*arguments)
        await asyncio.sleep(LATENCY_S)
        return answer

    @staticmethod
    async def _deliver_when_thawed(
        frozen: asyncio.Event, handler: Any, method: str, arguments: tuple
    ) -> Any:
        """Deliver a message once its receiver is thawed, also after a timeout."""
        await frozen.wait()
        return await getattr(handler, method)(*arguments)
