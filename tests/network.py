"""Daemons that exchange datagrams over a network on the virtual clock."""

import asyncio
import random
from collections import Counter
from typing import Protocol

from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.peers.pool_datagrams import decode_message, encode_message
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.utils import loop_time

DELAY_S = 0.002
# Datagrams must fit into a frame.
DATAGRAM_MAX_BYTES = 1400


class NetworkedDaemon(Protocol):
    """A daemon that a network delivers datagrams to."""

    vm: str
    view: View

    def receive(self, sender: str, message) -> None:
        """Handle a datagram."""


class VirtualNetwork:
    """Delivers datagrams after a delay; they may be lost, daemons dead or cut off."""

    def __init__(self, daemons: int, seed: int, loss: float):
        self.rng = random.Random(seed)
        self.loss = loss
        self.dead: set[str] = set()
        self.cut: set[str] = set()
        self.received: Counter[str] = Counter()
        self.bytes_received: Counter[str] = Counter()
        self.vms = [
            ListedVM(f"vm-{n}", f"10.0.0.{n}", "a", "r", ListedState.LIVE)
            for n in range(daemons)
        ]
        self.daemons: list[NetworkedDaemon] = []

    def daemon(self, vm: str) -> NetworkedDaemon:
        """Return the daemon on a VM."""
        return next(item for item in self.daemons if item.vm == vm)

    @property
    def living(self) -> list[NetworkedDaemon]:
        """Daemons that run."""
        return [item for item in self.daemons if item.vm not in self.dead]

    def reaches(self, sender: str, receiver: str) -> bool:
        """Return whether datagrams get from one daemon to another."""
        return not {sender, receiver} & (self.dead | self.cut)

    def transmit(self, sender: str, receiver: str, message) -> None:
        """Deliver a message after a delay, unless it is lost."""
        data = encode_message(message)
        assert len(data) < DATAGRAM_MAX_BYTES
        if self.rng.random() >= self.loss:
            loop = asyncio.get_running_loop()
            loop.call_later(DELAY_S, self._deliver, sender, receiver, data)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if not self.reaches(sender, receiver):
            return
        self.received[receiver] += 1
        self.bytes_received[receiver] += len(data)
        self.daemon(receiver).receive(sender, decode_message(data))

    def report(self, daemons, state: PeerState) -> None:
        """Let all living daemons know the state of some, for their incarnations now."""
        now = loop_time()
        for other in self.living:
            for daemon in daemons:
                if other is daemon:
                    continue
                known = other.view.get(daemon.vm)
                report = Report(daemon.vm, known.incarnation or "i", 1, state)
                if state == PeerState.ALIVE:
                    incarnation = daemon.view.own.incarnation
                    report = Report(daemon.vm, incarnation, 0, state)
                other.view.merge_report(report, now)
