"""Runs the soak: ``python -m soak --seed 1 --seconds 20``."""

import asyncio
import random
import sys
from collections import Counter
from typing import Annotated

import typer
from aiohttp import ClientError

from soak.callers import Callers
from soak.checks import check_outcomes, check_recovery
from soak.faults import DECODE, FAULTS, PLAIN, PLANNED, FaultContext
from soak.fleets import SoakFleet, free_network
from soak.series import SeriesSoak

CALLERS = 6
SETTLE_S = 8.0
SHOWN_VIOLATIONS = 100
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
        async with SoakFleet(free_network(), self._daemons) as fleet:
            async with asyncio.timeout(90):
                await fleet.start(daemons=self._daemons, decode=DECODE, plain=PLAIN)
            context = FaultContext(fleet, self._daemons, fleet.links, self._rng)
            callers = Callers(fleet, self._daemons, random.Random(self._rng.random()))
            stopping = asyncio.Event()
            calling = asyncio.create_task(callers.run(CALLERS, stopping))
            await self._inject(context)
            stopping.set()
            await calling
            self._violations += await check_recovery(
                fleet, callers, 1 + DECODE + PLAIN, context.version, SETTLE_S
            )
            self._violations += check_outcomes(
                callers, fleet.runs_by_id(), self._planned
            )
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

    def _report(self, callers: Callers) -> None:
        statuses = Counter(outcome.status for outcome in callers.outcomes)
        print(f"requests {sum(statuses.values())} by status {dict(statuses)}")
        print(f"faults {dict(self._injected)}")


def main(
    seed: int = typer.Option(1),
    seconds: float = typer.Option(20.0),
    daemons: int = typer.Option(3),
    planned: bool = typer.Option(False, help="Only planned work; nothing may be cut."),
    series: bool = typer.Option(False, help="Signals and changes that overlap."),
    callers: int = typer.Option(CALLERS, help="Callers of the series that resolve."),
    only: Annotated[
        list[str] | None, typer.Option(help="Actions of the series; else all.")
    ] = None,
) -> None:
    """Run one seed; the exit code is 0 if all guarantees held."""
    if series:
        soak = SeriesSoak(seed, seconds, daemons, callers, only or ())
    else:
        soak = Soak(seed, seconds, daemons, planned)
    violations = asyncio.run(soak.run())
    for line in violations[:SHOWN_VIOLATIONS]:
        print(f"BROKEN {line}")
    print(f"seed {seed}: {len(violations)} broken")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    typer.run(main)
