"""Tests of configuration changes under failure."""

import asyncio

import pytest

from bench.harness import Harness, running_harness
from marjoramstile.configuration.edits import Edit
from marjoramstile.configuration.freshness import Standing
from marjoramstile.node import Node
from marjoramstile.results import ResultCode

IN_FORCE_LIMIT_S = 11.0
SHARE_EDIT = Edit("workspaces", "first", {"share": 7})
OTHER_EDIT = Edit("workspaces", "first", {"share": 8})


def shares(harness: Harness) -> list[int]:
    """Return the workspace's share on every daemon."""
    return [share(node) for node in harness.nodes.values()]


def share(node: Node) -> int:
    """Return the workspace's share on a daemon."""
    return node.keeper.configuration.workspaces["first"].share


def serves(node: Node) -> bool:
    """Return whether a daemon serves the workspace now."""
    return node.keeper.refusal("desk", "first") is None


def assert_none_serves_old(harness: Harness, new_share: int) -> None:
    """Check that each daemon has the new share in force or refuses."""
    for node in harness.nodes.values():
        assert share(node) == new_share or not serves(node)


async def change(node: Node, edit: Edit):
    """Submit a change to a daemon and return the result."""
    return await node.coordinator.change([edit], "test")


async def test_an_accepted_change_is_in_force_everywhere():
    async with running_harness(daemons=8) as harness:
        accepted = (await change(harness.nodes["vm-3"], SHARE_EDIT)).unwrap()
        assert accepted.member_count == 8
        assert shares(harness) == [7] * 8


async def test_invalid_edits_are_refused_with_their_path():
    async with running_harness(daemons=2) as harness:
        edit = Edit("pools", "prefill", {"endpoints": ["nobody"]})
        failure = (await change(harness.nodes["vm-1"], edit)).unwrap_err()
        assert failure.code == ResultCode.BAD_CONFIGURATION
        assert "pools.prefill.endpoints" in failure.message


async def test_one_of_two_concurrent_changes_wins_and_the_error_names_its_proposer():
    async with running_harness(daemons=8) as harness:
        answers = await asyncio.gather(
            change(harness.nodes["vm-1"], SHARE_EDIT),
            change(harness.nodes["vm-8"], OTHER_EDIT),
        )
        assert sum(answer.is_ok() for answer in answers) == 1
        failure = next(a.unwrap_err() for a in answers if a.is_err())
        assert failure.code == ResultCode.CHANGE_LOST_RACE
        assert "vm-" in failure.message
        assert len(set(shares(harness))) == 1


async def test_a_killed_member_delays_a_change_no_longer_than_the_limit():
    async with running_harness(daemons=5) as harness:
        loop = asyncio.get_running_loop()
        await harness.kill(4)
        started = loop.time()
        (await change(harness.nodes["vm-1"], SHARE_EDIT)).unwrap()
        assert loop.time() - started <= IN_FORCE_LIMIT_S
        assert shares(harness) == [7] * 4


async def test_an_isolated_member_refuses_before_the_change_commits():
    async with running_harness(daemons=5) as harness:
        others = {f"vm-{number}" for number in range(1, 5)}
        harness.network.separate({"vm-5"}, others)
        harness.platform.cut.add("vm-5")
        (await change(harness.nodes["vm-1"], SHARE_EDIT)).unwrap()
        assert_none_serves_old(harness, 7)
        assert not serves(harness.nodes["vm-5"])
        harness.network.heal()
        harness.platform.cut.clear()
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        assert shares(harness) == [7] * 5
        assert all(serves(node) for node in harness.nodes.values())


async def test_a_minority_of_members_can_not_commit_a_change():
    async with running_harness(daemons=5) as harness:
        minority = {"vm-1", "vm-2"}
        harness.network.separate(minority, {"vm-3", "vm-4", "vm-5"})
        failure = (await change(harness.nodes["vm-1"], SHARE_EDIT)).unwrap_err()
        assert failure.code == ResultCode.CHANGE_REFUSED
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        assert shares(harness) == [1] * 5
        assert all(serves(node) for node in harness.nodes.values())


async def test_a_member_cut_off_from_the_store_learns_a_change_from_its_peers():
    async with running_harness(daemons=5) as harness:
        harness.platform.cut.add("vm-5")
        await asyncio.sleep(20)
        assert serves(harness.nodes["vm-5"])
        (await change(harness.nodes["vm-1"], SHARE_EDIT)).unwrap()
        assert shares(harness) == [7] * 5


async def test_all_daemons_serve_through_a_store_outage_of_an_hour():
    async with running_harness(daemons=5) as harness:
        harness.platform.outage = True
        for _ in range(60):
            await asyncio.sleep(60)
            assert all(serves(node) for node in harness.nodes.values())
        failure = (await change(harness.nodes["vm-1"], SHARE_EDIT)).unwrap_err()
        assert failure.code == ResultCode.STORE_UNAVAILABLE
        assert failure.retry_after_s > 0


async def test_a_member_isolated_during_a_store_outage_refuses():
    async with running_harness(daemons=5) as harness:
        harness.platform.outage = True
        others = {f"vm-{number}" for number in range(1, 5)}
        harness.network.separate({"vm-5"}, others)
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        assert harness.nodes["vm-5"].keeper.standing == Standing.CUT_OFF
        assert all(serves(harness.nodes[name]) for name in others)


