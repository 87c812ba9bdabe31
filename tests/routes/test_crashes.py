"""Requests that crash replicas are refused; others on the same replicas are not."""

import asyncio

import pytest

from marjoramstile.crashes.evidence import CONTENT_CRASHES
from marjoramstile.routes.requests import OutcomeUnknownError, RequestRefusedError
from marjoramstile.routes.table import RouteKind
from tests.routes.support import RoutingCore, request, route
from tests.support import captured_logs

CRASHING_BODY = b"the one that crashes"
STREAM = route(RouteKind.STREAM)
CALL = route(RouteKind.IDEMPOTENT)


def core_with_crash_fault() -> RoutingCore:
    """Return a core whose replicas all crash on a request with CRASHING_BODY."""
    core = RoutingCore()
    core.add_plain(4)
    core.add_engines(1, 4)
    set_crash_fault(core)
    return core


def set_crash_fault(core: RoutingCore) -> None:
    """Set the crash fault on all replicas, including restarted ones."""
    for fake in core.pool.replicas.values():
        fake.faults.deadly_body = CRASHING_BODY


async def restart_crashed(core: RoutingCore) -> None:
    """Restart crashed replicas after the daemon has had time to detect the crash."""
    await asyncio.sleep(0.5)
    for name, fake in list(core.pool.replicas.items()):
        if fake.faults.refuse:
            core.directory.put(core.pool.restart(name))
    set_crash_fault(core)


def counted_crashes(lines) -> list[str]:
    """Return the log lines that count a crash against a request."""
    text = lines.getvalue()
    return [line for line in text.splitlines() if "event=crash_counted" in line]


def crashing_request(on_route, number: int):
    """Return one more copy of the request that crashes replicas."""
    return request(f"q{number}", on_route, target="/p/x", body=CRASHING_BODY)


async def send(core: RoutingCore, sent) -> None:
    """Send a request that crashes every replica that runs it."""
    run = core.calls.run(sent) if sent.size is None else core.generate(sent)
    with pytest.raises(OutcomeUnknownError):
        await run


@pytest.mark.parametrize("on_route", [CALL, STREAM], ids=["call", "stream"])
async def test_a_content_is_refused_after_a_few_crashes(on_route):
    core = core_with_crash_fault()
    crashed = 0
    for number in range(6):
        sent = crashing_request(on_route, number)
        if core.crashes.is_blocked(sent):
            break
        await send(core, sent)
        await restart_crashed(core)
        assert core.pool.runs[sent.id] <= on_route.max_attempts
        crashed += core.pool.runs[sent.id]
    assert core.crashes.is_blocked(crashing_request(on_route, 9))
    assert crashed <= CONTENT_CRASHES + on_route.max_attempts - 1
    other = request("other", on_route, target="/p/x", body=b"another")
    assert not core.crashes.is_blocked(other)


async def test_a_lost_answer_of_a_live_replica_adds_no_strike():
    core = core_with_crash_fault()
    for number in range(4):
        core.pool.replicas[f"p{number}"].faults.lose_answers = 9
    once = route(RouteKind.NON_IDEMPOTENT, max_attempts=1)
    with captured_logs() as lines:
        for number in range(6):
            with pytest.raises(OutcomeUnknownError):
                await core.calls.run(request(f"q{number}", once, target="/p/x"))
            await asyncio.sleep(0.1)
    assert core.blocklist.is_empty
    assert counted_crashes(lines) == []


async def test_streams_beside_a_crash_finish_elsewhere_and_are_not_blocked():
    core = core_with_crash_fault()
    retried = route(RouteKind.STREAM, max_attempts=3)
    neighbours = [
        asyncio.create_task(core.generate(request(f"n{number}", retried)))
        for number in range(6)
    ]
    await asyncio.sleep(1.0)
    with captured_logs() as lines:
        await send(core, crashing_request(STREAM, 0))
        for caller in await asyncio.gather(*neighbours):
            assert caller.complete
        await asyncio.sleep(0.5)
    assert len(counted_crashes(lines)) == 1
    assert not any(core.crashes.is_blocked(request(f"n{n}", STREAM)) for n in range(6))


async def test_a_part_that_is_blocked_during_a_prefill_is_not_sent_to_decode():
    core = RoutingCore()
    core.add_engines(1, 2)
    deadly = request("q", STREAM, shared_parts=("first", "dead"))
    running = asyncio.create_task(core.generate(deadly))
    await asyncio.sleep(0.05)
    core.sharing.set_block(deadly.service, "part/dead", blocked=True)
    with pytest.raises(RequestRefusedError):
        await running
    assert core.pool.prefilled_tokens > 0
    assert core.pool.runs["q"] == 0


async def test_requests_that_share_a_deadly_part_crash_replica_after_replica():
    core = RoutingCore()
    core.add_engines(1, 4)
    refused = 0
    for number in range(12):
        for fake in core.pool.replicas.values():
            fake.faults.deadly_part = "dead"
        deadly = request(f"q{number}", STREAM, shared_parts=("first", "dead"))
        if core.crashes.is_blocked(deadly):
            refused += 1
            continue
        await send(core, deadly)
        await restart_crashed(core)
    assert len(core.pool.crashes) <= 5
    assert refused >= 7
    sound = request("sound", STREAM, shared_parts=("first", "other"))
    assert not core.crashes.is_blocked(sound)
    assert (await core.generate(sound)).complete
