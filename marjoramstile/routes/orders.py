"""Moves replicas between stages by orders that only one daemon gives at a time.

Before each order the daemon updates the service's row in the platform's store by a
conditional write. The version that the store assigns to this write is the order's
fencing token, so tokens strictly increase and no two daemons share one. A daemon that
was suspended between the write and the order withholds the order. Another daemon may
write the row only once the last write is older than two leases, and than a move may
take, so that holders don't alternate within one lease. A row from before a restore of
the store may lack the last writes: nobody but their holder writes it until as long
after the restore.
"""

import math
import time
from collections import defaultdict
from collections.abc import Callable

from marjoramstile.logs import get_logger
from marjoramstile.membership.view import View
from marjoramstile.pools.scheduler import PoolScheduler
from marjoramstile.pools.shards import SchedulerSelector
from marjoramstile.ports.feeds import unchanged
from marjoramstile.ports.tables import Write
from marjoramstile.routes.order_ports import (
    OrderStore,
    StageClient,
    StageOrder,
    TimestampedRow,
)
from marjoramstile.routes.order_rows import (
    ORDERS_TABLE,
    OrdersRow,
    StageMove,
    orders_of,
)
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.replicas import USABLE, ReplicaDirectory
from marjoramstile.routes.requests import ReplicaError
from marjoramstile.routes.stages import (
    IMBALANCE_MIN_S,
    MoveDamper,
    StageSpeeds,
    wanted_prefill,
)
from marjoramstile.routes.table import EngineTraits, RoutingTable
from marjoramstile.utils import loop_time

# Longest time from reading the row to sending the order.
ORDER_DELAY_MAX_S = 1.0
# Only the scheduler candidates of the pool's first shard give orders. Each waits this
# much longer than the candidate ranked before it, which may not reach the store.
TAKEOVER_DELAY_S = 3.0
# Time, beyond the replica's own switch, within which its row must show the new stage.
SETTLE_S = 8.0
# Statuses of an order that is being carried out, or is already fulfilled.
ACCEPTED_STATUSES = (200, 202)
# Digits to which speeds are compared when replicas are chosen to move: those that are
# about as fast go by what they have to give up.
SPEED_DIGITS = 1
# Pause after a round of orders of a service, before failed ones are retried.
RETRY_S = 1.0

logger = get_logger(__name__)


