"""Replicas that were chosen, and take no more requests when they would be sent to."""

import asyncio
from dataclasses import replace

import pytest

from marjoramstile.crashes.blocklist import BY_OPERATOR, BlockEntry
from marjoramstile.crashes.keys import keys_of
from marjoramstile.limits.coordinator import GRANTED
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.requests import (
    OutdatedChoiceError,
    RefusalReason,
    RequestRefusedError,
    SendOptions,
)
from marjoramstile.routes.table import RouteKind
from marjoramstile.utils import loop_time
from standins.replica_pool import ReplicaModel
from tests.routes.support import SIZE, RoutingCore, request, route
from tests.routes.test_generations import ONCE, STREAM, assert_nothing_held

PREFILL_S = 3.0
CALL = route(RouteKind.IDEMPOTENT)


def drain(core: RoutingCore, replica: Replica) -> None:
    """Let a replica's row say that it drains."""
    core.directory.put(replace(replica, state=ReplicaState.DRAINING), loop_time())


def go(core: RoutingCore, replica: Replica) -> None:
    """Delete a replica's row."""
    core.directory.remove(replica.id, keep_until=0.0, now=loop_time())


def start_again(core: RoutingCore, replica: Replica) -> None:
    """Let a replica's row be that of a new process under its id."""
    core.directory.put(replace(replica, started_at_ms=99), loop_time())


def change_service(core: RoutingCore, replica: Replica) -> None:
    """Let a replica's row name another service."""
    core.directory.put(replace(replica, service="other"), loop_time())


def change_stage(core: RoutingCore, replica: Replica) -> None:
    """Let a replica's row name another stage."""
    core.directory.put(replace(replica, stage=Stage.PREFILL), loop_time())


def answer_misdirected(core: RoutingCore, replica: Replica) -> None:
    """Record a 421 from a replica's address."""
    core.directory.record_misdirected(replica)


def say_leaving(core: RoutingCore, replica: Replica) -> None:
    """Record an answer that announces a replica's leaving."""
    core.directory._notices.record_leaving(replica)


def ask_for_pause(core: RoutingCore, replica: Replica) -> None:
    """Record an answer that asks for a pause."""
    core.directory._notices.record_pause(replica, "9", loop_time())


CHANGES = (
    drain,
    go,
    start_again,
    change_service,
    answer_misdirected,
    say_leaving,
    ask_for_pause,
)


def core_with_slow_prefill(decode: int = 3) -> RoutingCore:
    """Return a core whose prompts take PREFILL_S to be read."""
    core = RoutingCore(slack=0.0)
    core.add_engines(1, decode)
    speed = SIZE.prompt / PREFILL_S
    core.pool.replicas["e0"].model = ReplicaModel(prefill_tokens_per_s=speed)
    return core


async def change_chosen(core: RoutingCore, change) -> Replica:
    """Change the replica that holds a place while the prompt is read; return it."""
    await asyncio.sleep(PREFILL_S / 2)
    held = [fake for fake in core.pool.replicas.values() if fake.holds]
    assert len(held) == 1
    change(core, held[0].replica)
    return held[0].replica


@pytest.mark.parametrize("on_route", [STREAM, ONCE])
@pytest.mark.parametrize("change", [*CHANGES, change_stage])
async def test_a_stream_is_sent_to_a_replica_that_left_while_its_prompt_was_read(
    change, on_route
):
    """It arrived after the drain time and was cut off as the replica exited.

    It goes on at another replica, with the KV cache that was read for it, and without
    a retry of the budget, which has none: nothing was sent.
    """
    core = core_with_slow_prefill()
    running = asyncio.create_task(core.generate(request("q", on_route)))
    left = await change_chosen(core, change)
    caller = await running
    assert caller.complete
    assert core.pool.arrived_at[left.id] == []
    assert core.pool.runs["q"] == 1
    assert core.pool.prefilled_tokens == SIZE.prompt
    assert core.pool.decoded_prompt_tokens == 0
    await asyncio.sleep(3.0)
    assert_nothing_held(core)


@pytest.mark.parametrize("full", [True, False])
async def test_a_stream_is_sent_with_a_place_that_lapsed_while_its_prompt_was_read(
    full,
):
    """The replica refused it, or ran it in the memory of others; the prompt was lost.

    Its place is reserved again, or taken at another replica with the same KV cache.
    """
    core = core_with_slow_prefill()
    running = asyncio.create_task(core.generate(request("q", ONCE)))
    held = await change_chosen(core, lambda *_: None)
    await asyncio.sleep(PREFILL_S / 2 - 0.3)
    fake = core.pool.replicas[held.id]
    assert fake.used_tokens == 0
    fake.faults.full = full
    caller = await running
    assert caller.complete
    assert len(core.pool.arrived_at[held.id]) == (0 if full else 1)
    assert core.pool.runs["q"] == 1
    assert core.pool.prefilled_tokens == SIZE.prompt
    await asyncio.sleep(3.0)
    assert_nothing_held(core)


