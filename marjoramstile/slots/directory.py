"""Which daemon owns an engine: rendezvous hashing over the serving daemons."""

from marjoramstile.membership.view import Peer, View
from marjoramstile.utils import rendezvous_owner


class OwnerDirectory:
    """Finds owners by this daemon's view; two views may differ for a moment."""

    def __init__(self, view: View):
        self._view = view

    def owner_of(
        self, engine: str, data_centre: str, excluded: frozenset[str] = frozenset()
    ) -> Peer | None:
        """Return the owner of an engine, from its own data centre if possible."""
        serving = [
            peer
            for peer in self._view.peers
            if peer.serving and peer.vm.name not in excluded
        ]
        near = [peer for peer in serving if peer.vm.data_centre == data_centre]
        candidates = {peer.vm.name: peer for peer in near or serving}
        name = rendezvous_owner(engine, candidates)
        return candidates[name] if name is not None else None

    def is_own(self, engine: str, data_centre: str) -> bool:
        """Tell whether this daemon owns an engine."""
        owner = self.owner_of(engine, data_centre)
        return owner is not None and owner.vm.name == self._view.own.vm.name
