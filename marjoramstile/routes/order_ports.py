"""Types and ports of orders: a store that numbers them, replicas that take them."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from marjoramstile.ports.feeds import StoredRow
from marjoramstile.ports.tables import Committed, Condition, StoreError, Write
from marjoramstile.routes.replica_types import Replica, Stage


@dataclass(frozen=True)
class TimestampedRow:
    """A row, None if there is none, and the store's steady clock at the reading."""

    row: StoredRow | None
    now_s: float


@dataclass(frozen=True)
class StageOrder:
    """An order to a replica, carried out only after ``expected_orders`` others."""

    stage: Stage
    holder: str
    fencing_token: int
    expected_orders: int


@dataclass(frozen=True)
class StageReport:
    """What a replica says of its stage: whether an order runs, how many it took."""

    stage: Stage
    busy: bool
    orders: int


class OrderStore(Protocol):
    """What numbering orders needs of the platform's store."""

    async def read_row(
        self, table: str, key: str
    ) -> Result[TimestampedRow, StoreError]:
        """Read one row."""

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[Committed | None, StoreError]:
        """Commit ``writes`` if all ``conditions`` hold; None if one doesn't."""


class StageClient(Protocol):
    """What giving orders needs of replicas; raises ReplicaError."""

    async def stage_report(self, replica: Replica) -> StageReport:
        """Ask a replica for its stage."""

    async def order_stage(self, replica: Replica, order: StageOrder) -> int:
        """Give an order; return the status of the answer."""
