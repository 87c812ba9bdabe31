"""Tests of requests that crash engines."""

import asyncio

import pytest

from bench.harness import Harness, running_harness
from marjoramstile.configuration.documents import Limits
from marjoramstile.results import RequestFailedError, ResultCode
from tests.support import PROMPT, collect, completion, expected_text

CRASHING_PROMPT = "a request that crashes engines " * 4
CRASH_LIMIT = Limits().crash_limit


def lost_engines(harness: Harness) -> int:
    """Return how many engine processes have exited."""
    return sum(engine.instance for engine in harness.engines.engines.values())


async def send(
    node, request_id: str, prompt: str = CRASHING_PROMPT
) -> ResultCode | str:
    """Send a request of class late; return its text or the code of its failure."""
    request = completion(node, request_id, service="essay", prompt=prompt)
    try:
        return await collect(node, request)
    except RequestFailedError as error:
        return error.failure.code


def restart_engines(harness: Harness) -> None:
    """Restart all engines that are down."""
    for engine in harness.engines.engines.values():
        engine.restart()


@pytest.mark.parametrize("outage", [False, True])
async def test_a_crashing_request_sent_again_loses_no_more_engines(outage):
    async with running_harness(daemons=3, decodes=6) as harness:
        harness.engines.crash_prompts.add(CRASHING_PROMPT)
        harness.platform.outage = outage
        for attempt in range(6):
            node = harness.nodes[f"vm-{attempt % 3 + 1}"]
            assert await send(node, f"p{attempt}") == ResultCode.QUARANTINED
            restart_engines(harness)
            await asyncio.sleep(2)
        assert lost_engines(harness) <= CRASH_LIMIT


async def test_requests_beside_a_crashing_one_finish_and_are_cleared():
    async with running_harness(daemons=3, decodes=4) as harness:
        harness.engines.crash_prompts.add(CRASHING_PROMPT)
        nodes = list(harness.nodes.values())
        prompts = [f"{PROMPT} {number}" for number in range(24)]
        other_requests = [
            asyncio.create_task(send(nodes[number % 3], f"n{number}", prompt))
            for number, prompt in enumerate(prompts)
        ]
        await asyncio.sleep(0.5)
        assert await send(nodes[0], "p") == ResultCode.QUARANTINED
        restart_engines(harness)
        answers = await asyncio.gather(*other_requests)
        for number, prompt in enumerate(prompts):
            request = completion(nodes[0], prompt=prompt)
            assert answers[number] == expected_text(request)
        assert lost_engines(harness) <= CRASH_LIMIT
        await asyncio.sleep(2)
        assert all(len(node.quarantine.strikes) <= 1 for node in nodes)


async def test_the_quarantine_survives_a_restart_of_all_daemons():
    async with running_harness(daemons=2, decodes=4) as harness:
        harness.engines.crash_prompts.add(CRASHING_PROMPT)
        assert await send(harness.nodes["vm-1"], "p") == ResultCode.QUARANTINED
        restart_engines(harness)
        await asyncio.sleep(40)
        for number in (1, 2):
            await harness.kill(number)
        node = await harness.start(1)
        await asyncio.sleep(5)
        assert await send(node, "again") == ResultCode.QUARANTINED
        assert lost_engines(harness) <= CRASH_LIMIT


async def test_a_broken_connection_is_not_counted_as_a_crash():
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        request = completion(node, service="essay")
        running = asyncio.create_task(collect(node, request))
        await asyncio.sleep(0.5)
        for engine in harness.engines.engines.values():
            for work_id in list(engine.work):
                engine.free(work_id)
        assert await running == expected_text(request)
        assert node.quarantine.strikes == {}


async def test_a_long_answer_survives_more_engine_losses_than_the_limit():
    async with running_harness(daemons=2, decodes=2) as harness:
        node = harness.nodes["vm-1"]
        request = completion(node, service="essay", max_tokens=2000)
        running = asyncio.create_task(collect(node, request))
        for _ in range(CRASH_LIMIT + 2):
            await asyncio.sleep(4)
            busy = [e for e in harness.engines.engines.values() if e.work]
            busy[0].crash()
            await asyncio.sleep(2)
            busy[0].restart()
        assert await running == expected_text(request)
