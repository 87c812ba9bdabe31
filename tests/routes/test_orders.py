"""Orders to replicas: one holder at a time, fencing tokens that strictly increase."""

import asyncio
import json
import random
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, strategies as st
from result import Err, Ok

from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.pools.host import SchedulerHost
from marjoramstile.pools.shards import PoolShards, SchedulerSelector
from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.ports.feeds import StoredRow
from marjoramstile.ports.tables import Committed, StoreError
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.routes import orders as orders_module
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.order_ports import StageReport, TimestampedRow
from marjoramstile.routes.order_rows import UnreadableOrdersError, decode_orders
from marjoramstile.routes.orders import StageRebalancer
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.requests import NotSentError
from marjoramstile.routes.table import EntryLimits, RoutedService, RoutingTable
from marjoramstile.utils import loop_time, rendezvous_weight
from tests.routes.support import ENGINE, LLM

PROFILE = GenerationProfile(3200.0, 800.0, 3.5 / 800.0, 33_000.0)
TABLE = RoutingTable(1, (), {LLM: RoutedService(LLM, ENGINE)}, EntryLimits(1))


@dataclass
class FakeStore:
    """One row with versions, shared by all daemons."""

    row: StoredRow | None = None
    version: int = 0
    lose_answers: bool = False
    down: bool = False

    async def read_row(self, table, key):
        """Return the row."""
        if self.down:
            return Err(StoreError("down"))
        return Ok(TimestampedRow(self.row, loop_time()))

    async def transact(self, conditions, writes):
        """Write if the condition holds."""
        present = self.row.version if self.row else 0
        if conditions[0].version != present:
            return Ok(None)
        self.version += 1
        value = json.dumps(writes[0].value).encode()
        self.row = StoredRow(writes[0].key, self.version, value)
        if self.lose_answers:
            return Err(StoreError("lost"))
        return Ok(Committed(self.version))


@dataclass
class FakeStages:
    """Replicas that carry out orders; their rows follow after ``row_delay_s``."""

    directory: ReplicaDirectory
    orders: list = field(default_factory=list)
    silent: bool = False
    answer: int = 202
    row_delay_s: float = 0.0

    async def stage_report(self, replica):
        """Return a replica's stage."""
        stage = self.directory.get(replica.id).stage
        done = sum(1 for item in self.orders if item[1] == replica.id)
        return StageReport(stage, busy=False, orders=done)

    async def order_stage(self, replica, order):
        """Record an order and carry it out."""
        self.orders.append((loop_time(), replica.id, order))
        if self.silent:
            raise NotSentError("timeout")
        if self.answer != 202:
            return self.answer
        moved = replace(self.directory.get(replica.id), stage=order.stage)
        asyncio.get_running_loop().call_later(
            self.row_delay_s, self.directory.put, moved
        )
        return 202


def replicas(prefill: int, decode: int) -> ReplicaDirectory:
    """Return a directory with engines."""
    directory = ReplicaDirectory()
    stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
    for number, stage in enumerate(stages):
        directory.put(
            Replica(
                f"r{number}", LLM, "h", 1, "a", 24, ReplicaState.READY, 1, stage=stage
            )
        )
    return directory


def rebalancer(
    vm: str,
    store: FakeStore,
    stages: FakeStages,
    profile: GenerationProfile | None = PROFILE,
    limited: frozenset[str] = frozenset(),
) -> StageRebalancer:
    """Return the rebalancer of one daemon that knows the profile of the pool.

    ``limited`` are the ids of replicas that name a limit on requests.
    """
    own = ListedVM(vm, "10.0.0.1", "a", "r", ListedState.LIVE)
    view = View(own, f"i-{vm}")
    shards = PoolShards(stages.directory)
    balancer = Balancer("a", random.Random(1))
    host = SchedulerHost(shards, lambda service: ENGINE, balancer, random.Random(1))
    if profile is not None:
        host.adopt_profile(LLM, profile)
    return StageRebalancer(
        view,
        stages.directory,
        SchedulerSelector(view),
        host.scheduler,
        store,
        stages,
        lambda replica: replica.id in limited,
        lease_s=3.0,
    )


def by_rank(*vms: str) -> list[str]:
    """Return VMs by their rank as schedulers of the pool's first shard."""
    return sorted(
        vms, key=lambda vm: rendezvous_weight(f"pool/{LLM}/0", vm), reverse=True
    )


