"""Keeps one daemon's configuration up to date, and fences it where it may not be."""

import asyncio
import random
from collections.abc import Sequence
from typing import Protocol

from marjoramstile.configuration.documents import Configuration
from marjoramstile.configuration.freshness import (
    LEASE_S,
    SERVING_STANDINGS,
    PeerFreshness,
    Standing,
    standing_from_peers,
)
from marjoramstile.configuration.member import (
    MemberState,
    PrepareAnswer,
    Proposal,
    abort,
    commit_prepared,
    fenced_scope,
    install,
    prepare,
)
from marjoramstile.configuration.store import (
    ConfigurationStore,
    CurrentVersion,
    MemberRow,
)
from marjoramstile.logs import get_logger
from marjoramstile.ports.tables import Committed
from marjoramstile.results import Failure, ResultCode
from marjoramstile.utils import loop_time

CONFIRM_PERIOD_S = 2.5
MEMBERS_PERIOD_S = 60.0
RESOLVE_AFTER_S = 3.0
WITHDRAW_AFTER_S = 15.0
FENCED_RETRY_AFTER_S = 2.0

logger = get_logger(__name__)


class ConfigurationPeers(Protocol):
    """Messages about the configuration that members send each other."""

    async def prepare(
        self, member: MemberRow, proposal: Proposal
    ) -> PrepareAnswer | None:
        """Ask a member to prepare; None if it didn't answer."""

    async def finish(self, member: MemberRow, change_id: str, committed: bool) -> None:
        """Notify a member of the outcome of a change."""

    async def freshness(
        self, member: MemberRow, vm: str, incarnation: str
    ) -> PeerFreshness | None:
        """Ask a member for its highest version; None if it didn't answer."""


