"""Charges requests to the quotas of their workspaces, before they are run."""

import asyncio
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import Protocol

from marjoramstile.logs import get_logger
from marjoramstile.membership.view import Peer, View
from marjoramstile.quotas.messages import (
    OwnerRole,
    QuotaAnswer,
    QuotaMessage,
    QuotaReport,
    QuotaRequest,
    Sender,
    SpenderState,
)
from marjoramstile.quotas.owner import AccountKey, QuotaOwner, Reply
from marjoramstile.quotas.ranking import OwnerRanking
from marjoramstile.quotas.spending import SpendingAccount
from marjoramstile.quotas.windows import Allowance, QuotaBounds, units_of
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.requests import GenerationSize
from marjoramstile.utils import BackgroundTasks, loop_time
from marjoramstile.workspaces.table import Workspace

# Times to wait for a daemon's answer, which it gives from memory. The first datagram
# may be lost; the owner knows a repeated one.
OWNER_TIMEOUTS_S = (0.06, 0.06, 0.08)
# A deputy passes the request on to the owner first, and answers itself if that is
# silent.
RELAY_TIMEOUTS_S = (0.06, 0.06, 0.06)
DEPUTY_TIMEOUTS_S = (0.25,)
# Time for which a daemon that did not answer is not asked again.
SILENT_BACKOFF_S = 1.0
# Time since an owner's last message before a deputy takes over: it gets some each
# second, and lost ones don't make it silent for this long.
TAKE_OVER_S = 0.6
# Period in which a daemon that has spent units in the window tells the owner its state.
REPORT_S = 1.0
# States in one message, so that it fits into a frame with names of usual length.
STATES_MAX = 8
# Wait that is told while the number of daemons is not known yet.
UNKNOWN_FLEET_WAIT_S = 0.5
# Least wait of a denial: 0 stands for a grant.
WAIT_MIN_S = 0.005
# Longest time for which requests wait for units of a new owner before they are refused,
# and the least time until it is asked again.
NEW_OWNER_WAIT_S = 1.0
NEW_OWNER_PAUSE_S = 0.1

logger = get_logger(__name__)


class QuotaSender(Protocol):
    """Sends messages to other daemons, which may be lost."""

    def send(self, peer: Peer, message: QuotaMessage) -> None:
        """Send a message to the daemon on a peer's VM."""


@dataclass(frozen=True)
class QuotaCharge:
    """Units that a request was charged."""

    key: AccountKey
    units: float


@dataclass(frozen=True)
class QuotaDecision:
    """Whether a request may run, and if not, when to send it again.

    ``charge`` is to be given back if it does not run.
    """

    granted: bool
    wait_s: float = 0.0
    charge: QuotaCharge | None = None


FREE = QuotaDecision(True)


@dataclass
class _Waiting:
    """A request that waits for units; the result is its wait, 0 if it may run."""

    units: float
    since: float = field(default_factory=loop_time)
    result: asyncio.Future[float] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def settle(self, wait_s: float) -> None:
        if not self.result.done():
            self.result.set_result(wait_s)


