"""Grants the units of the workspaces that this daemon owns, to all daemons.

The state is soft: a daemon that becomes the owner learns it from messages.
"""

from collections.abc import Callable
from dataclasses import dataclass

from marjoramstile.logs import get_logger
from marjoramstile.quotas.accounts import INTERRUPTED_S, QuotaAccount
from marjoramstile.quotas.messages import (
    OwnerRole,
    QuotaAnswer,
    QuotaBackup,
    QuotaReport,
    QuotaRequest,
    WorkspaceUse,
)
from marjoramstile.quotas.ranking import OwnerRanking
from marjoramstile.quotas.windows import EPSILON, Allowance, QuotaBounds
from marjoramstile.utils import loop_time
from marjoramstile.workspaces.table import QuotaUnit, WorkspaceTable

# Time without a step after which this daemon was frozen: another one may have owned its
# workspaces meanwhile.
FROZEN_S = 1.5
# Time after that in which messages are ignored: their senders have given up on those
# that arrived meanwhile, and their states are old.
DEAF_S = 0.2

# Period in which an owner tells the next daemon by rank what was used, and the time for
# which that relies on it.
BACKUP_S = 0.25
BACKUP_LIFE_S = 2.5
# Period in which an account's leases and daemons are looked at.
UPDATE_S = 0.5
# Time for which a former owner can tell a new one what was used.
ADOPT_S = 2.5
# Workspaces in one message, so that it fits into a frame with names of usual length.
USES_MAX = 16

AccountKey = tuple[str, QuotaUnit]

Reply = Callable[[QuotaAnswer], None]

logger = get_logger(__name__)


@dataclass(frozen=True)
class OwnedQuota:
    """An owner's account of a workspace, for operators."""

    left: float
    granted_per_s: float


@dataclass(frozen=True)
class _Backup:
    """What an owner has told of the units used, when, and how fast they grew."""

    used: float
    at: float
    growth_per_s: float = 0.0

    @classmethod
    def after(cls, former: "_Backup | None", used: float, now: float) -> "_Backup":
        if former is None or now <= former.at:
            return cls(used, now)
        return cls(used, now, max(0.0, used - former.used) / (now - former.at))

    def used_at(self, now: float) -> float | None:
        """Return what was used then, by all that is known; None if it is too old."""
        age_s = max(0.0, now - self.at)
        if age_s > BACKUP_LIFE_S:
            return None
        return self.used + self.growth_per_s * age_s


