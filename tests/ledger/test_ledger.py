"""Tests of at-most-once execution through the ledger."""

import asyncio

import pytest

from bench.harness import running_harness
from marjoramstile.endpoints.errors import EndpointProblem
from marjoramstile.ledger.claims import ClaimState
from marjoramstile.results import Ran, ResultCode
from tests.support import booking, run_call


async def test_a_repeated_call_gets_the_recorded_answer():
    async with running_harness(daemons=3) as harness:
        first, second = harness.nodes["vm-1"], harness.nodes["vm-2"]
        answer = (await run_call(first, booking(first, "k"))).unwrap()
        await asyncio.sleep(1)
        again = (await run_call(second, booking(second, "k"))).unwrap()
        assert again == answer
        assert harness.plain.runs_of("k") == 1


async def test_a_large_answer_is_recorded_in_the_object_store():
    async with running_harness(daemons=2) as harness:
        first, second = harness.nodes["vm-1"], harness.nodes["vm-2"]
        key = "k" * 20_000
        answer = (await run_call(first, booking(first, key))).unwrap()
        await asyncio.sleep(1)
        assert (await run_call(second, booking(second, key))).unwrap() == answer
        assert len(harness.platform.objects) == 1


async def test_a_repeat_of_a_running_call_is_answered_in_progress():
    async with running_harness(daemons=2) as harness:
        first, second = harness.nodes["vm-1"], harness.nodes["vm-2"]
        harness.plain.duration_s = 2.0
        running = asyncio.create_task(run_call(first, booking(first, "k")))
        await asyncio.sleep(0.5)
        failure = (await run_call(second, booking(second, "k"))).unwrap_err()
        assert failure.code == ResultCode.IN_PROGRESS
        assert failure.ran == Ran.UNKNOWN
        assert (await running).is_ok()
        assert harness.plain.runs_of("k") == 1


async def test_concurrent_calls_through_many_daemons_run_once():
    async with running_harness(daemons=8) as harness:
        nodes = list(harness.nodes.values())
        answers = await asyncio.gather(*(run_call(n, booking(n, "k")) for n in nodes))
        assert harness.plain.runs_of("k") == 1
        assert sum(answer.is_ok() for answer in answers) == 1


async def test_the_same_key_in_two_workspaces_identifies_two_calls():
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        (await run_call(node, booking(node, "k"))).unwrap()
        (await run_call(node, booking(node, "k", workspace="second"))).unwrap()
        assert harness.plain.runs_of("k") == 2


async def test_a_key_reused_with_other_content_is_refused():
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        (await run_call(node, booking(node, "k"))).unwrap()
        other = await run_call(node, booking(node, "k", body=b"slot 8"))
        assert other.unwrap_err().code == ResultCode.KEY_REUSED


async def test_a_non_idempotent_call_without_a_key_is_refused():
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        failure = (await run_call(node, booking(node, ""))).unwrap_err()
        assert failure.code == ResultCode.KEY_REQUIRED
        assert not harness.plain.executions


async def test_a_call_during_a_store_outage_is_refused_and_not_run():
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        harness.platform.outage = True
        failure = (await run_call(node, booking(node, "k"))).unwrap_err()
        assert failure.code == ResultCode.STORE_UNAVAILABLE
        assert failure.ran == Ran.NO
        assert failure.retry_after_s > 0
        assert harness.plain.runs_of("k") == 0
        harness.platform.outage = False
        await asyncio.sleep(15)
        assert (await run_call(node, booking(node, "k"))).is_ok()


@pytest.mark.parametrize(("slow_s", "answered"), [(0.9, True), (1.1, False)])
async def test_a_slow_store_delays_a_call_or_refuses_it(slow_s, answered):
    async with running_harness(daemons=2) as harness:
        node = harness.nodes["vm-1"]
        harness.platform.slow_s = slow_s
        answer = await run_call(node, booking(node, "k"))
        assert answer.is_ok() == answered
        assert harness.plain.runs_of("k") == int(answered)


async def test_a_claim_whose_answer_is_lost_is_resolved_by_reading_the_row():
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        harness.platform.lose_answers = 1
        assert (await run_call(node, booking(node, "k"))).is_ok()
        assert harness.plain.runs_of("k") == 1


async def test_a_claim_that_takes_effect_after_the_call_was_refused_is_released():
    async with running_harness(daemons=2) as harness:
        first, second = harness.nodes["vm-1"], harness.nodes["vm-2"]
        harness.platform.late_s = 30.0
        harness.platform.late_writes = 3
        failure = (await run_call(first, booking(first, "k"))).unwrap_err()
        assert failure.ran == Ran.NO
        await asyncio.sleep(60)
        assert (await run_call(second, booking(second, "k"))).is_ok()
        assert harness.plain.runs_of("k") == 1


@pytest.mark.parametrize("lost", range(1, 4))
async def test_a_recorded_answer_is_written_again_until_confirmed(lost):
    async with running_harness(daemons=2) as harness:
        first, second = harness.nodes["vm-1"], harness.nodes["vm-2"]
        harness.plain.duration_s = 1.0
        running = asyncio.create_task(run_call(first, booking(first, "k")))
        await asyncio.sleep(0.5)
        harness.platform.lose_answers = lost
        answer = (await running).unwrap()
        await asyncio.sleep(20)
        assert first.ledger.unwritten_count == 0
        assert (await run_call(second, booking(second, "k"))).unwrap() == answer
        assert harness.plain.runs_of("k") == 1


