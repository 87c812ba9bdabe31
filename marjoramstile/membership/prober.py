"""Probes peers and spreads reports at a constant cost per second."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from marjoramstile.logs import get_logger
from marjoramstile.membership.leaving import LeavingHosts
from marjoramstile.membership.view import Peer, PeerState, Report, View
from marjoramstile.ports.vms import VMList, VMRole
from marjoramstile.utils import loop_time

INDIRECT_PROBES = 2
REPORTS_PER_MESSAGE = 20
ENDED_RETENTION_S = 600.0
LIST_PERIOD_PER_VM_S = 0.05

logger = get_logger(__name__)


@dataclass(frozen=True)
class Probe:
    """A probe or its answer: the sender, and reports and strikes to merge.

    A strike is a pair of content and endpoint. ``blocklist`` is the digest of the
    sender's blocklist; empty if it has none. ``positions`` are pairs of a mirrored
    table and how new the sender's copy is. ``links`` is the state of the sender's links
    to replicas.
    """

    vm: str
    incarnation: str
    reports: tuple[Report, ...]
    strikes: tuple[tuple[str, str], ...] = ()
    blocklist: str = ""
    positions: tuple[tuple[str, int], ...] = ()
    links: int = 0


class ProbePeers(Protocol):
    """The messages that a prober sends."""

    async def probe(self, peer: Peer, probe: Probe) -> Probe | None:
        """Probe a daemon; None if it didn't answer in time."""

    async def probe_through(self, peer: Peer, target: str) -> bool:
        """Ask a daemon to probe ``target``; return whether that answered."""


