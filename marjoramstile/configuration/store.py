"""The configuration's rows in the platform's table service.

``configuration/current`` names the version in force, ``configuration/staged`` the
change under way, ``configuration_history/N`` the edits of version N, and
``members/VM`` the daemons that a change must reach. Whole documents are kept as
snapshots in the object store, one for every ``SNAPSHOT_EVERY`` versions.
"""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from marjoramstile.configuration.documents import Configuration, parse_configuration
from marjoramstile.configuration.edits import (
    apply_edits,
    edits_from_json,
    edits_to_json,
)
from marjoramstile.configuration.member import MemberState, Proposal
from marjoramstile.ports.objects import ObjectStore
from marjoramstile.ports.tables import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Row,
    StoreError,
    TableService,
    Write,
)

TABLE = "configuration"
HISTORY_TABLE = "configuration_history"
MEMBERS_TABLE = "members"
CURRENT = "current"
STAGED = "staged"
SNAPSHOT_EVERY = 16

Outcome = Result[Committed | Conflict, StoreError]


@dataclass(frozen=True)
class CurrentVersion:
    """The version in force, its change, the last snapshot and the row's version."""

    version: int
    change_id: str
    snapshot_version: int
    row_version: int


@dataclass(frozen=True)
class StagedChange:
    """A staged change, the daemon that proposed it, its operator and row version."""

    proposal: Proposal
    proposer: str
    operator: str
    row_version: int


@dataclass(frozen=True)
class MemberRow:
    """A daemon that serves callers; ``peer_address`` is host:port."""

    vm: str
    incarnation: str
    peer_address: str
    row_version: int


