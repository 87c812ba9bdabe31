"""Tests of completions: complete answers, resumed streams, released engines."""

import asyncio
from contextlib import aclosing

import pytest

from bench.harness import Harness, running_harness
from marjoramstile.node import Node
from marjoramstile.requests.running import Phase
from marjoramstile.results import Ran, RequestFailedError, ResultCode
from tests.support import collect, completion, expected_text

DECODE_URLS = ("http://10.0.9.1:80", "http://10.0.9.2:80")
TTFT_TARGET_S = 0.63
LONG_ANSWER = 4000
ALL_SLOTS = 40
PREFILL_URLS = ("http://10.0.8.1:80", "http://10.0.8.2:80")


async def test_an_answer_is_complete_and_leaves_no_work_on_engines():
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-1"]
        request = completion(node)
        assert await collect(node, request) == expected_text(request)
        await asyncio.sleep(2)
        assert not harness.engines.held_by("r1")


async def test_answers_of_many_callers_do_not_mix():
    async with running_harness(daemons=3) as harness:
        requests = [
            (node, completion(node, f"{name}-{number}", prompt=f"{name} {number}"))
            for name, node in harness.nodes.items()
            for number in range(8)
        ]
        answers = await asyncio.gather(*(collect(*request) for request in requests))
        assert answers == [expected_text(request) for _, request in requests]


def phases(node: Node) -> dict[str, Phase]:
    """Return the phase of each running request."""
    return {entry.request_id: entry.phase for entry in node.running.entries}


def slots_in_use(harness: Harness) -> int:
    """Return the number of slots granted and queued for at all owners."""
    owners = [
        owner
        for node in harness.nodes.values()
        for owner in node.owners.slot_owners.values()
    ]
    return sum(owner.used_slots + owner.queued for owner in owners)


@pytest.mark.parametrize("phase", list(Phase))
async def test_a_caller_who_disconnects_in_any_phase_frees_both_engines(phase):
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-1"]
        fillers = ALL_SLOTS if phase == Phase.QUEUED else 0
        filling = [
            completion(node, f"f{n}", "essay", max_tokens=LONG_ANSWER)
            for n in range(fillers)
        ]
        tasks = [asyncio.create_task(collect(node, request)) for request in filling]
        await asyncio.sleep(1)
        request = completion(
            node, service="essay", prompt="long " * 5000, max_tokens=LONG_ANSWER
        )
        running = asyncio.create_task(collect(node, request))
        while phases(node).get("r1") != phase:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.002)
        assert phases(node)["r1"] == phase
        running.cancel()
        await asyncio.sleep(1.5)
        assert not harness.engines.held_by("r1")
        assert slots_in_use(harness) == fillers
        for task in tasks:
            task.cancel()


async def test_a_caller_who_disconnects_between_tokens_frees_both_engines():
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-1"]
        request = completion(node, max_tokens=LONG_ANSWER)
        running = node.completions.run(request, node.keeper.configuration)
        async with aclosing(running) as tokens:
            await anext(tokens)
        await asyncio.sleep(1.5)
        assert not harness.engines.held_by("r1")


async def test_an_unanswered_cancel_is_retried():
    async with running_harness(daemons=3) as harness:
        for engine in harness.engines.engines.values():
            engine.ignore_cancels = 3
        node = harness.nodes["vm-1"]
        request = completion(node, max_tokens=LONG_ANSWER)
        running = asyncio.create_task(collect(node, request))
        await asyncio.sleep(0.3)
        running.cancel()
        await asyncio.sleep(5)
        assert not harness.engines.held_by("r1")
        assert node.canceller.pending == 0


async def test_a_stream_is_resumed_without_a_lost_or_repeated_token():
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-1"]
        request = completion(node)
        running = asyncio.create_task(collect(node, request))
        await asyncio.sleep(0.5)
        busy = [url for url in DECODE_URLS if harness.engines.engines[url].work]
        harness.engines.engines[busy[0]].crash()
        assert await running == expected_text(request)


@pytest.mark.parametrize("offset", [-3, 1])
async def test_engines_that_repeat_or_skip_tokens_do_not_corrupt_answers(offset):
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-1"]
        harness.engines.engines[DECODE_URLS[0]].start_offset = offset
        requests = [completion(node, f"r{n}", "essay") for n in range(6)]
        running = [asyncio.create_task(collect(node, r)) for r in requests]
        await asyncio.sleep(0.5)
        harness.engines.engines[DECODE_URLS[1]].crash()
        await asyncio.sleep(0.2)
        harness.engines.engines[DECODE_URLS[1]].restart()
        answers = await asyncio.gather(*running)
        assert answers == [expected_text(request) for request in requests]


async def test_a_prefill_engine_lost_while_it_computes_is_replaced():
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-1"]
        request = completion(node, service="essay", prompt="long " * 4000)
        running = asyncio.create_task(collect(node, request))
        await asyncio.sleep(0.1)
        busy = [url for url in PREFILL_URLS if harness.engines.engines[url].work]
        harness.engines.engines[busy[0]].crash()
        assert await running == expected_text(request)


async def test_a_stalled_transfer_is_retried_on_another_engine_from_the_same_export():
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-1"]
        harness.engines.engines[DECODE_URLS[0]].stalled = True
        requests = [completion(node, f"r{number}") for number in range(6)]
        answers = await asyncio.gather(*(collect(node, r) for r in requests))
        assert answers == [expected_text(request) for request in requests]
        assert not harness.engines.waste.wasted


async def test_an_answer_survives_an_outage_of_every_decode_engine():
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-1"]
        request = completion(node, service="essay")
        running = asyncio.create_task(collect(node, request))
        await asyncio.sleep(0.5)
        for url in DECODE_URLS:
            harness.engines.engines[url].crash()
        await asyncio.sleep(10)
        for url in DECODE_URLS:
            harness.engines.engines[url].restart()
        assert await running == expected_text(request)


async def test_in_time_work_is_refused_within_its_target_with_a_retry_time():
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-1"]
        loop = asyncio.get_running_loop()
        fillers = [
            asyncio.create_task(collect(node, completion(node, f"f{n}", "essay")))
            for n in range(60)
        ]
        await asyncio.sleep(0.4)
        started = loop.time()
        with pytest.raises(RequestFailedError) as raised:
            await collect(node, completion(node, "late-comer"))
        failure = raised.value.failure
        assert failure.code == ResultCode.OVERLOADED
        assert failure.retry_after_s > 0
        assert loop.time() - started <= TTFT_TARGET_S
        await asyncio.gather(*fillers)


async def test_a_request_that_has_run_is_never_reported_as_not_run():
    async with running_harness(daemons=2) as harness:
        node = harness.nodes["vm-1"]
        request = completion(node, prompt="crashes all")
        harness.engines.crash_prompts.add(request.prompt)
        with pytest.raises(RequestFailedError) as raised:
            await collect(node, request)
        assert sum(engine.instance for engine in harness.engines.engines.values())
        assert raised.value.failure.ran != Ran.NO


async def test_the_slots_of_a_killed_daemon_are_freed():
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-2"]
        running = [
            asyncio.create_task(
                collect(node, completion(node, f"k{n}", "essay", max_tokens=4000))
            )
            for n in range(10)
        ]
        await asyncio.sleep(1)
        assert len(harness.engines.held_by("k")) == 10
        await harness.kill(2)
        harness.engines.engines[DECODE_URLS[0]].ignore_cancels = 2
        for task in running:
            task.cancel()
        await asyncio.sleep(15)
        assert not harness.engines.held_by("k")
