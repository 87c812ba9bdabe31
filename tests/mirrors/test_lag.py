"""Mirrors that stay behind those of other daemons, however that comes about."""

import asyncio
import random

import pytest

from marjoramstile.membership.prober import Probe
from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.mirrors.lag import LAG_MAX_S, LagDetector
from marjoramstile.mirrors.mirror import DocumentMirror, PeerChanges, TableMirror
from marjoramstile.peers.membership_messages import probe_from_wire, probe_to_wire
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.utils import BackgroundTasks
from tests.mirrors.test_restores import FIRST, SECOND, in_era, values

OPERATOR, REPLICAS = "operator", "replicas"


class Daemon:
    """The mirrors of one daemon whose feeds hang; it asks the others of a test."""

    def __init__(self, vm: str, *others: "Daemon"):
        own = ListedVM(vm, "10.0.0.1", "a", "r", ListedState.LIVE)
        self.vm = vm
        self.others = {item.vm: item for item in others}
        self.view = View(own, f"i-{vm}")
        listed = [
            ListedVM(name, "h", "a", "r", ListedState.LIVE) for name in self.others
        ]
        self.view.merge_list([own, *listed], 0.0)
        for name in self.others:
            self.view.merge_report(Report(name, f"i-{name}", 0, PeerState.ALIVE), 0.0)
        self.mirrors = {
            OPERATOR: DocumentMirror(OPERATOR, int),
            REPLICAS: TableMirror(REPLICAS),
        }
        self.silent = False
        self.asked = 0
        self.lag = LagDetector(self.mirrors, self.view, self, BackgroundTasks())

    async def changes(self, peer, versions, whole):
        """Ask another daemon, in place of a MembershipClient."""
        other = self.others[peer.vm.name]
        other.asked += 1
        await asyncio.sleep(0.5 if other.silent else 0.005)
        if other.silent:
            return None
        return {
            table: PeerChanges(other.mirrors[table].changes_after(after), 0.1)
            for table, after in versions.items()
        }

    async def hear(self, seconds: float) -> None:
        """Get a probe of each other daemon every 0.2 s."""
        for _ in range(round(seconds / 0.2)):
            for other in self.others.values():
                self.lag.handle_positions(other.vm, other.lag.positions())
            await asyncio.sleep(0.2)


def daemon(vm: str, *others: Daemon, **tables) -> Daemon:
    """Return a daemon whose mirrors hold changes."""
    created = Daemon(vm, *others)
    for table, changes in tables.items():
        created.mirrors[table].apply(changes)
    return created


NEWER = {
    OPERATOR: in_era(FIRST, 20, True, c=b"12"),
    REPLICAS: in_era(FIRST, 21, True, r=b"draining"),
}
OLDER = {
    OPERATOR: in_era(FIRST, 10, True, c=b"11"),
    REPLICAS: in_era(FIRST, 10, True, r=b"ready"),
}


async def test_a_daemon_whose_feed_hangs_without_an_end_takes_changes_from_others():
    behind = daemon("b", daemon("a", **NEWER), **OLDER)
    await behind.hear(LAG_MAX_S + 0.5)
    assert values(behind.mirrors[OPERATOR]) == {"c": b"12"}
    assert values(behind.mirrors[REPLICAS]) == {"r": b"draining"}


async def test_a_daemon_in_the_earlier_era_takes_the_new_one_from_others():
    ahead = daemon("a", replicas=in_era(SECOND, 4, True, r=b"draining"))
    behind = daemon("b", ahead, **OLDER)
    await behind.hear(LAG_MAX_S + 0.5)
    assert values(behind.mirrors[REPLICAS]) == {"r": b"draining"}


async def test_a_configuration_that_only_another_daemon_still_has_is_taken():
    """The store came back from an older copy before this daemon started."""
    ahead = daemon("a", operator=in_era(FIRST, 57, True, c=b"11"))
    ahead.mirrors[OPERATOR].apply(in_era(SECOND, 12, True, c=b"5"))
    behind = daemon("b", ahead, operator=in_era(SECOND, 12, True, c=b"5"))
    await behind.hear(LAG_MAX_S + 0.5)
    assert values(behind.mirrors[OPERATOR]) == {"c": b"11"}


async def test_a_daemon_that_is_current_or_soon_will_be_asks_nobody():
    ahead = daemon("a", **NEWER)
    behind = daemon("b", ahead, **OLDER)
    await behind.hear(LAG_MAX_S - 0.2)
    for table, changes in NEWER.items():
        behind.mirrors[table].apply(changes)
    await behind.hear(5.0)
    assert ahead.asked == 0


async def test_a_daemon_that_does_not_answer_is_not_asked_all_the_time():
    ahead = daemon("a", **NEWER)
    ahead.silent = True
    behind = daemon("b", ahead, **OLDER)
    await behind.hear(10.0)
    assert 4 <= ahead.asked <= 20


async def test_positions_of_unknown_tables_and_daemons_are_ignored():
    lonely = daemon("a", **OLDER)
    for _ in range(10):
        lonely.lag.handle_positions("x", (("other", 9), (OPERATOR, 99)))
        await asyncio.sleep(0.2)
    assert values(lonely.mirrors[OPERATOR]) == {"c": b"11"}


@pytest.mark.parametrize("silent", [True, False])
async def test_a_starting_daemon_asks_others_for_the_configuration(silent):
    first, second = daemon("a", **NEWER), daemon("b")
    second.silent = silent
    starting = daemon("c", first, second)
    async with asyncio.timeout(1.1):
        await starting.lag.ask_at_start(OPERATOR, random.Random(1))
    assert values(starting.mirrors[OPERATOR]) == {"c": b"12"}


def test_positions_are_sent_with_probes_and_older_builds_send_none():
    position = (REPLICAS, in_era(SECOND, 12).version)
    wire = probe_to_wire(Probe("a", "i", (), positions=(position,)))
    assert probe_from_wire(wire).positions == (position,)
    wire.positions = None
    assert probe_from_wire(wire).positions == ()
