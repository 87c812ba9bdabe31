"""Fake table service, object store and VM list with switchable faults."""

import asyncio
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field, replace

from result import Err, Ok, Result

from marjoramstile.ports.tables import (
    Committed,
    Condition,
    Conflict,
    Row,
    StoreError,
    Write,
)
from marjoramstile.ports.vms import ListedVM
from standins.tables import TableState

ANSWER_S = 0.002
TIMEOUT_S = 1.0


@dataclass
class FakePlatform:
    """State and faults that all daemons share.

    ``cut`` holds the daemons that can't reach it. The next ``lose_answers`` writes
    take effect without an answer; the next ``late_writes`` take effect only
    ``late_s`` after their sender has given up. Answers take ``slow_s``.
    """

    tables: TableState = field(default_factory=TableState)
    objects: dict[str, bytes] = field(default_factory=dict)
    vms: tuple[ListedVM, ...] = ()
    outage: bool = False
    cut: set[str] = field(default_factory=set)
    lose_answers: int = 0
    late_writes: int = 0
    late_s: float = 2.0
    slow_s: float = ANSWER_S

    async def reach(self, daemon: str) -> StoreError | None:
        """Wait until the platform answers; return an error on a timeout."""
        if self.outage or daemon in self.cut or self.slow_s > TIMEOUT_S:
            await asyncio.sleep(TIMEOUT_S)
            return StoreError("no answer in time")
        await asyncio.sleep(self.slow_s)
        return None


class FakeTables:
    """One daemon's client of the fake platform."""

    def __init__(self, platform: FakePlatform, daemon: str):
        self._platform = platform
        self._daemon = daemon

    async def read(self, table: str, key: str) -> Result[Row, StoreError]:
        """Read one row."""
        error = await self._platform.reach(self._daemon)
        if error is not None:
            return Err(error)
        return Ok(Row(**self._platform.tables.read(table, key)))

    async def scan(self, table: str) -> Result[tuple[Row, ...], StoreError]:
        """Read all rows of a table."""
        error = await self._platform.reach(self._daemon)
        if error is not None:
            return Err(error)
        return Ok(tuple(Row(**row) for row in self._platform.tables.scan(table)))

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[Committed | Conflict, StoreError]:
        """Commit ``writes`` if all ``conditions`` hold."""
        error = await self._platform.reach(self._daemon)
        if error is not None:
            return Err(error)
        if self._platform.late_writes > 0:
            self._platform.late_writes -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(
                TIMEOUT_S + self._platform.late_s, self._apply, conditions, writes
            )
            await asyncio.sleep(TIMEOUT_S)
            return Err(StoreError("no answer in time"))
        outcome = self._apply(conditions, writes)
        if self._platform.lose_answers > 0:
            self._platform.lose_answers -= 1
            await asyncio.sleep(TIMEOUT_S)
            return Err(StoreError("no answer in time"))
        return Ok(outcome)

    def _apply(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflict:
        outcome = self._platform.tables.transact(
            [asdict(condition) for condition in conditions],
            [asdict(write) for write in writes],
        )
        if outcome["committed"]:
            return Committed(outcome["version"])
        return Conflict(tuple(Row(**row) for row in outcome["rows"]))


class FakeObjects:
    """One daemon's client of the fake object store."""

    def __init__(self, platform: FakePlatform, daemon: str):
        self._platform = platform
        self._daemon = daemon

    async def get(self, name: str) -> Result[bytes | None, StoreError]:
        """Return an object, or None if there is none."""
        error = await self._platform.reach(self._daemon)
        return Err(error) if error else Ok(self._platform.objects.get(name))

    async def put(self, name: str, data: bytes) -> Result[None, StoreError]:
        """Store an object."""
        error = await self._platform.reach(self._daemon)
        if error is not None:
            return Err(error)
        self._platform.objects[name] = data
        return Ok(None)


class FakeVMList:
    """One daemon's client of the fake VM list."""

    def __init__(self, platform: FakePlatform, daemon: str):
        self._platform = platform
        self._daemon = daemon

    async def list_vms(self) -> Result[tuple[ListedVM, ...], StoreError]:
        """Return the list of VMs."""
        error = await self._platform.reach(self._daemon)
        return Err(error) if error else Ok(self._platform.vms)


def with_state(vms: Sequence[ListedVM], name: str, state) -> tuple[ListedVM, ...]:
    """Return the list with one VM in another state."""
    return tuple(replace(vm, state=state) if vm.name == name else vm for vm in vms)
