"""Types and ports of orders: the store that issues fencing tokens, the replicas."""

import math
from dataclasses import dataclass
from typing import Protocol

from result import Result

from marjoramstile.ports.feeds import StoredRow
from marjoramstile.ports.tables import Committed, Condition, StoreError, Write
from marjoramstile.routes.replica_types import Replica, Stage


@dataclass(frozen=True)
class TimestampedRow:
    """A row, None if there is none, and the store's steady clock when it was read.

    ``era`` is that of the store; ``restored_ago_s`` is the time since this daemon saw
    it restored from a copy, infinite if it did not.
    """

    row: StoredRow | None
    now_s: float
    era: int = 0
    restored_ago_s: float = math.inf


@dataclass(frozen=True)
class StageOrder:
    """An order to a replica to change its stage.

    The replica rejects it unless it has accepted ``expected_orders`` orders before.
    """

    stage: Stage
    holder: str
    fencing_token: int
    expected_orders: int


@dataclass(frozen=True)
class StageReport:
    """A replica's stage, whether it is busy with an order, and orders accepted."""

    stage: Stage
    busy: bool
    orders: int


class OrderStore(Protocol):
    """Store operations that issuing fencing tokens needs."""

    async def read_row(
        self, table: str, key: str
    ) -> Result[TimestampedRow, StoreError]:
        """Read one row."""

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[Committed | None, StoreError]:
        """Commit ``writes`` if all ``conditions`` hold; None if one doesn't."""


class StageClient(Protocol):
    """Calls to replicas that ordering moves needs; they raise ReplicaError."""

    async def stage_report(self, replica: Replica) -> StageReport:
        """Request a replica's report of its stage."""

    async def order_stage(self, replica: Replica, order: StageOrder) -> int:
        """Send an order; return the status of the response."""
