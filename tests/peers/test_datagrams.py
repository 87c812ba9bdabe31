"""Load digests between daemons: bounded, and harmless when unreadable."""

import asyncio
import json
import random

from hypothesis import given, strategies as st

from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.peers.datagrams import (
    BYTES_PER_S,
    DigestProtocol,
    DigestSender,
    decode_digest,
    encode_digest,
)
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.routes.loads import FleetLoads, LoadDigest, ReplicaLoad
from tests.support import captured_logs


class Transport:
    """Collects datagrams."""

    def __init__(self):
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def sendto(self, data, address):
        """Take a datagram."""
        self.sent.append((data, address))


def fleet_view(daemons: int) -> View:
    """Return a view of serving daemons."""
    vms = [
        ListedVM(f"vm-{n}", f"10.0.{n // 250}.{n % 250}", "a", "r", ListedState.LIVE)
        for n in range(daemons)
    ]
    view = View(vms[0], "i0")
    view.merge_list(vms, 0.0)
    for vm in vms[1:]:
        view.merge_report(Report(vm.name, f"i{vm.name}", 0, PeerState.ALIVE), 0.0)
    return view


async def send_for(seconds: float, daemons: int, replicas: int) -> list[bytes]:
    """Let a busy daemon send for a while."""
    loads = FleetLoads("vm-0", "i0")
    transport = Transport()
    view = fleet_view(daemons)
    sender = DigestSender(loads, view, transport, 7660, random.Random(1))
    task = asyncio.create_task(sender.run())
    for number in range(int(seconds * 20)):
        loads.add(f"r{number % replicas}", ReplicaLoad(1, 4000, 0))
        await asyncio.sleep(0.05)
    task.cancel()
    return [data for data, _ in transport.sent]


async def test_a_small_fleet_hears_of_changes_soon():
    sent = await send_for(5.0, daemons=7, replicas=7)
    assert len(sent) / 6 >= 5.0 * 3


async def test_the_bytes_sent_are_bounded_at_any_size():
    for daemons, replicas in ((9, 9), (62, 45), (400, 40)):
        sent = await send_for(5.0, daemons, replicas)
        assert sum(map(len, sent)) <= BYTES_PER_S * 5.0 * 1.15


async def test_nothing_changed_is_renewed_now_and_then():
    loads = FleetLoads("vm-0", "i0")
    transport = Transport()
    sender = DigestSender(loads, fleet_view(2), transport, 7660, random.Random(1))
    task = asyncio.create_task(sender.run())
    await asyncio.sleep(2.0)
    task.cancel()
    assert 3 <= len(transport.sent) <= 5


def test_a_digest_survives_the_wire():
    digest = LoadDigest("vm", "i", 7, {"r": ReplicaLoad(1, 2, 3)}, {"s": 4})
    assert decode_digest(encode_digest(digest)) == digest


@given(
    st.binary(max_size=80)
    | st.dictionaries(
        st.sampled_from(["vm", "incarnation", "sequence", "replicas", "waiting"]),
        st.none() | st.integers() | st.dictionaries(st.text(), st.lists(st.none())),
    ).map(lambda body: json.dumps(body).encode())
)
def test_bytes_that_are_no_digest_are_logged_and_ignored(data):
    heard = []
    protocol = DigestProtocol(lambda digest, now: heard.append(digest))
    with captured_logs(), asyncio.Runner() as runner:

        async def receive():
            protocol.datagram_received(data, ("10.0.0.1", 1))

        runner.run(receive())
    assert all(isinstance(digest, LoadDigest) for digest in heard)
