"""Runs calls to plain services; non-idempotent ones at most once."""

import asyncio
import base64
import random
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from marjoramstile.admission.breakers import CircuitBreakers
from marjoramstile.admission.retries import RetryBudget
from marjoramstile.configuration.documents import Configuration, PlainService
from marjoramstile.endpoints.errors import EndpointError
from marjoramstile.endpoints.plain import PlainAnswer, PlainCall, PlainClient
from marjoramstile.ledger.claims import (
    Claim,
    ClaimState,
    Finding,
    RecordedAnswer,
    claim_key,
)
from marjoramstile.ledger.ledger import Existing, Ledger, Permission
from marjoramstile.logs import get_logger
from marjoramstile.membership.leaving import LeavingHosts
from marjoramstile.membership.view import View
from marjoramstile.ports.objects import ObjectStore
from marjoramstile.results import Failure, Ran, ResultCode
from marjoramstile.utils import (
    BackgroundTasks,
    content_fingerprint,
    loop_time,
    new_token,
    stable_percent,
)

ENDPOINT_TRIES = 2
INLINE_ANSWER_MAX_BYTES = 16_384
STORE_RETRY_AFTER_S = 2.0
IN_PROGRESS_RETRY_AFTER_S = 1.0
UNKNOWN_RETRY_AFTER_S = 5.0
TARGET_RETRY_AFTER_S = 1.0

logger = get_logger(__name__)

CallResult = Result[PlainAnswer, Failure]


@dataclass(frozen=True)
class PlainRequest:
    """A validated call to a plain service."""

    service_name: str
    service: PlainService
    call: PlainCall

    @property
    def repeatable(self) -> bool:
        """Whether the call may be sent more than once."""
        return self.call.method not in self.service.non_idempotent_methods

    @property
    def content(self) -> str:
        """Fingerprint of service, method, path and body."""
        return content_fingerprint(
            self.service_name, self.call.method, self.call.path, self.call.body
        )

    @property
    def key(self) -> str:
        """The ledger's key of the call."""
        return claim_key(self.call.workspace, self.call.idempotency_key)


def target_names(
    service: PlainService, workspace: str, service_name: str
) -> tuple[str, ...]:
    """Return the endpoints for a workspace: the new ones or the old system.

    A workspace's percentile is fixed by a hash, so that raising ``new_percent`` only
    moves workspaces to the new endpoints, and lowering it only moves them back.
    """
    migration = service.migration
    if migration is None:
        return service.endpoints
    if stable_percent(f"{service_name}/{workspace}") < migration.new_percent:
        return service.endpoints
    return (migration.old,)


