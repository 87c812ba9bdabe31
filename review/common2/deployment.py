"""A small deployment on loopback: daemons as processes, and the platform's side."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from common2.raw_http import HOST_NAME, get_status
from common2.record import Record
from common2.store import Store

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-S", "-m", "marjoramstile.platform")
STORE_PORT = 7500
FRONT_PORT = 8144
READY_PORT = 8140
DIRECTORY_PORT = 8143
INTERNAL_PORTS = (7660, 7675)
READY_TIMEOUT_S = 20.0
RUN_TIMEOUT_S = 110.0
STREAM_SERVICE = "lexis-pool"
PLAIN_SERVICE = "pagkos-app"
STREAM_TIMEOUT_MS = 14_000
CALL_TIMEOUT_MS = 1_500
# Exit codes of a case; its run.sh turns them into 0, 1 and 2.
HELD = 0
BROKEN = 10
COULD_NOT_RUN = 2


class CouldNotRunError(Exception):
    """The case couldn't be set up."""


def has_trouble() -> bool:
    """Return whether to bring the disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name: str, kind: str, service: str, resumable: bool = False) -> dict:
    """Return a route of the configuration, with the figures of the users' sheet."""
    is_stream = kind == "stream"
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": STREAM_TIMEOUT_MS if is_stream else CALL_TIMEOUT_MS,
        "targetLatencyMs": 900 if is_stream else 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if resumable or kind == "idempotent" else 1,
        "resumable": resumable,
        "gapTargetMs": 300 if is_stream else None,
    }


def configuration() -> dict[str, Any]:
    """Return a configuration with a route of each kind."""
    engine = {
        "slots": 24,
        "kvTokens": 33_466,
        "stride": 11,
        "handleTtlS": 0.5,
        "switchS": 6.0,
        "holdMs": 2_000.0,
    }
    return {
        "version": 1,
        "routes": [
            route("notes", "stream", STREAM_SERVICE, resumable=True),
            route("estimates", "stream", STREAM_SERVICE),
            route("bookings", "non_idempotent", PLAIN_SERVICE),
            route("status", "idempotent", PLAIN_SERVICE),
        ],
        "services": [
            {"name": STREAM_SERVICE, "engine": engine},
            {"name": PLAIN_SERVICE},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


@dataclass
class Machine:
    """A machine and the process of its daemon; None while it has none."""

    name: str
    host: str
    process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None


@dataclass
class Deployment:
    """Owns the store, the machines' processes and a temporary folder."""

    record: Record
    memory_mb: int = 150
    machines: dict[str, Machine] = field(default_factory=dict)

    def __post_init__(self):
        self._network = _free_network()
        self._hosts = iter(range(2, 250))
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.new_host(), STORE_PORT)

    def new_host(self) -> str:
        """Return a loopback address that no other part of this run uses."""
        return f"{self._network}.{next(self._hosts)}"

    async def start(self, machines: int) -> None:
        """Start the store and the daemons, and wait until all are ready.

        Replicas can be registered before: the store serves from the first write on.
        """
        await self.store.put("op", "config", configuration())
        for number in range(1, machines + 1):
            name = f"front-zone-a-{number}"
            self.machines[name] = Machine(name, self.new_host())
            self.launch(name)
        for name in self.machines:
            await self.wait_until_ready(name)

    def launch(self, name: str) -> None:
        """Start the process of a machine with the command of the deploy file."""
        machine = self.machines[name]
        settings = self._folder / f"{name}.yaml"
        settings.write_text(json.dumps(self._settings(machine)), encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MARJORAMSTILE_CONFIG": str(settings),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add("process_started", machine=name, pid=machine.process.pid)

    def kill(self, name: str) -> None:
        """Kill the process of a machine."""
        machine = self.machines[name]
        machine.process.kill()
        machine.process.wait()
        self.record.add("process_killed", machine=name, pid=machine.process.pid)

    async def wait_until_ready(self, name: str) -> None:
        """Wait until a machine answers that it is ready."""
        host = self.machines[name].host
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            try:
                async with asyncio.timeout(1.0):
                    if await get_status(host, READY_PORT, "/v1/readyz") == 200:
                        return
            except (OSError, EOFError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{name} is not ready")

    def log(self, name: str) -> str:
        """Return what the processes of a machine have logged."""
        return (self._folder / f"{name}.log").read_text("utf-8", "replace")

    def _settings(self, machine: Machine) -> dict[str, Any]:
        host = machine.host
        return {
            "nodeName": machine.name,
            "role": "router",
            "machineClass": "front",
            "serves": ["front", "directory"],
            "ip": host,
            "zone": "zone-a",
            "region": "region",
            "zones": {"zone-a": "region"},
            "listen": {
                "front": f"{host}:{FRONT_PORT}",
                "readyAddress": f"{host}:{READY_PORT}",
                "directory": f"{host}:{DIRECTORY_PORT}",
            },
            "internalPorts": list(INTERNAL_PORTS),
            "seedNodes": [],
            "bootstrap": True,
            "countsInFaults": False,
            "limits": {
                "cpuShare": 0.537,
                "cpuCores": 2,
                "memoryMb": self.memory_mb,
                "maxFds": 4_100,
                "linkMbps": 1_000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entryMode": "directory",
            "heartbeatMs": 1_200,
            "bounds": {
                "contactMs": 3_000,
                "drainMs": 2_000,
                "graceS": 8,
                "configApplyMs": 2_000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 54,
                "recoveryS": 12,
                "requireFence": True,
                "leaseMs": 3_000,
                "ttl_max_s": 5,
            },
            "platform": {
                "address": f"{self.store.host}:{STORE_PORT}",
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2_000,
                "txMs": 8.0,
                "partitionWritesS": 150,
                "rowBytes": 65_536,
                "historyS": 20,
            },
        }

    def close(self) -> None:
        """End all processes and remove the folder."""
        for machine in self.machines.values():
            if machine.is_running:
                machine.process.kill()
        for machine in self.machines.values():
            if machine.process is not None:
                machine.process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


def _free_network() -> str:
    """Return the first three numbers of a loopback network that nobody listens in."""
    ports = (STORE_PORT, FRONT_PORT, READY_PORT, DIRECTORY_PORT, *INTERNAL_PORTS)
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in ports:
                with socket.create_server((f"{network}.2", port)):
                    pass
        except OSError:
            continue
        return network
    raise CouldNotRunError("no free loopback addresses")


def run_case(folder: Path, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case that returns whether the rule held, and exit with its code."""

    async def main() -> bool:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(RUN_TIMEOUT_S):
            return await play(record)

    record = Record(folder / "record.txt")
    try:
        code = HELD if asyncio.run(main()) else BROKEN
    except Exception as error:
        record.say(f"the case could not run: {error!r}")
        code = COULD_NOT_RUN
    except asyncio.CancelledError:
        code = COULD_NOT_RUN
    sys.exit(code)