class Prober:
    """Keeps the view of one daemon current at a constant cost per second."""

    def __init__(
        self,
        view: View,
        peers: ProbePeers,
        vm_list: VMList,
        leaving: LeavingHosts,
        suspicion_s: float,
        rng: random.Random,
    ):
        self._view = view
        self._peers = peers
        self._vm_list = vm_list
        self._leaving = leaving
        self._suspicion_s = suspicion_s
        self._rng = rng
        self._probe_queue: list[str] = []
        self._next_list_at = float("-inf")
        self._strike_source: Callable[[int], tuple] = lambda limit: ()
        self._strike_sink: Callable[[str, str], None] = lambda content, endpoint: None
        self._digest_source: Callable[[], str] = lambda: ""
        self._digest_sink: Callable[[str, str], None] = lambda vm, digest: None
        self._position_source: Callable[[], tuple] = lambda: ()
        self._links_source: Callable[[], int] = lambda: 0
        self._links_sink: Callable[[str, int], None] = lambda vm, state: None
        self._position_sink: Callable[[str, tuple], None] = lambda vm, positions: None

    def carry_strikes(
        self,
        source: Callable[[int], tuple[tuple[str, str], ...]],
        sink: Callable[[str, str], None],
    ) -> None:
        """Exchange strikes against contents that crash endpoints along with probes.

        ``source`` returns up to the given number of strikes to send, ``sink`` is called
        with the content and endpoint of each one received.
        """
        self._strike_source = source
        self._strike_sink = sink

    def carry_digest(
        self, source: Callable[[], str], sink: Callable[[str, str], None]
    ) -> None:
        """Exchange digests of blocklists along with probes.

        ``source`` returns this daemon's, ``sink`` is called with a VM and its digest.
        """
        self._digest_source = source
        self._digest_sink = sink

    def carry_positions(
        self,
        source: Callable[[], tuple[tuple[str, int], ...]],
        sink: Callable[[str, tuple[tuple[str, int], ...]], None],
    ) -> None:
        """Exchange how new the mirrors of tables are along with probes.

        ``source`` returns this daemon's, ``sink`` is called with a VM and its own.
        """
        self._position_source = source
        self._position_sink = sink

    def carry_links(
        self, source: Callable[[], int], sink: Callable[[str, int], None]
    ) -> None:
        """Exchange the state of VMs' links to replicas along with probes."""
        self._links_source = source
        self._links_sink = sink

    async def refresh_list(self) -> None:
        """Read the platform's VM list; if that fails, the last one stays in use.

        The period grows with the number of VMs, so that the bytes per second stay
        constant.
        """
        now = loop_time()
        if now < self._next_list_at:
            return
        self._next_list_at = now + len(self._view.peers) * LIST_PERIOD_PER_VM_S
        answer = await self._vm_list.list_vms()
        if answer.is_err():
            return
        listed = answer.unwrap()
        self._leaving.update(listed)
        entries = [vm for vm in listed if vm.role == VMRole.ENTRY]
        self._view.merge_list(entries, loop_time())

    async def step(self) -> None:
        """Expire suspects and probe the next peer; called periodically."""
        for peer in self._view.expire_suspects(self._suspicion_s, loop_time()):
            logger.warning("peer_dead", vm=peer.vm.name, incarnation=peer.incarnation)
        self._view.expire_ended(ENDED_RETENTION_S, loop_time())
        target = self._next_target()
        if target is not None:
            await self._probe(target)

    def _next_target(self) -> Peer | None:
        """Return the next listed daemon; dead ones too, as they may have recovered."""
        while True:
            if not self._probe_queue:
                self._probe_queue = [peer.vm.name for peer in self._view.others]
                self._rng.shuffle(self._probe_queue)
            if not self._probe_queue:
                return None
            peer = self._view.get(self._probe_queue.pop())
            if peer is not None:
                return peer

    async def _probe(self, target: Peer) -> None:
        answer = await self._peers.probe(target, self._compose_probe(target.vm.name))
        if answer is not None:
            self._merge_probe(answer)
            return
        if await self._probe_indirectly(target):
            return
        current = self._view.get(target.vm.name)
        if current is not None and current.incarnation == target.incarnation:
            self._view.suspect(target.vm.name, loop_time())

    async def _probe_indirectly(self, target: Peer) -> bool:
        helpers = [
            peer
            for peer in self._view.others
            if peer.serving and peer.vm.name != target.vm.name
        ]
        chosen = self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        answers = await asyncio.gather(
            *(self._peers.probe_through(helper, target.vm.name) for helper in chosen)
        )
        return any(answers)

    def _compose_probe(self, receiver: str) -> Probe:
        """Return a probe with reports to pass on.

        A receiver that is suspect or dead gets the report about itself too, so that it
        can refute it.
        """
        own = self._view.own
        reports = self._view.take_gossip(REPORTS_PER_MESSAGE)
        peer = self._view.get(receiver)
        if peer is not None and peer.state >= PeerState.SUSPECT:
            reports = (*reports, peer.to_report())
        return Probe(
            own.vm.name,
            own.incarnation,
            reports,
            self._strike_source(REPORTS_PER_MESSAGE),
            self._digest_source(),
            self._position_source(),
            self._links_source(),
        )

    def _merge_probe(self, probe: Probe) -> None:
        now = loop_time()
        self._view.record_contact(probe.vm, probe.incarnation, now)
        for report in probe.reports:
            self._view.merge_report(report, now)
        for content, endpoint in probe.strikes:
            self._strike_sink(content, endpoint)
        self._digest_sink(probe.vm, probe.blocklist)
        self._position_sink(probe.vm, probe.positions)
        self._links_sink(probe.vm, probe.links)

    async def announce(self) -> None:
        """Send this daemon's state to all others at once, when it starts or leaves."""
        own = self._view.own
        message = Probe(own.vm.name, own.incarnation, (own.to_report(),))
        await asyncio.gather(
            *(self._peers.probe(peer, message) for peer in self._view.others)
        )

    async def handle_probe(self, probe: Probe) -> Probe:
        """Merge a probe of another daemon and return the answer."""
        self._merge_probe(probe)
        return self._compose_probe(probe.vm)

    async def handle_probe_through(self, vm: str) -> bool:
        """Probe ``vm`` for another daemon; return whether it answered."""
        target = self._view.get(vm)
        if target is None:
            return False
        answer = await self._peers.probe(target, self._compose_probe(vm))
        if answer is not None:
            self._merge_probe(answer)
        return answer is not None