class ConfigurationKeeper:
    """The member's side of configuration changes on one daemon.

    Owns the daemon's member state, its row in the store, and its standing with the
    lease that limits it.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        peer_address: str,
        store: ConfigurationStore,
        peers: ConfigurationPeers,
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._peer_address = peer_address
        self._store = store
        self._peers = peers
        self._state = MemberState()
        self._standing = Standing.CUT_OFF
        self._lease_until = float("-inf")
        self._row_version: int | None = None
        self._members: tuple[MemberRow, ...] = ()
        self._members_read_at = float("-inf")

    @property
    def state(self) -> MemberState:
        """The configuration in force and the prepared one."""
        return self._state

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._state.configuration

    @property
    def standing(self) -> Standing:
        """What this daemon may do now; an expired lease counts as cut off."""
        return self._standing if loop_time() < self._lease_until else Standing.CUT_OFF

    @property
    def members(self) -> tuple[MemberRow, ...]:
        """The members as this daemon last read them from the store."""
        return self._members

    def refusal(self, service: str, workspace: str) -> Failure | None:
        """Return why a request must be refused now, or None if it may be served."""
        if self.standing not in SERVING_STANDINGS:
            return _fenced(f"this daemon is {self.standing.replace('_', ' ')}")
        if fenced_scope(self._state, loop_time()).affects(service, workspace):
            return _fenced("a configuration change is being settled")
        return None

    async def step(self) -> None:
        """Confirm the configuration and resolve a prepared change; run periodically."""
        if self._row_version is None:
            await self._join()
        else:
            await self._confirm()
        prepared = self._state.prepared
        if (
            prepared is not None
            and loop_time() - prepared.prepared_at >= RESOLVE_AFTER_S
        ):
            await self._resolve_prepared()

    async def leave(self) -> None:
        """Remove this daemon from the members that a change must reach."""
        if self._row_version is not None:
            await self._store.remove_member(self._vm, self._row_version)
        self._standing = Standing.CUT_OFF

    async def _join(self) -> None:
        """Register before reading, so that no change can be missed."""
        row = await self._store.read_member(self._vm)
        if row.is_err():
            return
        old_version = row.unwrap().version
        written = await self._store.put_member(
            self._vm, self._incarnation, self._peer_address, old_version
        )
        if written.is_err() or not isinstance(written.unwrap(), Committed):
            return
        started = loop_time()
        row = await self._store.read_member(self._vm)
        if row.is_err() or not self._is_own_row(row.unwrap().value):
            return
        if not await self._adopt_staged():
            return
        self._extend_lease(started, Standing.CONFIRMED)
        self._row_version = row.unwrap().version
        await self._read_members(started)
        logger.info("member_joined", vm=self._vm, version=self._state.version)

    def _is_own_row(self, value: dict | None) -> bool:
        return value is not None and value["incarnation"] == self._incarnation

    async def _adopt_staged(self) -> bool:
        """Prepare a change that was staged before this member registered."""
        staged = await self._store.read_staged()
        if staged.is_err() or not await self._refresh():
            return False
        found = staged.unwrap()
        if found is not None:
            self._state, _ = prepare(self._state, found.proposal, loop_time())
        return True

    async def _refresh(self) -> bool:
        """Read the version in force and install it; return whether that succeeded."""
        current = await self._store.read_current()
        return current.is_ok() and await self._install(current.unwrap())

    async def _install(self, current: CurrentVersion) -> bool:
        if self._state.loaded and current.version <= self._state.version:
            return True
        loaded = await self._store.load(self._state, current)
        if loaded.is_err():
            return False
        self._state = install(
            self._state, current.version, current.change_id, loaded.unwrap()
        )
        logger.info("configuration_installed", version=current.version)
        return True

    def _extend_lease(self, started: float, standing: Standing) -> None:
        if standing != self._standing:
            logger.info("standing_changed", old=self._standing, new=standing)
        self._standing = standing
        self._lease_until = started + LEASE_S

    async def _confirm(self) -> None:
        """Extend the lease by a read of the store, or else by the peers' answers."""
        started = loop_time()
        read = await self._store.read_standing(self._vm)
        if read.is_err():
            await self._ask_peers(started)
            return
        row, current = read.unwrap()
        if not self._is_own_row(row.value):
            self._rejoin()
            return
        if not await self._install(current):
            await self._ask_peers(started)
            return
        self._extend_lease(started, Standing.CONFIRMED)
        if started - self._members_read_at >= MEMBERS_PERIOD_S:
            await self._read_members(started)

    async def _read_members(self, started: float) -> None:
        members = await self._store.read_members()
        if members.is_ok():
            self._members = members.unwrap()
            self._members_read_at = started

    def _rejoin(self) -> None:
        logger.warning("member_removed", vm=self._vm)
        self._row_version = None
        self._standing = Standing.CUT_OFF

    async def _ask_peers(self, started: float) -> None:
        """Determine the standing from the peers, as the store doesn't answer.

        Not needed while the lease lasts beyond the next period.
        """
        if started + CONFIRM_PERIOD_S < self._lease_until:
            return
        others = [member for member in self._members if member.vm != self._vm]
        random.shuffle(others)
        half = len(others) // 2 + 1
        answers = await self._query_peers(others[:half])
        if len(answers) < half:
            answers += await self._query_peers(others[half:])
        self._learn_commit(answers)
        standing = standing_from_peers(
            self._state.highest_version, len(others) + 1, answers
        )
        self._extend_lease(started, standing)

    async def _query_peers(self, members: Sequence[MemberRow]) -> list[PeerFreshness]:
        found = await asyncio.gather(
            *(
                self._peers.freshness(member, self._vm, self._incarnation)
                for member in members
            )
        )
        return [answer for answer in found if answer is not None]

    def _learn_commit(self, answers: Sequence[PeerFreshness]) -> None:
        for answer in answers:
            self._state = commit_prepared(self._state, answer.in_force_id)

    async def _resolve_prepared(self) -> None:
        """Resolve the prepared change from the store; withdraw it if it is old."""
        prepared = self._state.prepared
        staged = await self._store.read_staged()
        if staged.is_err() or not await self._refresh():
            await self._ask_peers(loop_time())
            return
        found = staged.unwrap()
        change_id = prepared.proposal.change_id
        if found is None or found.proposal.change_id != change_id:
            self._state = abort(self._state, change_id)
        elif loop_time() - prepared.prepared_at >= WITHDRAW_AFTER_S:
            await self._store.unstage(found)

    async def on_prepare(self, proposal: Proposal) -> PrepareAnswer:
        """Answer a coordinator's proposal; catch up first if this member is behind."""
        self._state, answer = prepare(self._state, proposal, loop_time())
        if answer != PrepareAnswer.PREPARED:
            await self._resolve_or_refresh()
            self._state, answer = prepare(self._state, proposal, loop_time())
        return answer

    async def _resolve_or_refresh(self) -> None:
        if self._state.prepared is not None:
            await self._resolve_prepared()
        else:
            await self._refresh()

    def on_finish(self, change_id: str, committed: bool) -> None:
        """Apply the outcome of a change, as its coordinator reports it."""
        if committed:
            self._state = commit_prepared(self._state, change_id)
            logger.info("configuration_in_force", version=self._state.version)
        else:
            self._state = abort(self._state, change_id)

    async def on_freshness(self, vm: str, incarnation: str) -> PeerFreshness:
        """Answer a peer with the highest version, read from the store if confirmed."""
        known = self._state.highest_version
        in_force_id = self._state.change_id
        if self.standing != Standing.CONFIRMED:
            return PeerFreshness(known, in_force_id)
        read = await self._store.read_standing(vm)
        if read.is_err():
            return PeerFreshness(known, in_force_id)
        row, current = read.unwrap()
        removed = row.value is None or row.value["incarnation"] != incarnation
        version = max(known, current.version)
        return PeerFreshness(version, in_force_id, removed, confirmed=not removed)


def _fenced(reason: str) -> Failure:
    return Failure(ResultCode.FENCED, reason, retry_after_s=FENCED_RETRY_AFTER_S)