class QuotaOwner:
    """Keeps the accounts of workspaces, and answers requests for their units."""

    def __init__(
        self,
        ranking: OwnerRanking,
        bounds: QuotaBounds,
        workspaces: Callable[[], WorkspaceTable | None],
        daemon_count: Callable[[], int | None],
    ):
        """``daemon_count`` returns None while the other daemons are unknown."""
        self._ranking = ranking
        self._bounds = bounds
        self._workspaces = workspaces
        self._daemon_count = daemon_count
        self._accounts: dict[AccountKey, QuotaAccount] = {}
        self._allowances: dict[AccountKey, Allowance] = {}
        self._answers: dict[tuple[AccountKey, str], QuotaAnswer] = {}
        self._stepped_at = loop_time()
        self._deaf_until = 0.0
        self._is_silent: Callable[[str], bool] = lambda vm: False
        self._relay: Callable[[QuotaRequest, Reply], None] | None = None
        self._send: Callable[[str, QuotaBackup], None] = lambda vm, message: None
        self._record_heard: Callable[[str], None] = lambda vm: None
        self._backups: dict[AccountKey, _Backup] = {}
        self._backed_up_at = loop_time()

    def connect(
        self,
        is_silent: Callable[[str], bool],
        relay: Callable[[QuotaRequest, Reply], None],
        send: Callable[[str, QuotaBackup], None],
        record_heard: Callable[[str], None],
    ) -> None:
        """Set what tells that a daemon is silent, what asks owners and what sends.

        ``record_heard`` is called with each VM whose daemon acts as an owner.
        """
        self._is_silent = is_silent
        self._relay = relay
        self._send = send
        self._record_heard = record_heard

    @property
    def keys(self) -> tuple[AccountKey, ...]:
        """Workspaces and units of the accounts that this daemon keeps."""
        return tuple(self._accounts)

    def step(self) -> None:
        """Keep the accounts up to date; called several times a second."""
        now = loop_time()
        self._check_frozen(now)
        alive = self._ranking.alive(now)
        daemons = self._daemon_count() or 1
        for key, account in list(self._accounts.items()):
            if now < account.updated_at + UPDATE_S:
                continue
            account.update(self._allowance(key), daemons, alive, now)
            if account.is_idle(now):
                self._forget(key)
        self._back_up(now)

    def _back_up(self, now: float) -> None:
        """Tell the next daemon by rank what was used, or a new owner."""
        due = now >= self._backed_up_at + BACKUP_S
        if due:
            self._backed_up_at = now
            self._backups = {
                key: backup
                for key, backup in self._backups.items()
                if now < backup.at + BACKUP_LIFE_S
            }
        uses: dict[str, list[WorkspaceUse]] = {}
        for key, account in self._accounts.items():
            for vm in self._backup_vms(key, account, due, now):
                used = account.used(self._allowance(key), now)
                uses.setdefault(vm, []).append(WorkspaceUse(*key, used))
        for vm, items in uses.items():
            for start in range(0, len(items), USES_MAX):
                part = tuple(items[start : start + USES_MAX])
                self._send(vm, QuotaBackup(self._ranking.own_vm, part))

    def _backup_vms(
        self, key: AccountKey, account: QuotaAccount, due: bool, now: float
    ) -> tuple[str, ...]:
        """Return the daemons to tell what was used of a workspace."""
        others = tuple(
            vm for vm in self._ranking.ranked(key[0], now) if vm != self._ranking.own_vm
        )
        if self.role(key[0], now) == OwnerRole.OWNER:
            return others[:1] if due and account.holders else ()
        if not account.acts:
            return ()
        account.acts = False
        return others[:1]

    def _forget(self, key: AccountKey) -> None:
        del self._accounts[key]
        self._allowances.pop(key, None)
        self._answers = {
            item: answer for item, answer in self._answers.items() if item[0] != key
        }

    def _check_frozen(self, now: float) -> None:
        if now - self._stepped_at > FROZEN_S:
            logger.warning("quotas_frozen", after_s=round(now - self._stepped_at, 3))
            self._deaf_until = now + DEAF_S
            self._ranking.restart(now)
            for account in self._accounts.values():
                account.take_over(now, None)
        self._stepped_at = now

    def role(self, workspace: str, now: float) -> OwnerRole:
        """Return what this daemon is for a workspace.

        A deputy takes over at once if those before it don't answer.
        """
        if self._daemon_count() is None or not self._ranking.in_majority(now):
            return OwnerRole.NONE
        ranked = self._ranking.ranked(workspace, now)
        if self._ranking.own_vm not in ranked:
            return OwnerRole.NONE
        before = ranked[: ranked.index(self._ranking.own_vm)]
        owns = all(map(self._is_silent, before))
        return OwnerRole.OWNER if owns else OwnerRole.DEPUTY

    def describe(self, key: AccountKey) -> OwnedQuota | None:
        """Return the account of a workspace that this daemon owns."""
        now = loop_time()
        account = self._accounts.get(key)
        if account is None or self.role(key[0], now) != OwnerRole.OWNER:
            return None
        allowance = self._allowance(key)
        left = self._limit(account, allowance, now)
        left -= account.used(allowance, now)
        return OwnedQuota(max(0.0, left), account.spent_per_s(now))

    def answer(self, request: QuotaRequest) -> QuotaAnswer:
        """Answer a request; one that was repeated gets the same answer."""
        now = loop_time()
        if now - self._stepped_at > FROZEN_S:
            self._check_frozen(now)
        sender, state = request.sender, request.state
        key = (state.workspace, state.unit)
        role = self.role(state.workspace, now)
        if role != OwnerRole.OWNER:
            return _no_answer(request, role)
        self._allowances[key] = Allowance(request.units, request.margin)
        account = self._account(key, now)
        if not account.report(sender, state, now):
            known = self._answers.get((key, sender.vm))
            if known is not None and known.number == sender.number:
                return known
            return _no_answer(request, OwnerRole.NONE)
        allowance = self._allowance(key)
        limit = self._limit(account, allowance, now)
        wanted = (max(0.0, request.need), max(0.0, request.first), request.ahead)
        grant = account.grant(sender.vm, wanted, allowance, limit, now)
        answer = QuotaAnswer(
            sender.vm,
            sender.number,
            OwnerRole.NEW_OWNER if account.is_new(now) else role,
            grant.granted,
            grant.ahead,
            grant.wait_s,
            account.used(allowance, now),
        )
        self._answers[key, sender.vm] = answer
        return answer

    def handle_message(
        self, message: QuotaRequest | QuotaReport | QuotaBackup, reply: Reply
    ) -> None:
        """Handle another daemon's message; ``reply`` sends an answer to it.

        A deputy passes requests on to the owner, which it may reach.
        """
        now = loop_time()
        if now - self._stepped_at > FROZEN_S:
            self._check_frozen(now)
        if now < self._deaf_until:
            return
        if isinstance(message, QuotaReport):
            self.record_report(message)
            return
        if isinstance(message, QuotaBackup):
            self._record_backup(message)
            return
        answer = self.answer(message)
        if answer.role == OwnerRole.DEPUTY and self._relay and not message.relayed:
            self._relay(message, reply)
        else:
            reply(answer)

    def _record_backup(self, backup: QuotaBackup) -> None:
        now = loop_time()
        self._record_heard(backup.vm)
        for use in backup.uses:
            key = (use.workspace, use.unit)
            self._backups[key] = _Backup.after(
                self._backups.get(key), max(0.0, use.used), now
            )
            account = self._accounts.get(key)
            if account is None or account.owned_since is None:
                continue
            if now < account.owned_since + ADOPT_S:
                account.adopt(max(0.0, use.used))

    def record_report(self, report: QuotaReport) -> None:
        """Take in the state of a daemon."""
        now = loop_time()
        for state in report.states:
            role = self.role(state.workspace, now)
            key = (state.workspace, state.unit)
            if role == OwnerRole.OWNER:
                self._account(key, now).report(report.sender, state, now)

    def _account(self, key: AccountKey, now: float) -> QuotaAccount:
        """Return the account of a workspace that this daemon owns now."""
        account = self._accounts.get(key)
        if account is None:
            account = QuotaAccount(self._bounds.window_s, None)
            self._accounts[key] = account
        if account.owned_since is None or now > account.acted_at + INTERRUPTED_S:
            self._take_over(key, account, now)
        account.acted_at = now
        account.acts = True
        return account

    def _take_over(self, key: AccountKey, account: QuotaAccount, now: float) -> None:
        """Begin to act as the owner, or go on if no other daemon can have been it."""
        since = self._ranking.owned_since(key[0], now)
        if since is None:
            since = now
        if account.owned_since is None or since > account.acted_at:
            backup = self._backups.get(key)
            account.take_over(since, backup.used_at(since) if backup else None)
        logger.info(
            "quota_owned", workspace=key[0], since_s=round(now - account.owned_since, 3)
        )

    def _allowance(self, key: AccountKey) -> Allowance:
        """Return the allowance by the configuration in force here, if it has one."""
        table = self._workspaces()
        workspace = table.get(key[0]) if table else None
        quota = workspace.quota if workspace else None
        if quota is not None and quota.unit == key[1]:
            return Allowance.of(quota, self._bounds)
        return self._allowances.get(key, Allowance(0.0, 0.0))

    def _limit(self, account: QuotaAccount, allowance: Allowance, now: float) -> float:
        """Return the usage up to which units are granted."""
        daemons = self._daemon_count() or 1
        missing = self._ranking.missing(now)
        held_back = account.held_back(allowance, missing, daemons)
        return max(EPSILON, allowance.units + allowance.margin - held_back)


def _no_answer(request: QuotaRequest, role: OwnerRole) -> QuotaAnswer:
    return QuotaAnswer(
        request.sender.vm, request.sender.number, role, 0.0, 0.0, 0.0, 0.0
    )
