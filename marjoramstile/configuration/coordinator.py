"""Puts a configuration change in force on every member, or refuses it.

Steps: stage the change (only one can be staged at a time), let every member
prepare it, remove unreachable members and wait until their leases have expired
despite clock drift, commit by one conditional write, notify the members. The change
is in force if and only if the commit took effect; a lost answer is resolved by
repeating the write and, on a conflict, reading the history.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from marjoramstile.configuration.edits import Edit, apply_edits
from marjoramstile.configuration.freshness import LEASE_S, may_commit
from marjoramstile.configuration.keeper import (
    WITHDRAW_AFTER_S,
    ConfigurationKeeper,
    ConfigurationPeers,
)
from marjoramstile.configuration.member import PrepareAnswer, Proposal
from marjoramstile.configuration.store import (
    SNAPSHOT_EVERY,
    ConfigurationStore,
    CurrentVersion,
    MemberRow,
    StagedChange,
)
from marjoramstile.logs import get_logger
from marjoramstile.ports.tables import Committed
from marjoramstile.results import Failure, Ran, ResultCode
from marjoramstile.utils import loop_time, new_token

PREPARE_ATTEMPTS = 2
PREPARE_RETRY_DELAY_S = 0.3
CLOCK_DRIFT_MARGIN_S = 0.2
COMMIT_TIMEOUT_S = 8.0
COMMIT_RETRY_DELAY_S = 0.25
RETRY_AFTER_S = 5.0

logger = get_logger(__name__)


@dataclass(frozen=True)
class Accepted:
    """A change in force as ``version``.

    ``member_count`` includes the members removed during the change.
    """

    change_id: str
    version: int
    member_count: int


@dataclass(frozen=True)
class _Change:
    """A staged change, the version it follows, and the last snapshot's version."""

    staged: StagedChange
    current: CurrentVersion
    snapshot_version: int


ChangeResult = Result[Accepted, Failure]


