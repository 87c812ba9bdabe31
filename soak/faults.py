"""Faults of the soak, registered by a decorator under their function names.

A seed chooses among the sorted names, so a renamed fault changes what a seed does.
"""

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import ClientError

from demo.published_fleet import (
    PLAIN_SERVICE,
    STREAM_SERVICE,
    PublishedFleet,
    configuration,
)
from soak.callers import DEADLY_PART
from soak.proxy import LinkProxy

DECODE = 2
PLAIN = 2
LONGEST_S = 2.5
# Time for which a replica that a request has crashed is gone, and for which a part
# crashes replicas: without a defence it takes most of them.
DOWN_S = 0.5
POISON_S = 10.0


@dataclass
class FaultContext:
    """The fleet that faults act on, and the processes that a fault is using."""

    fleet: PublishedFleet
    daemons: int
    links: dict[int, LinkProxy]
    rng: random.Random
    version: int = 1
    crashes: int = 0
    in_use: set[str] = field(default_factory=set)
    versions: dict[str, str] = field(default_factory=dict)

    def duration_s(self) -> float:
        """Return how long a fault lasts."""
        return self.rng.uniform(0.2, LONGEST_S)


Fault = Callable[[FaultContext], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
PLANNED: set[str] = set()


def fault(planned: bool = False) -> Callable[[Fault], Fault]:
    """Register a fault; planned ones are actions of operators."""

    def register(function: Fault) -> Fault:
        FAULTS[function.__name__] = function
        if planned:
            PLANNED.add(function.__name__)
        return function

    return register


async def _with_process(context: FaultContext, name: str, act, restart) -> None:
    """Act on a process unless another fault is using it, then restore it."""
    if name in context.in_use:
        return
    context.in_use.add(name)
    try:
        await act(context.fleet.get(name).process)
        await restart()
    finally:
        context.in_use.discard(name)


async def _signal_and_wait(process, number: signal.Signals) -> None:
    process.send_signal(number)
    while process.poll() is None:
        await asyncio.sleep(0.02)


@fault()
async def kill_daemon(context: FaultContext) -> None:
    """Kill a daemon and start it again after a while."""
    number = context.rng.randint(1, context.daemons)

    async def restart() -> None:
        await asyncio.sleep(context.duration_s())
        context.fleet.launch_router(number)

    await _with_process(
        context,
        f"router-{number}",
        lambda p: _signal_and_wait(p, signal.SIGKILL),
        restart,
    )


@fault(planned=True)
async def stop_daemon(context: FaultContext) -> None:
    """Stop a daemon with SIGTERM and start it again."""
    number = context.rng.randint(1, context.daemons)

    async def restart() -> None:
        context.fleet.launch_router(number)
        await context.fleet.wait_for_ready(number)

    await _with_process(
        context,
        f"router-{number}",
        lambda p: _signal_and_wait(p, signal.SIGTERM),
        restart,
    )


@fault()
async def pause_daemon(context: FaultContext) -> None:
    """Suspend a daemon's process for a while."""
    number = context.rng.randint(1, context.daemons)

    async def pause(process) -> None:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(context.duration_s())
        process.send_signal(signal.SIGCONT)

    await _with_process(context, f"router-{number}", pause, lambda: asyncio.sleep(0))


@fault()
async def kill_replica(context: FaultContext) -> None:
    """Kill a decode or plain replica and start it again after a while."""
    kind, count, service, stage = context.rng.choice(
        [("decode", DECODE, STREAM_SERVICE, "decode"), ("service", PLAIN, "", "")]
    )
    number = context.rng.randint(1, count)

    async def restart() -> None:
        await asyncio.sleep(context.duration_s())
        version = context.versions.get(f"{kind}-{number}", "v1")
        context.fleet.launch_replica(
            kind, number, service or PLAIN_SERVICE, stage, version
        )

    await _with_process(
        context,
        f"{kind}-{number}",
        lambda p: _signal_and_wait(p, signal.SIGKILL),
        restart,
    )


@fault()
async def fail_replica(context: FaultContext) -> None:
    """Let a plain replica lose answers, return errors or refuse for a while."""
    name = f"service-{context.rng.randint(1, PLAIN)}"
    faults = context.rng.choice([{"lose_answers": 3}, {"errors": 3}, {"full": True}])

    async def act(process) -> None:
        await context.fleet.fail_replica(name, **faults)
        await asyncio.sleep(context.duration_s())
        await context.fleet.fail_replica(name)

    await _with_process(context, name, act, lambda: asyncio.sleep(0))


@fault()
async def pause_replica(context: FaultContext) -> None:
    """Let a plain replica ask for a pause, or announce leaving and restart."""
    number = context.rng.randint(1, PLAIN)
    name = f"service-{number}"
    leaves = context.rng.random() < 0.5

    async def act(process) -> None:
        pause_s = 0.0 if leaves else context.duration_s()
        await context.fleet.fail_replica(name, leaving=leaves, pause_s=pause_s)
        await asyncio.sleep(pause_s or context.duration_s())
        if leaves:
            await _signal_and_wait(process, signal.SIGKILL)
        else:
            await context.fleet.fail_replica(name)

    async def restart() -> None:
        if leaves:
            context.fleet.launch_replica("service", number, PLAIN_SERVICE, "")

    await _with_process(context, name, act, restart)


@fault()
async def break_stream(context: FaultContext) -> None:
    """Let a decode replica abort a stream after a few events."""
    name = f"decode-{context.rng.randint(1, DECODE)}"

    async def act(process) -> None:
        await context.fleet.fail_replica(
            name, break_after_events=context.rng.randint(0, 9)
        )

    await _with_process(context, name, act, lambda: asyncio.sleep(0))


@fault()
async def poison_replicas(context: FaultContext) -> None:
    """Let a part of a prompt crash decode replicas, and start these again."""
    names = [f"decode-{number}" for number in range(1, DECODE + 1)]
    if context.in_use.intersection(names):
        return
    context.in_use.update(names)
    until = asyncio.get_running_loop().time() + POISON_S
    try:
        await asyncio.gather(*(_poison(context, name, until) for name in names))
    finally:
        context.in_use.difference_update(names)


async def _poison(context: FaultContext, name: str, until: float) -> None:
    """Let a part crash one replica until a loop time."""
    await _set_faults(context, name, deadly_part=DEADLY_PART)
    while asyncio.get_running_loop().time() < until:
        await asyncio.sleep(0.05)
        await _restart_crashed(context, name, deadly_part=DEADLY_PART)
    while not await _set_faults(context, name):
        await asyncio.sleep(0.05)
        await _restart_crashed(context, name)


async def _set_faults(context: FaultContext, name: str, **faults: str) -> bool:
    """Replace a replica's faults; return whether it is there to have any."""
    with contextlib.suppress(ClientError, OSError):
        await context.fleet.fail_replica(name, **faults)
        return True
    return False


async def _restart_crashed(context: FaultContext, name: str, **faults: str) -> None:
    """Start a decode replica again if a request has crashed it."""
    if context.fleet.get(name).process.poll() is None:
        return
    context.crashes += 1
    await asyncio.sleep(DOWN_S)
    version = context.versions.get(name, "v1")
    number = int(name.rpartition("-")[2])
    context.fleet.launch_replica(
        "decode", number, STREAM_SERVICE, "decode", version, **faults
    )


@fault()
async def release_version(context: FaultContext) -> None:
    """Replace a decode replica by one of the other version, under the same id."""
    number = context.rng.randint(1, DECODE)
    name = f"decode-{number}"
    version = "v2" if context.versions.get(name, "v1") == "v1" else "v1"

    async def restart() -> None:
        await asyncio.sleep(DOWN_S)
        context.versions[name] = version
        context.fleet.launch_replica(
            "decode", number, STREAM_SERVICE, "decode", version
        )

    await _with_process(
        context, name, lambda p: _signal_and_wait(p, signal.SIGKILL), restart
    )


@fault()
async def kill_all_daemons(context: FaultContext) -> None:
    """Kill all daemons at once, and start them again."""
    names = [f"router-{number}" for number in range(1, context.daemons + 1)]
    if context.in_use.intersection(names):
        return
    context.in_use.update(names)
    for name in names:
        await _signal_and_wait(context.fleet.get(name).process, signal.SIGKILL)
    await asyncio.sleep(context.duration_s() / 2)
    for number in range(1, context.daemons + 1):
        context.fleet.launch_router(number)
    context.in_use.difference_update(names)


@fault()
async def fail_store(context: FaultContext) -> None:
    """Let the store refuse, hang, slow down, or lose answers or history."""
    faults = context.rng.choice(
        [
            {"mode": "busy"},
            {"mode": "silent"},
            {"mode": "reset"},
            {"slow_s": 0.3},
            {"lose_answers": 2},
            {"forget": True},
        ]
    )
    if "store" in context.in_use:
        return
    context.in_use.add("store")
    await context.fleet.fail_store(**faults)
    await asyncio.sleep(context.duration_s())
    await context.fleet.fail_store()
    context.in_use.discard("store")


@fault()
async def restore_store(context: FaultContext) -> None:
    """Let the store come back from an older copy; the operator writes again."""
    if "store" in context.in_use:
        return
    context.in_use.add("store")
    age_s = context.rng.uniform(0.2, LONGEST_S)
    away_s = context.rng.uniform(0.0, 1.0)
    await context.fleet.restore_store(age_s, away_s)
    await context.fleet.configure(changed_configuration(context.version))
    context.in_use.discard("store")


@fault()
async def fail_link(context: FaultContext) -> None:
    """Reset, silence or delay the link between one daemon and the store."""
    link = context.links[context.rng.randint(1, context.daemons)]
    link.faults.mode = context.rng.choice(["reset", "silent", "one_way", ""])
    link.faults.delay_s = context.rng.choice([0.0, 0.2])
    await asyncio.sleep(context.duration_s())
    link.faults.mode = ""
    link.faults.delay_s = 0.0


@fault(planned=True)
async def change_configuration(context: FaultContext) -> None:
    """Apply a new version that keeps the callers' routes and adds its own."""
    context.version += 1
    await context.fleet.configure(changed_configuration(context.version))


def changed_configuration(version: int) -> dict:
    """Return the callers' routes and those that only this version has."""
    document = configuration(version)
    extra = configuration(version, f"/v{version}/")["routes"]
    return {**document, "routes": document["routes"] + extra}
