"""One daemon's view of the other daemons: a table of peers without I/O.

The view merges the platform's lagging list with the reports of peers. A report is
about one incarnation; a higher counter wins, and at equal counters the worse
state does. A daemon that receives a report of itself as suspect or dead raises its
own counter, which restores it after a network partition. An incarnation has ended
when a report of another one of the same VM arrives; only a message from the daemon
itself reverses that.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

from marjoramstile.membership.gossip import GossipQueue
from marjoramstile.ports.vms import ListedState, ListedVM

# Incarnations that have ended and are remembered.
ENDED_MAX = 16_384


class PeerState(IntEnum):
    """States of a daemon, from best to worst."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True)
class Report:
    """One daemon's report about an incarnation of a daemon.

    ``counter`` is raised only by the daemon that the report is about.
    """

    vm: str
    incarnation: str
    counter: int
    state: PeerState


@dataclass(frozen=True)
class Peer:
    """A daemon on a listed VM; its incarnation is empty until it is known."""

    vm: ListedVM
    incarnation: str = ""
    counter: int = 0
    state: PeerState = PeerState.ALIVE
    since: float = 0.0

    @property
    def serving(self) -> bool:
        """Whether new callers may be sent to it."""
        return (
            self.incarnation != ""
            and self.state == PeerState.ALIVE
            and self.vm.state == ListedState.LIVE
        )

    @property
    def presumed_alive(self) -> bool:
        """Whether it is listed and not known to be leaving, suspect or dead.

        Its incarnation may be unknown: after a start of the whole fleet all daemons
        know the same rows long before they have exchanged messages.
        """
        return self.state == PeerState.ALIVE and self.vm.state == ListedState.LIVE

    def to_report(self) -> Report:
        """Return a report of the peer's state."""
        return Report(self.vm.name, self.incarnation, self.counter, self.state)


class View:
    """Peers by VM name, this daemon included."""

    def __init__(self, own: ListedVM, incarnation: str):
        self._own_name = own.name
        self._peers = {own.name: Peer(own, incarnation)}
        self._generation = 0
        self._vm_by_incarnation: dict[str, str] = {incarnation: own.name}
        self._ended: dict[str, float] = {}
        self._gossip: GossipQueue[Report] = GossipQueue()
        self._gossip.put(own.name, self.own.to_report())

    @property
    def own(self) -> Peer:
        """This daemon."""
        return self._peers[self._own_name]

    @property
    def peers(self) -> tuple[Peer, ...]:
        """All daemons, this one included."""
        return tuple(self._peers.values())

    @property
    def generation(self) -> int:
        """A number that grows whenever a daemon appears, disappears or changes."""
        return self._generation

    @property
    def others(self) -> tuple[Peer, ...]:
        """All daemons but this one."""
        return tuple(peer for peer in self.peers if peer.vm.name != self._own_name)

    def get(self, vm: str) -> Peer | None:
        """Return the daemon on ``vm``."""
        return self._peers.get(vm)

    def merge_list(self, listed: Iterable[ListedVM], now: float) -> None:
        """Merge the platform's list: add new VMs, remove others that it lacks."""
        by_name = {vm.name: vm for vm in listed}
        for name, vm in by_name.items():
            known = self._peers.get(name)
            if known is None:
                self._peers[name] = Peer(vm, since=now)
                self._generation += 1
            elif known.vm != vm:
                self._peers[name] = replace(known, vm=vm)
                self._generation += 1
        for name in set(self._peers) - set(by_name) - {self._own_name}:
            removed = self._peers.pop(name)
            self._vm_by_incarnation.pop(removed.incarnation, None)
            self._generation += 1

    def merge_report(self, report: Report, now: float) -> bool:
        """Merge a report; return whether it changed the view.

        A report that another incarnation than the known one is suspect or dead is
        ignored: that one is older, or it will be suspected here when it doesn't answer.
        """
        known = self._peers.get(report.vm)
        if known is None or not report.incarnation:
            return False
        if report.incarnation in self._ended:
            return False
        if report.vm == self._own_name:
            return self._merge_own(report, now)
        if report.incarnation == known.incarnation:
            if (report.counter, report.state) <= (known.counter, known.state):
                return False
        elif known.incarnation:
            if report.state >= PeerState.SUSPECT:
                return False
            self._end_incarnation(known.incarnation, now)
        self._update(known, report, now)
        return True

    def _merge_own(self, report: Report, now: float) -> bool:
        """Refute a report of a worse state than this daemon's."""
        own = self.own
        if report.incarnation != own.incarnation or report.state <= own.state:
            return False
        if report.counter < own.counter:
            return False
        refutation = replace(own.to_report(), counter=report.counter + 1)
        self._update(own, refutation, now)
        return True

    def _update(self, known: Peer, report: Report, now: float) -> None:
        self._peers[report.vm] = Peer(
            known.vm, report.incarnation, report.counter, report.state, now
        )
        self._generation += 1
        if report.incarnation:
            self._vm_by_incarnation[report.incarnation] = report.vm
            self._gossip.put(report.vm, report)

    def _end_incarnation(self, incarnation: str, now: float) -> None:
        self._ended[incarnation] = now
        if len(self._ended) > ENDED_MAX:
            del self._ended[next(iter(self._ended))]
        self._vm_by_incarnation.pop(incarnation, None)

    def record_contact(self, vm: str, incarnation: str, now: float) -> None:
        """Record a message from a daemon; its incarnation becomes the known one.

        A message from the daemon itself overrides old reports, also those by which its
        incarnation has ended.
        """
        known = self._peers.get(vm)
        if known is None or known.incarnation == incarnation:
            return
        self._ended.pop(incarnation, None)
        self.merge_report(Report(vm, incarnation, 0, PeerState.ALIVE), now)

    def suspect(self, vm: str, now: float) -> None:
        """Suspect a daemon that didn't answer."""
        peer = self._peers.get(vm)
        if peer is not None and peer.state < PeerState.SUSPECT:
            report = replace(peer.to_report(), state=PeerState.SUSPECT)
            self._update(peer, report, now)

    def expire_suspects(self, suspicion_s: float, now: float) -> list[Peer]:
        """Declare daemons dead after ``suspicion_s`` as suspects; return them."""
        expired = [
            peer
            for peer in self.others
            if peer.state == PeerState.SUSPECT and now - peer.since >= suspicion_s
        ]
        for peer in expired:
            self._update(peer, replace(peer.to_report(), state=PeerState.DEAD), now)
        return expired

    def leave(self, now: float) -> None:
        """Mark this daemon as leaving."""
        own = self.own
        report = replace(own.to_report(), counter=own.counter + 1)
        self._update(own, replace(report, state=PeerState.LEAVING), now)

    def is_current(self, incarnation: str) -> bool:
        """Return whether an incarnation is the current one of a listed VM."""
        return incarnation in self._vm_by_incarnation

    def is_dead(self, incarnation: str) -> bool:
        """Return whether an incarnation has ended or is considered dead."""
        if incarnation in self._ended:
            return True
        peer = self._peers.get(self._vm_by_incarnation.get(incarnation, ""))
        return peer is not None and peer.state == PeerState.DEAD

    def expire_ended(self, retention_s: float, now: float) -> None:
        """Drop incarnations that ended more than ``retention_s`` ago."""
        self._ended = {
            incarnation: at
            for incarnation, at in self._ended.items()
            if now - at < retention_s
        }

    def take_gossip(self, limit: int) -> tuple[Report, ...]:
        """Return up to ``limit`` reports to pass on with the next message."""
        return self._gossip.take(limit, len(self._peers))
