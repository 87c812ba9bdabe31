"""One daemon's view of the other daemons: a pure table of peers.

The view merges the platform's lagging list with what peers report. A report is
about one incarnation; a higher counter wins, and at equal counters the worse
state does. A daemon that hears itself suspected or declared dead raises its own
counter, so that it comes back after a cut. An incarnation has ended for good when
another one of the same VM was heard of.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

from marjoramstile.membership.gossip import GossipQueue
from marjoramstile.ports.vms import ListedState, ListedVM


class PeerState(IntEnum):
    """States of a daemon, from best to worst."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True)
class Report:
    """What one daemon says of an incarnation of a daemon.

    ``counter`` is raised only by the daemon that the report is about.
    """

    vm: str
    incarnation: str
    counter: int
    state: PeerState


@dataclass(frozen=True)
class Peer:
    """A daemon on a listed VM; an empty incarnation was never heard from."""

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
        """Whether it has a row and is not known to have gone.

        After a start of the whole fleet all daemons know the same rows long before they
        have heard from each other.
        """
        return self.state == PeerState.ALIVE and self.vm.state == ListedState.LIVE

    def to_report(self) -> Report:
        """Return what this daemon would say of the peer."""
        return Report(self.vm.name, self.incarnation, self.counter, self.state)


class View:
    """Peers by VM name, this daemon included."""

    def __init__(self, own: ListedVM, incarnation: str):
        self._own_name = own.name
        self._peers = {own.name: Peer(own, incarnation)}
        self._generation = 0
        self._vm_names: dict[str, str] = {incarnation: own.name}
        self._ended: dict[str, float] = {}
        self._news: GossipQueue[Report] = GossipQueue()
        self._news.put(own.name, self.own.to_report())

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
        """A number that grows whenever a daemon appears, goes or changes."""
        return self._generation

    @property
    def others(self) -> tuple[Peer, ...]:
        """All daemons but this one."""
        return tuple(peer for peer in self.peers if peer.vm.name != self._own_name)

    def get(self, vm: str) -> Peer | None:
        """Return the daemon on ``vm``."""
        return self._peers.get(vm)

    def merge_list(self, listed: Iterable[ListedVM], now: float) -> None:
        """Take the platform's list: new VMs appear, VMs not listed go."""
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
            gone = self._peers.pop(name)
            self._vm_names.pop(gone.incarnation, None)
            self._generation += 1

    def merge_report(self, report: Report, now: float) -> bool:
        """Take a report; return whether it changed the view.

        Bad news of another incarnation than the known one is that of an older one, or
        will come again from the daemon's own silence.
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
            self._end(known.incarnation, now)
        self._set(known, report, now)
        return True

    def _merge_own(self, report: Report, now: float) -> bool:
        """Refute a report that is worse than what this daemon is."""
        own = self.own
        if report.incarnation != own.incarnation or report.state <= own.state:
            return False
        if report.counter < own.counter:
            return False
        refutation = replace(own.to_report(), counter=report.counter + 1)
        self._set(own, refutation, now)
        return True

    def _set(self, known: Peer, report: Report, now: float) -> None:
        self._peers[report.vm] = Peer(
            known.vm, report.incarnation, report.counter, report.state, now
        )
        self._generation += 1
        if report.incarnation:
            self._vm_names[report.incarnation] = report.vm
            self._news.put(report.vm, report)

    def _end(self, incarnation: str, now: float) -> None:
        self._ended[incarnation] = now
        self._vm_names.pop(incarnation, None)

    def heard_from(self, vm: str, incarnation: str, now: float) -> None:
        """Note that a daemon answered or called; ends its first silence.

        What a daemon says itself counts for more than what old reports made of it.
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
            self._set(peer, report, now)

    def expire_suspects(self, suspicion_s: float, now: float) -> list[Peer]:
        """Declare dead the daemons that were suspect for ``suspicion_s``."""
        expired = [
            peer
            for peer in self.others
            if peer.state == PeerState.SUSPECT and now - peer.since >= suspicion_s
        ]
        for peer in expired:
            self._set(peer, replace(peer.to_report(), state=PeerState.DEAD), now)
        return expired

    def leave(self, now: float) -> None:
        """Mark this daemon as leaving."""
        own = self.own
        report = replace(own.to_report(), counter=own.counter + 1)
        self._set(own, replace(report, state=PeerState.LEAVING), now)

    def is_current(self, incarnation: str) -> bool:
        """Tell whether an incarnation is the present one of a listed VM."""
        return incarnation in self._vm_names

    def is_dead(self, incarnation: str) -> bool:
        """Tell whether an incarnation has ended or is thought to be dead."""
        if incarnation in self._ended:
            return True
        peer = self._peers.get(self._vm_names.get(incarnation, ""))
        return peer is not None and peer.state == PeerState.DEAD

    def forget_ended(self, keep_s: float, now: float) -> None:
        """Drop incarnations that ended more than ``keep_s`` ago."""
        self._ended = {
            incarnation: at
            for incarnation, at in self._ended.items()
            if now - at < keep_s
        }

    def take_gossip(self, limit: int) -> tuple[Report, ...]:
        """Return reports to pass on with the next message."""
        return self._news.take(limit, len(self._peers))