class CallRunner:
    """Forwards one daemon's calls to plain services."""

    def __init__(
        self,
        view: View,
        client: PlainClient,
        ledger: Ledger,
        objects: ObjectStore,
        leaving: LeavingHosts,
        breakers: CircuitBreakers,
        budget: RetryBudget,
        tasks: BackgroundTasks,
        rng: random.Random,
    ):
        self._view = view
        self._client = client
        self._ledger = ledger
        self._objects = objects
        self._leaving = leaving
        self._breakers = breakers
        self._budget = budget
        self._tasks = tasks
        self._rng = rng

    async def run(
        self, request: PlainRequest, configuration: Configuration
    ) -> CallResult:
        """Run a call under the configuration that was in force when it began."""
        self._budget.record_request(configuration.limits.retry_percent)
        targets = self._targets(request, configuration)
        if not targets:
            return Err(_unreachable("no endpoint can be used now"))
        if request.repeatable:
            return await self._run_repeatable(request, targets)
        if not request.call.idempotency_key:
            message = f"{request.call.method} needs an Idempotency-Key"
            return Err(Failure(ResultCode.KEY_REQUIRED, message))
        return await self._run_once(request, targets)

    def _targets(
        self, request: PlainRequest, configuration: Configuration
    ) -> list[tuple[str, str]]:
        """Return names and URLs of the usable endpoints in random order."""
        names = target_names(
            request.service, request.call.workspace, request.service_name
        )
        endpoints = [(name, configuration.endpoints[name]) for name in names]
        usable = [
            (name, endpoint.url)
            for name, endpoint in endpoints
            if not endpoint.leaving
            and not self._leaving.includes(endpoint.url)
            and not self._breakers.is_open(name, loop_time())
        ]
        self._rng.shuffle(usable)
        return usable

    async def _send(
        self, request: PlainRequest, target: tuple[str, str]
    ) -> Result[PlainAnswer, EndpointError]:
        name, url = target
        answer = await self._client.call(url, request.call, request.service.timeout_s)
        if answer.is_ok():
            self._breakers.record_success(name)
        else:
            self._breakers.record_failure(name, loop_time())
        return answer

    async def _run_repeatable(
        self, request: PlainRequest, targets: Sequence[tuple[str, str]]
    ) -> CallResult:
        """Retry on another endpoint when one fails.

        The failure states whether the call may have run.
        """
        errors: list[EndpointError] = []
        for target in targets[:ENDPOINT_TRIES]:
            if errors and not self._budget.try_consume(loop_time()):
                break
            answer = await self._send(request, target)
            if answer.is_ok():
                return Ok(answer.unwrap())
            errors.append(answer.unwrap_err())
        return Err(_failed(errors))

    async def _run_once(
        self, request: PlainRequest, targets: Sequence[tuple[str, str]]
    ) -> CallResult:
        own = self._view.own
        wanted = Claim(
            token=new_token(),
            content_hash=request.content,
            daemon=own.vm.name,
            incarnation=own.incarnation,
            target=targets[0][0],
        )
        claimed = await self._ledger.claim(request.key, wanted)
        if claimed.is_err():
            return Err(
                Failure(
                    ResultCode.STORE_UNAVAILABLE,
                    "the call could not be recorded and was not sent",
                    retry_after_s=STORE_RETRY_AFTER_S,
                )
            )
        found = claimed.unwrap()
        if isinstance(found, Existing):
            return await self._answer_existing(found)
        task = self._tasks.start(
            self._send_claimed(request, found, targets), "send_claimed"
        )
        return await asyncio.shield(task)

    async def _send_claimed(
        self,
        request: PlainRequest,
        permission: Permission,
        targets: Sequence[tuple[str, str]],
    ) -> CallResult:
        """Send a claimed call; continues when the caller disconnects.

        Another endpoint is tried only if the first is known not to have run the call.
        """
        error = None
        for target in targets[:ENDPOINT_TRIES]:
            answer = await self._send(request, target)
            if answer.is_ok():
                await self._record(permission, answer.unwrap())
                return Ok(answer.unwrap())
            error = answer.unwrap_err()
            if not error.known_not_run:
                logger.warning("call_outcome_unknown", key=request.key)
                return Err(_unknown("the endpoint did not answer"))
        self._ledger.release(permission)
        return Err(_unreachable(error.detail))

    async def _record(self, permission: Permission, answer: PlainAnswer) -> None:
        """Record the answer; a large body is put in the object store."""
        body_object = ""
        body = base64.b64encode(answer.body).decode()
        if len(answer.body) > INLINE_ANSWER_MAX_BYTES:
            body_object = f"answer-{permission.claim.token}"
            body = ""
            await self._objects.put(body_object, answer.body)
        recorded = RecordedAnswer(answer.status, answer.content_type, body, body_object)
        self._ledger.record(permission, recorded)

    async def _answer_existing(self, existing: Existing) -> CallResult:
        if existing.finding == Finding.OTHER_CONTENT:
            message = "this Idempotency-Key belongs to another request"
            return Err(Failure(ResultCode.KEY_REUSED, message))
        claim = existing.claim
        if existing.finding == Finding.CLAIMED_BY_OTHER:
            claim = self._ledger.unwritten(claim.token) or claim
        if claim.state == ClaimState.DONE:
            return await self._recorded_answer(claim.answer)
        return Err(self.pending_failure(claim))

    async def _recorded_answer(self, recorded: RecordedAnswer) -> CallResult:
        body = base64.b64decode(recorded.body)
        if recorded.body_object:
            stored = await self._objects.get(recorded.body_object)
            if stored.is_err() or stored.unwrap() is None:
                return Err(
                    Failure(
                        ResultCode.STORE_UNAVAILABLE,
                        "the call ran; its recorded answer can't be read now",
                        ran=Ran.YES,
                        retry_after_s=STORE_RETRY_AFTER_S,
                    )
                )
            body = stored.unwrap()
        return Ok(PlainAnswer(recorded.status, recorded.content_type, body))

    def pending_failure(self, claim: Claim) -> Failure:
        """Return the failure to report for a claimed call without a recorded answer."""
        if claim.state == ClaimState.RELEASED:
            return _unreachable("the call was given up before it was sent")
        if self._may_be_running(claim):
            return Failure(
                ResultCode.IN_PROGRESS,
                "the same call is running",
                ran=Ran.UNKNOWN,
                retry_after_s=IN_PROGRESS_RETRY_AFTER_S,
            )
        return _unknown("the daemon that sent the call ended before its answer")

    def _may_be_running(self, claim: Claim) -> bool:
        peer = self._view.get(claim.daemon)
        if peer is None or self._view.is_dead(claim.incarnation):
            return False
        return not peer.incarnation or peer.incarnation == claim.incarnation


def _unreachable(detail: str) -> Failure:
    return Failure(
        ResultCode.TARGET_UNREACHABLE, detail, retry_after_s=TARGET_RETRY_AFTER_S
    )


def _unknown(message: str) -> Failure:
    return Failure(
        ResultCode.OUTCOME_UNKNOWN,
        f"{message}; ask for the request's status later",
        ran=Ran.UNKNOWN,
        retry_after_s=UNKNOWN_RETRY_AFTER_S,
    )


def _failed(errors: Sequence[EndpointError]) -> Failure:
    if all(error.known_not_run for error in errors):
        return _unreachable(errors[-1].detail)
    return Failure(
        ResultCode.ENDPOINT_FAILED,
        f"the endpoints did not answer: {errors[-1].detail}",
        ran=Ran.UNKNOWN,
        retry_after_s=TARGET_RETRY_AFTER_S,
    )
