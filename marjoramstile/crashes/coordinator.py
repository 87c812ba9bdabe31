"""Collects reports of crashes and decides what to block.

The two daemons that rank first for a service get all reports about its replicas. Each
checks for itself that the replica is gone, and that it reaches others: else it may be
cut off. Before it blocks a key, it asks all daemons whether requests with that key have
begun since.
"""

import asyncio
import itertools
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod

from marjoramstile.crashes.begins import ANY_KEY, BeginLog
from marjoramstile.crashes.blocklist import BY_CRASHES, BlockEntry, Blocklist
from marjoramstile.crashes.evidence import (
    NO_BEGINS,
    Begins,
    CrashEvidence,
    Suspect,
    choose_suspect,
)
from marjoramstile.crashes.keys import RequestKeys, are_keys
from marjoramstile.crashes.messages import (
    BeginAnswer,
    BeginCount,
    BeginQuery,
    BlockUpdate,
    CrashMessage,
    CrashReport,
)
from marjoramstile.crashes.sharing import BlocklistSharing
from marjoramstile.log_summaries import EventSummary
from marjoramstile.logs import get_logger
from marjoramstile.membership.view import View
from marjoramstile.pools.client import PoolSender
from marjoramstile.pools.shards import SchedulerSelector
from marjoramstile.routes.ports import ReplicaClient
from marjoramstile.routes.replica_types import Replica, ReplicaState
from marjoramstile.routes.replicas import ReplicaDirectory, Standing
from marjoramstile.utils import BackgroundTasks, loop_time

# Daemons that collect the reports about a service, the first ones by rank.
COORDINATORS = 2
# Reports and queries are sent again after this time, as datagrams may be lost.
RESEND_S = 0.15
# Time for the answers to a query, and what a second coordinator waits longer.
ANSWERS_S = 0.4
SECOND_RANK_S = 0.6
# Reports that arrive within this time are judged together.
JUDGE_PAUSE_S = 0.05
# Suspects that one query asks for, and other replicas that are tried to tell a crash
# from being cut off.
SUSPECTS_MAX = 24
OTHERS_TRIED = 3
# Incarnations whose checks are kept.
CHECKS_KEPT = 1024
# Services whose crashes are kept; reports may name some that do not exist.
SERVICES_MAX = 256
# Replicas named in an entry.
CRASHES_NAMED = 5
PLANNED_END = frozenset({Standing.DRAINING, Standing.LEAVING})

logger = get_logger(__name__)


