"""Measures the control overhead at growing sizes: ``python -m bench.slopes``.

CPU times are also given relative to a reference operation of the same run (a JSON
round trip of 1,000 numbers), since absolute times depend on the machine.
"""

import asyncio
import json
import random
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import async_solipsism

from bench.fakes.engines import EngineModel
from bench.harness import (
    PEERS_PORT,
    Harness,
    add_services,
    listed_vm,
    running_harness,
)
from marjoramstile.configuration.documents import (
    Configuration,
    ServiceClass,
    parse_configuration,
)
from marjoramstile.configuration.edits import Edit, apply_edits
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.membership.leaving import LeavingHosts
from marjoramstile.membership.prober import Probe
from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.peers.messages import ask_to_wire, probe_from_wire, probe_to_wire
from marjoramstile.peers.peer_types import WireSlotAnswer
from marjoramstile.peers.transport import PeerConnection, PeerServer
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.routing.policies import create_policy
from marjoramstile.routing.snapshots import Demand
from marjoramstile.slots.directory import OwnerDirectory
from marjoramstile.slots.hints import HintTable
from marjoramstile.slots.reservations import Ask, SlotOwner

REPEATS = 200
CALLS = 2000
MICROSECONDS_PER_S = 1_000_000
NODE_COUNTS = (100, 200, 400)
ENGINE_COUNTS = (168, 335, 670)
WORKSPACE_COUNTS = (1700, 3400, 6800)
DAEMON_COUNTS = (4, 8, 16)
FRAME_MAX_BYTES = 4_194_304
LOOPBACK = "127.0.0.1"
LIVE = ListedState.LIVE


@dataclass(frozen=True)
class Measurement:
    """A measured cost at one size."""

    name: str
    size: int
    value: float
    unit: str