class QuotaClient:
    """Spends the units that this daemon holds, and asks their owners for more.

    Requests of a workspace that find too few units wait for one answer together. They
    ask a new owner again within a moment, as it grants less at first than was used.
    """

    def __init__(
        self,
        view: View,
        ranking: OwnerRanking,
        owner: QuotaOwner,
        sender: QuotaSender,
        bounds: QuotaBounds,
        daemon_count: Callable[[], int | None],
        metrics: Metrics,
        tasks: BackgroundTasks,
        rng: random.Random,
    ):
        """``daemon_count`` returns None while the other daemons are unknown."""
        self._view = view
        self._ranking = ranking
        self._owner = owner
        self._sender = sender
        self._bounds = bounds
        self._daemon_count = daemon_count
        self._metrics = metrics
        self._tasks = tasks
        self._rng = rng
        self._numbers = itertools.count(1)
        self._accounts: dict[AccountKey, SpendingAccount] = {}
        self._waiting: dict[AccountKey, deque[_Waiting]] = {}
        self._asking: set[AccountKey] = set()
        self._answers: dict[tuple[str, int], asyncio.Future[QuotaAnswer]] = {}
        self._silent_until: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._owners: dict[AccountKey, str] = {}
        self._reported_at: dict[AccountKey, float] = {}
        owner.connect(
            self._is_gone, self._start_relay, self._send_to, self._record_heard
        )

    @property
    def accounts(self) -> tuple[SpendingAccount, ...]:
        """The accounts of the workspaces that this daemon has served lately."""
        return tuple(self._accounts.values())

    def account(self, key: AccountKey) -> SpendingAccount | None:
        """Return the account of a workspace, if this daemon has served it lately."""
        return self._accounts.get(key)

    def owner_of(self, workspace: str) -> str:
        """Return the VM of the daemon that owns a workspace in this one's view."""
        ranked = self._ranking.ranked(workspace, loop_time())
        return ranked[0] if ranked else ""

    async def acquire(
        self,
        workspace: Workspace,
        size: GenerationSize | None,
        request_id: str = "",
    ) -> QuotaDecision:
        """Charge a request to its workspace; it must not run if that is denied."""
        quota = workspace.quota
        if quota is None or (units := units_of(quota, size)) <= 0:
            return FREE
        key = (workspace.name, quota.unit)
        account = self._account(key)
        account.allowance = Allowance.of(quota, self._bounds)
        if units > account.allowance.most:
            # It could never be granted, and asking for it would take the others' units.
            wait_s = self._bounds.window_s
        else:
            wait_s = await self._take(key, account, units)
        if not wait_s:
            self._metrics.count("quota_granted", workspace.name)
            return QuotaDecision(True, charge=QuotaCharge(key, units))
        wait_s = account.promise_s(units, wait_s, self._rng, loop_time())
        self._metrics.count("quota_refused", workspace.name)
        logger.info(
            "quota_refused",
            request=request_id,
            workspace=workspace.name,
            owner=self.owner_of(workspace.name),
            units=units,
            own_recent=round(account.recent(loop_time()), 3),
            allowance=round(account.allowance.units, 3),
            retry_after_s=round(wait_s, 3),
        )
        return QuotaDecision(False, wait_s)

    async def _take(
        self, key: AccountKey, account: SpendingAccount, units: float
    ) -> float:
        """Spend units; return 0, or the time after which they may be there."""
        now = loop_time()
        waiting = self._waiting.get(key)
        if not waiting and account.take(units, now):
            if account.wants_refill(now):
                self._start_asking(key)
            return 0.0
        denied_s = account.denied_s(units, now)
        if denied_s > 0:
            return denied_s
        item = _Waiting(units)
        self._waiting.setdefault(key, deque()).append(item)
        if self._candidates(account):
            self._start_asking(key)
        else:
            self._decide_alone(account, self._take_batch(key))
        try:
            return await item.result
        except asyncio.CancelledError:
            if item.result.done() and not item.result.cancelled():
                self._return_unused(account, item)
            raise

    @staticmethod
    def _return_unused(account: SpendingAccount, item: _Waiting) -> None:
        """Return the units of a request whose caller left as they were granted."""
        if item.result.result() == 0:
            account.give_back(item.units, loop_time())

    def give_back(self, charge: QuotaCharge | None) -> None:
        """Return the units of a request that was refused and has not run."""
        if charge is not None:
            self._metrics.count("quota_given_back", charge.key[0])
            self._account(charge.key).give_back(charge.units, loop_time())

    def _account(self, key: AccountKey) -> SpendingAccount:
        account = self._accounts.get(key)
        if account is None:
            account = SpendingAccount(*key, self._bounds.window_s)
            self._accounts[key] = account
        return account

    def _start_asking(self, key: AccountKey) -> None:
        if key not in self._asking:
            self._asking.add(key)
            self._tasks.start(self._ask_while_wanted(key), f"quota of {key[0]}")

    async def _ask_while_wanted(self, key: AccountKey) -> None:
        """Ask for units, one request at a time, while requests wait for some."""
        batch: list[_Waiting] = []
        try:
            while True:
                batch = self._take_batch(key)
                pause_s = await self._ask_for(key, batch)
                if not self._waiting.get(key):
                    return
                await asyncio.sleep(pause_s)
        finally:
            self._asking.discard(key)
            for item in batch + self._take_batch(key):
                item.settle(UNKNOWN_FLEET_WAIT_S)

    def _take_batch(self, key: AccountKey) -> list[_Waiting]:
        """Return the requests that wait, without those whose callers have left."""
        waiting = self._waiting.pop(key, ())
        return [item for item in waiting if not item.result.done()]

    async def _ask_for(self, key: AccountKey, batch: list[_Waiting]) -> float:
        """Ask for units; return the pause before those left are asked for again."""
        account = self._account(key)
        asked_at = loop_time()
        answer = await self._ask_by_rank(account, batch)
        batch = [item for item in batch if not item.result.done()]
        if answer is None:
            self._decide_alone(account, batch)
            return 0.0
        now = loop_time()
        account.add(max(0.0, answer.granted) + max(0.0, answer.ahead), asked_at)
        smallest = min((item.units for item in batch), default=0.0)
        pause_s = 0.0
        for item in batch:
            if account.take(item.units, now):
                item.settle(0.0)
                continue
            wait_s = self._wait_s(account, item.units, smallest, answer)
            ends_at = item.since + NEW_OWNER_WAIT_S
            if not answer.role.is_settled and now + wait_s <= ends_at:
                self._waiting.setdefault(key, deque()).append(item)
                pause_s = max(pause_s, wait_s, NEW_OWNER_PAUSE_S)
            elif answer.role.grants:
                account.deny(item.units, wait_s, now)
                item.settle(wait_s)
            else:
                self._decide_alone(account, [item])
        if answer.role.grants:
            account.record_contact(max(0.0, answer.used), now)
        if any(item.result.done() and item.result.result() for item in batch):
            account.return_surplus(now)
        return pause_s

    @staticmethod
    def _wait_s(
        account: SpendingAccount, units: float, smallest: float, answer: QuotaAnswer
    ) -> float:
        """Return the time until a request fits; the owner's is for the smallest one."""
        return max(WAIT_MIN_S, answer.wait_s) + account.refill_s(units - smallest)

    def _decide_alone(self, account: SpendingAccount, batch: list[_Waiting]) -> None:
        """Decide by this daemon's own share, as no owner answers."""
        now = loop_time()
        daemons = self._daemon_count()
        for item in batch:
            granted = account.take_alone(item.units, daemons, now)
            wait_s = account.wait_alone_s(item.units, daemons, now)
            self._metrics.count("quota_decided_alone", account.workspace)
            item.settle(0.0 if granted else max(wait_s, UNKNOWN_FLEET_WAIT_S))

    def _candidates(self, account: SpendingAccount) -> list[Peer]:
        """Return the daemons to ask, the owner first, without silent ones."""
        now = loop_time()
        if self._daemon_count() is None:
            return []
        peers = map(self._view.get, self._ranking.ranked(account.workspace, now))
        return [peer for peer in peers if peer and not self._is_silent(peer.vm.name)]

    def _is_gone(self, vm: str) -> bool:
        """Return whether a daemon has been silent for long enough to take over."""
        heard_at = self._heard_at.get(vm, -math.inf)
        return self._is_silent(vm) and loop_time() > heard_at + TAKE_OVER_S

    def _is_silent(self, vm: str) -> bool:
        """Return whether a daemon did not answer a moment ago."""
        return loop_time() < self._silent_until.get(vm, 0.0)

    async def _ask_by_rank(
        self, account: SpendingAccount, batch: list[_Waiting]
    ) -> QuotaAnswer | None:
        """Return the answer of the first daemon that may grant units."""
        for rank, peer in enumerate(self._candidates(account)):
            is_own = peer.vm.name == self._ranking.own_vm
            request = self._request(account, batch, is_own)
            if is_own:
                answer = self._owner.answer(request)
            else:
                timeouts_s = DEPUTY_TIMEOUTS_S if rank else OWNER_TIMEOUTS_S
                answer = await self._ask(peer, request, timeouts_s)
                self._record_answered(account.workspace, peer.vm.name, answer)
            if answer is not None and answer.role == OwnerRole.DEPUTY:
                return answer
            if answer is not None and answer.role.grants:
                self._record_owner(account, peer.vm.name)
                return answer
        return None

    def _request(
        self, account: SpendingAccount, batch: list[_Waiting], is_own: bool
    ) -> QuotaRequest:
        now = loop_time()
        need = _usable_units(batch, account.allowance)
        self._reported_at[account.key] = now
        return QuotaRequest(
            self._own_sender(),
            account.state(now),
            account.allowance.units,
            account.allowance.margin,
            need=need,
            first=min((item.units for item in batch), default=0.0),
            ahead=0.0 if is_own else account.wanted_ahead(need, now),
        )

    def _own_sender(self) -> Sender:
        own = self._view.own
        return Sender(own.vm.name, own.incarnation, next(self._numbers))

    async def _ask(
        self, peer: Peer, request: QuotaRequest, timeouts_s: tuple[float, ...]
    ) -> QuotaAnswer | None:
        """Return a daemon's answer; None if none arrives in time."""
        key = (request.sender.vm, request.sender.number)
        future = asyncio.get_running_loop().create_future()
        self._answers[key] = future
        self._metrics.count("quota_asked", request.state.workspace)
        try:
            for timeout_s in timeouts_s:
                self._sender.send(peer, request)
                with suppress(TimeoutError):
                    async with asyncio.timeout(timeout_s):
                        return await asyncio.shield(future)
            return None
        finally:
            self._answers.pop(key, None)
            future.cancel()

    def _record_answered(
        self, workspace: str, vm: str, answer: QuotaAnswer | None
    ) -> None:
        """Record whether a daemon acts for a workspace; one that doesn't is silent."""
        if answer is not None and answer.role != OwnerRole.NONE:
            self._record_heard(vm)
            return
        self._silent_until[vm] = loop_time() + SILENT_BACKOFF_S
        self._metrics.count("quota_owner_silent", workspace)
        logger.info(
            "quota_owner_silent",
            vm=vm,
            workspace=workspace,
            role=None if answer is None else str(answer.role),
        )

    def _record_heard(self, vm: str) -> None:
        self._silent_until.pop(vm, None)
        self._heard_at[vm] = loop_time()

    def _start_relay(self, request: QuotaRequest, reply: Reply) -> None:
        """Relay a request unless a repetition of it is being relayed already."""
        if (request.sender.vm, request.sender.number) in self._answers:
            return
        self._tasks.start(self._relay(request, reply), "relay to the owner of a quota")

    async def _relay(self, request: QuotaRequest, reply: Reply) -> None:
        """Ask the daemons before this one for another; take over if they are silent."""
        workspace = request.state.workspace
        relayed = replace(request, relayed=True)
        for vm in self._ranking.ranked(workspace, loop_time()):
            peer = self._view.get(vm)
            if vm == self._ranking.own_vm:
                break
            if peer is None or self._is_silent(vm) or vm == request.sender.vm:
                continue
            answer = await self._ask(peer, relayed, RELAY_TIMEOUTS_S)
            self._record_answered(workspace, vm, answer)
            if answer is not None and answer.role != OwnerRole.NONE:
                reply(answer)
                return
        reply(self._owner.answer(request))

    def _record_owner(self, account: SpendingAccount, vm: str) -> None:
        key = account.key
        known = self._owners.get(key)
        self._owners[key] = vm
        if known not in (None, vm):
            self._metrics.count("quota_owner_changed", account.workspace)
            logger.info(
                "quota_owner_changed",
                workspace=account.workspace,
                owner=vm,
                former=known,
            )

    def handle_answer(self, answer: QuotaAnswer) -> None:
        """Pass an answer to what waits for it; a late one is ignored."""
        future = self._answers.get((answer.vm, answer.number))
        if future is not None and not future.done():
            future.set_result(answer)

    def step(self) -> None:
        """Return unused units and report what was spent; called several times a second.

        States of workspaces with the same owner share messages.
        """
        now = loop_time()
        by_owner: dict[str, list[SpenderState]] = {}
        for key, account in list(self._accounts.items()):
            if now < account.due_at and not account.changed:
                continue
            if key in self._asking:
                continue
            account.due_at = now + REPORT_S
            if account.is_idle(now):
                self._forget(key)
            elif account.changed or self._wants_report(account, now):
                candidates = self._candidates(account)
                if candidates:
                    self._reported_at[key] = now
                    states = by_owner.setdefault(candidates[0].vm.name, [])
                    states.append(account.state(now))
        for vm, states in by_owner.items():
            for part in _parts(states):
                self._report(vm, part)

    def _wants_report(self, account: SpendingAccount, now: float) -> bool:
        """Return whether the owner has not been told of significant spending lately."""
        reported_at = self._reported_at.get(account.key, 0.0)
        return now >= reported_at + REPORT_S / 2 and account.wants_report(now)

    def _report(self, vm: str, states: tuple[SpenderState, ...]) -> None:
        report = QuotaReport(self._own_sender(), states)
        if vm == self._ranking.own_vm:
            self._owner.record_report(report)
        else:
            self._send_to(vm, report)

    def _send_to(self, vm: str, message: QuotaMessage) -> None:
        peer = self._view.get(vm)
        if peer is not None:
            self._sender.send(peer, message)

    def _forget(self, key: AccountKey) -> None:
        for items in (self._accounts, self._owners, self._reported_at):
            items.pop(key, None)


def _usable_units(batch: list[_Waiting], allowance: Allowance) -> float:
    """Return the units of those requests, smallest first, that fit together."""
    need = 0.0
    for units in sorted(item.units for item in batch):
        if need and need + units > allowance.units:
            break
        need += units
    return need


def _parts(states: list[SpenderState]) -> Iterator[tuple[SpenderState, ...]]:
    for start in range(0, len(states), STATES_MAX):
        yield tuple(states[start : start + STATES_MAX])