async def run(rebalancers: list[StageRebalancer], seconds: int) -> None:
    """Run the rebalancers' steps in turn."""
    for _ in range(seconds * 2):
        for item in rebalancers:
            item._directory.expire(loop_time())
            await item.step(TABLE)
        await asyncio.sleep(0.5)


async def test_the_split_that_serves_most_is_ordered_once():
    stages = FakeStages(replicas(4, 5))
    await run([rebalancer("a", FakeStore(), stages)], 30)
    assert [order.stage for _, _, order in stages.orders] == [Stage.DECODE] * 2
    assert len({replica for _, replica, _ in stages.orders}) == 2


@pytest.mark.parametrize(("prefill", "decode"), [(4, 5), (8, 1), (1, 8)])
async def test_a_replica_that_names_a_limit_is_moved_to_another_stage(prefill, decode):
    """Its permits would be lost to its stage, and it has asked for less work."""
    stages = FakeStages(replicas(prefill, decode))
    names = {replica.id for replica in stages.directory.all}
    limited = frozenset(names - {"r0"})
    await run([rebalancer("a", FakeStore(), stages, limited=limited)], 30)
    assert {replica for _, replica, _ in stages.orders} <= {"r0"}


async def test_fast_replicas_are_moved_to_the_stage_that_is_short():
    """Else more replicas would have to move for the same throughput."""
    stages = FakeStages(replicas(1, 12))
    item = rebalancer("a", FakeStore(), stages)
    speeds = item._scheduler(LLM, 0).speeds
    for _ in range(20):
        for replica in stages.directory.all:
            ratio = 0.5 if replica.id in ("r5", "r9") else 1.0
            speeds.observe(replica.id, 1, Stage.DECODE, ratio, loop_time())
    await run([item], 30)
    moved = [replica for _, replica, _ in stages.orders]
    assert moved
    assert set(moved) <= {"r5", "r9"}


async def test_two_daemons_that_both_rank_first_never_share_a_token_or_alternate():
    stages = FakeStages(replicas(6, 3), silent=True)
    others = FakeStages(replicas(6, 3), stages.orders, silent=True)
    store = FakeStore()
    await run([rebalancer("a", store, stages), rebalancer("b", store, others)], 60)
    assert {order.holder for _, _, order in stages.orders} == {"a", "b"}
    tokens = [order.fencing_token for _, _, order in stages.orders]
    assert tokens == sorted(set(tokens))
    for (at, _, order), (later, _, other) in zip(
        stages.orders, stages.orders[1:], strict=False
    ):
        assert order.holder == other.holder or later - at >= 2 * 3.0


def add_peers(item: StageRebalancer, *others: str) -> None:
    """Make a rebalancer's daemon see others as serving."""
    listed = [ListedVM(vm, "10.0.0.2", "a", "r", ListedState.LIVE) for vm in others]
    item._view.merge_list([*listed, item._view.own.vm], 0.0)
    for vm in others:
        item._view.merge_report(Report(vm, f"i-{vm}", 0, PeerState.ALIVE), 0.0)


async def test_while_the_first_of_the_serving_daemons_orders_no_other_does():
    """A replica's row shows the new stage only after the replica's switch."""
    stages = FakeStages(replicas(4, 5), row_delay_s=ENGINE.switch_s)
    store = FakeStore()
    one, two = by_rank("a", "b")
    first, second = rebalancer(one, store, stages), rebalancer(two, store, stages)
    add_peers(first, two)
    add_peers(second, one)
    await run([second, first], 30)
    assert [order.holder for _, _, order in stages.orders] == [one, one]


async def test_another_daemon_orders_if_the_store_fails_for_the_first():
    stages = FakeStages(replicas(4, 5))
    one, two = by_rank("a", "b")
    first = rebalancer(one, FakeStore(down=True), stages)
    second = rebalancer(two, FakeStore(), stages)
    add_peers(first, two)
    add_peers(second, one)
    await run([first, second], 7)
    assert [order.holder for _, _, order in stages.orders] == [two, two]


async def test_a_daemon_that_is_no_scheduler_candidate_never_orders():
    stages = FakeStages(replicas(4, 5))
    *others, last = by_rank("a", "b", "c", "d", "e")
    item = rebalancer(last, FakeStore(), stages)
    add_peers(item, *others)
    await run([item], 60)
    assert stages.orders == []