def cpu_us(action: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the CPU time of one ``action`` in microseconds."""
    action()
    started = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started) / repeats * MICROSECONDS_PER_S


def reference_us() -> float:
    """Return the CPU time of the reference operation in microseconds."""
    numbers = list(range(1000))
    return cpu_us(lambda: json.loads(json.dumps(numbers)))


def fleet_view(nodes: int) -> View:
    """Return a view of ``nodes`` daemons in eight data centres."""
    vms = [
        ListedVM(f"vm-{n}", f"10.0.{n // 250}.{n % 250 + 1}", f"c{n % 8}", "r", LIVE)
        for n in range(nodes)
    ]
    view = View(vms[0], "i0")
    view.merge_list(vms, 0.0)
    for number in range(1, nodes):
        report = Report(f"vm-{number}", f"incarnation-{number}", 0, PeerState.ALIVE)
        view.merge_report(report, 0.0)
    return view


def fleet_configuration(engines: int, workspaces: int) -> Configuration:
    """Return a configuration with decode pools of four models."""
    endpoints = {
        f"decode-{n}": {
            "kind": "decode",
            "url": f"http://10.1.{n // 250}.{n % 250 + 1}:80",
            "data_centre": f"c{n % 8}",
        }
        for n in range(engines)
    }
    endpoints["prefill"] = {
        "kind": "prefill",
        "url": "http://10.2.0.1:80",
        "data_centre": "c0",
    }
    pools = {
        f"pool-{m}": {
            "kind": "decode",
            "model": f"m{m}",
            "endpoints": [f"decode-{n}" for n in range(m, engines, 4)],
        }
        for m in range(4)
    }
    pools["prefill"] = {"kind": "prefill", "model": "m0", "endpoints": ["prefill"]}
    document = {
        "endpoints": endpoints,
        "pools": pools,
        "language_services": {
            "s": {"model": "m0", "prefill_pool": "prefill", "decode_pool": "pool-0"}
        },
        "workspaces": {
            f"w{n}": {"key_hashes": [f"{n:064x}"], "services": ["s"]}
            for n in range(workspaces)
        },
    }
    return parse_configuration(document).unwrap()


def measure_membership() -> list[Measurement]:
    """Measure memory of the view of peers and the time to merge a list of VMs."""
    measured = []
    for nodes in NODE_COUNTS:
        tracemalloc.start()
        view = fleet_view(nodes)
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        measured.append(Measurement("view of peers", nodes, memory / 1024, "KiB"))
        listed = [peer.vm for peer in view.peers]
        merge_us = cpu_us(lambda view=view, vms=listed: view.merge_list(vms, 1.0))
        measured.append(Measurement("merge VM list", nodes, merge_us, "us"))
    return measured


def measure_directory() -> list[Measurement]:
    """Measure finding the engines that a daemon owns, which is done every second."""
    measured = []
    for nodes, engines in zip(NODE_COUNTS, ENGINE_COUNTS, strict=True):
        directory = OwnerDirectory(fleet_view(nodes))
        names = [(f"decode-{n}", f"c{n % 8}") for n in range(engines)]

        def own_all(directory=directory, names=names) -> None:
            for name, centre in names:
                directory.is_own(name, centre)

        measured.append(
            Measurement("find own engines", nodes, cpu_us(own_all, 20), "us")
        )
    return measured


def measure_routing() -> list[Measurement]:
    """Measure the ranking of engines for one request."""
    measured = []
    demand = Demand(2000, 300, 2)
    for engines in ENGINE_COUNTS:
        configuration = fleet_configuration(engines, 1)
        rng = random.Random(1)
        hints = HintTable("c0", LeavingHosts(), rng)
        policy = create_policy("reservation", rng)

        def rank(hints=hints, policy=policy, configuration=configuration) -> None:
            policy.rank_decode(hints.views(configuration, "pool-0", 1.0), demand)

        measured.append(Measurement("rank engines", engines, cpu_us(rank), "us"))
    return measured


def measure_owner() -> list[Measurement]:
    """Measure one ask and release at owners of engines with more and more slots."""
    measured = []
    for slots in (10, 20, 40):
        owner = SlotOwner(slots, 400, 256)
        for number in range(slots - 1):
            owner.ask(_ask(f"held-{number}"), 0.0)
        clock = iter(range(10**9))

        def ask_and_release(owner=owner, clock=clock) -> None:
            now = next(clock) / 100
            owner.ask(_ask("r"), now)
            owner.release("r", now)

        measured.append(
            Measurement("ask and release a slot", slots, cpu_us(ask_and_release), "us")
        )
    return measured


def _ask(request_id: str) -> Ask:
    return Ask(
        request_id,
        "decode-1",
        "i",
        "vm-1",
        1,
        ServiceClass.IN_TIME,
        "w",
        max_wait_s=1.0,
    )


def measure_configuration() -> list[Measurement]:
    """Measure memory and size of the configuration and the time of one change."""
    measured = []
    for workspaces in WORKSPACE_COUNTS:
        tracemalloc.start()
        configuration = fleet_configuration(670, workspaces)
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        edit = Edit("workspaces", "w1", {"share": 2})
        change_us = cpu_us(lambda c=configuration, e=edit: apply_edits(c, [e]), 10)
        size = len(configuration.to_json())
        measured += [
            Measurement("configuration in memory", workspaces, memory / 1024, "KiB"),
            Measurement("snapshot of the configuration", workspaces, size, "bytes"),
            Measurement("apply a change", workspaces, change_us, "us"),
        ]
    return measured


class _ImmediateHandler:
    """Peer handler that answers immediately."""

    async def probe(self, message):
        """Answer a probe with the same reports."""
        return probe_to_wire(probe_from_wire(message))

    async def ask_slot(self, ask):
        """Grant a slot."""
        return WireSlotAnswer(
            outcome=0,
            expected_s=0.0,
            used_slots=1,
            used_pieces=1,
            queued=0,
            hold_s=5.0,
        )


async def measure_messages() -> list[Measurement]:
    """Measure CPU time (of both sides together) and size of peer messages."""
    buffers = BufferBudget(8 * FRAME_MAX_BYTES)
    server = PeerServer(_ImmediateHandler(), FRAME_MAX_BYTES, buffers)
    await server.start(LOOPBACK, PEERS_PORT)
    connection = await PeerConnection.open(
        LOOPBACK, PEERS_PORT, FRAME_MAX_BYTES, buffers
    )
    measured = []
    for reports in (0, 10, 20):
        probe = Probe(
            "vm-1",
            "0" * 24,
            tuple(
                Report(f"vm-{n}", "0" * 24, 1, PeerState.SUSPECT)
                for n in range(reports)
            ),
        )
        call_us = await _call_us(
            lambda probe=probe: connection.call("probe", probe_to_wire(probe))
        )
        measured.append(Measurement("probe, both sides", reports, call_us, "us"))
        measured.append(
            Measurement("probe", reports, _wire_size(probe_to_wire(probe)), "bytes")
        )
    wire = ask_to_wire(_ask("0" * 26))
    ask_us = await _call_us(lambda: connection.call("ask_slot", wire))
    measured.append(Measurement("ask for a slot, both sides", 1, ask_us, "us"))
    measured.append(Measurement("ask for a slot", 1, _wire_size(wire), "bytes"))
    connection.close()
    await server.close()
    return measured


async def _call_us(call: Callable[[], Awaitable[object]]) -> float:
    await call()
    started = time.process_time()
    for _ in range(CALLS):
        await call()
    return (time.process_time() - started) / CALLS * MICROSECONDS_PER_S


def _wire_size(wire: object) -> int:
    from thriftpy2.utils import serialize

    return len(serialize(wire))


def measure_running() -> list[Measurement]:
    """Measure rates of calls, reads and writes of idle daemons, and in an outage."""
    measured = []
    for daemons in DAEMON_COUNTS:
        loop = async_solipsism.EventLoop()
        measured += loop.run_until_complete(_measure_idle_fleet(daemons))
        loop.close()
    return measured


async def _measure_idle_fleet(daemons: int) -> list[Measurement]:
    seconds = 120
    async with running_harness(daemons=daemons) as harness:
        await asyncio.sleep(30)
        tables = harness.platform.tables
        before = harness.network.messages, tables.reads, tables.writes
        await asyncio.sleep(seconds)
        after = harness.network.messages, tables.reads, tables.writes
        idle = [(b - a) / seconds / daemons for a, b in zip(before, after, strict=True)]
        harness.platform.outage = True
        await asyncio.sleep(30)
        messages = harness.network.messages
        await asyncio.sleep(seconds)
        outage = (harness.network.messages - messages) / seconds / daemons
    names = ("peer calls", "store reads", "store writes")
    measured = [
        Measurement(f"{name} of an idle daemon", daemons, value, "/s")
        for name, value in zip(names, idle, strict=True)
    ]
    measured.append(Measurement("peer calls in an outage", daemons, outage, "/s"))
    return measured


async def _measure_change(daemons: int) -> list[Measurement]:
    harness = Harness()
    harness.platform.vms = tuple(listed_vm(n) for n in range(1, daemons + 1))
    for number in range(1, daemons + 1):
        await harness.start(number)
    document = harness.add_engines(1, 1, EngineModel())
    add_services(document)
    await harness.configure(document)
    node = harness.nodes["vm-1"]
    loop = asyncio.get_running_loop()
    edit = Edit("workspaces", "first", {"share": 2})
    messages, started = harness.network.messages, loop.time()
    (await node.coordinator.change([edit], "bench")).unwrap()
    elapsed_s = loop.time() - started
    messages = harness.network.messages - messages
    await harness.close()
    return [
        Measurement("peer calls of a change", daemons, messages, ""),
        Measurement("time of a change, paused clock", daemons, elapsed_s * 1000, "ms"),
    ]


def measure_changes() -> list[Measurement]:
    """Measure messages and time of one configuration change."""
    measured = []
    for daemons in DAEMON_COUNTS:
        loop = async_solipsism.EventLoop()
        measured += loop.run_until_complete(_measure_change(daemons))
        loop.close()
    return measured


def main() -> None:
    """Measure everything and print a Markdown table."""
    reference = reference_us()
    measurements = [
        *measure_membership(),
        *measure_directory(),
        *measure_routing(),
        *measure_owner(),
        *measure_configuration(),
        *asyncio.run(measure_messages()),
        *measure_running(),
        *measure_changes(),
    ]
    print(f"reference operation: {reference:.1f} us\n")
    print("| what | size | value | unit | over the reference |")
    print("| --- | --- | --- | --- | --- |")
    for item in measurements:
        over = f"{item.value / reference:.2f}" if item.unit == "us" else ""
        print(
            f"| {item.name} | {item.size} | {item.value:.4g} | {item.unit} | {over} |"
        )


if __name__ == "__main__":
    main()
