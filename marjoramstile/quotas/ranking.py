"""Which daemon owns the quota of a workspace, by rendezvous hashing, and since when."""

from marjoramstile.membership.view import View
from marjoramstile.utils import rendezvous_owner, rendezvous_weight

# Daemons that are asked, the owner included.
CANDIDATES = 3


class OwnerRanking:
    """Ranks the daemons that are alive in this daemon's view."""

    def __init__(self, view: View, window_s: float, now: float):
        self._view = view
        self._window_s = window_s
        self._generation = -1
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._majority = False
        self._alive: frozenset[str] = frozenset()
        # The sets of living daemons of the last window, with the times when they began.
        self._history: list[tuple[float, frozenset[str]]] = []
        self.restart(now)

    @property
    def own_vm(self) -> str:
        """Name of this daemon's VM."""
        return self._view.own.vm.name

    def restart(self, now: float) -> None:
        """Forget who owned what: this daemon did not listen until now."""
        self._generation = -1
        self._history = []
        self.update(now)

    def update(self, now: float) -> None:
        """Take in changes of the view."""
        if self._generation == self._view.generation:
            return
        self._generation = self._view.generation
        peers = self._view.peers
        alive = frozenset(peer.vm.name for peer in peers if peer.presumed_alive)
        majority = 2 * len(alive) > len(peers)
        if alive == self._alive and majority == self._majority and self._history:
            return
        self._alive = alive
        self._majority = majority
        self._ranked.clear()
        self._history.append((now, alive if majority else frozenset()))
        while len(self._history) > 1 and self._history[1][0] <= now - self._window_s:
            del self._history[0]

    def in_majority(self, now: float) -> bool:
        """Return whether most daemons are alive to this one."""
        self.update(now)
        return self._majority

    def alive(self, now: float) -> frozenset[str]:
        """Return the VMs whose daemons are alive to this one."""
        self.update(now)
        return self._alive

    def missing(self, now: float) -> int:
        """Return the number of listed daemons that are not alive to this one."""
        self.update(now)
        return len(self._view.peers) - len(self._alive)

    def ranked(self, workspace: str, now: float) -> tuple[str, ...]:
        """Return the VMs to ask for a workspace, its owner first."""
        self.update(now)
        if workspace not in self._ranked:
            key = _key(workspace)
            ranked = sorted(
                self._alive, key=lambda vm: rendezvous_weight(key, vm), reverse=True
            )
            self._ranked[workspace] = tuple(ranked[:CANDIDATES])
        return self._ranked[workspace]

    def owned_since(self, workspace: str, now: float) -> float | None:
        """Return since when this daemon owns a workspace without a break, or None."""
        self.update(now)
        since = None
        for began, alive in reversed(self._history):
            if rendezvous_owner(_key(workspace), alive) != self.own_vm:
                break
            since = began
        return since


def _key(workspace: str) -> str:
    return f"quota/{workspace}"