async def test_a_stream_without_another_replica_is_refused_and_has_not_run():
    core = core_with_slow_prefill(decode=1)
    running = asyncio.create_task(core.generate(request("q", ONCE)))
    await change_chosen(core, drain)
    with pytest.raises(RequestRefusedError):
        await running
    assert core.pool.runs["q"] == 0
    await asyncio.sleep(3.0)
    assert_nothing_held(core)


async def test_a_kv_cache_is_offered_to_another_replica_after_its_lifetime():
    """That replica refuses it then; it reads the prompt itself instead."""
    core = core_with_slow_prefill()
    core.engine = replace(core.engine, handle_ttl_s=0.05)
    running = asyncio.create_task(core.generate(request("q", STREAM)))
    left = await change_chosen(core, drain)
    caller = await running
    assert caller.complete
    assert core.pool.arrived_at[left.id] == []
    assert core.pool.runs["q"] == 1
    assert core.pool.decoded_prompt_tokens == SIZE.prompt
    await asyncio.sleep(3.0)
    assert_nothing_held(core)


def grant_after(core: RoutingCore, action) -> None:
    """Let permits take a second, in which ``action`` is called with the replica."""

    async def acquire(replica, request_id):
        await asyncio.sleep(0.5)
        if action is not None:
            action(replica)
        await asyncio.sleep(0.1)
        return GRANTED

    core.permits.acquire = acquire


def once(core: RoutingCore, change, changed: list[str]):
    """Return an action that changes the first replica it is called with."""

    def action(replica: Replica) -> None:
        if not changed:
            changed.append(replica.id)
            change(core, replica)

    return action


@pytest.mark.parametrize("change", CHANGES)
async def test_a_call_is_sent_to_a_replica_that_left_while_it_waited(change):
    core = RoutingCore(slack=0.0)
    core.add_plain(3)
    changed: list[str] = []
    grant_after(core, once(core, change, changed))
    reply = await core.calls.run(request("q", route(RouteKind.IDEMPOTENT, timeout_s=5)))
    assert reply.status == 200
    assert core.pool.arrived_at[changed[0]] == []
    assert core.balancer.stats(core.pool.replicas[changed[0]].replica).failures == 0


async def test_a_call_blocked_while_it_waited_is_sent():
    core = RoutingCore()
    core.add_plain(2)
    call = request("q", route(RouteKind.IDEMPOTENT, timeout_s=5))

    def block(replica: Replica) -> None:
        key = keys_of(call).all[0]
        entry = BlockEntry(call.service, key, 1, True, 0, 0.0, (), BY_OPERATOR)
        core.blocklist.merge(entry, loop_time())

    grant_after(core, block)
    with pytest.raises(RequestRefusedError) as refusal:
        await core.calls.run(call)
    assert refusal.value.reason == RefusalReason.QUARANTINED
    assert core.pool.runs["q"] == 0


@pytest.mark.parametrize("change", [drain, go, say_leaving])
async def test_a_prompt_is_sent_to_a_prefill_replica_that_left_while_it_waited(change):
    core = RoutingCore(slack=0.0)
    core.add_engines(3, 2)
    changed: list[str] = []
    grant_after(core, once(core, change, changed))
    sent = request("q", STREAM)
    handle = await core.generations._prefiller.prefill(
        sent, frozenset(), "none", "a", False
    )
    assert handle is not None
    assert core.pool.arrived_at[changed[0]] == []
    assert core.pool.arrivals["q"] == 1


@pytest.mark.parametrize("change", CHANGES)
async def test_each_way_to_send_asks_the_directory(change):
    """A path of its own that sends without asking would break the promise anew."""
    core = RoutingCore()
    core.add_engines(0, 1)
    replica = core.pool.replicas["d0"].replica
    change(core, replica)
    client, sent = core.client, request("q", STREAM)
    with pytest.raises(OutdatedChoiceError):
        await client.call(replica, sent, 1.0)
    with pytest.raises(OutdatedChoiceError):
        await client.prefill(replica, sent, 1.0)
    with pytest.raises(OutdatedChoiceError):
        await client.acquire_hold(replica, 100, 1.0)
    with pytest.raises(OutdatedChoiceError):
        async with client.stream(replica, sent, 1.0, SendOptions()):
            pass
    assert core.pool.arrivals["q"] == 0