@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_lost_answers_of_the_store_are_resolved(lost):
    async with running_harness(daemons=3) as harness:
        harness.platform.lose_answers = lost
        answer = await change(harness.nodes["vm-1"], SHARE_EDIT)
        assert answer.is_ok()
        assert shares(harness) == [7] * 3


async def test_a_store_lost_after_the_commit_does_not_revert_the_change():
    async with running_harness(daemons=3) as harness:
        started = asyncio.get_running_loop().time()
        running = asyncio.create_task(change(harness.nodes["vm-1"], SHARE_EDIT))
        while harness.platform.tables.rows.get(("configuration", "staged")) is None:
            await asyncio.sleep(0.0005)
        harness.platform.lose_answers = 1
        while harness.platform.lose_answers:
            await asyncio.sleep(0.0005)
        harness.platform.outage = True
        failure = (await running).unwrap_err()
        assert failure.code == ResultCode.CHANGE_OUTCOME_UNKNOWN
        elapsed_s = asyncio.get_running_loop().time() - started
        await asyncio.sleep(IN_FORCE_LIMIT_S - elapsed_s)
        assert_none_serves_old(harness, 7)
        harness.platform.outage = False
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        assert shares(harness) == [7] * 3
        assert all(serves(node) for node in harness.nodes.values())


@pytest.mark.parametrize("kill_after_s", [0.003, 0.006, 0.008, 0.0095, 0.011, 0.5])
async def test_a_coordinator_killed_at_any_step_leaves_one_version(kill_after_s):
    async with running_harness(daemons=4) as harness:
        running = asyncio.create_task(change(harness.nodes["vm-1"], SHARE_EDIT))
        await asyncio.sleep(kill_after_s)
        await harness.kill(1)
        running.cancel()
        await asyncio.sleep(30)
        assert len(set(shares(harness))) == 1
        assert all(serves(node) for node in harness.nodes.values())
        again = await change(harness.nodes["vm-2"], OTHER_EDIT)
        assert again.is_ok()
        assert shares(harness) == [8] * 3


async def test_a_slow_store_delays_a_change_but_fences_nobody():
    async with running_harness(daemons=5) as harness:
        harness.platform.slow_s = 0.9
        for _ in range(30):
            await asyncio.sleep(1)
            assert all(serves(node) for node in harness.nodes.values())
        (await change(harness.nodes["vm-1"], SHARE_EDIT)).unwrap()
        assert shares(harness) == [7] * 5


async def test_a_member_frozen_during_changes_never_serves_an_old_version_after():
    async with running_harness(daemons=5) as harness:
        harness.network.freeze("vm-5")
        harness.platform.cut.add("vm-5")
        (await change(harness.nodes["vm-1"], SHARE_EDIT)).unwrap()
        (await change(harness.nodes["vm-2"], OTHER_EDIT)).unwrap()
        harness.network.thaw("vm-5")
        await asyncio.sleep(0.01)
        assert_none_serves_old(harness, 8)
        harness.platform.cut.clear()
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        assert shares(harness) == [8] * 5


async def test_a_delayed_outcome_of_an_older_change_is_ignored():
    async with running_harness(daemons=3) as harness:
        node = harness.nodes["vm-3"]
        accepted = (await change(harness.nodes["vm-1"], SHARE_EDIT)).unwrap()
        (await change(harness.nodes["vm-1"], OTHER_EDIT)).unwrap()
        node.keeper.on_finish(accepted.change_id, committed=True)
        node.keeper.on_finish(accepted.change_id, committed=False)
        assert share(node) == 8


async def test_a_member_restarted_with_empty_memory_reads_the_version_in_force():
    async with running_harness(daemons=3) as harness:
        (await change(harness.nodes["vm-1"], SHARE_EDIT)).unwrap()
        await harness.kill(3)
        node = await harness.start(3)
        assert share(node) == 7
        assert serves(node)


async def test_a_member_that_joins_during_a_change_does_not_miss_it():
    async with running_harness(daemons=3) as harness:
        harness.list_vms(4)
        running = asyncio.create_task(change(harness.nodes["vm-1"], SHARE_EDIT))
        await asyncio.sleep(0.006)
        node = await harness.start(4)
        (await running).unwrap()
        assert share(node) == 7 or not serves(node)
        await asyncio.sleep(IN_FORCE_LIMIT_S)
        assert share(node) == 7


async def test_snapshots_bound_the_reads_of_a_restart():
    async with running_harness(daemons=2) as harness:
        for number in range(40):
            edit = Edit("workspaces", "first", {"share": number + 1})
            (await change(harness.nodes["vm-1"], edit)).unwrap()
        before = harness.platform.tables.reads
        await harness.kill(2)
        node = await harness.start(2)
        assert share(node) == 40
        assert harness.platform.tables.reads - before < 40


async def test_concurrent_changes_with_a_frozen_member_leave_one_version():
    async with running_harness(daemons=5) as harness:
        harness.network.freeze("vm-3")
        answers = await asyncio.gather(
            change(harness.nodes["vm-1"], SHARE_EDIT),
            change(harness.nodes["vm-5"], OTHER_EDIT),
        )
        assert sum(answer.is_ok() for answer in answers) == 1
        winner = 7 if answers[0].is_ok() else 8
        harness.network.thaw("vm-3")
        await asyncio.sleep(30)
        assert shares(harness) == [winner] * 5
        assert all(serves(node) for node in harness.nodes.values())
