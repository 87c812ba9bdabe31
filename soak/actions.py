"""Actions of the series, registered by a decorator under their function names.

Each acts on one VM for a moment or a few, whatever other actions do to it meanwhile.
A seed chooses among the sorted names, so a renamed action changes what a seed does.
"""

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import ClientError

from soak.faults import DECODE, PLAIN, changed_configuration
from soak.launches import POLL_S, Launch, SeriesFleet

# Moments at which a daemon is signalled while it starts, after its first code has run.
START_S = (0.0, 0.7)
PAUSES_S = (0.0, 0.3)
SIGNALS_MAX = 4
# Time for which a settings file is not whole, and for which a replica is leaving.
UNSETTLED_S = (0.02, 0.5)
LEAVING_S = (0.5, 2.5)
# Share of the leaving replicas that end their work first, and the time that they have.
FINISHES_SHARE = 0.7
FINISH_LIMIT_S = 15.0
IDLE_POLL_S = 0.1


@dataclass
class SeriesState:
    """What all series share: the fleet, its configuration, replicas that leave."""

    fleet: SeriesFleet
    daemons: int
    version: int = 1
    leaving: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class ActionContext:
    """The VM that an action acts on, and the random numbers of this action alone."""

    state: SeriesState
    vm: int
    rng: random.Random

    @property
    def fleet(self) -> SeriesFleet:
        """The fleet of the run."""
        return self.state.fleet

    async def sleep(self, bounds_s: tuple[float, float]) -> None:
        """Sleep for a random time."""
        await asyncio.sleep(self.rng.uniform(*bounds_s))


Action = Callable[[ActionContext], Awaitable[None]]
ACTIONS: dict[str, Action] = {}


def action(function: Action) -> Action:
    """Register an action."""
    ACTIONS[function.__name__] = function
    return function


async def _signal_repeatedly(
    context: ActionContext, launch: Launch, number: signal.Signals, count: int
) -> None:
    for _ in range(count):
        launch.send(number)
        await context.sleep(PAUSES_S)


def _signal_count(context: ActionContext) -> int:
    return context.rng.randint(1, SIGNALS_MAX)


async def _kill_and_launch(context: ActionContext) -> Launch:
    """Kill a VM's processes, start it again at once, wait for a moment of its start."""
    for launch in context.fleet.running(context.vm):
        launch.kill()
    context.fleet.launch_router(context.vm)
    launch = context.fleet.newest(context.vm)
    while launch.process.poll() is None and not launch.runs_code:
        await asyncio.sleep(POLL_S)
    await context.sleep(START_S)
    return launch


@action
async def reload(context: ActionContext) -> None:
    """Send SIGHUP, also several times, whatever the daemon is doing."""
    launch = context.fleet.newest(context.vm)
    await _signal_repeatedly(context, launch, signal.SIGHUP, _signal_count(context))


@action
async def reload_all(context: ActionContext) -> None:
    """Send SIGHUP to all daemons at once."""
    for vm in range(1, context.state.daemons + 1):
        context.fleet.newest(vm).send(signal.SIGHUP)


@action
async def reload_at_start(context: ActionContext) -> None:
    """Start a daemon again and send SIGHUP while it starts."""
    launch = await _kill_and_launch(context)
    await _signal_repeatedly(context, launch, signal.SIGHUP, _signal_count(context))


@action
async def reload_at_stop(context: ActionContext) -> None:
    """Send SIGHUP while a daemon stops."""
    launch = context.fleet.newest(context.vm)
    launch.send(signal.SIGTERM)
    while launch.ended_at is None:
        await context.sleep(PAUSES_S)
        launch.send(signal.SIGHUP)


@action
async def stop(context: ActionContext) -> None:
    """Send SIGTERM, once or twice."""
    launch = context.fleet.newest(context.vm)
    count = context.rng.randint(1, 2)
    await _signal_repeatedly(context, launch, signal.SIGTERM, count)


