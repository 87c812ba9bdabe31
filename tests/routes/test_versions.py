"""Streams go on only at replicas of the software version that began them."""

from dataclasses import replace

import pytest

from marjoramstile.routes.requests import RequestRefusedError, StreamBrokenError
from marjoramstile.routes.table import RouteKind
from tests.routes.support import EVENTS, Caller, RoutingCore, request, route

STREAM = route(RouteKind.STREAM, max_attempts=3)


def core_with(**versions: str) -> RoutingCore:
    """Return a core with a prefill replica, and decode replicas by version."""
    core = RoutingCore()
    core.add_engines(1, 0)
    for name, version in versions.items():
        core.add_decode(name, version)
    return core


def drain(core: RoutingCore, *names: str) -> None:
    """Remove replicas from the list; they still run."""
    for name in names:
        core.directory.remove(name, 0.0, 1.0)


async def break_off(core: RoutingCore, name: str, caller: Caller) -> None:
    """Run a stream that the replica ``name`` breaks off after some events."""
    others = [item for item in core.pool.replicas if item[0] == "d" and item != name]
    for other in others:
        core.pool.replicas[other].faults.full = True
    core.pool.replicas[name].faults.break_after_events = 9
    once = route(RouteKind.STREAM, max_attempts=1)
    with pytest.raises(StreamBrokenError):
        await core.generate(request("q", once, target="/p/x"), caller)
    for other in others:
        core.pool.replicas[other].faults.full = False


def take_up(caller: Caller, request_id: str = "up", **changes):
    """Return a client's attempt that takes up the stream of attempt q."""
    fields = {"target": "/p/x", "resumes": "q", "resume_after": caller.ids[-1]}
    return request(request_id, STREAM, **{**fields, **changes})


async def test_a_broken_stream_goes_on_at_another_version():
    core = core_with(d0="v1", d1="v2")
    core.pool.replicas["d0"].faults.break_after_events = 9
    core.pool.replicas["d1"].faults.full = True
    caller = Caller()

    async def free_the_other():
        await caller.started.wait()
        core.pool.replicas["d0"].faults.full = True
        core.pool.replicas["d1"].faults.full = False

    core.tasks.start(free_the_other(), "free the other")
    with pytest.raises(StreamBrokenError):
        await core.generate(request("q", STREAM), caller)
    assert core.pool.versions["q"] == ["v1"]


@pytest.mark.parametrize("another", [True, False])
async def test_a_stream_goes_on_at_a_replica_that_came_back_with_another_version(
    another,
):
    """Its row still names the old version while the store is away, as all others do."""
    names = ("d0", "d1", "d2") if another else ("d0", "d1")
    core = core_with(**dict.fromkeys(names, "v1"))
    core.pool.replicas["d0"].faults.break_after_events = 9
    for name in names[1:]:
        core.pool.replicas[name].faults.full = True
    caller = Caller()

    async def start_again():
        await caller.started.wait()
        restarted = core.pool.replicas["d1"]
        restarted.replica = replace(
            restarted.replica, version="v2", started_at_ms=99_000
        )
        core.pool.replicas["d0"].faults.full = True
        for name in names[1:]:
            core.pool.replicas[name].faults.full = False

    core.tasks.start(start_again(), "start again")
    if another:
        await core.generate(request("q", STREAM), caller)
        assert caller.ids == list(range(1, EVENTS + 1))
    else:
        with pytest.raises(StreamBrokenError):
            await core.generate(request("q", STREAM), caller)
    assert core.pool.versions["q"] == ["v1"]


async def test_a_broken_stream_does_not_go_on_at_its_own_version():
    core = core_with(d0="v1", d1="v2", d2="v1")
    for name in ("d1", "d2"):
        core.pool.replicas[name].faults.full = True
    core.pool.replicas["d0"].faults.break_after_events = 9
    caller = Caller()

    async def free_the_others():
        await caller.started.wait()
        core.pool.replicas["d0"].faults.full = True
        for name in ("d1", "d2"):
            core.pool.replicas[name].faults.full = False

    core.tasks.start(free_the_others(), "free the others")
    await core.generate(request("q", STREAM), caller)
    assert caller.complete
    assert caller.ids == list(range(1, EVENTS + 1))
    assert core.pool.versions["q"] == ["v1"]


async def test_a_taken_up_stream_goes_on_at_another_version():
    core = core_with(d0="v1", d1="v2")
    caller = Caller()
    await break_off(core, "d0", caller)
    drain(core, "d0")
    with pytest.raises(RequestRefusedError):
        await core.generate(take_up(caller))
    assert core.pool.runs["up"] == 0
