"""Probes peers, spreads reports, and notices that this process was paused."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from marjoramstile.logs import get_logger
from marjoramstile.membership.view import Peer, PeerState, Report, View
from marjoramstile.platform.vms import HTTPVMList
from marjoramstile.utils import new_token

INDIRECT_PROBES = 2
REPORTS_PER_MESSAGE = 20
KEEP_DEAD_S = 600.0

logger = get_logger(__name__)


@dataclass(frozen=True)
class Probe:
    """A probe or its answer: the sender and news to merge.

    ``rejected`` tells the receiver that its incarnation is known to have ended.
    """

    vm: str
    incarnation: str
    reports: tuple[Report, ...]
    strikes: tuple[tuple[str, str], ...] = ()
    rejected: bool = False


class ProbePeers(Protocol):
    """Messages that probing needs."""

    async def probe(self, peer: Peer, probe: Probe) -> Probe | None:
        """Probe a daemon; None if it didn't answer in time."""

    async def probe_through(self, peer: Peer, target: str) -> bool:
        """Ask a daemon to probe ``target``; whether it answered."""


class Prober:
    """Keeps the view of one daemon true at a constant cost per second."""

    def __init__(
        self,
        view: View,
        peers: ProbePeers,
        vm_list: HTTPVMList,
        period_s: float,
        suspicion_s: float,
        rng: random.Random,
    ):
        self._view = view
        self._peers = peers
        self._vm_list = vm_list
        self._period_s = period_s
        self._suspicion_s = suspicion_s
        self._rng = rng
        self._ring: list[str] = []
        self._last_step = self._now()
        self._strike_source: Callable[[int], tuple] = lambda limit: ()
        self._strike_sink: Callable[[str, str], None] = lambda content, endpoint: None

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def carry_strikes(
        self,
        source: Callable[[int], tuple[tuple[str, str], ...]],
        sink: Callable[[str, str], None],
    ) -> None:
        """Let probes carry strikes of crashing requests."""
        self._strike_source = source
        self._strike_sink = sink

    async def refresh_list(self) -> None:
        """Read the platform's list; without an answer the old one stays."""
        answer = await self._vm_list.list_vms()
        if answer.is_ok():
            self._view.merge_list(answer.unwrap(), self._now())

    async def step(self) -> None:
        """Probe the next peer; run periodically."""
        self._notice_pause()
        for peer in self._view.expire_suspects(self._suspicion_s, self._now()):
            logger.warning("peer_dead", vm=peer.vm.name, incarnation=peer.incarnation)
        self._view.forget_dead(KEEP_DEAD_S, self._now())
        target = self._next_target()
        if target is not None:
            await self._probe(target)

    def _notice_pause(self) -> None:
        """Take a new incarnation if peers must have given this one up."""
        now = self._now()
        paused_s = now - self._last_step - self._period_s
        self._last_step = now
        if paused_s > self._suspicion_s:
            logger.warning("pause_noticed", paused_s=round(paused_s, 3))
            self._renew()

    def _renew(self) -> None:
        incarnation = new_token()
        self._view.renew(incarnation, self._now())
        logger.warning("incarnation_renewed", incarnation=incarnation)

    def _next_target(self) -> Peer | None:
        while True:
            if not self._ring:
                self._ring = [
                    peer.vm.name
                    for peer in self._view.others
                    if peer.state != PeerState.DEAD
                ]
                self._rng.shuffle(self._ring)
            if not self._ring:
                return None
            peer = self._view.get(self._ring.pop())
            if peer is not None and peer.state != PeerState.DEAD:
                return peer

    async def _probe(self, target: Peer) -> None:
        answer = await self._peers.probe(target, self._message_to(target))
        if answer is not None:
            self._merge(answer)
            return
        if await self._probe_indirectly(target):
            return
        current = self._view.get(target.vm.name)
        if current is not None and current.incarnation == target.incarnation:
            self._view.suspect(target.vm.name, self._now())

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

    def _message(self, rejected: bool = False) -> Probe:
        own = self._view.own
        return Probe(
            own.vm.name,
            own.incarnation,
            self._view.take_news(REPORTS_PER_MESSAGE),
            self._strike_source(REPORTS_PER_MESSAGE),
            rejected,
        )

    def _message_to(self, target: Peer) -> Probe:
        """Tell a suspected daemon so, that it may refute the suspicion."""
        message = self._message()
        if target.state != PeerState.SUSPECT:
            return message
        return replace(message, reports=(*message.reports, target.to_report()))

    def _merge(self, probe: Probe) -> None:
        now = self._now()
        self._view.heard_from(probe.vm, probe.incarnation, now)
        for report in probe.reports:
            self._view.merge_report(report, now)
        for content, endpoint in probe.strikes:
            self._strike_sink(content, endpoint)
        if probe.rejected:
            self._renew()

    async def on_probe(self, probe: Probe) -> Probe:
        """Answer a probe of another daemon."""
        self._merge(probe)
        return self._message(rejected=self._view.is_dead(probe.incarnation))

    async def on_probe_through(self, vm: str) -> bool:
        """Probe ``vm`` for another daemon."""
        target = self._view.get(vm)
        if target is None:
            return False
        answer = await self._peers.probe(target, self._message())
        if answer is not None:
            self._merge(answer)
        return answer is not None
