"""Runs requests to plain services."""

from marjoramstile.crashes.detector import CrashDetector
from marjoramstile.limits.client import PermitClient
from marjoramstile.limits.coordinator import PermitDecision
from marjoramstile.logs import get_logger
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.budget import WindowedRetryBudget
from marjoramstile.routes.failures import FailureRecorder
from marjoramstile.routes.links import ReplicaLinks
from marjoramstile.routes.ports import ReplicaClient
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.requests import (
    AnswerLostError,
    NotSentError,
    OutcomeUnknownError,
    OutdatedChoiceError,
    RefusalReason,
    ReplicaError,
    Reply,
    RequestRefusedError,
    RoutedRequest,
)
from marjoramstile.utils import loop_time

# A few mean service times of a plain call: capacity is likely free by then.
RETRY_AFTER_S = 0.25
# Least time left before the deadline for which a retry is worthwhile.
MIN_ATTEMPT_S = 0.02
SERVER_ERROR = 500

logger = get_logger(__name__)


class PlainCallRunner:
    """Sends a request to replicas until one answers, as far as it may be retried."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        client: ReplicaClient,
        balancer: Balancer,
        budget: WindowedRetryBudget,
        crashes: CrashDetector,
        permits: PermitClient,
        links: ReplicaLinks,
    ):
        self._directory = directory
        self._client = client
        self._balancer = balancer
        self._budget = budget
        self._crashes = crashes
        self._permits = permits
        self._links = links
        self._failures = FailureRecorder(directory, balancer)

    async def run(self, request: RoutedRequest) -> Reply:
        """Return a replica's answer.

        Raises RequestRefusedError if the request has not run and OutcomeUnknownError
        if it may have.
        """
        attempt = _CallAttempts(request)
        while True:
            replica = await self._next_replica(attempt)
            if replica is None:
                return self._give_up(attempt)
            try:
                self._crashes.check_again(request)
            except RequestRefusedError as refusal:
                return attempt.give_up(refusal.reason, refusal.retry_after_s)
            suspect = self._crashes.is_suspect(request)
            sent_at = loop_time()
            try:
                reply = await self._send(replica, request)
            except ReplicaError as error:
                attempt.record_failure(replica, error)
                if isinstance(error, AnswerLostError):
                    self._crashes.check_for_crash(request, replica)
                    if suspect:
                        return attempt.give_up(RefusalReason.QUARANTINED)
            else:
                attempt.record_reply(replica, reply)
                self._crashes.record_begin(request, sent_at)
                if reply.status < SERVER_ERROR:
                    return reply
            if not self._may_retry(attempt) or not await self._links_hold(attempt):
                return attempt.give_up(RefusalReason.SHED)

    def _give_up(self, attempt: "_CallAttempts") -> Reply:
        """End a request for which no untried replica is usable."""
        wait_s = attempt.permit_wait_s
        if wait_s is not None:
            if attempt.tried:
                wait_s = min(wait_s, RETRY_AFTER_S)
            return attempt.give_up(RefusalReason.LIMITED, wait_s)
        service = attempt.request.service
        pause_s = self._directory.pause_left_s(service, None, loop_time())
        if pause_s is None:
            return attempt.give_up(RefusalReason.NO_REPLICA)
        return attempt.give_up(RefusalReason.PAUSED, max(RETRY_AFTER_S, pause_s))

    async def _next_replica(self, attempt: "_CallAttempts") -> Replica | None:
        """Return the best untried replica that its limit, if any, allows to be used."""
        request = attempt.request
        usable = self._directory.usable(request.service)
        untried = [replica for replica in usable if replica.id not in attempt.tried]
        while untried:
            replica = self._balancer.choose(untried, loop_time())
            decision = await self._permits.acquire(replica, request.id)
            if decision.granted:
                return replica
            attempt.record_denial(decision)
            untried.remove(replica)
        return None

    async def _send(self, replica: Replica, request: RoutedRequest) -> Reply:
        stats = self._balancer.stats(replica)
        started = loop_time()
        stats.outstanding += 1
        logger.info(
            "call_sent",
            request=request.id,
            replica=replica.id,
            outstanding=stats.outstanding,
            left_s=round(request.deadline - started, 3),
        )
        try:
            reply = await self._client.call(
                replica, request, request.deadline - started
            )
        except ReplicaError as error:
            self._failures.record(replica, request, error)
            raise
        finally:
            stats.outstanding -= 1
        now = loop_time()
        stats.observe_latency(now - started, now)
        if reply.status >= SERVER_ERROR:
            stats.record_failure(loop_time(), weight=0.2)
        return reply

    async def _links_hold(self, attempt: "_CallAttempts") -> bool:
        """Return whether a request that reached no replica may reach another one."""
        if attempt.has_run or not attempt.last_was_unsent:
            return True
        return attempt.last_was_outdated or await self._links.hold()

    def _may_retry(self, attempt: "_CallAttempts") -> bool:
        now = loop_time()
        if now > attempt.request.deadline - MIN_ATTEMPT_S:
            return False
        if not attempt.repeatable:
            return False
        if attempt.last_was_unsent:
            return True
        return self._budget.try_consume(attempt.request.service, now)


class _CallAttempts:
    """State of one request over its attempts."""

    def __init__(self, request: RoutedRequest):
        self.request = request
        self.tried: set[str] = set()
        self.last_was_unsent = False
        self.last_was_outdated = False
        self.permit_wait_s: float | None = None
        self._runs = 0
        self._lost = False
        self._reply: Reply | None = None

    @property
    def has_run(self) -> bool:
        """Whether a replica may have run the request."""
        return self._runs > 0

    @property
    def repeatable(self) -> bool:
        """Whether the request may be sent to one more replica."""
        if self._runs == 0:
            return True
        route = self.request.route
        return route.repeatable and self._runs < route.max_attempts

    def record_denial(self, decision: PermitDecision) -> None:
        """Record that a replica's limit leaves nothing for this request now."""
        waits = (self.permit_wait_s, decision.wait_s)
        self.permit_wait_s = min(wait for wait in waits if wait is not None)

    def record_failure(self, replica: Replica, error: ReplicaError) -> None:
        """Record an attempt that got no answer."""
        self.tried.add(replica.id)
        self.last_was_unsent = isinstance(error, NotSentError)
        self.last_was_outdated = isinstance(error, OutdatedChoiceError)
        if isinstance(error, AnswerLostError):
            self._runs += 1
            self._lost = True

    def record_reply(self, replica: Replica, reply: Reply) -> None:
        """Record an answer."""
        self.tried.add(replica.id)
        self.last_was_unsent = False
        self._runs += 1
        self._reply = reply

    def give_up(
        self, reason: RefusalReason, retry_after_s: float = RETRY_AFTER_S
    ) -> Reply:
        """Return the last answer of a replica, which is a 5xx, if there is one.

        Otherwise raise OutcomeUnknownError if an attempt may have run, else
        RequestRefusedError.
        """
        if self._reply is not None:
            return self._reply
        if self._lost:
            timed_out = loop_time() >= self.request.deadline - MIN_ATTEMPT_S
            raise OutcomeUnknownError("a replica's answer was lost", timed_out)
        raise RequestRefusedError(reason, retry_after_s)
