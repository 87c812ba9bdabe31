"""A small deployment on loopback: routing daemons, the store, replicas, clients."""

import asyncio
import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from common.http import Connection, Message
from common.record import Record
from common.replica import STRIDE, Replica
from common.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "desk.example"
STREAM_SERVICE = "lexis-pool"
PLAIN_SERVICE = "pagkos-app"
OTHER_SERVICE = "ledger-app"
ZONES = {f"gr-north-{letter}": "gr-north" for letter in "abc"}
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 54,
    "recoveryS": 12,
    "transitMs": 120,
    "reuseWindowS": 7.6,
    "requireFence": True,
    "leaseMs": 3000,
    "thawMs": 300,
    "ttl_max_s": 5,
}
CONTACT_S = BOUNDS["contactMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000
MEMORY_MB = 150
HEARTBEAT_S = 1.2
PORTS = ("front", "readyAddress", "control", "directory", "peers", "metrics")
READY_TIMEOUT_S = 25.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


def route(kind: str, prefix: str, service: str, resumable: bool = False) -> dict:
    """Return a route of the configuration."""
    stream = kind == "stream"
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 14000 if stream else 1500,
        "targetLatencyMs": 900 if stream else 200,
        "priority": 1 if stream else 2,
        "service": service,
        "maxAttempts": 2 if resumable or kind == "idempotent" else 1,
        "resumable": resumable,
        **({"sessionAffinity": True, "gapTargetMs": 300} if stream else {}),
    }


