"""Shards of pools and the daemons that schedule them."""

import asyncio
import random
from collections import Counter

from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.pools.shards import (
    MAX_CANDIDATES,
    SHARD_REPLICAS,
    SILENT_BACKOFF_S,
    PoolShards,
    SchedulerSelector,
    shard_of,
)
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.routes.replica_types import Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from tests.pools.support import SERVICE, replica


def view_of(own: int, count: int) -> View:
    """Return the view of a daemon that knows only the rows of the others."""
    vms = [
        ListedVM(f"vm-{n}", f"10.0.0.{n}", "a", "r", ListedState.LIVE)
        for n in range(count)
    ]
    view = View(vms[own], f"i{own}")
    view.merge_list(vms, 0.0)
    return view


async def test_daemons_with_the_same_rows_select_the_same_schedulers():
    choices = [SchedulerSelector(view_of(n, 60)).ranked(SERVICE, 0) for n in range(60)]
    assert len(set(choices)) == 1
    assert len(choices[0]) == MAX_CANDIDATES


async def test_a_leaving_or_dead_daemon_is_not_selected():
    first, second, last = SchedulerSelector(view_of(0, 9)).ranked(SERVICE, 0)
    view = view_of(int(last.removeprefix("vm-")), 9)
    selector = SchedulerSelector(view)
    view.merge_report(Report(first, "i", 1, PeerState.LEAVING), 1.0)
    view.merge_report(Report(second, "i", 1, PeerState.DEAD), 1.0)
    assert not {first, second} & set(selector.ranked(SERVICE, 0))


async def test_a_silent_daemon_is_a_candidate_again_after_its_backoff():
    selector = SchedulerSelector(view_of(0, 9))
    first = selector.candidates(SERVICE, 0)[0].vm.name
    selector.record_no_answer(first)
    assert first not in {peer.vm.name for peer in selector.candidates(SERVICE, 0)}
    await asyncio.sleep(SILENT_BACKOFF_S + 0.01)
    assert selector.candidates(SERVICE, 0)[0].vm.name == first


async def test_the_shards_of_a_pool_are_spread_over_daemons():
    selector = SchedulerSelector(view_of(0, 400))
    firsts = Counter(selector.ranked(SERVICE, shard)[0] for shard in range(17))
    assert max(firsts.values()) <= 2


def test_the_shards_of_a_large_pool_have_similar_sizes():
    directory = ReplicaDirectory()
    for number in range(670):
        directory.put(replica(f"r{number}", Stage.DECODE))
    shards = PoolShards(directory)
    count = shards.count(SERVICE)
    assert count == round(670 / SHARD_REPLICAS)
    sizes = [len(shards.usable(SERVICE, shard, Stage.DECODE)) for shard in range(count)]
    assert sum(sizes) == 670
    assert min(sizes) >= SHARD_REPLICAS / 2
    assert max(sizes) <= SHARD_REPLICAS * 2


def test_few_replicas_change_shards_when_a_shard_is_added():
    moved = sum(shard_of(f"r{n}", 9) != shard_of(f"r{n}", 10) for n in range(1000))
    assert moved <= 160


def test_a_small_pool_has_one_shard():
    directory = ReplicaDirectory()
    for number in range(45):
        directory.put(replica(f"r{number}", Stage.DECODE))
    assert PoolShards(directory).count(SERVICE) == 1


def test_a_request_for_few_replicas_is_sent_to_a_shard_without_any():
    """A stream goes on at one software version, which few replicas may have."""
    directory = ReplicaDirectory()
    for number in range(203):
        directory.put(replica(f"r{number}", Stage.DECODE))
    shards = PoolShards(directory)
    allowed = {"r7", "r8"}
    avoid = frozenset(f"r{number}" for number in range(203)) - allowed
    count = shards.count(SERVICE)
    expected = {shard_of(name, count) for name in allowed}
    rng = random.Random(1)
    chosen = {shards.choose(SERVICE, rng, avoid) for _ in range(100)}
    assert chosen == expected
    everything = avoid | allowed
    assert shards.choose(SERVICE, rng, everything) < count
