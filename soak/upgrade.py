"""Rolling upgrade between two checkouts, and back, under load.

``python -m soak.upgrade --other CHECKOUT`` starts daemons of the other checkout, then
replaces them one at a time by daemons of this one, and in reverse. In each mixture it
sends requests through every daemon, overloads the pool and changes the configuration.
"""

import asyncio
import os
import random
import signal
import subprocess
import sys
from collections import Counter, defaultdict
from pathlib import Path
from typing import Annotated, Any

import typer
import yaml
from aiohttp import ClientError, ClientSession, ClientTimeout

from demo.fleet import LaunchedProcess, own_network
from demo.published_fleet import HOST_NAME, METRICS_PORT, PublishedFleet
from soak.callers import CUT, KINDS, Callers
from soak.faults import changed_configuration

DAEMONS = 4
CALLERS = 4
DECODE = 2
CALLS_PER_KIND = 3
OVERLOAD_STREAMS = 60
# Statuses that planned work must not cause: no answer, and outcome unknown.
FORBIDDEN = (CUT, 502, 504)
AGREE_LIMIT_S = 6.0
POLL_S = 0.1


class MixedFleet(PublishedFleet):
    """Daemons that run from either of two checkouts."""

    def __init__(self, network: int, other: Path, other_python: str):
        super().__init__(network)
        self._checkouts = {"this": Path.cwd(), "other": other}
        self._pythons = {"this": sys.executable, "other": other_python}
        self.builds = dict.fromkeys(range(1, DAEMONS + 1), "other")
        self._starts: dict[int, list[str]] = defaultdict(list)

    def launch_router(self, number: int) -> LaunchedProcess:
        """Start the routing daemon of one VM from its checkout."""
        build = self.builds[number]
        self._starts[number].append(build)
        name = f"router-{number}"
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(number)))
        log = self._directory / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                [self._pythons[build], "-m", "marjoramstile.platform"],
                cwd=self._checkouts[build],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, "MARJORAMSTILE_CONFIG": str(path)},
            )
        self._processes[name] = LaunchedProcess(
            name, process, self.vm_host(number), log
        )
        return self._processes[name]

    async def replace(self, number: int, build: str) -> int:
        """Stop a daemon as planned, start it from a checkout; return its exit code."""
        process = self.get(f"router-{number}").process
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            await asyncio.sleep(POLL_S)
        self.builds[number] = build
        self.launch_router(number)
        await self.wait_for_ready(number)
        return process.returncode

    async def rows(self, number: int, subject: str) -> dict[str, Any]:
        """Ask a daemon for the rows that all daemons have of a subject."""
        url = f"http://{self.vm_host(number)}:{METRICS_PORT}/v1/rows/{subject}"
        async with self.session.get(url) as response:
            return await response.json()

    def explain(self, build: str, request_id: str) -> str:
        """Return what the tool of a checkout says of a request in all logs."""
        logs = sorted(str(path) for path in self._directory.glob("router-*.log"))
        command = ["-m", "marjoramstile", "explain", request_id, *logs]
        return subprocess.run(
            [self._pythons[build], *command],
            cwd=self._checkouts[build],
            capture_output=True,
            text=True,
            check=False,
        ).stdout

    def count_events(self) -> Counter[tuple[str, str]]:
        """Count the log lines by event and by the checkout that wrote them."""
        events: Counter[tuple[str, str]] = Counter()
        for number, builds in self._starts.items():
            starts = iter(builds)
            build = ""
            log = self._directory / f"router-{number}.log"
            for line in log.read_text(errors="replace").splitlines():
                _, _, rest = line.partition(" event=")
                event = rest.split(" ", 1)[0]
                if event == "daemon_starting":
                    build = next(starts)
                events[event, build] += 1
        return events


