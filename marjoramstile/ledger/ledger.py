"""The ledger of non-idempotent calls: claims them and records their answers."""

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
from marjoramstile.utils import BackgroundTasks

CLAIM_ATTEMPTS = 3
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0

logger = get_logger(__name__)


@dataclass(frozen=True)
class Permission:
    """Permits this daemon, and no other, to send the call once."""

    key: str
    claim: Claim
    row_version: int


@dataclass(frozen=True)
class Existing:
    """An existing claim does not permit sending; ``finding`` is the reason."""

    finding: Finding
    claim: Claim


ClaimResult = Result[Permission | Existing, StoreError]


class Ledger:
    """Claims calls and records their answers in the table service.

    Final states (an answer or a release) are written in the background and kept
    in memory until the table service has confirmed them.
    """

    def __init__(self, tables: TableService, tasks: BackgroundTasks):
        self._tables = tables
        self._committer = GroupCommitter(tables, tasks)
        self._tasks = tasks
        self._unwritten: dict[str, Claim] = {}

    @property
    def unwritten_count(self) -> int:
        """Number of answers and releases not yet confirmed by the table service."""
        return len(self._unwritten)

    async def claim(self, key: str, wanted: Claim) -> ClaimResult:
        """Claim a call; on an error the call must not be sent.

        A failed write may still take effect, so its outcome is found by reading the
        row, and after an error the claim is released in the background.
        """
        version = ABSENT
        error = StoreError("the row changed on every attempt")
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
        """Record the answer in the background, retrying until it is confirmed."""
        claim = permission.claim.done(answer)
        self._finish_in_background(permission.key, claim, permission.row_version)

    def release(self, permission: Permission) -> None:
        """Release the claim of a call that was certainly not executed."""
        claim = permission.claim.released()
        self._finish_in_background(permission.key, claim, permission.row_version)

    def _release_in_background(self, key: str, wanted: Claim) -> None:
        """Release a claim whose write may still take effect."""
        self._finish_in_background(key, wanted.released(), ABSENT)

    def _finish_in_background(self, key: str, claim: Claim, version: int) -> None:
        self._unwritten[claim.token] = claim
        self._tasks.start(self._finish(key, claim, version), "finish_claim")

    async def _finish(self, key: str, claim: Claim, version: int) -> None:
        """Write a claim's final state until it is confirmed or no longer applies."""
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
        """Return this daemon's claim in its final state while that is unconfirmed."""
        return self._unwritten.get(token)

    async def find(self, key: str) -> Result[Claim | None, StoreError]:
        """Return the claim stored under ``key``, None if there is none."""
        read = await self._tables.read(CLAIMS_TABLE, key)
        return read.map(_claim_from_row)


def _claim_from_row(row: Row) -> Claim | None:
    if row.value is None:
        return None
    return claim_from_value(row.value)


def _resolve_existing(
    key: str, row: Row, wanted: Claim
) -> Permission | Existing | None:
    """Return the result of a claim by the existing row, None if it may be replaced."""
    existing = _claim_from_row(row)
    finding = classify_claim(existing, wanted)
    if finding == Finding.OURS:
        return Permission(key, wanted, row.version)
    if finding == Finding.FREE:
        return None
    return Existing(finding, existing)


def _may_finish(row: Row, claim: Claim) -> bool:
    """Return whether the final state of ``claim`` may still replace ``row``.

    An answer only replaces its own claim. A release also replaces an absent or
    released row: that changes the row's version, so a delayed write of the claim
    conflicts.
    """
    existing = _claim_from_row(row)
    if existing is not None and existing.token == claim.token:
        return existing.state == ClaimState.CLAIMED
    if claim.state != ClaimState.RELEASED:
        return False
    return existing is None or existing.state == ClaimState.RELEASED
