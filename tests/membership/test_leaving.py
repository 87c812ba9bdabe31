"""A leaving or drained endpoint gets no new work."""

import asyncio
from dataclasses import replace

from bench.harness import listed_vm, running_harness
from marjoramstile.ports.vms import ListedState, VMRole
from tests.support import booking, collect, completion, expected_text, run_call

LIST_REFRESH_S = 3
DECODE = "http://10.0.9.1:80"
PREFILL = "http://10.0.8.1:80"
PLAIN = "http://10.0.7.1:80"


def list_endpoint_as_leaving(harness, host: str) -> None:
    """Make the platform list an endpoint's VM as leaving."""
    vm = replace(
        listed_vm(99), host=host, state=ListedState.LEAVING, role=VMRole.ENDPOINT
    )
    harness.platform.vms = (*harness.platform.vms, vm)


async def run_completions(harness, prefix: str) -> None:
    """Run completions through every daemon and check their texts."""
    pairs = [
        (node, completion(node, f"{prefix}{name}{number}"))
        for name, node in harness.nodes.items()
        for number in range(6)
    ]
    answers = await asyncio.gather(*(collect(*pair) for pair in pairs))
    assert answers == [expected_text(request) for _, request in pairs]


async def test_engines_that_the_platform_lists_as_leaving_get_no_new_work():
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-1"]
        late = completion(node, "before", "essay", max_tokens=200)
        before = asyncio.create_task(collect(node, late))
        await asyncio.sleep(0.5)
        for host in ("10.0.9.1", "10.0.8.1"):
            list_endpoint_as_leaving(harness, host)
        await asyncio.sleep(LIST_REFRESH_S)
        running = asyncio.create_task(run_completions(harness, "after"))
        for _ in range(20):
            await asyncio.sleep(0.1)
            held = harness.engines.held_by("after")
            assert not [item for item in held if item.startswith((DECODE, PREFILL))]
        await running
        assert await before == expected_text(late)


async def test_a_drained_engine_gets_no_new_work():
    async with running_harness(daemons=3) as harness:
        executor = harness.nodes["vm-2"].statement_executor
        (await executor.run("drain endpoint decode-1", "test")).unwrap()
        running = asyncio.create_task(run_completions(harness, "after"))
        for _ in range(20):
            await asyncio.sleep(0.1)
            held = harness.engines.held_by("after")
            assert not [item for item in held if item.startswith(DECODE)]
        await running


async def test_a_plain_endpoint_that_leaves_gets_no_new_work():
    async with running_harness(daemons=2) as harness:
        list_endpoint_as_leaving(harness, "10.0.7.1")
        await asyncio.sleep(LIST_REFRESH_S)
        for number in range(20):
            node = harness.nodes[f"vm-{number % 2 + 1}"]
            (await run_call(node, booking(node, f"k{number}"))).unwrap()
        assert not any(url == PLAIN for url, _ in harness.plain.executions)
