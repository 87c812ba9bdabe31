"""Fencing tokens and holders of orders over restores of the store from a copy."""

import asyncio
from dataclasses import dataclass

import pytest

from marjoramstile.ports.feeds import StoredRow, version_in_era
from marjoramstile.routes.order_ports import TimestampedRow
from marjoramstile.utils import loop_time
from tests.routes.test_orders import FakeStages, FakeStore, rebalancer, replicas, run

LEASE_S = 3.0


@dataclass
class RestoredStore(FakeStore):
    """A store of one row that can come back from a copy, in a new era."""

    era: int = 1
    restored_at: float = float("-inf")
    copied: tuple[StoredRow | None, int] = (None, 0)

    def copy(self) -> None:
        """Keep a copy of the row and of the version."""
        self.copied = (self.row, self.version)

    def restore(self) -> None:
        """Come back from the copy."""
        self.era += 1
        self.row, number = self.copied
        self.version = version_in_era(self.era, number & 0xFFFF)
        self.restored_at = loop_time()

    async def read_row(self, table, key):
        """Return the row with its era."""
        answer = await super().read_row(table, key)
        return answer.map(
            lambda read: TimestampedRow(
                read.row, read.now_s, self.era, loop_time() - self.restored_at
            )
        )


@pytest.mark.parametrize("restore_at_s", [0.0, 2.0, 6.0])
async def test_tokens_grow_over_restores_and_holders_take_no_turns(restore_at_s):
    """Two daemons that both rank first; the copy lacks the last orders."""
    store = RestoredStore()
    stages = FakeStages(replicas(8, 1), silent=True)
    others = FakeStages(replicas(8, 1), stages.orders, silent=True)
    both = [rebalancer("a", store, stages), rebalancer("b", store, others)]
    await run(both, 4)
    store.copy()
    await run(both, 10)
    await asyncio.sleep(restore_at_s)
    store.restore()
    await run(both, 30)
    store.copy()
    await run(both, 5)
    store.restore()
    await run(both, 60)
    tokens = [order.fencing_token for _, _, order in stages.orders]
    assert len(tokens) >= 3
    assert tokens == sorted(set(tokens))
    for (at, _, order), (later, _, other) in zip(
        stages.orders, stages.orders[1:], strict=False
    ):
        assert order.holder == other.holder or later - at >= 2 * LEASE_S


async def test_a_daemon_that_starts_waits_for_a_holder_whose_row_the_copy_lacks():
    store = RestoredStore()
    stages = FakeStages(replicas(8, 1), silent=True)
    holder = rebalancer("a", store, stages)
    await run([holder], 6)
    given = len(stages.orders)
    assert given
    last_at = stages.orders[-1][0]
    store.restore()
    other = FakeStages(replicas(8, 1), stages.orders, silent=True)
    await run([rebalancer("b", store, other)], 40)
    later = [at for at, _, order in stages.orders if order.holder == "b"]
    assert later
    assert later[0] - last_at >= 2 * LEASE_S


async def test_a_holder_that_was_paused_over_a_restore_takes_turns_with_another():
    """It still believes that it holds the orders when it goes on."""
    store = RestoredStore()
    stages = FakeStages(replicas(8, 1), silent=True)
    others = FakeStages(replicas(8, 1), stages.orders, silent=True)
    paused, other = rebalancer("a", store, stages), rebalancer("b", store, others)
    store.copy()
    await run([paused], 6)
    store.restore()
    await run([other], 40)
    await run([paused, other], 40)
    assert {order.holder for _, _, order in stages.orders} == {"a", "b"}
    tokens = [order.fencing_token for _, _, order in stages.orders]
    assert tokens == sorted(set(tokens))
    for (at, _, order), (later, _, next_order) in zip(
        stages.orders, stages.orders[1:], strict=False
    ):
        assert order.holder == next_order.holder or later - at >= 2 * LEASE_S
