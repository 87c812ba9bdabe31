"""A fleet that records each launch of a daemon, and starts again what has ended."""

import asyncio
import random
import resource
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from demo.fleet import LaunchedProcess
from demo.published_fleet import PLAIN_SERVICE, STREAM_SERVICE, ReplicaAddress
from soak.fleets import LoggedFleet

GRACE_S = 8.0
WORK_S = 0.25
POLL_S = 0.01
SHOWN_SIGNALS = 3
# A process gets signals once it has used this many times the processor time of an
# interpreter that does nothing; before, no code of the daemon can have run.
INTERPRETERS = 2
# Pause before a daemon that has ended is started again.
RESTART_PAUSES_S = (0.0, 0.5)
SERVICES = {"decode": (STREAM_SERVICE, "decode"), "service": (PLAIN_SERVICE, "")}


@dataclass
class Launch:
    """One process of a VM: the signals that it was sent, and how it ended."""

    vm: int
    process: subprocess.Popen
    launched_at: float
    interpreter_cpu_s: float
    signals: list[tuple[float, signal.Signals]] = field(default_factory=list)
    ended_at: float | None = None
    outlived_grace: bool = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal and record it, unless the process is too new or has ended."""
        if self.process.poll() is None and self.runs_code:
            self.signals.append((asyncio.get_running_loop().time(), number))
            self.process.send_signal(number)

    @property
    def runs_code(self) -> bool:
        """Whether the process is past the start of its interpreter."""
        return _cpu_s(self.process.pid) >= INTERPRETERS * self.interpreter_cpu_s

    def kill(self) -> None:
        """Kill the process and wait until it is gone."""
        if self.process.poll() is None:
            now = asyncio.get_running_loop().time()
            self.signals.append((now, signal.SIGKILL))
            self.process.kill()
            self.process.wait()

    def first(self, number: signal.Signals) -> float | None:
        """Return when a signal was first sent."""
        return next((at for at, sent in self.signals if sent == number), None)

    @property
    def ended_by_itself(self) -> bool:
        """Whether no signal explains the end; SIGHUP explains none."""
        code = self.process.returncode
        if code == -signal.SIGKILL:
            return self.first(signal.SIGKILL) is None
        return code != 0 or self.first(signal.SIGTERM) is None

    def describe(self) -> str:
        """Return the launch's signals and end, relative to its start."""
        sent = describe_signals(self.signals, self.launched_at)
        text = f"router-{self.vm} pid {self.process.pid} signals {sent}"
        if self.ended_at is None:
            return text
        after_s = self.ended_at - self.launched_at
        return f"{text} exit {self.process.returncode} after {after_s:.3f} s"


def describe_signals(signals: list[tuple[float, signal.Signals]], zero: float) -> str:
    """Return the first SIGTERM and the last signals, relative to a time."""
    stops = [item for item in signals if item[1] == signal.SIGTERM]
    shown = sorted({*stops[:1], *signals[-SHOWN_SIGNALS:]})
    text = " ".join(f"{number.name}{at - zero:+.3f}" for at, number in shown)
    return text or "none"


def _cpu_s(pid: int) -> float:
    """Return the processor time that the main thread of a process has used."""
    nanoseconds = Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(nanoseconds) / 1e9


def measure_interpreter_cpu_s() -> float:
    """Return the processor time of an interpreter that does nothing."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-c", "pass"], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


class SeriesFleet(LoggedFleet):
    """Daemons that may be launched again before their VM's old process is gone."""

    def __init__(self, network: int, rng: random.Random):
        super().__init__(network)
        self._rng = rng
        self._interpreter_cpu_s = measure_interpreter_cpu_s()
        self.launches: list[Launch] = []
        # Names of replicas and the times at which they were killed.
        self.killed_replicas: list[tuple[str, float]] = []
        self.violations: list[str] = []

    async def __aexit__(self, *error: object) -> None:
        for launch in self.launches:
            launch.process.kill()
            launch.process.wait()
        await super().__aexit__(*error)

    def _settings(self, number: int) -> dict[str, Any]:
        settings = super()._settings(number)
        return {**settings, "bounds": {**settings["bounds"], "graceS": GRACE_S}}

    def settings_path(self, number: int) -> Path:
        """Return the path of a VM's settings file."""
        return self._directory / f"router-{number}.yaml"

    def settings_text(self, number: int) -> str:
        """Return the whole text of a VM's settings file."""
        return yaml.safe_dump(self._settings(number))

    def launch_router(self, number: int) -> LaunchedProcess:
        """Start a routing daemon and record the launch."""
        launched = super().launch_router(number)
        now = asyncio.get_running_loop().time()
        self.launches.append(
            Launch(number, launched.process, now, self._interpreter_cpu_s)
        )
        return launched

    def launch_replica(
        self, kind: str, number: int, *arguments: str, **faults: Any
    ) -> ReplicaAddress:
        """Start a replica whose plain calls last a while."""
        return super().launch_replica(
            kind, number, *arguments, **{"work_s": WORK_S, **faults}
        )

    def newest(self, vm: int) -> Launch:
        """Return the last launch of a VM."""
        return next(item for item in reversed(self.launches) if item.vm == vm)

    def running(self, vm: int) -> list[Launch]:
        """Return the processes of a VM that have not ended."""
        return [
            item for item in self.launches if item.vm == vm and item.ended_at is None
        ]

    def is_stopping(self, vm: int) -> bool:
        """Return whether a process of a VM was asked to stop and is still there."""
        return any(item.first(signal.SIGTERM) for item in self.running(vm))

    async def replace_replica(self, kind: str, number: int) -> None:
        """Kill a replica and start it anew."""
        name = f"{kind}-{number}"
        process = self.get(name).process
        self.killed_replicas.append((name, asyncio.get_running_loop().time()))
        process.kill()
        while process.poll() is None:
            await asyncio.sleep(POLL_S)
        self.launch_replica(kind, number, *SERVICES[kind])

    async def supervise(self, vms: int) -> None:
        """Watch all launches and start again what has ended, until cancelled."""
        restart_at: dict[int, float] = {}
        while True:
            now = asyncio.get_running_loop().time()
            for vm in range(1, vms + 1):
                for launch in self.running(vm):
                    self._watch(launch, now)
                if self.running(vm):
                    restart_at.pop(vm, None)
                elif now >= restart_at.setdefault(vm, now + self._pause_s()):
                    self.launch_router(vm)
            await asyncio.sleep(POLL_S)

    def _pause_s(self) -> float:
        return self._rng.uniform(*RESTART_PAUSES_S)

    def _watch(self, launch: Launch, now: float) -> None:
        """Record an end; kill a process that outlives its grace, as platforms do."""
        if launch.process.poll() is not None:
            launch.ended_at = now
            if launch.ended_by_itself:
                self.violations.append(f"own end: {launch.describe()}")
            return
        stopped_at = launch.first(signal.SIGTERM)
        killed = launch.first(signal.SIGKILL)
        if stopped_at is not None and killed is None and now > stopped_at + GRACE_S:
            launch.outlived_grace = True
            launch.kill()
            print(f"outlived its grace: {launch.describe()}")
