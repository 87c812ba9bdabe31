"""Tests of probing, suspicion, death and leaving."""

import asyncio

from bench.fakes.tables import with_state
from bench.harness import Harness, listed_vm, running_harness, serving_names
from marjoramstile.entry.addresses import choose_addresses
from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.ports.vms import ListedState


def all_names(count: int) -> set[str]:
    """Return the names of VMs 1 to ``count``."""
    return {f"vm-{number}" for number in range(1, count + 1)}


def addresses(harness: Harness, name: str) -> set[str]:
    """Return the hosts that a daemon returns to callers."""
    node = harness.nodes[name]
    answer = choose_addresses(
        node.view.peers, "centre-a", "region-1", "caller", 8100, 5.0
    )
    return {address.rsplit(":", 1)[0] for address in answer.addresses}


async def test_daemons_find_each_other():
    async with running_harness(daemons=8) as harness:
        assert serving_names(list(harness.nodes.values())) == all_names(8)


async def test_a_killed_daemon_leaves_the_addresses_although_still_listed():
    async with running_harness(daemons=8) as harness:
        await harness.kill(5)
        await asyncio.sleep(15)
        for name in harness.nodes:
            assert "10.0.1.5" not in addresses(harness, name)


async def test_a_daemon_that_two_others_cannot_reach_is_not_declared_dead():
    async with running_harness(daemons=8) as harness:
        harness.network.separate({"vm-1", "vm-2"}, {"vm-8"})
        for _ in range(30):
            await asyncio.sleep(1)
            states = [n.view.get("vm-8").state for n in harness.nodes.values()]
            assert PeerState.DEAD not in states


async def test_a_frozen_daemon_that_resumes_is_serving_again():
    async with running_harness(daemons=4) as harness:
        harness.network.freeze("vm-2")
        others = all_names(4) - {"vm-2"}
        harness.network.separate({"vm-2"}, others)
        await asyncio.sleep(20)
        assert serving_names([harness.nodes["vm-1"]]) == others
        harness.network.heal()
        harness.network.thaw("vm-2")
        await asyncio.sleep(20)
        assert serving_names(list(harness.nodes.values())) == all_names(4)


async def test_a_leaving_daemon_is_left_out_at_once():
    async with running_harness(daemons=8) as harness:
        node = harness.nodes["vm-6"]
        node.view.leave(asyncio.get_running_loop().time())
        await node.prober.announce()
        for name in harness.nodes:
            assert "10.0.1.6" not in addresses(harness, name)


async def test_a_vm_that_the_platform_lists_as_leaving_is_left_out():
    async with running_harness(daemons=3) as harness:
        harness.platform.vms = with_state(
            harness.platform.vms, "vm-2", ListedState.LEAVING
        )
        await asyncio.sleep(2)
        assert "10.0.1.2" not in addresses(harness, "vm-1")


async def test_the_view_recovers_from_a_partition_between_data_centres():
    async with running_harness(daemons=9) as harness:
        harness.network.separate(
            {"vm-3", "vm-6", "vm-9"}, all_names(8) - {"vm-3", "vm-6"}
        )
        await asyncio.sleep(60)
        harness.network.heal()
        await asyncio.sleep(30)
        assert serving_names(list(harness.nodes.values())) == all_names(9)


async def test_the_cost_of_probing_does_not_grow_with_the_number_of_daemons():
    rates = []
    for daemons in (4, 16):
        async with running_harness(daemons=daemons) as harness:
            await asyncio.sleep(30)
            before = harness.network.messages
            await asyncio.sleep(60)
            rates.append((harness.network.messages - before) / daemons / 60)
    assert rates[1] <= rates[0] * 1.1


def test_a_suspicion_is_refuted_with_a_higher_counter():
    view = View(listed_vm(1), "i1")
    view.merge_report(Report("vm-1", "i1", 0, PeerState.SUSPECT), now=1.0)
    assert view.own.state == PeerState.ALIVE
    assert view.own.counter == 1


def test_a_daemon_declared_dead_is_alive_again_with_a_higher_counter():
    view = View(listed_vm(1), "i1")
    view.merge_list([listed_vm(1), listed_vm(2)], now=0.0)
    view.merge_report(Report("vm-2", "i2", 0, PeerState.DEAD), now=1.0)
    assert view.is_dead("i2")
    view.merge_report(Report("vm-2", "i2", 1, PeerState.ALIVE), now=2.0)
    assert view.get("vm-2").serving


def test_an_old_report_does_not_restore_an_ended_incarnation():
    view = View(listed_vm(1), "i1")
    view.merge_list([listed_vm(1), listed_vm(2)], now=0.0)
    view.merge_report(Report("vm-2", "old", 0, PeerState.ALIVE), now=1.0)
    view.merge_report(Report("vm-2", "new", 0, PeerState.ALIVE), now=2.0)
    assert not view.merge_report(Report("vm-2", "old", 9, PeerState.ALIVE), now=3.0)
    assert view.get("vm-2").incarnation == "new"
    assert view.is_dead("old")


def test_a_lagging_list_does_not_remove_the_own_daemon():
    view = View(listed_vm(1), "i1")
    view.merge_list([listed_vm(2)], now=0.0)
    assert view.own.incarnation == "i1"