class ConfigurationStore:
    """Reads and conditionally writes the configuration's rows."""

    def __init__(self, tables: TableService, objects: ObjectStore):
        self._tables = tables
        self._objects = objects

    async def read_current(self) -> Result[CurrentVersion, StoreError]:
        """Return the version in force; version 0 if none was committed yet."""
        answer = await self._tables.read(TABLE, CURRENT)
        return answer.map(_to_current)

    async def read_staged(self) -> Result[StagedChange | None, StoreError]:
        """Return the change under way, if any."""
        answer = await self._tables.read(TABLE, STAGED)
        return answer.map(_to_staged)

    async def read_change_id(self, version: int) -> Result[str | None, StoreError]:
        """Return the change that became ``version``, or None if none did."""
        answer = await self._tables.read(HISTORY_TABLE, str(version))
        return answer.map(lambda row: row.value["change_id"] if row.value else None)

    async def load(
        self, state: MemberState, current: CurrentVersion
    ) -> Result[Configuration, StoreError]:
        """Return the configuration of ``current``.

        It starts from ``state`` or the last snapshot and applies the later edits.
        """
        if state.loaded and current.snapshot_version <= state.version:
            base, version = state.configuration, state.version
        else:
            snapshot = await self._read_snapshot(current.snapshot_version)
            if snapshot.is_err():
                return snapshot
            base, version = snapshot.unwrap(), current.snapshot_version
        for number in range(version + 1, current.version + 1):
            applied = await self._apply_version(base, number)
            if applied.is_err():
                return applied
            base = applied.unwrap()
        return Ok(base)

    async def _read_snapshot(self, version: int) -> Result[Configuration, StoreError]:
        if version == 0:
            return Ok(Configuration())
        answer = await self._objects.get(_snapshot_name(version))
        if answer.is_err():
            return Err(answer.unwrap_err())
        data = answer.unwrap()
        if data is None:
            return Err(StoreError(f"no snapshot of version {version}"))
        parsed = parse_configuration(json.loads(data))
        return parsed.map_err(lambda faults: StoreError(f"bad snapshot: {faults[0]}"))

    async def _apply_version(
        self, base: Configuration, version: int
    ) -> Result[Configuration, StoreError]:
        answer = await self._tables.read(HISTORY_TABLE, str(version))
        if answer.is_err():
            return Err(answer.unwrap_err())
        row = answer.unwrap()
        if row.value is None:
            return Err(StoreError(f"no history of version {version}"))
        applied = apply_edits(base, edits_from_json(row.value["edits"]))
        return applied.map_err(lambda faults: StoreError(f"bad edits: {faults[0]}"))

    async def put_snapshot(
        self, version: int, configuration: Configuration
    ) -> Result[None, StoreError]:
        """Store the document of ``version``."""
        data = configuration.to_json().encode()
        return await self._objects.put(_snapshot_name(version), data)

    async def stage(self, proposal: Proposal, proposer: str, operator: str) -> Outcome:
        """Stage ``proposal`` if no other change is under way."""
        value = {
            "change_id": proposal.change_id,
            "version": proposal.version,
            "base_id": proposal.base_id,
            "edits": edits_to_json(proposal.edits),
            "proposer": proposer,
            "operator": operator,
        }
        return await self._tables.transact(
            [Condition(TABLE, STAGED, ABSENT)], [Write(TABLE, STAGED, value)]
        )

    async def commit(
        self, staged: StagedChange, current: CurrentVersion, snapshot_version: int
    ) -> Outcome:
        """Make the staged change the version in force, if it is still staged."""
        proposal = staged.proposal
        value = {
            "version": proposal.version,
            "change_id": proposal.change_id,
            "snapshot_version": snapshot_version,
        }
        history = {
            "change_id": proposal.change_id,
            "edits": edits_to_json(proposal.edits),
            "operator": staged.operator,
        }
        return await self._tables.transact(
            [
                Condition(TABLE, CURRENT, current.row_version),
                Condition(TABLE, STAGED, staged.row_version),
            ],
            [
                Write(TABLE, CURRENT, value),
                Write(TABLE, STAGED, None),
                Write(HISTORY_TABLE, str(proposal.version), history),
            ],
        )

    async def unstage(self, staged: StagedChange) -> Outcome:
        """Withdraw a staged change unless it was committed or withdrawn."""
        return await self._tables.transact(
            [Condition(TABLE, STAGED, staged.row_version)],
            [Write(TABLE, STAGED, None)],
        )

    async def read_members(self) -> Result[tuple[MemberRow, ...], StoreError]:
        """Return the daemons that a change must reach."""
        answer = await self._tables.scan(MEMBERS_TABLE)
        return answer.map(lambda rows: tuple(_to_member(row) for row in rows))

    async def read_member(self, vm: str) -> Result[Row, StoreError]:
        """Return the raw row of one daemon."""
        return await self._tables.read(MEMBERS_TABLE, vm)

    async def read_standing(
        self, vm: str
    ) -> Result[tuple[Row, CurrentVersion], StoreError]:
        """Return a daemon's raw row and the version in force, read concurrently.

        Two sequential reads of a slow store would take longer than a lease.
        """
        row, current = await asyncio.gather(self.read_member(vm), self.read_current())
        if row.is_err():
            return Err(row.unwrap_err())
        return current.map(lambda found: (row.unwrap(), found))

    async def put_member(
        self, vm: str, incarnation: str, peer_address: str, row_version: int
    ) -> Outcome:
        """Write a daemon's row over the one read at ``row_version``."""
        value = {"incarnation": incarnation, "peer_address": peer_address}
        return await self._tables.transact(
            [Condition(MEMBERS_TABLE, vm, row_version)],
            [Write(MEMBERS_TABLE, vm, value)],
        )

    async def remove_member(self, vm: str, row_version: int) -> Outcome:
        """Remove a daemon's row if it is still the one that was read."""
        return await self._tables.transact(
            [Condition(MEMBERS_TABLE, vm, row_version)],
            [Write(MEMBERS_TABLE, vm, None)],
        )


def _snapshot_name(version: int) -> str:
    return f"configuration-{version}"


def _to_current(row: Row) -> CurrentVersion:
    if row.value is None:
        return CurrentVersion(0, "", 0, row.version)
    return CurrentVersion(row_version=row.version, **row.value)


def _to_staged(row: Row) -> StagedChange | None:
    if row.value is None:
        return None
    proposal = Proposal(
        change_id=row.value["change_id"],
        version=row.value["version"],
        base_id=row.value["base_id"],
        edits=edits_from_json(row.value["edits"]),
    )
    return StagedChange(
        proposal, row.value["proposer"], row.value["operator"], row.version
    )


def _to_member(row: Row) -> MemberRow:
    value: dict[str, Any] = row.value or {}
    return MemberRow(row.key, value["incarnation"], value["peer_address"], row.version)
