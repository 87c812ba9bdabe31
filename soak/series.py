"""Seeded series of signals, restarts and changes that overlap on the same daemons."""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from soak.actions import ACTIONS, ActionContext, SeriesState
from soak.callers import Callers, Resolver
from soak.checks import check_outcomes, check_recovery
from soak.connections import KEPT_INTERVAL_S, BareCallers
from soak.faults import DECODE, PLAIN
from soak.fleets import free_network
from soak.launches import SeriesFleet
from soak.losses import check_losses

START_LIMIT_S = 90.0
SETTLE_S = 30.0
# Connections that are kept to each VM, whatever state it is in.
KEPT_PER_VM = 16
CHECKED_CALLERS = 3
RESOLVED_PAUSE_S = 0.02
# Time between two new connections to stopping daemons, over all of them.
NEW_INTERVAL_S = 0.005
ACTIONS_PER_SERIES_MAX = 4
SERIES_S = 2.0
BETWEEN_SERIES_S = (0.5, 2.5)


@dataclass(frozen=True)
class Moment:
    """An action of a series: when it begins, on which VM, with which numbers."""

    after_s: float
    name: str
    vm: int
    seed: float


def draw_moments(
    rng: random.Random, seconds: float, daemons: int, names: Sequence[str]
) -> list[Moment]:
    """Draw series of the named actions; those of one series meet on one VM."""
    moments = []
    begin_s = 0.0
    while begin_s < seconds:
        vm = rng.randint(1, daemons)
        for name in rng.choices(names, k=rng.randint(1, ACTIONS_PER_SERIES_MAX)):
            after_s = begin_s + rng.uniform(0.0, SERIES_S)
            moments.append(Moment(after_s, name, vm, rng.random()))
        begin_s += rng.uniform(*BETWEEN_SERIES_S)
    return sorted(moments, key=lambda moment: moment.after_s)


class SeriesSoak:
    """One run of a seed with overlapping series; returns what was violated."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        daemons: int,
        callers: int,
        names: Sequence[str] = (),
    ):
        self._rng = random.Random(seed)
        self._daemons = daemons
        self._callers = callers
        names = names or sorted(ACTIONS)
        self._moments = draw_moments(self._rng, seconds, daemons, names)

    async def run(self) -> list[str]:
        """Run the fleet, callers and series; return the violations found."""
        async with SeriesFleet(free_network(), self._own_rng()) as fleet:
            async with asyncio.timeout(START_LIMIT_S):
                await fleet.start(daemons=self._daemons, decode=DECODE, plain=PLAIN)
            state = SeriesState(fleet, self._daemons)
            callers = Callers(fleet, self._daemons, self._own_rng(), 0.0)
            stopping = asyncio.Event()
            bare = BareCallers(self._own_rng(), stopping)
            async with _background(bare.meter.run(), fleet.supervise(self._daemons)):
                calling = self._call(fleet, callers, bare, stopping)
                await asyncio.gather(calling, self._act(state, stopping))
                violations = await check_recovery(
                    fleet, callers, 1 + DECODE + PLAIN, state.version, SETTLE_S
                )
            violations += check_losses(fleet, bare.attempts)
            violations += fleet.violations
            violations += check_outcomes(callers, fleet.runs_by_id())
            self._report(fleet, bare)
            if violations:
                fleet.keep_logs()
        return violations

    def _own_rng(self) -> random.Random:
        return random.Random(self._rng.random())

    async def _act(self, state: SeriesState, stopping: asyncio.Event) -> None:
        """Begin each action at its moment; stop the callers after the last one."""
        async with asyncio.TaskGroup() as group:
            for moment in self._moments:
                group.create_task(self._act_at(state, moment))
        stopping.set()

    async def _act_at(self, state: SeriesState, moment: Moment) -> None:
        await asyncio.sleep(moment.after_s)
        rng = random.Random(moment.seed)
        await ACTIONS[moment.name](ActionContext(state, moment.vm, rng))

    async def _call(
        self,
        fleet: SeriesFleet,
        callers: Callers,
        bare: BareCallers,
        stopping: asyncio.Event,
    ) -> None:
        """Run all callers until ``stopping`` is set."""
        resolver = Resolver(fleet, self._daemons, self._own_rng())

        async def resolve() -> str | None:
            front = await resolver.front()
            return front.partition(":")[0] if front else None

        async with asyncio.TaskGroup() as group:
            group.create_task(callers.run(CHECKED_CALLERS, stopping))
            group.create_task(self._press(fleet, bare, stopping))
            for _ in range(self._callers):
                group.create_task(bare.keep("resolved", resolve, RESOLVED_PAUSE_S))
            for vm in range(1, self._daemons + 1):
                for _ in range(KEPT_PER_VM):
                    front = _always(fleet.vm_host(vm))
                    group.create_task(bare.keep("kept", front, KEPT_INTERVAL_S))

    async def _press(
        self, fleet: SeriesFleet, bare: BareCallers, stopping: asyncio.Event
    ) -> None:
        """Open new connections to stopping daemons until their processes are gone."""
        async with asyncio.TaskGroup() as group:
            while not stopping.is_set():
                for vm in range(1, self._daemons + 1):
                    if fleet.is_stopping(vm):
                        group.create_task(bare.send_once(fleet.vm_host(vm)))
                        await asyncio.sleep(NEW_INTERVAL_S)
                await asyncio.sleep(NEW_INTERVAL_S)

    def _report(self, fleet: SeriesFleet, bare: BareCallers) -> None:
        print(f"actions {dict(Counter(moment.name for moment in self._moments))}")
        print(f"own loop late by up to {bare.meter.longest_s:.2f} s")
        codes = Counter(launch.process.poll() for launch in fleet.launches)
        print(f"launches {len(fleet.launches)} by exit code {dict(codes)}")


def _always(host: str):
    async def front() -> str:
        return host

    return front


@contextlib.asynccontextmanager
async def _background(*coroutines):
    """Run lasting tasks beside a block; an error of one ends the block."""
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(coroutine) for coroutine in coroutines]
        yield
        for task in tasks:
            task.cancel()