async def test_a_token_is_not_used_if_its_write_was_not_answered():
    stages = FakeStages(replicas(4, 5))
    await run([rebalancer("a", FakeStore(lose_answers=True), stages)], 10)
    assert stages.orders == []


async def test_a_daemon_suspended_after_its_write_gives_no_order(monkeypatch):
    clock = iter(range(0, 10_000, 5))
    monkeypatch.setattr(orders_module, "boot_time", lambda: next(clock))
    stages = FakeStages(replicas(4, 5))
    await run([rebalancer("a", FakeStore(), stages)], 10)
    assert stages.orders == []


async def test_an_unanswered_order_is_not_repeated_while_it_may_still_take_effect():
    stages = FakeStages(replicas(4, 5), silent=True)
    await run([rebalancer("a", FakeStore(), stages)], 12)
    assert len(stages.orders) == 2
    assert len({replica for _, replica, _ in stages.orders}) == 2


async def test_a_lost_prefill_replica_is_replaced_soon():
    stages = FakeStages(replicas(2, 7))
    item = rebalancer("a", FakeStore(), stages)
    await run([item], 5)
    assert stages.orders == []
    stages.directory.remove("r0", 0.0, 0.0)
    await run([item], 4)
    assert [order.stage for _, _, order in stages.orders] == [Stage.PREFILL]


@pytest.mark.parametrize("profile", [PROFILE, None])
async def test_a_pool_without_decode_replicas_gets_one_soon(profile):
    stages = FakeStages(replicas(2, 0))
    await run([rebalancer("a", FakeStore(), stages, profile)], 3)
    assert Stage.DECODE in [order.stage for _, _, order in stages.orders]


async def test_nothing_is_ordered_before_the_load_is_known():
    stages = FakeStages(replicas(6, 3))
    await run([rebalancer("a", FakeStore(), stages, None)], 30)
    assert stages.orders == []


async def test_the_profile_of_the_pool_is_stored_with_the_order():
    """Other daemons need it if the one that measured it is lost."""
    stages = FakeStages(replicas(4, 5))
    store = FakeStore()
    await run([rebalancer("a", store, stages)], 5)
    row = decode_orders(store.row.value)
    assert row.profile.prompt_tokens == pytest.approx(PROFILE.prompt_tokens)
    assert row.profile.decode_s == pytest.approx(PROFILE.decode_s, rel=0.05)


async def test_replicas_that_appear_one_by_one_are_not_moved_meanwhile():
    """When a whole fleet started, the first replica seen, a prefill one, was moved."""
    directory = ReplicaDirectory()
    stages = FakeStages(directory)
    item = rebalancer("a", FakeStore(), stages)
    for replica in replicas(1, 3).all:
        directory.put(replica)
        await run([item], 1)
    await run([item], 10)
    assert stages.orders == []


async def test_a_replica_that_was_ordered_away_gets_no_new_requests_meanwhile():
    """It grants reservations, and then refuses the prompts once they are prefilled."""
    stages = FakeStages(replicas(4, 5), row_delay_s=ENGINE.switch_s)
    await run([rebalancer("a", FakeStore(), stages)], 4)
    ordered = {replica for _, replica, _ in stages.orders}
    assert len(ordered) == 2
    usable = stages.directory.usable(LLM, Stage.PREFILL)
    assert not ordered & {replica.id for replica in usable}
    await run([rebalancer("a", FakeStore(), stages)], 6)
    usable = stages.directory.usable(LLM, Stage.DECODE)
    assert ordered <= {replica.id for replica in usable}


async def test_an_order_that_was_refused_moves_nothing():
    stages = FakeStages(replicas(4, 5), answer=409)
    await run([rebalancer("a", FakeStore(), stages)], 3)
    assert stages.orders
    assert len(stages.directory.usable(LLM, Stage.PREFILL)) == 4


async def test_the_row_names_all_moves_in_progress():
    stages = FakeStages(replicas(4, 5), silent=True)
    store = FakeStore()
    await run([rebalancer("a", store, stages)], 4)
    row = decode_orders(store.row.value)
    assert {move.replica for move in row.moves} == {item[1] for item in stages.orders}
    assert {move.stage for move in row.moves} == {Stage.DECODE}
    assert row.moves_at(row.at_s + 60.0) == ()


@given(st.binary(max_size=60))
def test_an_invalid_row_raises_an_unreadable_orders_error(value):
    with pytest.raises(UnreadableOrdersError):
        decode_orders(value)