async def test_a_store_outage_after_the_call_ran_loses_no_answer():
    async with running_harness(daemons=2) as harness:
        first, second = harness.nodes["vm-1"], harness.nodes["vm-2"]
        harness.plain.duration_s = 1.0
        running = asyncio.create_task(run_call(first, booking(first, "k")))
        await asyncio.sleep(0.5)
        harness.platform.outage = True
        answer = (await running).unwrap()
        await asyncio.sleep(600)
        harness.platform.outage = False
        await asyncio.sleep(30)
        assert (await run_call(second, booking(second, "k"))).unwrap() == answer
        assert harness.plain.runs_of("k") == 1


async def test_a_refused_connection_means_not_run_and_frees_the_key():
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        harness.plain.faults.extend([EndpointProblem.UNREACHABLE] * 2)
        failure = (await run_call(node, booking(node, "k"))).unwrap_err()
        assert failure.code == ResultCode.TARGET_UNREACHABLE
        assert failure.ran == Ran.NO
        await asyncio.sleep(1)
        assert (await run_call(node, booking(node, "k"))).is_ok()
        assert harness.plain.runs_of("k") == 1


@pytest.mark.parametrize("problem", [EndpointProblem.LOST, EndpointProblem.TIMEOUT])
async def test_a_call_whose_endpoint_answer_is_lost_is_never_sent_again(problem):
    async with running_harness(daemons=2) as harness:
        first, second = harness.nodes["vm-1"], harness.nodes["vm-2"]
        harness.plain.faults.append(problem)
        failure = (await run_call(first, booking(first, "k"))).unwrap_err()
        assert failure.code == ResultCode.OUTCOME_UNKNOWN
        assert failure.ran == Ran.UNKNOWN
        for node in (first, second):
            assert (await run_call(node, booking(node, "k"))).is_err()
        assert harness.plain.runs_of("k") == 1


@pytest.mark.parametrize("kill_after_s", [0.001, 0.0045, 0.02, 0.05])
async def test_a_daemon_killed_at_any_step_causes_no_second_run(kill_after_s):
    """Kill before the claim, after it, while the endpoint runs, after its answer."""
    async with running_harness(daemons=3) as harness:
        first, second = harness.nodes["vm-1"], harness.nodes["vm-2"]
        harness.plain.duration_s = 0.03
        running = asyncio.create_task(run_call(first, booking(first, "k")))
        await asyncio.sleep(kill_after_s)
        await harness.kill(1)
        running.cancel()
        await asyncio.sleep(15)
        before = harness.plain.runs_of("k")
        answer = await run_call(second, booking(second, "k"))
        assert harness.plain.runs_of("k") <= 1
        if answer.is_err():
            assert answer.unwrap_err().code == ResultCode.OUTCOME_UNKNOWN
        elif before == 0:
            assert harness.plain.runs_of("k") == 1


async def test_a_claimant_whose_caller_disconnects_still_records_the_answer():
    async with running_harness(daemons=2) as harness:
        first, second = harness.nodes["vm-1"], harness.nodes["vm-2"]
        harness.plain.duration_s = 0.5
        running = asyncio.create_task(run_call(first, booking(first, "k")))
        await asyncio.sleep(0.1)
        running.cancel()
        await asyncio.sleep(2)
        assert (await run_call(second, booking(second, "k"))).is_ok()
        assert harness.plain.runs_of("k") == 1


async def test_a_migration_step_during_a_call_runs_it_on_one_system_only():
    async with running_harness(daemons=2) as harness:
        first, second = harness.nodes["vm-1"], harness.nodes["vm-2"]
        harness.plain.duration_s = 2.0
        request = booking(first, "k", service="moving")
        running = asyncio.create_task(run_call(first, request))
        await asyncio.sleep(0.5)
        moved = await second.statement_executor.run("migrate moving to 100%", "test")
        assert moved.is_ok()
        repeated = await run_call(second, booking(second, "k", service="moving"))
        assert repeated.unwrap_err().code == ResultCode.IN_PROGRESS
        answer = (await running).unwrap()
        await asyncio.sleep(1)
        again = await run_call(second, booking(second, "k", service="moving"))
        assert again.unwrap() == answer
        assert b"10.0.7.3" in answer.body
        assert harness.plain.runs_of("k") == 1
        (await run_call(second, booking(second, "k2", service="moving"))).unwrap()
        assert harness.plain.executions["http://10.0.7.1:80", "k2"] == 1


async def test_concurrent_claims_share_transactions():
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        before = harness.platform.tables.writes
        calls = [run_call(node, booking(node, f"k{number}")) for number in range(50)]
        assert all(answer.is_ok() for answer in await asyncio.gather(*calls))
        await asyncio.sleep(0.5)
        assert harness.platform.tables.writes - before < 2 * 50 / 2


async def test_a_conflict_on_one_claim_does_not_reject_its_group():
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        (await run_call(node, booking(node, "old"))).unwrap()
        await asyncio.sleep(1)
        keys = ["first", "old", *(f"k{number}" for number in range(8))]
        calls = [run_call(node, booking(node, key)) for key in keys]
        assert all(answer.is_ok() for answer in await asyncio.gather(*calls))
        assert harness.plain.runs_of("old") == 1


async def test_the_claim_of_a_call_that_did_not_run_is_released():
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        harness.plain.faults.extend([EndpointProblem.UNREACHABLE] * 2)
        (await run_call(node, booking(node, "k"))).unwrap_err()
        await asyncio.sleep(1)
        claim = (await node.ledger.find("first/k")).unwrap()
        assert claim.state == ClaimState.RELEASED
