"""Routing daemons, the published store and replicas as processes on loopback."""

import asyncio
import base64
import json
import os
import subprocess
import sys
from dataclasses import dataclass
from typing import Any

import yaml
from aiohttp import ClientError

from demo.fleet import Fleet, LaunchedProcess

STORE_PORT = 7500
REPLICA_PORT = 7600
FRONT_PORT = 8144
READY_PORT = 8140
ADDRESSES_PORT = 8143
PEERS_PORT = 7660
METRICS_PORT = 7675
COMPLETIONS_PORT = 8150
HOST_NAME = "desk.example"
STREAM_SERVICE = "lexis-pool"
PLAIN_SERVICE = "pagkos-app"
# Tokens of one event of a stream.
STRIDE = 11
GRACE_S = 4.0
POLL_S = 0.05
ZONES = ("gr-north-a", "gr-north-b", "gr-north-c")


@dataclass(frozen=True)
class ReplicaAddress:
    """A replica's name and host."""

    name: str
    host: str

    @property
    def url(self) -> str:
        """Base URL of the replica."""
        return f"http://{self.host}:{REPLICA_PORT}"


def configuration(version: int, prefix: str = "/first/") -> dict[str, Any]:
    """Return a configuration with a route of each kind below ``prefix``."""
    return {
        "version": version,
        "routes": [
            _route("stream", f"{prefix}stream/", STREAM_SERVICE, resumable=True),
            _route("non_idempotent", f"{prefix}book/", PLAIN_SERVICE),
            _route("idempotent", f"{prefix}look/", PLAIN_SERVICE),
        ],
        "services": [
            {
                "name": STREAM_SERVICE,
                "engine": {
                    "slots": 24,
                    "kvTokens": 33466,
                    "stride": STRIDE,
                    "handleTtlS": 0.5,
                    "switchS": 0.1,
                    "holdMs": 2000.0,
                },
            },
            {"name": PLAIN_SERVICE},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def _route(
    kind: str, prefix: str, service: str, resumable: bool = False
) -> dict[str, Any]:
    stream = kind == "stream"
    return {
        "name": f"r{prefix}",
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 14000 if stream else 1500,
        "targetLatencyMs": 900 if stream else 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "resumable": resumable,
        "gapTargetMs": 300 if stream else None,
    }


class PublishedFleet(Fleet):
    """Processes of one run that speak the published protocol."""

    def __init__(self, network: int):
        super().__init__(network)
        self._replicas: dict[str, ReplicaAddress] = {}

    @property
    def replicas(self) -> dict[str, ReplicaAddress]:
        """Replicas by name."""
        return self._replicas

    @property
    def store(self) -> str:
        """The store's ``host:port``."""
        return f"{self._host('platform')}:{STORE_PORT}"

    def vm_host(self, number: int) -> str:
        """Return a VM's IP address."""
        return self._host("vm", number)

    def front(self, number: int) -> str:
        """Return ``host:port`` of a VM's front."""
        return f"{self.vm_host(number)}:{FRONT_PORT}"

    def completions(self, number: int) -> str:
        """Return the base URL of a VM's completions front."""
        return f"http://{self.vm_host(number)}:{COMPLETIONS_PORT}/v1"

    async def start(
        self, daemons: int = 3, prefill: int = 1, decode: int = 2, plain: int = 2
    ) -> None:
        """Start everything and wait until the daemons are ready."""
        host, port = self.store.split(":")
        self.launch(
            "store",
            host,
            "standins.published.store",
            f"--host={host}",
            f"--port={port}",
        )
        await self.wait_for(f"http://{self.store}/v1/rows-get?table=op")
        await self.configure(configuration(1))
        for number in range(1, prefill + 1):
            self.launch_replica("prefill", number, STREAM_SERVICE, "prefill")
        for number in range(1, decode + 1):
            self.launch_replica("decode", number, STREAM_SERVICE, "decode")
        for number in range(1, plain + 1):
            self.launch_replica("service", number, PLAIN_SERVICE, "")
        await self.wait_for_replicas(prefill + decode + plain)
        for number in range(1, daemons + 1):
            self.launch_router(number)
        for number in range(1, daemons + 1):
            await self.wait_for_ready(number)

    def launch_replica(
        self,
        kind: str,
        number: int,
        service: str,
        stage: str,
        version: str = "v1",
        work_s: float = 0.03,
        **faults: Any,
    ) -> ReplicaAddress:
        """Start one replica of a software version with faults; it is not awaited."""
        name = f"{kind}-{number}"
        host = self._host(kind, number)
        self.launch(
            name,
            host,
            "standins.published.replica",
            f"--id={name}",
            f"--service={service}",
            f"--stage={stage}",
            f"--host={host}",
            f"--port={REPLICA_PORT}",
            f"--zone={ZONES[number % len(ZONES)]}",
            f"--store={self.store}",
            f"--version={version}",
            f"--work-s={work_s}",
            f"--faults={json.dumps(faults)}",
        )
        self._replicas[name] = ReplicaAddress(name, host)
        return self._replicas[name]

    def launch_router(self, number: int) -> LaunchedProcess:
        """Start the routing daemon of one VM; it is not awaited."""
        path = self._directory / f"router-{number}.yaml"
        path.write_text(yaml.safe_dump(self._settings(number)))
        name = f"router-{number}"
        log = self._directory / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "marjoramstile.platform"],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, "MARJORAMSTILE_CONFIG": str(path)},
            )
        self._processes[name] = LaunchedProcess(
            name, process, self.vm_host(number), log
        )
        return self._processes[name]

    def _settings(self, number: int) -> dict[str, Any]:
        host = self.vm_host(number)
        zone = ZONES[number % len(ZONES)]
        return {
            "nodeName": f"front-{zone}-{number}",
            "ip": host,
            "zone": zone,
            "region": "gr-north",
            "listen": {
                "front": f"{host}:{FRONT_PORT}",
                "readyAddress": f"{host}:{READY_PORT}",
                "directory": f"{host}:{ADDRESSES_PORT}",
                "completions": f"{host}:{COMPLETIONS_PORT}",
            },
            "internalPorts": [PEERS_PORT, METRICS_PORT],
            "heartbeatMs": 300,
            "bounds": {
                "graceS": GRACE_S,
                "ttl_max_s": 1,
                "leaseMs": 3000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 54,
            },
            "platform": {"address": self.store},
        }

    async def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration to the store as the operator does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        row = {"table": "op", "key": "config", "value": value}
        await self._control("rows", {"rows": [row]})

    async def fail_store(self, **faults: Any) -> None:
        """Replace the store's faults; without arguments all faults are cleared."""
        await self._control("faults", faults)

    async def restore_store(self, age_s: float, away_s: float) -> None:
        """Let the store be away, and come back from a copy that is ``age_s`` old."""
        await self._control("restore", {"age_s": age_s, "away_s": away_s})

    async def store_calls(self) -> int:
        """Return the number of calls to the store so far."""
        async with self.session.get(f"http://{self.store}/control/calls") as response:
            return sum((await response.json()).values())

    async def _control(self, name: str, body: dict[str, Any]) -> None:
        url = f"http://{self.store}/control/{name}"
        async with self.session.post(url, json=body) as response:
            response.raise_for_status()

    async def fail_replica(self, name: str, **faults: Any) -> None:
        """Replace a replica's faults; without arguments all faults are cleared."""
        url = f"{self._replicas[name].url}/control/faults"
        async with self.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def drain_replica(self, name: str) -> None:
        """Mark a replica as draining."""
        async with self.session.post(f"{self._replicas[name].url}/control/drain"):
            pass

    async def runs(self, name: str) -> dict[str, Any]:
        """Return the runs by request id of a replica, and what it holds now."""
        url = f"{self._replicas[name].url}/control/runs"
        async with self.session.get(url) as response:
            return await response.json()

    async def wait_for_replicas(self, count: int) -> None:
        """Wait until the store lists at least ``count`` replicas."""
        url = f"http://{self.store}/v1/rows-get?table=servers"
        while True:
            async with self.session.get(url) as response:
                if len((await response.json())["rows"]) >= count:
                    return
            await asyncio.sleep(POLL_S)

    async def is_ready(self, number: int) -> bool:
        """Return whether a daemon reports that it is ready."""
        url = f"http://{self.vm_host(number)}:{READY_PORT}/v1/readyz"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (ClientError, OSError):
            return False

    async def wait_for_ready(self, number: int, ready: bool = True) -> None:
        """Wait until a daemon is ready, or not ready if ``ready`` is false."""
        while await self.is_ready(number) != ready:
            await asyncio.sleep(POLL_S)

    async def addresses(self, number: int) -> list[str]:
        """Resolve at a daemon; return the addresses, none if it refuses."""
        url = f"http://{self.vm_host(number)}:{ADDRESSES_PORT}/v1/resolve"
        async with self.session.get(url, params={"name": HOST_NAME}) as response:
            if response.status != 200:
                return []
            return (await response.json())["addresses"]