@action
async def stop_at_start(context: ActionContext) -> None:
    """Start a daemon again and send SIGTERM while it starts."""
    launch = await _kill_and_launch(context)
    launch.send(signal.SIGTERM)


@action
async def stop_several(context: ActionContext) -> None:
    """Send SIGTERM to some daemons at once, or to all."""
    vms = range(1, context.state.daemons + 1)
    count = context.rng.randint(2, max(2, context.state.daemons))
    for vm in context.rng.sample(vms, min(count, len(vms))):
        context.fleet.newest(vm).send(signal.SIGTERM)


@action
async def kill(context: ActionContext) -> None:
    """Send SIGKILL to a VM's newest process."""
    context.fleet.newest(context.vm).kill()


@action
async def launch_early(context: ActionContext) -> None:
    """Start a daemon again while the old process still has its addresses."""
    context.fleet.newest(context.vm).send(signal.SIGTERM)
    await context.sleep(LEAVING_S)
    if len(context.fleet.running(context.vm)) == 1:
        context.fleet.launch_router(context.vm)


@contextlib.asynccontextmanager
async def _unsettled(context: ActionContext, path: Path):
    """Write the settings file again after a while, in which it is not whole."""
    text = context.fleet.settings_text(context.vm)
    try:
        yield text
        context.fleet.newest(context.vm).send(signal.SIGHUP)
        await context.sleep(UNSETTLED_S)
    finally:
        path.write_text(text)
    context.fleet.newest(context.vm).send(signal.SIGHUP)


@action
async def rewrite_settings(context: ActionContext) -> None:
    """Write the settings file anew, with a field that nobody knows."""
    path = context.fleet.settings_path(context.vm)
    async with _unsettled(context, path) as text:
        path.write_text(f"{text}\nnewField: 1\n")


@action
async def remove_settings(context: ActionContext) -> None:
    """Remove the settings file for a while."""
    path = context.fleet.settings_path(context.vm)
    async with _unsettled(context, path):
        path.unlink(missing_ok=True)


@action
async def halve_settings(context: ActionContext) -> None:
    """Let the settings file be half written for a while."""
    path = context.fleet.settings_path(context.vm)
    async with _unsettled(context, path) as text:
        path.write_text(text[: len(text) // 2])


@action
async def change_routes(context: ActionContext) -> None:
    """Apply new versions that keep the callers' routes and add their own."""
    for _ in range(context.rng.randint(1, 3)):
        context.state.version += 1
        version = context.state.version
        await context.fleet.configure(changed_configuration(version))
        await context.sleep(PAUSES_S)


@action
async def drain_replica(context: ActionContext) -> None:
    """Let a replica drain, and replace it."""
    await _replace_replica(context, context.fleet.drain_replica)


@action
async def leave_replica(context: ActionContext) -> None:
    """Let a replica say in its answers that it leaves, and replace it."""

    async def announce(name: str) -> None:
        await context.fleet.fail_replica(name, leaving=True)

    await _replace_replica(context, announce)


async def _replace_replica(context: ActionContext, announce) -> None:
    kind, count = context.rng.choice([("decode", DECODE), ("service", PLAIN)])
    number = context.rng.randint(1, count)
    name = f"{kind}-{number}"
    if name in context.state.leaving:
        return
    context.state.leaving.add(name)
    # A replica that was just replaced may not listen yet.
    with contextlib.suppress(ClientError, OSError):
        await announce(name)
    await context.sleep(LEAVING_S)
    if context.rng.random() < FINISHES_SHARE:
        await _until_idle(context, name)
    await context.fleet.replace_replica(kind, number)
    context.state.leaving.discard(name)


async def _until_idle(context: ActionContext, name: str) -> None:
    """Wait until a replica has ended its work, for a while at most."""
    with contextlib.suppress(ClientError, OSError, TimeoutError):
        async with asyncio.timeout(FINISH_LIMIT_S):
            while (await context.fleet.runs(name))["running"]:
                await asyncio.sleep(IDLE_POLL_S)
