"""HTTP front for callers on the platform, with its readiness and address endpoints."""

from aiohttp import web

from marjoramstile.fronts.answers import ResponseStream
from marjoramstile.fronts.bodies import BodyReader, BodyRefusedError
from marjoramstile.fronts.listening import close_when_idle, note_request
from marjoramstile.platform import headers as platform_headers
from marjoramstile.results import Failure, Ran, ResultCode
from marjoramstile.routes.addresses import FrontAddresses
from marjoramstile.routes.entry import IncomingRequest, RequestDispatcher
from marjoramstile.routes.requests import (
    CallerDisconnectedError,
    Headers,
    OutcomeUnknownError,
    RefusalReason,
    Reply,
    RequestRefusedError,
    StreamBrokenError,
)

BAD_REQUEST = 400
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
RETRY_AFTER_START_S = 0.5
RETRY_AFTER_NO_ROOM_S = 1.0
# Result codes of refusals; those that aren't listed are for lack of capacity.
_REFUSAL_CODES = {
    RefusalReason.NOT_CONFIGURED: ResultCode.FENCED,
    RefusalReason.NO_REPLICA: ResultCode.NO_ENDPOINT,
    RefusalReason.QUARANTINED: ResultCode.QUARANTINED,
    RefusalReason.STOPPING: ResultCode.LEAVING,
    RefusalReason.QUOTA: ResultCode.WORKSPACE_LIMIT,
    RefusalReason.VERSION_UNKNOWN: ResultCode.VERSION_UNKNOWN,
    RefusalReason.VERSION_GONE: ResultCode.VERSION_GONE,
}


class FrontHandler:
    """Handles the requests that callers send."""

    def __init__(self, entry: RequestDispatcher, bodies: BodyReader):
        self._entry = entry
        self._bodies = bodies

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to one request."""
        response = await self._handle(request)
        if self._entry.stopping:
            close_when_idle(request)
        return response

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        limits = self._entry.limits
        if limits is None:
            return self._refusal_response(
                RequestRefusedError(RefusalReason.NOT_CONFIGURED, RETRY_AFTER_START_S)
            )
        reading = self._bodies.read_body(request, limits.body_max_bytes)
        try:
            async with reading as body:
                return await self._run(request, body)
        except BodyRefusedError as error:
            failure = Failure(
                ResultCode.BAD_BODY, str(error), retry_after_s=error.retry_after_s
            )
            close_when_idle(request)
            return self._error_response(error.status, failure)

    def refuse(self) -> web.Response:
        """Return the response to a request on a connection that exceeds the limit."""
        return self._refusal_response(
            RequestRefusedError(RefusalReason.NO_CONNECTION, RETRY_AFTER_NO_ROOM_S)
        )

    async def _run(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        """Route one request whose body is complete."""
        incoming = _decode_request(request, body)
        if incoming is None:
            failure = Failure(ResultCode.BAD_BODY, "X-Request-Id is missing")
            return self._error_response(BAD_REQUEST, failure)
        note_request(request, incoming.id, incoming.sends)
        responder = HTTPResponder(request, self._entry)
        try:
            reply = await self._entry.handle(incoming, responder)
        except RequestRefusedError as refusal:
            return self._refusal_response(refusal)
        except OutcomeUnknownError as error:
            status = GATEWAY_TIMEOUT if error.timed_out else BAD_GATEWAY
            failure = Failure(ResultCode.OUTCOME_UNKNOWN, str(error), Ran.UNKNOWN)
            return self._error_response(status, failure)
        except (StreamBrokenError, CallerDisconnectedError):
            return responder.abort()
        if reply is not None:
            return await responder.reply(reply)
        return responder.response

    def _refusal_response(self, refusal: RequestRefusedError) -> web.Response:
        code = _REFUSAL_CODES.get(refusal.reason, ResultCode.OVERLOADED)
        failure = Failure(
            code, str(refusal.reason), retry_after_s=refusal.retry_after_s
        )
        status = (
            TOO_MANY_REQUESTS if refusal.reason == RefusalReason.QUOTA else UNAVAILABLE
        )
        return self._error_response(status, failure)

    def _error_response(self, status: int, failure: Failure) -> web.Response:
        response = web.json_response(failure.to_body(), status=status)
        response.headers[platform_headers.CARRIER_RESULT] = str(int(failure.code))
        if failure.retry_after_s is not None:
            retry_after = f"{failure.retry_after_s:.3f}"
            response.headers[platform_headers.RETRY_AFTER] = retry_after
        return response


class HTTPResponder:
    """Sends a stream or a complete response to one caller."""

    def __init__(self, request: web.BaseRequest, entry: RequestDispatcher):
        self._stream = ResponseStream(request)
        self._entry = entry

    @property
    def response(self) -> web.StreamResponse:
        """The response that was started."""
        return self._stream.response

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a stream."""
        await self._stream.start(status, headers, close=self._entry.stopping)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._stream.write(data)

    async def finish(self) -> None:
        """End the stream as complete."""
        await self._stream.finish()

    async def reply(self, reply: Reply) -> web.StreamResponse:
        """Send a complete response, and return it.

        The memory of its body is reserved until the caller has taken it. A caller that
        has gone gets none.
        """
        close = self._entry.stopping
        try:
            return await self._stream.send_whole(
                reply.status, reply.headers, reply.body, close
            )
        except CallerDisconnectedError:
            return self.abort()

    def abort(self) -> web.StreamResponse:
        """Close the connection so that the response can't be taken for complete."""
        return self._stream.abort()


def _decode_request(request: web.BaseRequest, body: bytes) -> IncomingRequest | None:
    headers = tuple(
        (
            name.decode("utf-8", "surrogateescape"),
            value.decode("utf-8", "surrogateescape"),
        )
        for name, value in request.raw_headers
    )
    request_id = platform_headers.first_value(headers, platform_headers.REQUEST_ID)
    if not request_id:
        return None
    target = request.raw_path
    return IncomingRequest(
        id=request_id,
        method=request.method,
        host=_host_name(platform_headers.first_value(headers, "Host") or ""),
        path=target.partition("?")[0],
        target=target,
        headers=platform_headers.forwarded_request_headers(headers),
        body=body,
        time_left_s=platform_headers.time_left_s(headers),
        size=platform_headers.generation_size(headers),
        resume_after=platform_headers.resume_after(headers),
        shared_parts=platform_headers.shared_parts(headers),
        resumes=platform_headers.resumed_id(headers),
        credentials=platform_headers.credentials(headers),
        carried_for=platform_headers.first_value(headers, platform_headers.CARRIED_FOR),
        carried_runs=platform_headers.carried_runs(headers),
    )


def _host_name(host: str) -> str:
    return host.partition(":")[0].lower()


class PlatformEndpoints:
    """Endpoints that the platform defines for readiness and address resolution."""

    def __init__(
        self,
        entry: RequestDispatcher,
        addresses: FrontAddresses,
    ):
        self._entry = entry
        self._addresses = addresses

    async def ready(self, request: web.BaseRequest) -> web.Response:
        """Answer GET /v1/readyz with 200 if ready, else 503."""
        return web.Response(status=200 if self._entry.ready else 503)

    async def resolve(self, request: web.BaseRequest) -> web.Response:
        """Answer GET /v1/resolve with the addresses to connect to and their TTL."""
        addresses = self._addresses.current(request.query.get("region", ""))
        if not addresses:
            return web.Response(status=503)
        body = {"addresses": addresses, "ttlS": self._addresses.ttl_s}
        return web.json_response(body)
