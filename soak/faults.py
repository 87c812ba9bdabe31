"""Faults of the soak, registered by a decorator under their function names.

A seed chooses among the sorted names, so a renamed fault changes what a seed does.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from demo.published_fleet import (
    PLAIN_SERVICE,
    STREAM_SERVICE,
    PublishedFleet,
    configuration,
)
from soak.proxy import LinkProxy

DECODE = 2
PLAIN = 2
LONGEST_S = 2.5


@dataclass
class Site:
    """The fleet that faults act on, and the processes that a fault is using."""

    fleet: PublishedFleet
    daemons: int
    links: dict[int, LinkProxy]
    rng: random.Random
    version: int = 1
    busy: set[str] = field(default_factory=set)

    def duration_s(self) -> float:
        """Return how long a fault lasts."""
        return self.rng.uniform(0.2, LONGEST_S)


Fault = Callable[[Site], Awaitable[None]]
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


async def _with_process(site: Site, name: str, act, restart) -> None:
    """Act on a process unless another fault is using it, then restore it."""
    if name in site.busy:
        return
    site.busy.add(name)
    try:
        await act(site.fleet.get(name).process)
        await restart()
    finally:
        site.busy.discard(name)


async def _end(process, number: signal.Signals) -> None:
    process.send_signal(number)
    while process.poll() is None:
        await asyncio.sleep(0.02)


@fault()
async def kill_daemon(site: Site) -> None:
    """Kill a daemon and start it again after a while."""
    number = site.rng.randint(1, site.daemons)

    async def restart() -> None:
        await asyncio.sleep(site.duration_s())
        site.fleet.launch_router(number)

    await _with_process(
        site, f"router-{number}", lambda p: _end(p, signal.SIGKILL), restart
    )


@fault(planned=True)
async def stop_daemon(site: Site) -> None:
    """Stop a daemon with SIGTERM and start it again."""
    number = site.rng.randint(1, site.daemons)

    async def restart() -> None:
        site.fleet.launch_router(number)
        await site.fleet.wait_for_ready(number)

    await _with_process(
        site, f"router-{number}", lambda p: _end(p, signal.SIGTERM), restart
    )


@fault()
async def pause_daemon(site: Site) -> None:
    """Suspend a daemon's process for a while."""
    number = site.rng.randint(1, site.daemons)

    async def pause(process) -> None:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(site.duration_s())
        process.send_signal(signal.SIGCONT)

    await _with_process(site, f"router-{number}", pause, lambda: asyncio.sleep(0))


@fault()
async def kill_replica(site: Site) -> None:
    """Kill a decode or plain replica and start it again after a while."""
    kind, count, service, stage = site.rng.choice(
        [("decode", DECODE, STREAM_SERVICE, "decode"), ("service", PLAIN, "", "")]
    )
    number = site.rng.randint(1, count)

    async def restart() -> None:
        await asyncio.sleep(site.duration_s())
        site.fleet.launch_replica(kind, number, service or PLAIN_SERVICE, stage)

    await _with_process(
        site, f"{kind}-{number}", lambda p: _end(p, signal.SIGKILL), restart
    )


@fault()
async def fail_replica(site: Site) -> None:
    """Let a plain replica lose answers, return errors or refuse for a while."""
    name = f"service-{site.rng.randint(1, PLAIN)}"
    faults = site.rng.choice([{"lose_answers": 3}, {"errors": 3}, {"full": True}])

    async def act(process) -> None:
        await site.fleet.fail_replica(name, **faults)
        await asyncio.sleep(site.duration_s())
        await site.fleet.fail_replica(name)

    await _with_process(site, name, act, lambda: asyncio.sleep(0))


@fault()
async def pause_replica(site: Site) -> None:
    """Let a plain replica ask for a pause, or announce leaving and restart."""
    number = site.rng.randint(1, PLAIN)
    name = f"service-{number}"
    leaves = site.rng.random() < 0.5

    async def act(process) -> None:
        pause_s = 0.0 if leaves else site.duration_s()
        await site.fleet.fail_replica(name, leaving=leaves, pause_s=pause_s)
        await asyncio.sleep(pause_s or site.duration_s())
        if leaves:
            await _end(process, signal.SIGKILL)
        else:
            await site.fleet.fail_replica(name)

    async def restart() -> None:
        if leaves:
            site.fleet.launch_replica("service", number, PLAIN_SERVICE, "")

    await _with_process(site, name, act, restart)


@fault()
async def break_stream(site: Site) -> None:
    """Let a decode replica abort a stream after a few events."""
    name = f"decode-{site.rng.randint(1, DECODE)}"

    async def act(process) -> None:
        await site.fleet.fail_replica(name, break_after_events=site.rng.randint(0, 9))

    await _with_process(site, name, act, lambda: asyncio.sleep(0))


@fault()
async def fail_store(site: Site) -> None:
    """Let the store refuse, hang, slow down, or lose answers or history."""
    faults = site.rng.choice(
        [
            {"mode": "busy"},
            {"mode": "silent"},
            {"mode": "reset"},
            {"slow_s": 0.3},
            {"lose_answers": 2},
            {"forget": True},
        ]
    )
    if "store" in site.busy:
        return
    site.busy.add("store")
    await site.fleet.fail_store(**faults)
    await asyncio.sleep(site.duration_s())
    await site.fleet.fail_store()
    site.busy.discard("store")


@fault()
async def fail_link(site: Site) -> None:
    """Reset, silence or delay the link between one daemon and the store."""
    link = site.links[site.rng.randint(1, site.daemons)]
    link.faults.mode = site.rng.choice(["reset", "silent", "one_way", ""])
    link.faults.delay_s = site.rng.choice([0.0, 0.2])
    await asyncio.sleep(site.duration_s())
    link.faults.mode = ""
    link.faults.delay_s = 0.0


@fault(planned=True)
async def change_configuration(site: Site) -> None:
    """Apply a new version that keeps the callers' routes and adds its own."""
    site.version += 1
    await site.fleet.configure(changed_configuration(site.version))


def changed_configuration(version: int) -> dict:
    """Return the callers' routes and those that only this version has."""
    document = configuration(version)
    extra = configuration(version, f"/v{version}/")["routes"]
    return {**document, "routes": document["routes"] + extra}
