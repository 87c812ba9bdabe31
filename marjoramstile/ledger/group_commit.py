"""Groups conditional writes of single rows into few transactions.

The table service commits or rejects a transaction as a whole, so a conflict on one
row rejects its group. The writes named in the conflict are then resolved with the
current rows, and the others are retried immediately.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from marjoramstile.ports.tables import (
    Committed,
    Condition,
    Conflict,
    Row,
    StoreError,
    TableService,
    Write,
)
from marjoramstile.utils import BackgroundTasks

GROUP_MAX_WRITES = 25
WriteResult = Result[Committed | Row, StoreError]


@dataclass(frozen=True)
class RowWrite:
    """A write of ``value`` on condition that the row has ``version``."""

    table: str
    key: str
    version: int
    value: dict[str, Any] | None


@dataclass(eq=False)
class _Pending:
    write: RowWrite
    answer: asyncio.Future = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    @property
    def row_id(self) -> tuple[str, str]:
        return self.write.table, self.write.key

    def resolve(self, result: WriteResult) -> None:
        if not self.answer.done():
            self.answer.set_result(result)


class GroupCommitter:
    """Commits queued writes in groups, one transaction at a time.

    Its worker task runs while writes are queued.
    """

    def __init__(self, tables: TableService, tasks: BackgroundTasks):
        self._tables = tables
        self._tasks = tasks
        self._queue: deque[_Pending] = deque()
        self._worker: asyncio.Future | None = None

    async def write(self, write: RowWrite) -> WriteResult:
        """Write one row; return the current row instead if its version differs."""
        pending = _Pending(write)
        self._queue.append(pending)
        if self._worker is None or self._worker.done():
            self._worker = self._tasks.start(self._commit_queued(), "group_commit")
        return await pending.answer

    async def _commit_queued(self) -> None:
        while self._queue:
            group = self._next_group()
            try:
                await self._commit(group)
            finally:
                for pending in group:
                    pending.resolve(
                        Err(StoreError("the group commit ended without a result"))
                    )

    def _next_group(self) -> list[_Pending]:
        """Dequeue writes to distinct rows, oldest first."""
        group: dict[tuple[str, str], _Pending] = {}
        remaining: list[_Pending] = []
        while self._queue and len(group) < GROUP_MAX_WRITES:
            pending = self._queue.popleft()
            if pending.row_id in group:
                remaining.append(pending)
            else:
                group[pending.row_id] = pending
        self._queue.extendleft(reversed(remaining))
        return list(group.values())

    async def _commit(self, group: list[_Pending]) -> None:
        while group:
            result = await self._tables.transact(
                [_condition(pending.write) for pending in group],
                [_write(pending.write) for pending in group],
            )
            if result.is_err():
                _resolve_all(group, Err(result.unwrap_err()))
                return
            outcome = result.unwrap()
            if isinstance(outcome, Committed):
                _resolve_all(group, Ok(outcome))
                return
            group = _drop_conflicting(group, outcome)


def _condition(write: RowWrite) -> Condition:
    return Condition(write.table, write.key, write.version)


def _write(write: RowWrite) -> Write:
    return Write(write.table, write.key, write.value)


def _resolve_all(group: list[_Pending], result: WriteResult) -> None:
    for pending in group:
        pending.resolve(result)


def _drop_conflicting(group: list[_Pending], conflict: Conflict) -> list[_Pending]:
    """Resolve the writes in conflict; return the others.

    A conflict that names none of them would be retried without end: all fail.
    """
    rows = {(row.table, row.key): row for row in conflict.rows}
    remaining = []
    for pending in group:
        row = rows.get(pending.row_id)
        if row is None:
            remaining.append(pending)
        else:
            pending.resolve(Ok(row))
    if len(remaining) == len(group):
        _resolve_all(
            remaining, Err(StoreError("the conflict names no row of the transaction"))
        )
        return []
    return remaining