def configuration(version: int, book_service: str = PLAIN_SERVICE) -> dict:
    """Return the operator's configuration; bookings go to ``book_service``."""
    engine = {
        "slots": 24,
        "kvTokens": 33466,
        "kvTokenBytes": 163840,
        "linkMbps": 1400000.0,
        "moves": True,
        "backups": True,
        "stride": STRIDE,
        "most": 12,
        "handleTtlS": 0.5,
        "switchS": 6.0,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "models": [{"name": "m"}],
    }
    service = {"healthPath": "/healthz", "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": [
            route("stream", "/notes/", STREAM_SERVICE, resumable=True),
            route("stream", "/summary/", STREAM_SERVICE),
            route("non_idempotent", "/book/", book_service),
            route("idempotent", "/look/", PLAIN_SERVICE),
        ],
        "services": [
            {"name": STREAM_SERVICE, "maxConnections": 200, **service}
            | {"engine": engine},
            {"name": PLAIN_SERVICE, "maxConnections": 100, **service},
            {"name": OTHER_SERVICE, "maxConnections": 100, **service},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def deployed_command() -> tuple[list[str], dict[str, str]]:
    """Return the command of the deploy file and the variables that it sets."""
    role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["router"]
    return role["run"].split(), role.get("env", {})


@dataclass
class Answer:
    """What a client got: a status, or 0 if the connection ended without one.

    ``complete`` means that the whole response has arrived.
    """

    status: int
    complete: bool
    body: bytes = b""
    retry_after_s: float | None = None


@dataclass(eq=False)
class Daemon:
    """One routing daemon on a machine of its own address."""

    number: int
    host: str
    settings: Path
    log: Path
    process: subprocess.Popen | None = None

    def memory_mb(self) -> float:
        """Return the resident memory of the process; 0 if it has ended."""
        with contextlib.suppress(OSError):
            for line in (
                Path(f"/proc/{self.process.pid}/status").read_text().split("\n")
            ):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


@dataclass(eq=False)
class Fleet:
    """Owns all processes and stand-ins of one run."""

    record: Record = field(default_factory=Record)
    daemons: list[Daemon] = field(default_factory=list)
    replicas: dict[str, Replica] = field(default_factory=dict)
    handles: dict[str, float] = field(default_factory=dict)

    def __post_init__(self):
        self.network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self, daemons: int) -> None:
        """Start the store and the daemons; replicas are added before."""
        for number in range(1, daemons + 1):
            host = f"{self.network}.{10 + number}"
            path = self.directory / f"settings-{number}.yaml"
            log = self.directory / f"daemon-{number}.log"
            self.daemons.append(Daemon(number, host, path, log))
        self.ports = self._free_ports()
        for daemon in self.daemons:
            daemon.settings.write_text(json.dumps(self._settings(daemon)))
            self.launch(daemon)
        for daemon in self.daemons:
            await self.wait_ready(daemon)

    async def start_store(self) -> None:
        """Start the store with a configuration."""
        self.store = Store(f"{self.network}.2", HEARTBEAT_S)
        await self.store.start()
        self.store.put("op", "config", configuration(7))

    async def add_replica(self, name: str, service: str, **options) -> Replica:
        """Start a replica."""
        host = f"{self.network}.{100 + len(self.replicas)}"
        replica = Replica(
            name, service, host, self.store, self.record, self.handles, **options
        )
        await replica.start()
        self.replicas[name] = replica
        return replica

    def _free_ports(self) -> dict[str, int]:
        """Return ports that are free at all machines' addresses."""
        ports: dict[str, int] = {}
        while len(ports) < len(PORTS):
            port = random.randint(20_000, 32_000)
            if port not in ports.values() and all(
                _is_free(daemon.host, port) for daemon in self.daemons
            ):
                ports[PORTS[len(ports)]] = port
        return ports

    def _settings(self, daemon: Daemon) -> dict:
        zone = list(ZONES)[daemon.number % len(ZONES)]
        listen = {name: f"{daemon.host}:{self.ports[name]}" for name in PORTS[:4]}
        seeds = [f"{item.host}:{self.ports['control']}" for item in self.daemons[:3]]
        return {
            "nodeName": f"front-{zone}-{daemon.number}",
            "role": "router",
            "machineClass": "front",
            "serves": ["front", "directory"],
            "ip": daemon.host,
            "zone": zone,
            "region": "gr-north",
            "zones": ZONES,
            "listen": listen,
            "internalPorts": [self.ports["peers"], self.ports["metrics"]],
            "seedNodes": seeds,
            "bootstrap": True,
            "countsInFaults": False,
            "limits": {
                "cpuShare": 0.537,
                "cpuCores": 2,
                "memoryMb": MEMORY_MB,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entryMode": "directory",
            "heartbeatMs": round(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"]
            + ["split", "stream", "engine", "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.store.address,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "txMs": 8.0,
                "partitionWritesS": 150,
                "rowBytes": 65536,
                "across": False,
                "historyS": 20,
                "blobBytes": 8388608,
                "blobMs": 25.0,
                "blobMbS": 80.0,
            },
        }

    def launch(self, daemon: Daemon) -> None:
        """Start a daemon with the command of the deploy file."""
        command, variables = deployed_command()
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment = {
            **kept,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MARJORAMSTILE_CONFIG": str(daemon.settings),
            **variables,
        }
        with daemon.log.open("ab") as output:
            daemon.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.record.add("daemon_launched", machine=daemon.host)

    def kill(self, daemon: Daemon) -> None:
        """Kill a daemon."""
        daemon.process.kill()
        daemon.process.wait()
        self.record.add("daemon_killed", machine=daemon.host)

    async def is_ready(self, daemon: Daemon) -> bool:
        """Ask a daemon's readiness as the platform does."""
        connection = Connection(f"{daemon.host}:{self.ports['readyAddress']}")
        try:
            async with asyncio.timeout(1.0):
                await connection.open()
                await connection.send("GET /v1/readyz HTTP/1.1", {"Host": "x"})
                return (await connection.message()).status == 200
        except (OSError, EOFError, TimeoutError):
            return False
        finally:
            connection.close()

    async def wait_ready(self, daemon: Daemon) -> None:
        """Wait until a daemon is ready."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self.is_ready(daemon):
                    if daemon.process.poll() is not None:
                        raise NotRunError(daemon.log.read_text()[-2000:])
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise NotRunError("a daemon is not ready") from None

    def front(self, daemon: Daemon) -> str:
        """Return ``host:port`` of a daemon's front."""
        return f"{daemon.host}:{self.ports['front']}"

    def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGKILL)
                daemon.process.wait()
        if os.environ.get("KEEP"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


@dataclass(eq=False)
class Client:
    """A client with one kept connection to one front."""

    fleet: Fleet
    daemon: Daemon

    def __post_init__(self):
        self._connection = Connection(self.fleet.front(self.daemon))

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    async def plain(self, kind: str = "book") -> tuple[str, Answer]:
        """Send a booking, or a look-up with ``kind`` look."""
        method = "POST" if kind == "book" else "GET"
        return await self._request(kind, f"{method} /{kind}/2f HTTP/1.1", 1500, {})

    async def stream(
        self, kind: str = "notes", prompt: int = 3200, output: int = 71, **headers: str
    ) -> tuple[str, Answer]:
        """Send a generation of ``prompt`` tokens on route notes or summary."""
        parts = f"5c1e07a2:200,{secrets.token_hex(4)}:{prompt - 200}"
        fields = {
            "X-Model": "m",
            "X-Token-Count": f"{prompt},{output}",
            "X-Prefix-Hash": parts,
            **headers,
        }
        return await self._request(kind, f"POST /{kind}/2f HTTP/1.1", 14000, fields)

    async def _request(
        self, kind: str, start: str, deadline_ms: int, fields: dict[str, str]
    ) -> tuple[str, Answer]:
        request_id = secrets.token_hex(8)
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            **fields,
        }
        kept = self._connection.is_open
        self.fleet.record.add(
            "sent", request=request_id, kind=kind, machine=self.daemon.host, kept=kept
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                answer = await self._exchange(start, headers)
        except TimeoutError:
            answer = Answer(0, False, b"no answer until the deadline")
            self.close()
        self.fleet.record.add(
            "answered",
            request=request_id,
            kind=kind,
            machine=self.daemon.host,
            kept=kept,
            status=answer.status,
            complete=answer.complete,
            retry_after_s=answer.retry_after_s,
            body=answer.body[-160:].decode("latin-1"),
        )
        return request_id, answer

    async def _exchange(self, start: str, headers: dict[str, str]) -> Answer:
        status, body = 0, b""
        retry_after_s = None
        try:
            await self._connection.open()
            await self._connection.send(start, headers, b"{}")
            head: Message = await self._connection.head()
            status = head.status
            if "retry-after" in head.headers:
                retry_after_s = float(head.headers["retry-after"])
            async for part in self._connection.parts(head):
                body += part
            if head.headers.get("connection") == "close":
                self.close()
            return Answer(status, True, body, retry_after_s)
        except (OSError, EOFError, ValueError):
            self.close()
            return Answer(status, False, body, retry_after_s)


def run_case(case: Callable[[Fleet, bool], Awaitable[str | None]], folder: Path) -> int:
    """Run a case; return the exit code. It returns what broke the rule, if anything.

    Its second argument tells whether the disruption happens (TROUBLE is not 0).
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        fleet = Fleet()
        try:
            async with asyncio.timeout(110.0):
                broken = await case(fleet, trouble)
        except (NotRunError, OSError, TimeoutError) as error:
            fleet.record.add("not_run", reason=repr(error))
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            fleet.record.write(folder / "record.txt")
            fleet.close()
        print(f"broken: {broken}" if broken else "held")
        return BROKEN if broken else HELD

    signal.signal(signal.SIGTERM, _stop)
    return asyncio.run(run())


def _stop(number: int, frame: object) -> None:
    """End the run, so that the processes that it started are ended too."""
    sys.exit(NOT_RUN)


def main(case: Callable[[Fleet, bool], Awaitable[str | None]], file: str) -> None:
    """Entry point of a case's program."""
    sys.exit(run_case(case, Path(file).resolve().parent))
