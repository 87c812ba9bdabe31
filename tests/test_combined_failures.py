"""Tests of simultaneous failures."""

import asyncio

from bench.harness import running_harness
from marjoramstile.entry.addresses import choose_addresses
from marjoramstile.results import ResultCode
from tests.support import booking, collect, completion, expected_text, run_call


async def test_an_outage_and_a_killed_claimant_never_lead_to_a_second_run():
    async with running_harness(daemons=3) as harness:
        first, second = harness.nodes["vm-1"], harness.nodes["vm-2"]
        harness.plain.duration_s = 0.2
        running = asyncio.create_task(run_call(first, booking(first, "k")))
        await asyncio.sleep(0.1)
        harness.platform.outage = True
        assert (await running).is_ok()
        await harness.kill(1)
        refused = (await run_call(second, booking(second, "k"))).unwrap_err()
        assert refused.code == ResultCode.STORE_UNAVAILABLE
        await asyncio.sleep(60)
        harness.platform.outage = False
        await asyncio.sleep(30)
        unknown = (await run_call(second, booking(second, "k"))).unwrap_err()
        assert unknown.code == ResultCode.OUTCOME_UNKNOWN
        assert harness.plain.runs_of("k") == 1


async def test_an_outage_and_a_killed_daemon_leave_no_engine_memory_held():
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-2"]
        running = [
            asyncio.create_task(
                collect(node, completion(node, f"k{n}", "essay", max_tokens=4000))
            )
            for n in range(4)
        ]
        await asyncio.sleep(1)
        harness.platform.outage = True
        await harness.kill(2)
        for task in running:
            task.cancel()
        await asyncio.sleep(20)
        assert not harness.engines.held_by("k")


async def test_a_partitioned_data_centre_and_a_planned_stop_interrupt_no_answer():
    async with running_harness(daemons=6) as harness:
        leaving, other = harness.nodes["vm-2"], harness.nodes["vm-1"]
        requests = [completion(leaving, f"r{n}", max_tokens=300) for n in range(8)]
        running = [asyncio.create_task(collect(leaving, r)) for r in requests]
        await asyncio.sleep(1)
        harness.network.separate({"vm-3", "vm-6"}, {"vm-1", "vm-2", "vm-4", "vm-5"})
        leaving.view.leave(asyncio.get_running_loop().time())
        await leaving.prober.announce()
        answer = choose_addresses(
            other.view.peers, "centre-a", "region-1", "caller", 8100, 5.0
        )
        assert "10.0.1.2:8100" not in answer.addresses
        answers = await asyncio.gather(*running)
        assert answers == [expected_text(request) for request in requests]
        late = completion(other, "late", "essay")
        assert await collect(other, late) == expected_text(late)


async def test_an_engine_lost_during_a_transfer_in_an_outage_loses_no_answer():
    async with running_harness(daemons=3, decodes=3) as harness:
        harness.platform.outage = True
        node = harness.nodes["vm-1"]
        requests = [completion(node, f"r{n}", "essay") for n in range(12)]
        running = [asyncio.create_task(collect(node, r)) for r in requests]
        await asyncio.sleep(0.03)
        harness.engines.engines["http://10.0.9.1:80"].crash()
        harness.engines.engines["http://10.0.9.2:80"].stalled = True
        answers = await asyncio.gather(*running)
        assert answers == [expected_text(request) for request in requests]
