"""Front addresses that are returned to callers to connect to."""

from collections.abc import Callable, Mapping

from marjoramstile.membership.nodes import NodeEntry
from marjoramstile.membership.view import View
from marjoramstile.ports.vms import ListedVM
from marjoramstile.utils import rendezvous_weight

ADDRESSES_MAX = 64
# With fewer daemons than this in the caller's region, others are returned too.
REGION_MIN = 8


class FrontAddresses:
    """Front addresses of the daemons that serve, according to this daemon's view."""

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
        self._cache_key: tuple[int, Mapping[str, NodeEntry], bool] | None = None
        self._cached: dict[str, list[str]] = {}
        self._cached_elsewhere: list[str] = []

    @property
    def ttl_s(self) -> float:
        """How long callers may cache a response, in seconds."""
        return self._ttl_s

    def current(self, region: str) -> list[str]:
        """Return up to ADDRESSES_MAX addresses for a caller in ``region``.

        In a large fleet each daemon returns a subset of its own, which stays the same
        while daemons come and go: callers close connections to all other addresses.
        """
        state = (self._view.generation, self._entries(), self._own_ready())
        if self._cache_key != state:
            self._cache_key = state
            fronts = self._serving_fronts()
            regions = {vm.region for vm in fronts}
            self._cached = {item: self._choose(fronts, item) for item in regions}
            self._cached_elsewhere = self._choose(fronts, "")
        return self._cached.get(region, self._cached_elsewhere)

    def _choose(self, fronts: Mapping[ListedVM, str], region: str) -> list[str]:
        near = [vm for vm in fronts if vm.region == region]
        far = [vm for vm in fronts if vm.region != region]
        chosen = self._ranked(near)
        if len(near) < REGION_MIN:
            rest = REGION_MIN - len(near) if near else ADDRESSES_MAX
            chosen += self._ranked(far)[:rest]
        return [fronts[vm] for vm in chosen[:ADDRESSES_MAX]]

    def _serving_fronts(self) -> dict[ListedVM, str]:
        """Return the front addresses of all daemons that serve."""
        entries = self._entries()
        fronts = {
            peer.vm: entries[peer.vm.name].front
            for peer in self._view.others
            if peer.serving and peer.vm.name in entries
        }
        if self._own_ready():
            fronts[self._view.own.vm] = self._own_front
        return fronts

    def _ranked(self, vms: list[ListedVM]) -> list[ListedVM]:
        """Sort VMs in a stable order that differs between daemons."""
        own = self._view.own.vm.name
        return sorted(vms, key=lambda vm: rendezvous_weight(own, vm.name))
