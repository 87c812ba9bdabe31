"""Sends requests to the fronts of other VMs, which run them for this one.

A carrier names its own failures in a header, so that they aren't taken for a replica's
answer. Each request has a connection of its own, as to replicas.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import ClientResponse, ClientSession
from multidict import CIMultiDict

from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.platform import headers as platform_headers
from marjoramstile.platform.answers import read_reply, stream_answer
from marjoramstile.platform.replicas import send_request
from marjoramstile.platform.wholeness import (
    AnswerFault,
    AnswerFaults,
    BrokenAnswerError,
)
from marjoramstile.results import ResultCode
from marjoramstile.routes.carrying import CarriedSend, Carrier
from marjoramstile.routes.ports import StreamAnswer
from marjoramstile.routes.requests import (
    AnswerLostError,
    NotSentError,
    OutcomeUnknownError,
    RefusalReason,
    Reply,
    RequestRefusedError,
    RoutedRequest,
)
from marjoramstile.utils import MILLISECONDS_PER_S

TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
DEFAULT_RETRY_AFTER_S = 0.25
# Failures of a carrier that can't run requests now, though another one may.
_UNABLE = frozenset({ResultCode.LEAVING, ResultCode.FENCED, ResultCode.NO_ENDPOINT})
_REASONS = {
    ResultCode.QUARANTINED: RefusalReason.QUARANTINED,
    ResultCode.VERSION_UNKNOWN: RefusalReason.VERSION_UNKNOWN,
    ResultCode.VERSION_GONE: RefusalReason.VERSION_GONE,
    ResultCode.WORKSPACE_LIMIT: RefusalReason.QUOTA,
}


class HTTPCarrierClient:
    """Implements the routing core's CarrierClient."""

    def __init__(
        self,
        session: ClientSession,
        buffers: BufferBudget,
        faults: AnswerFaults | None = None,
    ):
        """``faults`` records which answers aren't whole."""
        self._session = session
        self._buffers = buffers
        self._faults = faults or AnswerFaults()

    @asynccontextmanager
    async def send(
        self,
        carrier: Carrier,
        request: RoutedRequest,
        timeout_s: float,
        carried: CarriedSend,
    ) -> AsyncIterator[StreamAnswer]:
        """Send a request; the connection closes after the block."""
        with self._faults.watch(carrier.vm):
            response = await self._request(carrier, request, timeout_s, carried)
            try:
                _raise_own_failure(response)
                named = response.headers.get(platform_headers.REQUEST_ID)
                if named not in (None, request.id):
                    raise BrokenAnswerError(AnswerFault.OTHER_REQUEST)
                yield stream_answer(response, self._buffers)
            finally:
                response.close()

    async def _request(
        self,
        carrier: Carrier,
        request: RoutedRequest,
        timeout_s: float,
        carried: CarriedSend,
    ) -> ClientResponse:
        if timeout_s <= 0:
            raise NotSentError("no time left")
        headers = _headers(request, timeout_s, carried)
        return await send_request(
            self._session, carrier.front, request, headers, timeout_s
        )

    async def read_reply(self, answer: StreamAnswer) -> Reply:
        """Return a whole answer; raise AnswerLostError if truncated or too long."""
        return await read_reply(answer, self._buffers)


def _headers(
    request: RoutedRequest, timeout_s: float, carried: CarriedSend
) -> CIMultiDict[str]:
    headers = CIMultiDict(request.headers)
    platform_headers.add_credentials(headers, request.credentials)
    headers[platform_headers.DEADLINE_MS] = str(
        max(1, int(timeout_s * MILLISECONDS_PER_S))
    )
    headers.setdefault("Host", request.route.host)
    headers[platform_headers.CARRIED_FOR] = carried.sender
    headers[platform_headers.CARRIED_RUNS] = str(carried.runs)
    if carried.resume_after is not None:
        headers[platform_headers.LAST_EVENT_ID] = str(carried.resume_after)
        headers[platform_headers.RESUMES] = request.id
    return headers


def _raise_own_failure(response: ClientResponse) -> None:
    """Raise the failure that the carrier names, if any."""
    named = response.headers.get(platform_headers.CARRIER_RESULT)
    if named is None:
        return
    try:
        code = ResultCode(int(named))
    except ValueError:
        raise AnswerLostError(f"unknown result {named[:20]!r}") from None
    if code in _UNABLE:
        raise NotSentError(f"the carrier can't run it: {code.name}")
    if response.status in (TOO_MANY_REQUESTS, UNAVAILABLE):
        retry_after = response.headers.get(platform_headers.RETRY_AFTER)
        wait_s = platform_headers.request_limit(retry_after)
        raise RequestRefusedError(
            _REASONS.get(code, RefusalReason.SHED),
            DEFAULT_RETRY_AFTER_S if wait_s is None else wait_s,
        )
    if code == ResultCode.OUTCOME_UNKNOWN:
        raise OutcomeUnknownError(
            "a carrier's outcome is unknown", response.status == GATEWAY_TIMEOUT
        )
    raise NotSentError(f"the carrier refused it: {code.name}")