class Upgrade:
    """One upgrade and its reverse; collects counts and what went wrong."""

    def __init__(self, fleet: MixedFleet):
        self._fleet = fleet
        self._version = 1
        self._callers = Callers(fleet, DAEMONS, random.Random(1))
        self._sent: Counter[tuple[str, str, str]] = Counter()
        self.faults: list[str] = []

    async def run(self) -> None:
        """Upgrade every daemon, then go back, and check each mixture."""
        await self._check_mixture()
        for build in ("this", "other"):
            for number in range(1, DAEMONS + 1):
                await self._replace_under_load(number, build)
                await self._check_mixture()
        self._report()

    async def _replace_under_load(self, number: int, build: str) -> None:
        first = len(self._callers.outcomes)
        stopping = asyncio.Event()
        calling = asyncio.create_task(self._callers.run(CALLERS, stopping))
        await asyncio.sleep(0.5)
        code = await self._fleet.replace(number, build)
        if code != 0:
            self.faults.append(f"daemon {number} ended with {code}")
        await asyncio.sleep(0.5)
        stopping.set()
        await calling
        for outcome in self._callers.outcomes[first:]:
            self._sent["while replaced", outcome.kind, str(outcome.status)] += 1
            if not outcome.good or outcome.status in FORBIDDEN:
                self.faults.append(f"while daemon {number} was replaced: {outcome}")

    async def _check_mixture(self) -> None:
        await self._check_peers()
        await self._change_configuration()
        scheduler = await self._overload()
        async with ClientSession(timeout=ClientTimeout(10.0)) as session:
            for number in range(1, DAEMONS + 1):
                pair = f"{self._fleet.builds[number]}, scheduler {scheduler}"
                for kind in KINDS * CALLS_PER_KIND:
                    front = self._fleet.front(number)
                    outcome = await self._callers.call(session, front, kind)
                    self._sent[pair, kind, str(outcome.status)] += 1
                    if outcome.status != 200 or not outcome.good:
                        self.faults.append(f"front {pair}: {outcome}")
        self._check_explained(outcome.id)
        await self._check_nothing_held()
        await self._check_orders()

    async def _check_peers(self) -> None:
        """Wait until every daemon sees all others alive and no reader is behind."""

        async def agree() -> bool:
            peers = await self._fleet.rows(1, "peers")
            mirrors = await self._fleet.rows(DAEMONS, "mirrors")
            alive = [row for row in peers["rows"] if row["state"] == "alive"]
            current = [row for row in mirrors["rows"] if row["age_s"] is not None]
            return (
                not peers["silent"]
                and not mirrors["silent"]
                and len(alive) == DAEMONS * (DAEMONS - 1)
                and len(current) == len(mirrors["rows"])
            )

        await self._wait("the daemons do not see each other", agree)

    async def _check_orders(self) -> None:
        """Wait until all daemons read the same rows of orders from the store."""

        async def equal() -> bool:
            rows = [
                (await self._fleet.rows(number, "orders"))["rows"]
                for number in range(1, DAEMONS + 1)
            ]
            return all(item == rows[0] for item in rows)

        await self._wait("the daemons read different orders", equal)

    async def _change_configuration(self) -> None:
        self._version += 1
        await self._fleet.configure(changed_configuration(self._version))

        async def in_force() -> bool:
            daemons = await self._fleet.rows(1, "daemons")
            versions = {row["configuration"] for row in daemons["rows"]}
            return len(daemons["rows"]) == DAEMONS and versions == {self._version}

        await self._wait(f"version {self._version} is not in force", in_force)
        async with ClientSession() as session:
            for number in range(1, DAEMONS + 1):
                url = f"http://{self._fleet.front(number)}/v{self._version}/look/x"
                headers = {"Host": HOST_NAME, "X-Request-Id": f"v{self._version}"}
                async with session.get(url, headers=headers) as response:
                    self._sent["new route", "look", str(response.status)] += 1
                    if response.status != 200:
                        self.faults.append(f"{url}: {response.status}")

    async def _wait(self, fault: str, condition) -> None:
        try:
            async with asyncio.timeout(AGREE_LIMIT_S):
                while not await condition():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            self.faults.append(f"{fault}: {self._fleet.builds}")

    async def _overload(self) -> str:
        """Send more streams than fit; return the build of the busiest scheduler."""
        async with ClientSession(timeout=ClientTimeout(10.0)) as session:
            streams = [
                asyncio.create_task(self._stream(session, index))
                for index in range(OVERLOAD_STREAMS)
            ]
            await asyncio.sleep(0.3)
            rows = (await self._fleet.rows(1, "replicas"))["rows"]
            leases: Counter[str] = Counter()
            for row in rows:
                leases[row["daemon"]] += row["leases"]
            for status in await asyncio.gather(*streams):
                self._sent["overload", "stream", status] += 1
                if status not in ("200", "503"):
                    self.faults.append(f"overload: {status}")
        busiest, count = leases.most_common(1)[0]
        if not count:
            self.faults.append(f"no leases: {self._fleet.builds}")
        return self._fleet.builds[int(busiest.rpartition("-")[2])]

    async def _stream(self, session: ClientSession, index: int) -> str:
        number = index % DAEMONS + 1
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": f"o{self._version}-{index}",
            "X-Deadline-Ms": "8000",
            "X-Token-Count": "3000,550",
        }
        url = f"http://{self._fleet.front(number)}/first/stream/x"
        try:
            async with session.post(url, headers=headers) as response:
                await response.read()
                return str(response.status)
        except (ClientError, OSError, TimeoutError) as error:
            return type(error).__name__

    async def _check_nothing_held(self) -> None:
        """Wait until no replica runs a request or holds memory."""

        async def free() -> bool:
            runs = [await self._fleet.runs(name) for name in self._fleet.replicas]
            return not any(run["running"] or run["tokens"] for run in runs)

        await self._wait("memory is still held", free)

    def _check_explained(self, request_id: str) -> None:
        this, other = (
            self._fleet.explain(build, request_id) for build in ("this", "other")
        )
        if this != other or "event=request_ended" not in this:
            self.faults.append(f"explain differs for {request_id}")

    def _report(self) -> None:
        for key, count in sorted(self._sent.items()):
            print(f"{count:6} {', '.join(key)}")
        for (event, build), count in sorted(self._fleet.count_events().items()):
            print(f"{count:6} event {event or '(none)'}, written by {build}")


async def _run(other: Path, other_python: str) -> list[str]:
    async with MixedFleet(own_network(), other, other_python) as fleet:
        async with asyncio.timeout(90):
            await fleet.start(daemons=DAEMONS, decode=DECODE)
        upgrade = Upgrade(fleet)
        await upgrade.run()
        return upgrade.faults


def main(
    other: Annotated[Path, typer.Option(help="Checkout of the other version.")],
    other_python: Annotated[str, typer.Option(help="Its interpreter.")] = "",
) -> None:
    """Upgrade and go back once; the exit code tells whether all went well."""
    faults = asyncio.run(_run(other, other_python or sys.executable))
    for fault in faults[:20]:
        print(f"FAULT {fault}")
    print(f"{len(faults)} faults")
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    typer.run(main)