def boot_time() -> float:
    """Return the time of a clock that keeps running while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StageRebalancer:
    """Moves replicas of each language service until the split fits its load.

    Owned by RouterNode, which calls ``step`` periodically.
    """

    def __init__(
        self,
        view: View,
        directory: ReplicaDirectory,
        selector: SchedulerSelector,
        scheduler: Callable[[str, int], PoolScheduler],
        store: OrderStore,
        client: StageClient,
        is_limited: Callable[[Replica], bool],
        lease_s: float,
    ):
        """``is_limited`` tells whether a replica names a limit on requests."""
        self._view = view
        self._directory = directory
        self._selector = selector
        self._scheduler = scheduler
        self._store = store
        self._client = client
        self._is_limited = is_limited
        self._lease_s = lease_s
        self._created_at = loop_time()
        self._held_at: dict[str, float] = {}
        self._dampers: dict[str, MoveDamper] = defaultdict(MoveDamper)
        self._paused_until: dict[str, float] = {}

    async def step(self, table: RoutingTable | None) -> None:
        """Order the moves that each service's split needs; run periodically."""
        if table is None:
            return
        for service in table.services.values():
            rank = self._selector.own_rank(service.name)
            if service.engine is None or rank is None:
                continue
            imbalance_min_s = IMBALANCE_MIN_S + rank * TAKEOVER_DELAY_S
            await self._rebalance(service.name, service.engine, imbalance_min_s)

    async def _rebalance(
        self, service: str, engine: EngineTraits, imbalance_min_s: float
    ) -> None:
        now = loop_time()
        if now < self._paused_until.get(service, float("-inf")):
            return
        stages = self._directory.expected_stages(service)
        prefill = [replica for replica, stage in stages if stage == Stage.PREFILL]
        decode = [replica for replica, stage in stages if stage == Stage.DECODE]
        wanted = self._wanted(service, engine, prefill, decode)
        change = wanted - len(prefill)
        damper = self._dampers[service]
        if not damper.is_due(change, len(stages), now, imbalance_min_s):
            return
        self._paused_until[service] = now + RETRY_S
        stage = Stage.DECODE if change < 0 else Stage.PREFILL
        candidates = self._movable(service, prefill if change < 0 else decode, stage)
        if candidates:
            logger.info(
                "split_wanted", service=service, prefill=len(prefill), wanted=wanted
            )
        for replica in candidates[: abs(change)]:
            if await self._move(service, engine, replica, stage):
                damper.record_move(change, len(stages), loop_time())

    def _wanted(
        self,
        service: str,
        engine: EngineTraits,
        prefill: list[Replica],
        decode: list[Replica],
    ) -> int:
        """Return how many replicas should prefill.

        Before the load is known, only a pool without decode replicas gets one.
        """
        profile = self._scheduler(service, 0).statistics.profile()
        if profile is not None:
            return wanted_prefill(
                profile,
                self._stage_speeds(service, prefill),
                self._stage_speeds(service, decode),
                engine.kv_tokens,
            )
        return len(prefill) - 1 if prefill and not decode else len(prefill)

    def _stage_speeds(self, service: str, replicas: list[Replica]) -> list[StageSpeeds]:
        """Return the speeds of replicas; of another shard, they count as usual."""
        speeds = self._scheduler(service, 0).speeds
        now = loop_time()
        return [
            StageSpeeds(*(speeds.likely_factor(replica, stage, now) for stage in Stage))
            for replica in replicas
        ]

    def _movable(
        self, service: str, replicas: list[Replica], stage: Stage
    ) -> list[Replica]:
        """Return those usable and not moving, the fastest in the new stage first.

        That stage is short. Equally fast ones are sorted by their leased tokens, the
        fewest first. One that names a limit stays: its permits would be lost to its
        stage.
        """
        free = [
            item
            for item in replicas
            if self._directory.standing(item) in USABLE and not self._is_limited(item)
        ]
        scheduler = self._scheduler(service, 0)
        now = loop_time()

        def rank(replica: Replica) -> tuple[float, int, str]:
            speed = scheduler.speeds.likely_factor(replica, stage, now)
            tokens = scheduler.leases.lease_totals(replica.id).tokens
            return -round(speed, SPEED_DIGITS), tokens, replica.id

        return sorted(free, key=rank)

    async def _move(
        self, service: str, engine: EngineTraits, replica: Replica, stage: Stage
    ) -> bool:
        """Order a move if the replica can make one; return whether it was ordered."""
        try:
            report = await self._client.stage_report(replica)
        except ReplicaError as error:
            logger.info("no_stage_report", replica=replica.id, reason=repr(error))
            return False
        if report.busy or report.stage == stage:
            return False
        began = boot_time()
        token = await self._acquire_token(service, engine, replica, stage)
        if token is None:
            return False
        if boot_time() - began > ORDER_DELAY_MAX_S:
            logger.warning("order_withheld", service=service, reason="too late")
            return False
        until = loop_time() + engine.switch_s + SETTLE_S
        self._directory.record_move(replica.id, stage, until)
        order = StageOrder(stage, self._view.own.vm.name, token, report.orders)
        await self._send_order(replica, order)
        return True

    async def _send_order(self, replica: Replica, order: StageOrder) -> None:
        try:
            status = await self._client.order_stage(replica, order)
            if status not in ACCEPTED_STATUSES:
                self._directory.forget_move(replica.id)
        except ReplicaError as error:
            status = repr(error)
        logger.info(
            "order_given",
            replica=replica.id,
            stage=order.stage,
            fencing_token=order.fencing_token,
            answer=status,
        )

    async def _acquire_token(
        self, service: str, engine: EngineTraits, replica: Replica, stage: Stage
    ) -> int | None:
        """Write the orders row and return the next order's fencing token.

        None if the store fails or another daemon holds the orders.
        """
        began = loop_time()
        read = await self._store.read_row(ORDERS_TABLE, service)
        if read.is_err():
            logger.info(
                "no_fencing_token", service=service, reason=read.unwrap_err().message
            )
            return None
        reading = read.unwrap()
        last = orders_of(reading.row)
        if not self._may_write(service, last, reading, engine):
            return None
        until_s = reading.now_s + engine.switch_s + SETTLE_S
        move = StageMove(replica.id, stage, until_s)
        row = OrdersRow(
            self._view.own.incarnation,
            reading.now_s,
            (*last.moves_at(reading.now_s), move),
            self._scheduler(service, 0).statistics.profile() or last.profile,
            reading.era,
        )
        written = await self._store.transact(
            [unchanged(ORDERS_TABLE, service, reading.row)],
            [Write(ORDERS_TABLE, service, row.to_value())],
        )
        if written.is_err() or written.unwrap() is None:
            logger.info("no_fencing_token", service=service, reason="row not written")
            return None
        self._held_at[service] = began
        return written.unwrap().version

    def _may_write(
        self,
        service: str,
        last: OrdersRow,
        reading: TimestampedRow,
        engine: EngineTraits,
    ) -> bool:
        """Return whether this daemon holds the orders, or may take them over.

        The store's clock may have gone back with a restore.
        """
        pause_s = max(2 * self._lease_s, engine.switch_s + SETTLE_S)
        if reading.row is None or last.era != reading.era:
            now = loop_time()
            if now - self._held_at.get(service, -math.inf) < pause_s:
                return True
            known_s = math.inf if reading.row is None else now - self._created_at
            if min(reading.restored_ago_s, known_s) < pause_s:
                return False
        elif last.holder == self._view.own.incarnation:
            return True
        return not 0 <= reading.now_s - last.at_s < pause_s
