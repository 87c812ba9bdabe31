"""Runs real daemons in one process, connected by fakes, on the loop's clock."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

from bench.fakes.connections import FakeConnections, FakeNetwork
from bench.fakes.engines import EngineModel, FakeEngines
from bench.fakes.plain import FakePlainServices
from bench.fakes.tables import FakeObjects, FakePlatform, FakeTables, FakeVMList
from marjoramstile.configuration.documents import parse_configuration
from marjoramstile.configuration.edits import edits_between
from marjoramstile.node import Node, Ports
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.settings import Settings, parse_settings
from marjoramstile.utils import hash_secret

REGION = "region-1"
DATA_CENTRES = ("centre-a", "centre-b", "centre-c")
CALLERS_PORT = 8100
OPERATORS_PORT = 8101
PEERS_PORT = 8102
WORKSPACE_KEY = "workspace-key"
PLAIN_URLS = ("http://10.0.7.1:80", "http://10.0.7.2:80", "http://10.0.7.3:80")


class Harness:
    """Daemons by VM name and the fakes that they share; owns all of them."""

    def __init__(self, seed: int = 1):
        self.rng = random.Random(seed)
        self.platform = FakePlatform()
        self.network = FakeNetwork()
        self.engines = FakeEngines()
        self.plain = FakePlainServices()
        self.nodes: dict[str, Node] = {}

    def list_vms(self, count: int) -> None:
        """Set the platform's list of VMs to vm-1 to vm-``count``."""
        self.platform.vms = tuple(listed_vm(number) for number in range(1, count + 1))

    async def start(self, number: int) -> Node:
        """Start the daemon of a VM with empty state, as a new process has."""
        name = f"vm-{number}"
        ports = Ports(
            tables=FakeTables(self.platform, name),
            objects=FakeObjects(self.platform, name),
            vm_list=FakeVMList(self.platform, name),
            engines=self.engines,
            plain=self.plain,
            connections=FakeConnections(self.network, name),
        )
        node = Node(_settings(number), ports, random.Random(self.rng.random()))
        address = str(node.settings.listeners.peers)
        self.network.handlers[address] = (name, node.peer_handler)
        self.nodes[name] = node
        await node.join()
        node.start_periodic_tasks()
        return node

    async def kill(self, number: int) -> None:
        """Stop a daemon abruptly, without a shutdown of its own."""
        node = self.nodes.pop(f"vm-{number}")
        del self.network.handlers[str(node.settings.listeners.peers)]
        await node.tasks.close()

    async def configure(self, document: dict[str, Any]) -> None:
        """Apply a configuration through one of the daemons."""
        node = next(iter(self.nodes.values()))
        wanted = parse_configuration(document).unwrap()
        edits = edits_between(node.keeper.configuration, wanted)
        changed = await node.coordinator.change(edits, "test")
        changed.unwrap()

    def add_engines(
        self, prefills: int, decodes: int, model: EngineModel
    ) -> dict[str, Any]:
        """Add engines; return the configuration of their endpoints and pools."""
        endpoints: dict[str, Any] = {}
        pools: dict[str, Any] = {}
        for third, (kind, count) in enumerate(
            (("prefill", prefills), ("decode", decodes)), start=8
        ):
            names = [f"{kind}-{number}" for number in range(1, count + 1)]
            pools[kind] = {"kind": kind, "model": "m", "endpoints": names}
            for number, name in enumerate(names, start=1):
                url = f"http://10.0.{third}.{number}:80"
                self.engines.add(url, model)
                endpoints[name] = {
                    "kind": kind,
                    "url": url,
                    "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
                    "slots": model.slots,
                    "pieces": model.pieces,
                }
        return {"endpoints": endpoints, "pools": pools}

    async def close(self) -> None:
        """Stop all daemons."""
        for node in self.nodes.values():
            await node.tasks.close()


@asynccontextmanager
async def running_harness(
    daemons: int,
    prefills: int = 2,
    decodes: int = 2,
    model: EngineModel | None = None,
    seed: int = 1,
) -> AsyncIterator[Harness]:
    """Start daemons, engines and services; yield once configured and joined."""
    harness = Harness(seed)
    harness.list_vms(daemons)
    for number in range(1, daemons + 1):
        await harness.start(number)
    document = harness.add_engines(prefills, decodes, model or EngineModel())
    add_services(document)
    await harness.configure(document)
    await asyncio.sleep(3)
    try:
        yield harness
    finally:
        await harness.close()


def add_services(document: dict[str, Any]) -> None:
    """Add services of each kind and two workspaces to a configuration."""
    for number, url in enumerate(PLAIN_URLS, start=1):
        document["endpoints"][f"plain-{number}"] = {
            "kind": "plain",
            "url": url,
            "data_centre": DATA_CENTRES[0],
        }
    pools = {"model": "m", "prefill_pool": "prefill", "decode_pool": "decode"}
    document["language_services"] = {
        "desk": {**pools, "service_class": "in_time"},
        "essay": {**pools, "service_class": "late"},
    }
    document["plain_services"] = {
        "booking": {"endpoints": ["plain-1", "plain-2"]},
        "moving": {
            "endpoints": ["plain-1"],
            "migration": {"old": "plain-3", "new_percent": 0},
        },
    }
    document["workspaces"] = {
        "first": {
            "key_hashes": [hash_secret(WORKSPACE_KEY)],
            "services": ["desk", "essay", "booking", "moving"],
        },
        "second": {"key_hashes": [hash_secret("other")], "services": ["desk"]},
    }


def listed_vm(number: int) -> ListedVM:
    """Return the platform's entry for a VM."""
    return ListedVM(
        name=f"vm-{number}",
        host=f"10.0.1.{number}",
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        region=REGION,
        state=ListedState.LIVE,
    )


def _settings(number: int) -> Settings:
    vm = listed_vm(number)
    return parse_settings(
        f"""
node: {{name: {vm.name}, data_centre: {vm.data_centre}, region: {REGION}}}
listeners:
  callers: {{host: {vm.host}, port: {CALLERS_PORT}}}
  operators: {{host: {vm.host}, port: {OPERATORS_PORT}}}
  peers: {{host: {vm.host}, port: {PEERS_PORT}}}
platform: {{url: "http://10.0.9.1:80"}}
operator_token_hashes: ["{hash_secret("operator")}"]
"""
    ).unwrap()


def serving_names(nodes: Sequence[Node]) -> set[str]:
    """Return the names of the daemons that all ``nodes`` consider to be serving."""
    views = [
        {peer.vm.name for peer in node.view.peers if peer.serving} for node in nodes
    ]
    return set.intersection(*views)
