"""Runs the soak: ``python -m soak --seed 1 --seconds 20``."""

import asyncio
import contextlib
import random
import sys
from collections import Counter

import typer
from aiohttp import ClientError, ClientSession

from demo.fleet import own_network
from demo.published_fleet import HOST_NAME, PublishedFleet
from soak.callers import CUT, KINDS, Callers
from soak.faults import DECODE, FAULTS, PLAIN, PLANNED, FaultContext
from soak.proxy import LinkProxy

LINK_PORT = 7400
CALLERS = 6
SETTLE_S = 8.0
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Kinds that callers retry after an answer that says that nothing was executed.
RETRIED_KINDS = ("book", "completion")
# Replicas that one part of a prompt may crash: the five after which it is known, and
# three requests.
CRASHES_MAX = 8


class Soak:
    """One run of a seed; collects the guarantees that were violated."""

    def __init__(self, seed: int, seconds: float, daemons: int, planned: bool):
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._daemons = daemons
        self._names = sorted(PLANNED if planned else FAULTS)
        self._planned = planned
        self._violations: list[str] = []
        self._injected: Counter[str] = Counter()

    async def run(self) -> list[str]:
        """Run the fleet, callers and faults; return the violations found."""
        async with SoakFleet(own_network(), self._daemons) as fleet:
            async with asyncio.timeout(90):
                await fleet.start(daemons=self._daemons, decode=DECODE, plain=PLAIN)
            context = FaultContext(fleet, self._daemons, fleet.links, self._rng)
            callers = Callers(fleet, self._daemons, random.Random(self._rng.random()))
            stopping = asyncio.Event()
            calling = asyncio.create_task(callers.run(CALLERS, stopping))
            await self._inject(context)
            stopping.set()
            await calling
            await self._check_recovery(context, callers)
            self._check_outcomes(callers, fleet.runs_by_id())
            if context.crashes > CRASHES_MAX:
                self._violations.append(f"one part crashed {context.crashes} replicas")
            self._report(callers)
            if self._violations:
                fleet.keep_logs()
        return self._violations

    async def _inject(self, context: FaultContext) -> None:
        """Start overlapping faults until the time is up, then await them."""
        loop = asyncio.get_running_loop()
        until = loop.time() + self._seconds
        running = []
        while loop.time() < until:
            name = self._rng.choice(self._names)
            self._injected[name] += 1
            running.append(asyncio.create_task(FAULTS[name](context)))
            await asyncio.sleep(self._rng.uniform(0.1, 1.2))
        for ended in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(ended, Exception) and not isinstance(
                ended, (ClientError, OSError)
            ):
                raise ended

    async def _check_recovery(self, context: FaultContext, callers: Callers) -> None:
        """Check that after the faults all daemons serve and nothing is held.

        A part that has crashed replicas stays refused for a while.
        """
        callers.deadly_share = 0.0
        try:
            async with asyncio.timeout(SETTLE_S):
                for number in range(1, self._daemons + 1):
                    await context.fleet.wait_for_ready(number)
                await context.fleet.wait_for_replicas(1 + DECODE + PLAIN)
        except TimeoutError:
            self._violations.append("a daemon is not ready after the faults")
            return
        await asyncio.sleep(2.5)
        async with ClientSession() as session:
            for number in range(1, self._daemons + 1):
                front = context.fleet.front(number)
                for kind in KINDS:
                    outcome = await callers.call(session, front, kind)
                    if outcome.status != 200 or not outcome.good:
                        self._violations.append(
                            f"not served after the faults: {outcome}"
                        )
                await self._check_version(session, front, context.version)
        await self._check_nothing_held(context)

    async def _check_version(
        self, session: ClientSession, front: str, version: int
    ) -> None:
        if version == 1:
            return
        headers = {"Host": HOST_NAME, "X-Request-Id": f"v{version}{front}"}
        url = f"http://{front}/v{version}/look/x"
        async with session.get(url, headers=headers) as response:
            if response.status == 404:
                self._violations.append(f"{front} lacks version {version}")

    async def _check_nothing_held(self, context: FaultContext) -> None:
        for name in context.fleet.replicas:
            held = await context.fleet.runs(name)
            if held["running"] or held["tokens"]:
                self._violations.append(f"{name} still holds {held}")

    def _check_outcomes(self, callers: Callers, runs: Counter[str]) -> None:
        for outcome in callers.outcomes:
            ran = runs[outcome.id]
            if not outcome.good:
                self._violations.append(
                    f"status 200 with a wrong or incomplete answer: {outcome}"
                )
            if outcome.kind == "book" and ran > 1:
                self._violations.append(f"executed {ran} times: {outcome}")
            if (
                outcome.kind in RETRIED_KINDS
                and outcome.status in NOT_EXECUTED_STATUSES
                and ran
            ):
                self._violations.append(
                    f"executed, but answered as not executed: {outcome}"
                )
            if self._planned and outcome.status in (CUT, 502, 504):
                self._violations.append(f"interrupted by planned work: {outcome}")

    def _report(self, callers: Callers) -> None:
        statuses = Counter(outcome.status for outcome in callers.outcomes)
        print(f"requests {sum(statuses.values())} by status {dict(statuses)}")
        print(f"faults {dict(self._injected)}")


class SoakFleet(PublishedFleet):
    """A fleet whose daemons reach the store through proxies that inject faults."""

    def __init__(self, network: int, daemons: int):
        super().__init__(network)
        self.links: dict[int, LinkProxy] = {}
        self._daemons = daemons
        self._stack = contextlib.AsyncExitStack()

    async def start(self, **counts: int) -> None:
        """Start the proxies, then everything else."""
        for number in range(1, self._daemons + 1):
            link = LinkProxy(self.store)
            await link.start(self.vm_host(number), LINK_PORT)
            self._stack.push_async_callback(link.close)
            self.links[number] = link
        await super().start(**counts)

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()
        await super().__aexit__(*error)

    def _settings(self, number: int) -> dict:
        settings = super()._settings(number)
        return {
            **settings,
            "platform": {"address": f"{self.vm_host(number)}:{LINK_PORT}"},
        }

    def runs_by_id(self) -> Counter[str]:
        """Count runs by request id from the replicas' logs, which survive a kill."""
        runs: Counter[str] = Counter()
        for log in self._directory.glob("*.log"):
            for line in log.read_text(errors="replace").splitlines():
                if line.startswith("run "):
                    runs[line.split()[1]] += 1
        return runs

    def keep_logs(self) -> None:
        """Move the logs to a directory that is not removed, and print its path."""
        kept = self._directory.with_name(self._directory.name + "-kept")
        self._directory.rename(kept)
        self._directory.mkdir()
        print(f"logs kept in {kept}")


def main(
    seed: int = typer.Option(1),
    seconds: float = typer.Option(20.0),
    daemons: int = typer.Option(3),
    planned: bool = typer.Option(False, help="Only planned work; nothing may be cut."),
) -> None:
    """Run one seed; the exit code is 0 if all guarantees held."""
    violations = asyncio.run(Soak(seed, seconds, daemons, planned).run())
    for line in violations[:20]:
        print(f"BROKEN {line}")
    print(f"seed {seed}: {len(violations)} broken")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    typer.run(main)