class CrashCoordinator:
    """One daemon's part in finding out what crashes replicas."""

    def __init__(
        self,
        view: View,
        selector: SchedulerSelector,
        directory: ReplicaDirectory,
        client: ReplicaClient,
        blocklist: Blocklist,
        sharing: BlocklistSharing,
        sender: PoolSender,
        tasks: BackgroundTasks,
    ):
        self._view = view
        self._selector = selector
        self._directory = directory
        self._client = client
        self._blocklist = blocklist
        self._sharing = sharing
        self._sender = sender
        self._tasks = tasks
        self.begins = BeginLog()
        self._evidence: dict[str, CrashEvidence] = defaultdict(CrashEvidence)
        self._checks: dict[tuple[str, int], asyncio.Future[bool]] = {}
        self._ignored = EventSummary(logger, "crash_report_ignored")
        self._judging: set[str] = set()
        self._numbers = itertools.count()
        self._answers: dict[str, dict[str, BeginAnswer]] = {}

    def report(self, replica: Replica, request: RequestKeys, lost_at: float) -> None:
        """Report that a replica crashed at ``lost_at`` under a request."""
        report = CrashReport(
            replica.service,
            replica.id,
            replica.started_at_ms,
            loop_time() - lost_at,
            request.content,
            request.parts,
        )
        self._tasks.start(self._send_report(report), "report a crash")

    async def _send_report(self, report: CrashReport) -> None:
        sent_at = loop_time()
        for pause_s in (RESEND_S, 0.0):
            age_s = report.age_s + loop_time() - sent_at
            for vm in self._coordinators(report.service):
                self._send(vm, replace(report, age_s=age_s))
            await asyncio.sleep(pause_s)

    def _coordinators(self, service: str) -> tuple[str, ...]:
        return self._selector.ranked(service, 0)[:COORDINATORS]

    @property
    def _own_vm(self) -> str:
        return self._view.own.vm.name

    def _send(self, vm: str, message: CrashMessage) -> None:
        """Send a message to a daemon, which may be this one."""
        if vm == self._own_vm:
            self.handle_message(
                message, lambda answer: self.handle_message(answer, None)
            )
        elif peer := self._view.get(vm):
            self._sender.send(peer, message)

    @singledispatchmethod
    def handle_message(
        self, message: object, reply: Callable[[BeginAnswer], None] | None
    ) -> None:
        """Handle a daemon's message; ``reply`` sends an answer to it."""
        raise TypeError(f"not a message about crashes: {message!r}")

    @handle_message.register
    def _(self, message: CrashReport, reply) -> None:
        if not are_keys(RequestKeys(message.content, message.parts)):
            self._ignored.count({}, replica=message.replica, service=message.service)
            return
        self._tasks.start(self._examine(message, loop_time()), "examine a crash")

    @handle_message.register
    def _(self, message: BeginQuery, reply) -> None:
        now = loop_time()
        counts = []
        for key in message.keys:
            begins = self.begins.begins(message.service, key, now)
            if begins != NO_BEGINS:
                counts.append(BeginCount(key, begins.recent, now - begins.last_sent_at))
        if counts:
            reply(BeginAnswer(message.id, self._own_vm, tuple(counts)))

    @handle_message.register
    def _(self, message: BeginAnswer, reply) -> None:
        if message.id in self._answers:
            self._answers[message.id][message.vm] = message

    @handle_message.register
    def _(self, message: BlockUpdate, reply) -> None:
        self._sharing.handle_update(message)

    def _evidence_of(self, service: str) -> CrashEvidence:
        """Return a service's evidence; that of others may be dropped for it."""
        evidence = self._evidence[service]
        if len(self._evidence) > SERVICES_MAX:
            known = {replica.service for replica in self._directory.all}
            others = [name for name in self._evidence if name != service]
            unknown = [name for name in others if name not in known]
            del self._evidence[(unknown or others)[0]]
        return evidence

    async def _examine(self, report: CrashReport, received_at: float) -> None:
        """Count a report if the replica has crashed as far as this daemon can tell."""
        incarnation = (report.replica, report.started_at_ms)
        if not await self._has_crashed(incarnation, report.service):
            return
        evidence = self._evidence_of(report.service)
        request = RequestKeys(report.content, report.parts)
        if not evidence.add(incarnation, request, received_at - report.age_s):
            return
        evidence.expire(received_at)
        logger.warning(
            "crash_counted",
            replica=report.replica,
            service=report.service,
            content=report.content,
            parts=" ".join(report.parts),
            age_s=round(report.age_s, 3),
        )
        if report.service not in self._judging:
            self._judging.add(report.service)
            self._tasks.start(self._judge(report.service), "judge crashes")

    async def _has_crashed(self, incarnation: tuple[str, int], service: str) -> bool:
        """Return whether a replica is gone; each incarnation is checked once."""
        if incarnation not in self._checks:
            check = self._check(incarnation, service)
            self._checks[incarnation] = self._tasks.start(check, "check a replica")
            while len(self._checks) > CHECKS_KEPT:
                del self._checks[next(iter(self._checks))]
        return await asyncio.shield(self._checks[incarnation])

    async def _check(self, incarnation: tuple[str, int], service: str) -> bool:
        replica = self._directory.get(incarnation[0])
        if replica is not None and replica.started_at_ms == incarnation[1]:
            if self._directory.standing(replica) in PLANNED_END:
                return False
            if await self._client.accepts_connections(replica):
                return False
        return await self._reaches_others(incarnation, service)

    async def _reaches_others(self, incarnation: tuple[str, int], service: str) -> bool:
        """Return whether a replica that is not known to be down can be reached."""
        others = [
            replica
            for replica in self._directory.all
            if replica.service == service
            and replica.state == ReplicaState.READY
            and (replica.id, replica.started_at_ms) not in self._checks
        ]
        if not others:
            return True
        reached = await asyncio.gather(
            *(self._client.accepts_connections(item) for item in others[:OTHERS_TRIED])
        )
        if not any(reached):
            logger.warning("crash_ignored", replica=incarnation[0], reason="cut off")
        return any(reached)

    async def _judge(self, service: str) -> None:
        """Block what the evidence of a service shows to crash replicas."""
        await asyncio.sleep(JUDGE_PAUSE_S)
        self._judging.discard(service)
        if not self._suspects(service):
            return
        if self._coordinators(service)[:1] != (self._own_vm,):
            await asyncio.sleep(SECOND_RANK_S)
        while suspects := self._suspects(service)[:SUSPECTS_MAX]:
            asked = [item.key for item in suspects]
            begins = await self._query(service, asked)
            evidence = self._evidence[service]
            for key, found in begins.items():
                evidence.record_begin(key, found.last_sent_at)
            service_begins = begins.get(ANY_KEY, NO_BEGINS)
            still = [item for item in self._suspects(service) if item.key in asked]
            chosen = choose_suspect(still, begins, service_begins)
            logger.info(
                "crashes_judged",
                service=service,
                suspects=" ".join(asked),
                blocked=chosen.key if chosen else "",
            )
            if chosen is None:
                return
            self._block(service, chosen)

    def _suspects(self, service: str) -> list[Suspect]:
        return self._evidence[service].suspects(self._blocklist.blocked_keys(service))

    async def _query(self, service: str, keys: list[str]) -> dict[str, Begins]:
        """Return the begins of keys, and of all requests, on all daemons together."""
        query = BeginQuery(
            f"{self._own_vm}-{next(self._numbers)}", service, (*keys, ANY_KEY)
        )
        answers = self._answers[query.id] = {}
        try:
            for pause_s in (RESEND_S, ANSWERS_S - RESEND_S):
                for peer in self._view.peers:
                    if peer.presumed_alive and peer.vm.name not in answers:
                        self._send(peer.vm.name, query)
                await asyncio.sleep(pause_s)
        finally:
            del self._answers[query.id]
        return _sum_begins(answers.values(), loop_time())

    def _block(self, service: str, suspect: Suspect) -> None:
        known = self._blocklist.find(service, suspect.key)
        self._sharing.publish(
            BlockEntry(
                service=service,
                key=suspect.key,
                revision=1 if known is None else known.revision + 1,
                blocked=True,
                trials=0,
                since_s=round(time.time(), 3),
                crashes=suspect.replicas[-CRASHES_NAMED:],
                by=BY_CRASHES,
            )
        )
        self._lift_explained(service, suspect.key)

    def _lift_explained(self, service: str, key: str) -> None:
        """Lift blocks for which a key that is blocked now is the better reason."""
        evidence = self._evidence[service]
        for other in self._blocklist.blocked_keys(service) - {key}:
            entry = self._blocklist.find(service, other)
            if entry.by == BY_CRASHES and evidence.explains(key, other):
                self._sharing.publish(entry.changed(blocked=False))


def _sum_begins(answers, now: float) -> dict[str, Begins]:
    total: dict[str, Begins] = {}
    for answer in answers:
        for count in answer.counts:
            begins = Begins(count.recent, now - max(0.0, count.age_s))
            total[count.key] = total.get(count.key, NO_BEGINS).plus(begins)
    return total
