"""Watches the memory of the daemons, as the platform does."""

import asyncio
from pathlib import Path

from common2.deployment import Deployment, Machine
from common2.record import Record

WATCH_PERIOD_S = 0.02
# Ends of processes on each of two machines that are a fault.
KILLS_OF_A_FAULT = 3


class MemoryWatch:
    """The platform's part: kills a process that exceeds its memory, and starts it."""

    def __init__(self, deployment: Deployment, record: Record):
        self._deployment = deployment
        self._record = record
        self.kills = dict.fromkeys(deployment.machines, 0)
        self.peak_mb = dict.fromkeys(deployment.machines, 0.0)

    async def run(self) -> None:
        """Watch all processes until cancelled."""
        while True:
            for name, machine in self._deployment.machines.items():
                used_mb = _resident_mb(machine)
                self.peak_mb[name] = max(self.peak_mb[name], used_mb)
                if used_mb > self._deployment.memory_mb:
                    self._record.add("over_memory", machine=name, used_mb=used_mb)
                    self.kills[name] += 1
                    self._deployment.kill(name)
                    self._deployment.launch(name)
            await asyncio.sleep(WATCH_PERIOD_S)


def _resident_mb(machine: Machine) -> float:
    """Return the resident memory of a machine's process; 0 if it has none."""
    status = Path("/proc", str(machine.process.pid), "status").read_text("utf-8")
    lines = (line.split() for line in status.splitlines())
    sizes = {fields[0]: int(fields[1]) for fields in lines if fields[0] == "VmRSS:"}
    return sizes.get("VmRSS:", 0) / 1024
