"""Entry point of the routing core for callers' requests."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from marjoramstile.crashes.detector import CrashDetector
from marjoramstile.logs import get_logger
from marjoramstile.quotas.client import FREE, QuotaClient, QuotaDecision
from marjoramstile.reports.burn import BurnReport
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.budget import WindowedRetryBudget
from marjoramstile.routes.calls import PlainCallRunner
from marjoramstile.routes.carrying import RequestCarrier
from marjoramstile.routes.durations import DurationForecast
from marjoramstile.routes.generations import GenerationRunner
from marjoramstile.routes.ports import Responder
from marjoramstile.routes.requests import (
    CallerDisconnectedError,
    GenerationSize,
    Headers,
    OutcomeUnknownError,
    RefusalReason,
    Reply,
    RequestRefusedError,
    RoutedRequest,
    SendRecord,
    StreamBrokenError,
)
from marjoramstile.routes.service_levels import TimedResponder, meets_targets
from marjoramstile.routes.table import EntryLimits, Route, RoutingTable
from marjoramstile.utils import loop_time
from marjoramstile.workspaces.keys import bearer_key, key_digest, logged_digest
from marjoramstile.workspaces.table import Workspace

UNAUTHENTICATED = 401
NOT_FOUND = 404
RETRY_AFTER_START_S = 0.5
RETRY_AFTER_STOP_S = 0.05
# Time left before the deadline in which a request without units is refused.
CHARGE_MARGIN_S = 0.05
# Share of the grace period of a planned stop in which requests are started that are
# expected to end before the share after which all are cut off, or of which nothing is
# known; later, only those are whose deadline is before that.
STOP_ACCEPT_SHARE = 0.3
STOP_DEADLINE_SHARE = 0.9

logger = get_logger(__name__)


@dataclass(frozen=True)
class IncomingRequest:
    """A caller's request before its route is known.

    ``time_left_s`` is how long the caller waits; None if it set no limit.
    ``shared_parts`` and ``resumes`` are as in RoutedRequest. ``carried_for`` is the VM
    whose daemon has sent it here, ``carried_runs`` how many replicas may run it then.
    ``sends`` tells its front whether it has been passed on. ``credentials`` are the
    values of its Authorization headers.
    """

    id: str
    method: str
    host: str
    path: str
    target: str
    headers: Headers
    body: bytes
    time_left_s: float | None
    size: GenerationSize | None
    resume_after: int | None
    shared_parts: tuple[str, ...] = ()
    resumes: str | None = None
    carried_for: str | None = None
    carried_runs: int | None = None
    credentials: tuple[str, ...] = field(default=(), repr=False)
    sends: SendRecord = field(default_factory=SendRecord, compare=False)


class RequestDispatcher:
    """Matches requests to routes, runs them, and records their outcomes.

    ``burn`` reports the share of answers that missed their route's targets.
    """

    def __init__(
        self,
        table: Callable[[], RoutingTable | None],
        replicas_known: Callable[[], bool],
        calls: PlainCallRunner,
        generations: GenerationRunner,
        crashes: CrashDetector,
        carrier: RequestCarrier,
        quotas: QuotaClient,
        budget: WindowedRetryBudget,
        forecast: DurationForecast,
        metrics: Metrics,
        grace_s: float,
        rng: random.Random,
    ):
        self._table = table
        self._replicas_known = replicas_known
        self._calls = calls
        self._generations = generations
        self._crashes = crashes
        self._carrier = carrier
        self._quotas = quotas
        self._budget = budget
        self._forecast = forecast
        self._metrics = metrics
        self._grace_s = grace_s
        self._rng = rng
        self.burn = BurnReport()
        self._stopping_since: float | None = None
        self._accepts = True
        self._runs: set[asyncio.Timeout] = set()
        self._running = 0

    @property
    def limits(self) -> EntryLimits | None:
        """Limits of the configuration in force; None before one is known."""
        table = self._table()
        return table.limits if table else None

    @property
    def ready(self) -> bool:
        """Whether this daemon accepts new callers."""
        known = self._table() is not None and self._replicas_known()
        return known and not self.stopping

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stopping_since is not None

    @property
    def running(self) -> int:
        """Number of requests in flight."""
        return self._running

    @property
    def cut_at(self) -> float | None:
        """Loop time at which what still runs is ended; None without a stop."""
        if self._stopping_since is None:
            return None
        return self._stopping_since + STOP_DEADLINE_SHARE * self._grace_s

    def stop(self) -> None:
        """Begin a planned stop, at whose end all requests are ended with an answer."""
        self._stopping_since = loop_time()
        for run in self._runs:
            run.reschedule(self.cut_at)

    def refuse_new(self) -> None:
        """Refuse all requests from now on; those that run are not affected."""
        self._accepts = False

    async def handle(
        self, incoming: IncomingRequest, responder: Responder
    ) -> Reply | None:
        """Run a request; return its answer, or None if it was streamed.

        Raises RequestRefusedError, OutcomeUnknownError and StreamBrokenError.
        """
        table = self._table()
        if table is None or not self._replicas_known():
            raise RequestRefusedError(RefusalReason.NOT_CONFIGURED, RETRY_AFTER_START_S)
        route = table.match(incoming.host, incoming.path)
        if route is None:
            logger.info(
                "no_route",
                request=incoming.id,
                host=incoming.host,
                path=incoming.path,
                configuration=table.version,
            )
            if incoming.carried_for is not None:
                raise RequestRefusedError(
                    RefusalReason.NOT_CONFIGURED, RETRY_AFTER_START_S
                )
            return Reply(NOT_FOUND, (), b"")
        workspace = None
        if table.workspaces is not None:
            workspace = table.workspaces.authenticate(incoming.credentials)
            if workspace is None and not route.public:
                return self._reject_key(incoming, table)
        request = self._build_routed_request(incoming, table, route, workspace)
        self._running += 1
        try:
            return await self._run(request, table, responder)
        finally:
            self._running -= 1

    def _reject_key(self, incoming: IncomingRequest, table: RoutingTable) -> Reply:
        """Return the answer to a request whose key opens no workspace.

        A carried one is refused: the VM that sent it here knew its key.
        """
        key = bearer_key(incoming.credentials)
        logger.info(
            "key_unknown",
            request=incoming.id,
            key=None if key is None else logged_digest(key_digest(key)),
            configuration=table.version,
        )
        self._metrics.count("requests_unauthenticated", "")
        if incoming.carried_for is not None:
            raise RequestRefusedError(RefusalReason.NOT_CONFIGURED, RETRY_AFTER_START_S)
        return Reply(UNAUTHENTICATED, (("WWW-Authenticate", "Bearer"),), b"")

    async def _run(
        self, request: RoutedRequest, table: RoutingTable, responder: Responder
    ) -> Reply | None:
        if request.is_take_up:
            logger.info(
                "stream_taken_up",
                request=request.id,
                resumes=request.resumes,
                last_event=request.resume_after,
            )
        outcome = "caller_gone"
        reason = ""
        good = False
        times = TimedResponder(responder)
        try:
            reply = await self._dispatch_until_cut(request, table, times)
            self._forecast.observe(request, loop_time() - request.arrived)
            good = meets_targets(request, reply, times, loop_time())
            outcome = "answered" if reply is None else str(reply.status)
            return reply
        except (RequestRefusedError, OutcomeUnknownError, StreamBrokenError) as error:
            outcome = _OUTCOMES[type(error)]
            reason = str(error)
            raise
        except CallerDisconnectedError:
            raise
        except Exception as error:
            outcome = "failed"
            reason = repr(error)
            raise
        finally:
            self._crashes.end(request)
            self._record_end(request, table, outcome, reason, times)
            if outcome != "caller_gone":
                kind = str(request.route.kind)
                self.burn.record(request.service, kind, good, loop_time())

    def _build_routed_request(
        self,
        incoming: IncomingRequest,
        table: RoutingTable,
        route: Route,
        workspace: Workspace | None,
    ) -> RoutedRequest:
        now = loop_time()
        if incoming.carried_runs is not None:
            logger.info("carries", request=incoming.id, vm=incoming.carried_for)
            runs = min(route.max_attempts, incoming.carried_runs)
            route = replace(route, max_attempts=runs)
        time_left_s = route.timeout_s
        if incoming.time_left_s is not None:
            time_left_s = min(time_left_s, incoming.time_left_s)
        return RoutedRequest(
            id=incoming.id,
            method=incoming.method,
            target=incoming.target,
            headers=incoming.headers,
            body=incoming.body,
            route=route,
            service=route.pick_service(self._rng),
            arrived=now,
            deadline=now + time_left_s,
            size=incoming.size,
            resume_after=incoming.resume_after,
            shared_parts=incoming.shared_parts,
            resumes=incoming.resumes,
            is_carried=incoming.carried_runs is not None,
            sends=incoming.sends,
            credentials=incoming.credentials,
            hides_credentials=table.workspaces is not None,
            workspace=workspace,
        )

    async def _dispatch_until_cut(
        self, request: RoutedRequest, table: RoutingTable, times: TimedResponder
    ) -> Reply | None:
        run = asyncio.timeout_at(self.cut_at)
        try:
            async with run:
                self._runs.add(run)
                return await self._dispatch(request, table, times)
        except TimeoutError:
            if not run.expired():
                raise
            raise _cut_error(request, times) from None
        finally:
            self._runs.discard(run)

    async def _dispatch(
        self, request: RoutedRequest, table: RoutingTable, responder: Responder
    ) -> Reply | None:
        if self._too_late_to_start(request):
            raise RequestRefusedError(RefusalReason.STOPPING, RETRY_AFTER_STOP_S)
        self._carrier.check_carried(request)
        if self._carrier.may_carry(request):
            return await self._carrier.run(request, responder)
        try:
            return await self._run_here(request, table, responder)
        except RequestRefusedError as refusal:
            if refusal.reason == RefusalReason.QUOTA:
                raise
            self._carrier.check_carried(request)
            if not self._carrier.may_carry(request):
                raise
            return await self._carrier.run(request, responder)

    async def _run_here(
        self, request: RoutedRequest, table: RoutingTable, responder: Responder
    ) -> Reply | None:
        decision = await self._charge(request)
        try:
            return await self._run_charged(request, table, responder)
        except RequestRefusedError:
            self._quotas.give_back(decision.charge)
            raise
        except BaseException:
            if not request.sends.may_have_run:
                self._quotas.give_back(decision.charge)
            raise

    async def _charge(self, request: RoutedRequest) -> QuotaDecision:
        """Charge a request to its workspace; raise RequestRefusedError if denied."""
        workspace = request.workspace
        if workspace is None or workspace.quota is None:
            return FREE
        try:
            async with asyncio.timeout_at(request.deadline - CHARGE_MARGIN_S):
                decision = await self._quotas.acquire(
                    workspace, request.size, request.id
                )
        except TimeoutError:
            raise RequestRefusedError(
                RefusalReason.TIMED_OUT, RETRY_AFTER_START_S
            ) from None
        if not decision.granted:
            raise RequestRefusedError(RefusalReason.QUOTA, decision.wait_s)
        return decision

    async def _run_charged(
        self, request: RoutedRequest, table: RoutingTable, responder: Responder
    ) -> Reply | None:
        self._budget.record_request(request.service, request.arrived)
        await self._crashes.check(request)
        service = table.services.get(request.service)
        engine = service.engine if service else None
        if engine is None or request.size is None:
            return await self._calls.run(request)
        return await self._generations.run(request, engine, responder)

    def _too_late_to_start(self, request: RoutedRequest) -> bool:
        """Return whether the stop could cut a request off."""
        if self._stopping_since is None:
            return False
        if not self._accepts:
            return True
        expected_s = self._forecast.expected_s(request)
        if expected_s is not None and request.arrived + expected_s > self.cut_at:
            return True
        accepted_until = self._stopping_since + STOP_ACCEPT_SHARE * self._grace_s
        return request.arrived > accepted_until and request.deadline > self.cut_at

    def _record_end(
        self,
        request: RoutedRequest,
        table: RoutingTable,
        outcome: str,
        reason: str,
        times: TimedResponder,
    ) -> None:
        took_s = loop_time() - request.arrived
        route = request.route
        self._metrics.count(f"requests_{outcome}", route.name)
        self._metrics.observe("request_duration", route.name, took_s)
        log = logger.warning if outcome in _FAILURES else logger.info
        log(
            "request_ended",
            request=request.id,
            route=route.name,
            service=request.service,
            workspace=request.workspace and request.workspace.name,
            configuration=table.version,
            outcome=outcome,
            reason=reason,
            took_s=round(took_s, 4),
            **self._record_stream(request, times),
        )

    def _record_stream(
        self, request: RoutedRequest, times: TimedResponder
    ) -> dict[str, float | int]:
        """Record the times of a stream that has begun; return them for the log."""
        if times.first_at is None:
            return {}
        durations_s = {
            "first_event": times.first_at - request.arrived,
            "longest_gap": times.longest_gap_s,
            "replica_wait": times.replica_wait_s,
            "caller_wait": times.caller_wait_s,
        }
        for name, duration_s in durations_s.items():
            self._metrics.observe(f"stream_{name}", request.service, duration_s)
        logged = {f"{name}_s": round(value, 4) for name, value in durations_s.items()}
        return {"events": times.events, **logged}


def _cut_error(request: RoutedRequest, times: TimedResponder) -> Exception:
    """Return the error of a request that is ended by a planned stop."""
    message = "the daemon stops"
    if times.started:
        return StreamBrokenError(message)
    if request.sends.may_have_run:
        return OutcomeUnknownError(message)
    return RequestRefusedError(RefusalReason.STOPPING, RETRY_AFTER_STOP_S)


_FAILURES = frozenset({"refused", "outcome_unknown", "broken_off", "failed"})
_OUTCOMES = {
    RequestRefusedError: "refused",
    OutcomeUnknownError: "outcome_unknown",
    StreamBrokenError: "broken_off",
}
