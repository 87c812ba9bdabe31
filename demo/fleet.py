"""Starts stand-ins and daemons as processes on loopback addresses and ends them.

Used by the demonstration and by the tests that need real processes.
"""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from marjoramstile.utils import hash_secret

PLATFORM_PORT = 7000
ENGINE_PORT = 7100
SERVICE_PORT = 7300
CALLERS_PORT = 8100
OPERATORS_PORT = 8101
PEERS_PORT = 8102
BODY_TIMEOUT_S = 2.0
START_LIMIT_S = 60.0
STOP_LIMIT_S = 30.0
POLL_S = 0.05
OPERATOR_TOKEN = "operator-token"
WORKSPACE_KEY = "karamanlis-key"
OTHER_KEY = "gyeol-key"
REGION = "gr-north"
FIRST_NETWORK = 10
NETWORKS = 200
DATA_CENTRES = ("gr-north-a", "gr-north-b", "gr-north-c")


def own_network() -> int:
    """Return the second octet of the loopback addresses that this process uses."""
    return FIRST_NETWORK + os.getpid() % NETWORKS


@dataclass(frozen=True)
class LaunchedProcess:
    """A running process, its address and the file that holds its output."""

    name: str
    process: subprocess.Popen
    host: str
    log: Path


class Fleet:
    """Processes of one run, all on addresses 127.``network``.x.y; owns all of them."""

    def __init__(self, network: int, **timing: float):
        self._network = network
        self._timing = timing
        self._directory = Path(tempfile.mkdtemp(prefix="marjoramstile-"))
        self._processes: dict[str, LaunchedProcess] = {}
        self._session: ClientSession | None = None

    async def __aenter__(self) -> "Fleet":
        self._session = ClientSession(timeout=ClientTimeout(total=START_LIMIT_S))
        return self

    async def __aexit__(self, *error: object) -> None:
        """Kill all processes; keep their logs after an error."""
        await self._session.close()
        for launched in self._processes.values():
            launched.process.kill()
        for launched in self._processes.values():
            launched.process.wait()
        if error[0] is None:
            shutil.rmtree(self._directory)

    @property
    def session(self) -> ClientSession:
        """HTTP client session of the run."""
        return self._session

    @property
    def platform_url(self) -> str:
        """Base URL of the platform's stand-in."""
        return f"http://{self._host('platform')}:{PLATFORM_PORT}"

    def _host(self, kind: str, number: int = 1) -> str:
        third = {"platform": 9, "prefill": 8, "decode": 7, "service": 6, "vm": 1}
        return f"127.{self._network}.{third[kind]}.{number}"

    def launch(
        self, name: str, host: str, module: str, *arguments: str
    ) -> LaunchedProcess:
        """Start ``python -m module`` with its output appended to a log file."""
        log = self._directory / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=dict(os.environ),
            )
        self._processes[name] = LaunchedProcess(name, process, host, log)
        return self._processes[name]

    def get(self, name: str) -> LaunchedProcess:
        """Return the process started as ``name``."""
        return self._processes[name]

    async def start_platform(self) -> None:
        """Start the platform's stand-in."""
        host = self._host("platform")
        self.launch(
            "platform",
            host,
            "standins.platform",
            f"--host={host}",
            f"--port={PLATFORM_PORT}",
        )
        await self.wait_for(f"{self.platform_url}/vms")

    async def start_engines(self, prefills: int, decodes: int) -> None:
        """Start prefill and decode engines and wait until they answer."""
        for kind, count in (("prefill", prefills), ("decode", decodes)):
            for number in range(1, count + 1):
                self.launch_engine(kind, number)
        for kind, count in (("prefill", prefills), ("decode", decodes)):
            for number in range(1, count + 1):
                await self.wait_for(f"{self.engine_url(kind, number)}/v1/work")

    def launch_engine(self, kind: str, number: int) -> LaunchedProcess:
        """Start one engine."""
        host = self._host(kind, number)
        return self.launch(
            f"{kind}-{number}",
            host,
            "standins.engine",
            f"--host={host}",
            f"--port={ENGINE_PORT}",
        )

    def engine_url(self, kind: str, number: int) -> str:
        """Return an engine's base URL."""
        return f"http://{self._host(kind, number)}:{ENGINE_PORT}"

    async def start_service(self, name: str, number: int) -> None:
        """Start a plain service and wait until it responds."""
        host = self._host("service", number)
        self.launch(
            name,
            host,
            "standins.service",
            f"--host={host}",
            f"--port={SERVICE_PORT}",
            f"--name={name}",
        )
        await self.wait_for(f"{self.service_url(number)}/health")

    def service_url(self, number: int) -> str:
        """Return a plain service's base URL."""
        return f"http://{self._host('service', number)}:{SERVICE_PORT}"

    async def list_vms(self, numbers: Sequence[int]) -> None:
        """Set the platform's list of VMs to these, all live."""
        vms = [
            {
                "name": f"vm-{number}",
                "host": self._host("vm", number),
                "data_centre": self.data_centre(number),
                "region": REGION,
                "state": "live",
            }
            for number in numbers
        ]
        await self.control(self.platform_url, vms=vms)

    @staticmethod
    def data_centre(number: int) -> str:
        """Return the data centre of VM or engine ``number``."""
        return DATA_CENTRES[(number - 1) % len(DATA_CENTRES)]

    async def start_daemons(self, numbers: Sequence[int]) -> None:
        """Start daemons on the numbered VMs and wait until they are healthy."""
        for number in numbers:
            self.launch_daemon(number)
        for number in numbers:
            await self.wait_for(f"{self.callers_url(number)}/healthz")

    def launch_daemon(self, number: int) -> LaunchedProcess:
        """Start the daemon of one VM."""
        settings = self._directory / f"vm-{number}.yaml"
        settings.write_text(json.dumps(self._daemon_settings(number)))
        return self.launch(
            f"vm-{number}",
            self._host("vm", number),
            "marjoramstile.daemon",
            f"--settings={settings}",
        )

    def _daemon_settings(self, number: int) -> dict[str, Any]:
        host = self._host("vm", number)
        return {
            "node": {
                "name": f"vm-{number}",
                "data_centre": self.data_centre(number),
                "region": REGION,
            },
            "listeners": {
                "callers": {"host": host, "port": CALLERS_PORT},
                "operators": {"host": host, "port": OPERATORS_PORT},
                "peers": {"host": host, "port": PEERS_PORT},
            },
            "platform": {"url": self.platform_url},
            "operator_token_hashes": [hash_secret(OPERATOR_TOKEN)],
            "limits": {"body_timeout_s": BODY_TIMEOUT_S},
            "timing": self._timing,
        }

    def callers_url(self, number: int) -> str:
        """Return the base URL of a daemon's listener for callers."""
        return f"http://{self._host('vm', number)}:{CALLERS_PORT}"

    def operators_address(self, number: int) -> str:
        """Return HOST:PORT of a daemon's listener for operators."""
        return f"{self._host('vm', number)}:{OPERATORS_PORT}"

    def peers_address(self, number: int) -> tuple[str, int]:
        """Return host and port of a daemon's listener for peers."""
        return self._host("vm", number), PEERS_PORT

    def configuration(self, prefills: int, decodes: int) -> dict[str, Any]:
        """Return a configuration for the processes of this fleet."""
        endpoints = {}
        for kind, count in (("prefill", prefills), ("decode", decodes)):
            for number in range(1, count + 1):
                endpoints[f"{kind}-{number}"] = {
                    "kind": kind,
                    "url": self.engine_url(kind, number),
                    "data_centre": self.data_centre(number),
                }
        for number, name in ((1, "pagkos-1"), (2, "old-system")):
            endpoints[name] = {
                "kind": "plain",
                "url": self.service_url(number),
                "data_centre": DATA_CENTRES[0],
            }
        return {
            "endpoints": endpoints,
            "pools": {
                kind: {
                    "kind": kind,
                    "model": "lexis",
                    "endpoints": [f"{kind}-{number}" for number in range(1, count + 1)],
                }
                for kind, count in (("prefill", prefills), ("decode", decodes))
            },
            "language_services": {
                "lexis-pool": _language_service("in_time"),
                "lexis-late": _language_service("late"),
            },
            "plain_services": {
                "pagkos-app": {
                    "endpoints": ["pagkos-1"],
                    "migration": {"old": "old-system", "new_percent": 100},
                }
            },
            "workspaces": {
                "karamanlis": {
                    "key_hashes": [hash_secret(WORKSPACE_KEY)],
                    "services": ["lexis-pool", "lexis-late", "pagkos-app"],
                },
                "gyeol": {
                    "key_hashes": [hash_secret(OTHER_KEY)],
                    "services": ["pagkos-app"],
                },
            },
        }

    async def apply(self, number: int, document: dict[str, Any]) -> dict[str, Any]:
        """Apply a configuration through a daemon."""
        return await self.operate(number, "PUT", "/v1/configuration", document)

    async def state(self, number: int, statement: str) -> dict[str, Any]:
        """Run a statement on a daemon."""
        return await self.operate(
            number, "POST", "/v1/statements", {"statement": statement}
        )

    async def operate(
        self, number: int, method: str, path: str, body: Any
    ) -> dict[str, Any]:
        """Send one request to a daemon's listener for operators; return the answer."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = f"http://{self.operators_address(number)}{path}"
        async with self._session.request(
            method, url, json=body, headers=headers
        ) as response:
            return await response.json()

    async def start_all(
        self, daemons: Sequence[int], prefills: int, decodes: int
    ) -> None:
        """Start everything and apply the fleet's configuration."""
        await self.start_platform()
        await self.start_engines(prefills, decodes)
        await self.start_service("pagkos-app", 1)
        await self.start_service("old-system", 2)
        await self.list_vms(daemons)
        await self.start_daemons(daemons)
        answer = await self.apply(daemons[0], self.configuration(prefills, decodes))
        if "version" not in answer:
            raise RuntimeError(f"the configuration was not accepted: {answer}")
        await self.wait_until_joined(daemons, answer["version"])

    async def control(self, url: str, **values: Any) -> dict[str, Any]:
        """Set faults of a stand-in and return its counters."""
        async with self._session.post(f"{url}/control", json=values) as response:
            return await response.json()

    async def wait_for(self, url: str) -> None:
        """Wait until ``url`` responds with a status below 500."""

        async def responds() -> bool:
            try:
                async with self._session.get(url) as response:
                    return response.status < 500
            except ClientError:
                return False

        await self.wait_until(responds)

    async def wait_until(self, condition) -> None:
        """Wait until an asynchronous condition holds."""
        async with asyncio.timeout(START_LIMIT_S):
            while not await condition():
                await asyncio.sleep(POLL_S)

    async def wait_until_joined(self, numbers: Sequence[int], version: int) -> None:
        """Wait until the daemons have heard from each other and apply ``version``."""
        names = {f"vm-{number}" for number in numbers}

        async def joined() -> bool:
            for number in numbers:
                body = await self.state(number, "show daemons")
                rows = {row["daemon"]: row for row in body.get("rows", ())}
                if rows.keys() != names or body["silent"]:
                    return False
                if any(row["version"] != version for row in rows.values()):
                    return False
                peers = await self.state(number, "show peers")
                if not all(row["heard_from"] for row in peers["rows"]):
                    return False
            return True

        await self.wait_until(joined)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the fleet's own processes."""
        self._processes[name].process.send_signal(number)

    async def wait_exit(self, name: str) -> int:
        """Wait until a process has ended; return its exit code."""
        process = self._processes[name].process
        async with asyncio.timeout(STOP_LIMIT_S):
            while process.poll() is None:
                await asyncio.sleep(POLL_S)
        return process.returncode


def _language_service(service_class: str) -> dict[str, Any]:
    return {
        "model": "lexis",
        "prefill_pool": "prefill",
        "decode_pool": "decode",
        "service_class": service_class,
    }
