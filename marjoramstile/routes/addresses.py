"""The addresses that callers are told to connect to."""

from collections.abc import Callable, Mapping

from marjoramstile.membership.nodes import NodeEntry
from marjoramstile.membership.view import View

ADDRESSES_MAX = 64


class FrontAddresses:
    """Front addresses of the daemons that serve now, as this daemon believes."""

    def __init__(
        self,
        view: View,
        entries: Callable[[], Mapping[str, NodeEntry]],
        own_front: str,
        own_ready: Callable[[], bool],
        ttl_s: float,
    ):
        self._view = view
        self._entries = entries
        self._own_front = own_front
        self._own_ready = own_ready
        self._ttl_s = ttl_s

    @property
    def ttl_s(self) -> float:
        """How long callers may keep an answer, in seconds."""
        return self._ttl_s

    def current(self) -> list[str]:
        """Return up to ADDRESSES_MAX addresses."""
        entries = self._entries()
        serving = [
            entries[peer.vm.name].front
            for peer in self._view.others
            if peer.serving and peer.vm.name in entries
        ]
        if self._own_ready():
            serving.insert(0, self._own_front)
        return serving[:ADDRESSES_MAX]
