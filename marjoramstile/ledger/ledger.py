"""The ledger of non-idempotent calls: claim, record, release, look up."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from marjoramstile.ledger.claims import (
    CLAIMS_TABLE,
    Claim,
    ClaimState,
    Finding,
    RecordedAnswer,
    claim_from_value,
    classify_claim,
)
from marjoramstile.ledger.group_commit import GroupCommitter, RowWrite
from marjoramstile.logs import get_logger
from marjoramstile.ports.tables import (
    ABSENT,
    Committed,
    Row,
    StoreError,
    TableService,
)
from marjoramstile.utils import TaskGroupOwner

CLAIM_ATTEMPTS = 3
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0

logger = get_logger(__name__)


@dataclass(frozen=True)
class Permission:
    """This daemon, and no other, may send the call now, once."""

    key: str
    claim: Claim
    row_version: int


@dataclass(frozen=True)
class Existing:
    """The row does not permit sending; ``finding`` says why."""

    finding: Finding
    claim: Claim


ClaimResult = Result[Permission | Existing, StoreError]


class Ledger:
    """Claims calls and records their answers in the table service."""

    def __init__(self, tables: TableService, tasks: TaskGroupOwner):
        self._tables = tables
        self._committer = GroupCommitter(tables, tasks)
        self._tasks = tasks
        self._unwritten: dict[str, Claim] = {}

    @property
    def unwritten_count(self) -> int:
        """Answers and releases that the table service has not confirmed yet."""
        return len(self._unwritten)

    async def claim(self, key: str, wanted: Claim) -> ClaimResult:
        """Ask for the permission to send; after an error it is never given."""
        version = ABSENT
        error = StoreError("the row changed again and again")
        for _ in range(CLAIM_ATTEMPTS):
            written = await self._write(key, version, wanted)
            if written.is_ok() and isinstance(written.unwrap(), Committed):
                return Ok(Permission(key, wanted, written.unwrap().version))
            if written.is_ok():
                row = written.unwrap()
            else:
                error = written.unwrap_err()
                read = await self._tables.read(CLAIMS_TABLE, key)
                if read.is_err():
                    break
                row = read.unwrap()
            found = _resolve_existing(key, row, wanted)
            if found is not None:
                return Ok(found)
            version = row.version
        self._release_in_background(key, wanted)
        return Err(error)

    async def _write(self, key: str, version: int, claim: Claim):
        return await self._committer.write(
            RowWrite(CLAIMS_TABLE, key, version, claim.to_value())
        )

    def record(self, permission: Permission, answer: RecordedAnswer) -> None:
        """Record the answer in the background, again until it is confirmed."""
        claim = permission.claim.done(answer)
        self._finish_in_background(permission.key, claim, permission.row_version)

    def release(self, permission: Permission) -> None:
        """Give the permission back; only for a call that surely was not sent."""
        claim = permission.claim.released()
        self._finish_in_background(permission.key, claim, permission.row_version)

    def _release_in_background(self, key: str, wanted: Claim) -> None:
        """Make sure that a claim whose writing got no answer doesn't stay."""
        self._finish_in_background(key, wanted.released(), ABSENT)

    def _finish_in_background(self, key: str, claim: Claim, version: int) -> None:
        self._unwritten[claim.token] = claim
        self._tasks.start(self._finish(key, claim, version), "finish_claim")

    async def _finish(self, key: str, claim: Claim, version: int) -> None:
        """Write the last state of our claim until it is confirmed or moot."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            written = await self._write(key, version, claim)
            if written.is_ok():
                outcome = written.unwrap()
                if isinstance(outcome, Committed) or not _may_finish(outcome, claim):
                    break
                version = outcome.version
                continue
            logger.warning("claim_write_repeated", key=key, state=claim.state)
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        self._unwritten.pop(claim.token, None)

    def unwritten(self, token: str) -> Claim | None:
        """Return the last state of our claim if it is not confirmed yet."""
        return self._unwritten.get(token)

    async def find(self, key: str) -> Result[Claim | None, StoreError]:
        """Look a claim up by its key."""
        read = await self._tables.read(CLAIMS_TABLE, key)
        return read.map(_claim_from_row)


def _claim_from_row(row: Row) -> Claim | None:
    if row.value is None:
        return None
    return claim_from_value(row.value)


def _resolve_existing(
    key: str, row: Row, wanted: Claim
) -> Permission | Existing | None:
    """Return what the row means, or None if it may be written over."""
    existing = _claim_from_row(row)
    finding = classify_claim(existing, wanted)
    if finding == Finding.OURS:
        return Permission(key, wanted, row.version)
    if finding == Finding.FREE:
        return None
    return Existing(finding, existing)


def _may_finish(row: Row, claim: Claim) -> bool:
    """Tell whether our last state may still be written over ``row``.

    An answer goes over our own claim only. A release also goes over an absent or
    released row, so that our claim, if it is still on its way, conflicts.
    """
    existing = _claim_from_row(row)
    if existing is not None and existing.token == claim.token:
        return existing.state == ClaimState.CLAIMED
    if claim.state != ClaimState.RELEASED:
        return False
    return existing is None or existing.state == ClaimState.RELEASED
