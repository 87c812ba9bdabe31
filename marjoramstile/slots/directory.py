"""Assigns engines to owners by rendezvous hashing over the serving daemons."""

from marjoramstile.membership.view import Peer, View
from marjoramstile.utils import rendezvous_owner


class OwnerDirectory:
    """Finds the owner of an engine from this daemon's membership view.

    The views of two daemons may differ for a moment, and then so may their owners.
    Owners are cached until the view's generation changes.
    """

    def __init__(self, view: View):
        self._view = view
        self._generation = -1
        self._owners: dict[tuple[str, str], str | None] = {}
        self._candidates: dict[str, list[str]] = {}

    def owner_of(
        self, engine: str, data_centre: str, excluded: frozenset[str] = frozenset()
    ) -> Peer | None:
        """Return the owner of an engine, from the engine's data centre if possible."""
        name = self._owner_name(engine, data_centre, excluded)
        return self._view.get(name) if name is not None else None

    def is_own(self, engine: str, data_centre: str) -> bool:
        """Return whether this daemon owns an engine."""
        owner = self._owner_name(engine, data_centre, frozenset())
        return owner == self._view.own.vm.name

    def _owner_name(
        self, engine: str, data_centre: str, excluded: frozenset[str]
    ) -> str | None:
        if self._generation != self._view.generation:
            self._owners.clear()
            self._candidates.clear()
            self._generation = self._view.generation
        if excluded:
            names = set(self._candidate_names(data_centre)) - excluded
            return rendezvous_owner(engine, names)
        key = engine, data_centre
        if key not in self._owners:
            self._owners[key] = rendezvous_owner(
                engine, self._candidate_names(data_centre)
            )
        return self._owners[key]

    def _candidate_names(self, data_centre: str) -> list[str]:
        """Return the serving daemons of a data centre, or all if it has none."""
        if data_centre not in self._candidates:
            serving = [peer.vm for peer in self._view.peers if peer.serving]
            near = [vm.name for vm in serving if vm.data_centre == data_centre]
            self._candidates[data_centre] = near or [vm.name for vm in serving]
        return self._candidates[data_centre]