class ChangeCoordinator:
    """Runs the configuration changes that operators submit to this daemon."""

    def __init__(
        self,
        vm: str,
        store: ConfigurationStore,
        peers: ConfigurationPeers,
        keeper: ConfigurationKeeper,
    ):
        self._vm = vm
        self._store = store
        self._peers = peers
        self._keeper = keeper
        self._staged_since: tuple[int, float] | None = None

    async def change(self, edits: Sequence[Edit], operator: str) -> ChangeResult:
        """Put all ``edits`` in force on every member, or none of them.

        The error has the code CHANGE_OUTCOME_UNKNOWN if the store's answer to the
        commit was lost and couldn't be resolved.
        """
        read = await self._store.read_current()
        if read.is_err():
            return Err(_store_down(read.unwrap_err().message))
        current = read.unwrap()
        checked = await self._validate(current, edits)
        if checked.is_err():
            return Err(checked.unwrap_err())
        snapshot_version = checked.unwrap()
        proposal = Proposal(
            new_token(), current.version + 1, current.change_id, tuple(edits)
        )
        staged = await self._stage(proposal, operator)
        if staged.is_err():
            return Err(staged.unwrap_err())
        change = _Change(staged.unwrap(), current, snapshot_version)
        return await self._prepare_and_commit(change)

    async def _validate(
        self, current: CurrentVersion, edits: Sequence[Edit]
    ) -> Result[int, Failure]:
        """Refuse edits that don't apply; return the version of the last snapshot.

        Stores a new snapshot first if ``SNAPSHOT_EVERY`` versions have passed.
        """
        loaded = await self._store.load(self._keeper.state, current)
        if loaded.is_err():
            return Err(_store_down(loaded.unwrap_err().message))
        configuration = loaded.unwrap()
        applied = apply_edits(configuration, edits)
        if applied.is_err():
            message = "; ".join(applied.unwrap_err())
            return Err(Failure(ResultCode.BAD_CONFIGURATION, message))
        if current.version - current.snapshot_version < SNAPSHOT_EVERY:
            return Ok(current.snapshot_version)
        stored = await self._store.put_snapshot(current.version, configuration)
        return Ok(current.version if stored.is_ok() else current.snapshot_version)

    async def _stage(
        self, proposal: Proposal, operator: str
    ) -> Result[StagedChange, Failure]:
        """Stage the proposal; a lost answer is resolved by reading back."""
        written = await self._store.stage(proposal, self._vm, operator)
        read = await self._store.read_staged()
        if read.is_err():
            return Err(_store_down("the change could not be staged"))
        staged = read.unwrap()
        if staged is not None and staged.proposal.change_id == proposal.change_id:
            return Ok(staged)
        if staged is None:
            reason = "the change could not be staged"
            return Err(_store_down(reason) if written.is_err() else _lost_race(None))
        return Err(_lost_race(staged))

    async def withdraw_stuck(self) -> None:
        """Withdraw a change staged for ``WITHDRAW_AFTER_S``; run periodically."""
        read = await self._store.read_staged()
        staged = read.unwrap_or(None)
        now = loop_time()
        if staged is None:
            self._staged_since = None
        elif self._staged_since is None or self._staged_since[0] != staged.row_version:
            self._staged_since = (staged.row_version, now)
        elif now - self._staged_since[1] >= WITHDRAW_AFTER_S:
            logger.warning("stuck_change_withdrawn", by=staged.proposer)
            await self._store.unstage(staged)

    async def _prepare_and_commit(self, change: _Change) -> ChangeResult:
        staged = change.staged
        read = await self._store.read_members()
        if read.is_err():
            return await self._refuse(staged, (), "the members could not be read")
        members = read.unwrap()
        answers = await asyncio.gather(
            *(self._prepare(member, staged.proposal) for member in members)
        )
        unreachable = [m for m, a in zip(members, answers, strict=True) if a is None]
        rejections = [
            f"{member.vm} answered {answer}"
            for member, answer in zip(members, answers, strict=True)
            if answer is not None and answer != PrepareAnswer.PREPARED
        ]
        if rejections:
            return await self._refuse(staged, members, ", ".join(rejections))
        prepared = len(members) - len(unreachable)
        if not may_commit(prepared, len(members)):
            reason = f"only {prepared} of {len(members)} members can be reached"
            return await self._refuse(staged, members, reason)
        if unreachable and not await self._remove_unreachable(unreachable):
            return await self._refuse(staged, members, "members changed meanwhile")
        return await self._commit(change, members)

    async def _prepare(
        self, member: MemberRow, proposal: Proposal
    ) -> PrepareAnswer | None:
        answer = None
        for _ in range(PREPARE_ATTEMPTS):
            answer = await self._peers.prepare(member, proposal)
            if answer == PrepareAnswer.PREPARED:
                return answer
            await asyncio.sleep(PREPARE_RETRY_DELAY_S)
        return answer

    async def _remove_unreachable(self, unreachable: Sequence[MemberRow]) -> bool:
        """Remove unreachable members and wait until their leases have expired."""
        for member in unreachable:
            removed = await self._store.remove_member(member.vm, member.row_version)
            if removed.is_err() or not isinstance(removed.unwrap(), Committed):
                return False
            logger.warning("unreachable_member_removed", vm=member.vm)
        await asyncio.sleep(LEASE_S + CLOCK_DRIFT_MARGIN_S)
        return True

    async def _commit(
        self, change: _Change, members: Sequence[MemberRow]
    ) -> ChangeResult:
        deadline = loop_time() + COMMIT_TIMEOUT_S
        while loop_time() < deadline:
            outcome = await self._store.commit(
                change.staged, change.current, change.snapshot_version
            )
            if outcome.is_ok():
                return await self._resolve_outcome(
                    change.staged, members, outcome.unwrap()
                )
            await asyncio.sleep(COMMIT_RETRY_DELAY_S)
        return Err(_outcome_unknown(change.staged.proposal))

    async def _resolve_outcome(
        self, staged: StagedChange, members: Sequence[MemberRow], outcome: object
    ) -> ChangeResult:
        proposal = staged.proposal
        committed = isinstance(outcome, Committed)
        if not committed:
            read = await self._store.read_change_id(proposal.version)
            if read.is_err():
                return Err(_outcome_unknown(proposal))
            committed = read.unwrap() == proposal.change_id
        if not committed:
            return await self._refuse(staged, members, "it was withdrawn meanwhile")
        await self._notify_members(members, proposal.change_id, committed=True)
        logger.info("change_accepted", version=proposal.version, by=staged.operator)
        return Ok(Accepted(proposal.change_id, proposal.version, len(members)))

    async def _refuse(
        self, staged: StagedChange, members: Sequence[MemberRow], reason: str
    ) -> ChangeResult:
        """Withdraw the change; it can't take effect once it is no longer staged."""
        withdrawn = await self._store.unstage(staged)
        if withdrawn.is_ok():
            await self._notify_members(
                members, staged.proposal.change_id, committed=False
            )
        logger.info("change_refused", by=staged.operator, reason=reason)
        return Err(Failure(ResultCode.CHANGE_REFUSED, f"refused: {reason}"))

    async def _notify_members(
        self, members: Sequence[MemberRow], change_id: str, committed: bool
    ) -> None:
        await asyncio.gather(
            *(self._peers.finish(member, change_id, committed) for member in members)
        )


def _store_down(message: str) -> Failure:
    return Failure(ResultCode.STORE_UNAVAILABLE, message, retry_after_s=RETRY_AFTER_S)


def _lost_race(winner: StagedChange | None) -> Failure:
    if winner is None:
        message = "another change was first; read the configuration again"
    else:
        message = (
            f"change {winner.proposal.change_id} of operator {winner.operator}"
            f" at {winner.proposer} is under way"
        )
    return Failure(ResultCode.CHANGE_LOST_RACE, message, retry_after_s=RETRY_AFTER_S)


def _outcome_unknown(proposal: Proposal) -> Failure:
    return Failure(
        ResultCode.CHANGE_OUTCOME_UNKNOWN,
        f"ask later for change {proposal.change_id} (version {proposal.version})",
        ran=Ran.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )
