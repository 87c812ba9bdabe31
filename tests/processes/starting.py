"""Daemons of both kinds that tests start, signal and watch as single processes."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from demo.fleet import (
    CALLERS_PORT,
    OPERATORS_PORT,
    PEERS_PORT as MARJORAMSTILED_PEERS_PORT,
    own_network,
)
from demo.published_fleet import (
    ADDRESSES_PORT,
    COMPLETIONS_PORT,
    FRONT_PORT,
    GRACE_S,
    METRICS_PORT,
    PEERS_PORT,
    READY_PORT,
    STORE_PORT,
)

POLL_S = 0.002
START_LIMIT_S = 20.0
KINDS = ("router", "marjoramstiled")
# As PublishedFleet numbers it.
VM = 2


def vm_host() -> str:
    """Return the IP address of the daemon's VM, on this process's network."""
    return f"127.{own_network()}.1.2"


@dataclass(frozen=True)
class Launch:
    """How a daemon of one kind is started, and where its log lines go."""

    arguments: tuple[str, ...]
    environment: Mapping[str, str]
    settings: dict[str, Any]
    logs_to: str


def launch_of(kind: str, settings_file: Path) -> Launch:
    """Return how to start a daemon of a kind."""
    if kind == "router":
        return Launch(
            ("-m", "marjoramstile.platform"),
            {"MARJORAMSTILE_CONFIG": str(settings_file)},
            router_settings(),
            "stdout",
        )
    return Launch(
        ("-m", "marjoramstile.daemon", f"--settings={settings_file}"),
        {},
        marjoramstiled_settings(),
        "stderr",
    )


def router_settings() -> dict[str, Any]:
    """Return settings of a routing daemon; the store is that of a published fleet."""
    host = vm_host()
    return {
        "nodeName": "front-2",
        "ip": host,
        "zone": "gr-north-a",
        "region": "gr-north",
        "listen": {
            "front": f"{host}:{FRONT_PORT}",
            "readyAddress": f"{host}:{READY_PORT}",
            "directory": f"{host}:{ADDRESSES_PORT}",
            "completions": f"{host}:{COMPLETIONS_PORT}",
        },
        "internalPorts": [PEERS_PORT, METRICS_PORT],
        "bounds": {
            "graceS": GRACE_S,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetSlack": 54,
        },
        "platform": {"address": f"127.{own_network()}.9.1:{STORE_PORT}"},
    }


def marjoramstiled_settings() -> dict[str, Any]:
    """Return settings of ``marjoramstiled`` without a platform."""
    ports = {
        "callers": CALLERS_PORT,
        "operators": OPERATORS_PORT,
        "peers": MARJORAMSTILED_PEERS_PORT,
    }
    return {
        "node": {"name": "vm-2", "data_centre": "gr-north-a", "region": "gr-north"},
        "listeners": {
            name: {"host": vm_host(), "port": port} for name, port in ports.items()
        },
        "platform": {"url": f"http://{vm_host()}:7000"},
        "operator_token_hashes": ["0" * 64],
        "timing": {"address_ttl_s": 0.1, "leave_margin_s": 0.1},
    }


class StartedDaemon:
    """A daemon's process and its output."""

    def __init__(self, kind: str, directory: Path):
        """Its settings and output are files of ``directory``."""
        self.kind = kind
        self._directory = directory
        self.settings_file = directory / "settings.yaml"
        self.launch = launch_of(kind, self.settings_file)
        self.write_settings()
        self.process: subprocess.Popen | None = None

    def write_settings(self) -> None:
        """Write valid settings."""
        self.settings_file.write_text(self.settings_text)

    @property
    def settings_text(self) -> str:
        """Valid settings."""
        return yaml.safe_dump(self.launch.settings)

    def start(self, closed: str = "") -> "StartedDaemon":
        """Start the process; ``closed`` redirects descriptors as the shell does."""
        command = f'exec "$@" {closed}'
        environment = {**os.environ, **self.launch.environment}
        with (
            self._output("stdout").open("wb") as out,
            self._output("stderr").open("wb") as err,
        ):
            self.process = subprocess.Popen(
                ["sh", "-c", command, "sh", sys.executable, *self.launch.arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env=environment,
            )
        return self

    def _output(self, name: str) -> Path:
        return self._directory / name

    @property
    def output(self) -> str:
        """What the process has written to standard output and error."""
        return "".join(self._output(name).read_text() for name in ("stdout", "stderr"))

    def output_of(self, name: str) -> str:
        """What the process has written to ``stdout`` or ``stderr``."""
        return self._output(name).read_text()

    @property
    def handles_signals(self) -> bool:
        """Whether the process has handlers of SIGHUP and SIGTERM."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (item for item in status.splitlines() if item.startswith("SigCgt"))
        caught = int(line.split()[1], 16)
        wanted = (signal.SIGHUP, signal.SIGTERM)
        return all(caught & (1 << (number - 1)) for number in wanted)

    @property
    def has_loaded(self) -> bool:
        """Whether the process has loaded the event loop's library."""
        return "uvloop" in Path(f"/proc/{self.process.pid}/maps").read_text()

    async def wait_for_handlers(self) -> None:
        """Wait until signals are handled."""
        await self.wait_until(lambda: self.handles_signals)

    async def wait_for_event(self, event: str) -> None:
        """Wait until the process has logged an event."""
        await self.wait_until(lambda: f"event={event} " in self.output)

    async def wait_until(self, condition) -> None:
        """Wait until a condition of the running process holds."""
        async with asyncio.timeout(START_LIMIT_S):
            while not condition():
                assert self.process.poll() is None, self.output
                await asyncio.sleep(POLL_S)

    async def wait_exit(self) -> int:
        """Return the exit code once the process has ended."""
        async with asyncio.timeout(START_LIMIT_S):
            while self.process.poll() is None:
                await asyncio.sleep(POLL_S)
        return self.process.returncode

    def kill(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
