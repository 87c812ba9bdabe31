"""Handler of calls to plain services."""

from sanic import HTTPResponse, Request

from marjoramstile.admission.limits import WorkspaceLimiter
from marjoramstile.endpoints.plain import PlainCall
from marjoramstile.entry.access import AccessControl, Caller
from marjoramstile.entry.web import failure_response
from marjoramstile.logs import get_logger
from marjoramstile.requests.calls import CallResult, CallRunner, PlainRequest
from marjoramstile.results import Failure, RequestFailedError, ResultCode

logger = get_logger(__name__)


class CallHandler:
    """Serves calls to plain services under ``/v1/services/SERVICE/PATH``."""

    def __init__(
        self, access: AccessControl, limiter: WorkspaceLimiter, runner: CallRunner
    ):
        self._access = access
        self._limiter = limiter
        self._runner = runner

    async def handle(
        self, request: Request, service: str, path: str = ""
    ) -> HTTPResponse:
        """Forward a call to its service and return the answer."""
        caller = self._access.authenticate(request)
        self._access.check_service(caller, service)
        plain = _to_request(request, caller, service, path)
        limit = caller.configuration.limits.workspace_requests
        with self._limiter.admit(caller.workspace_name, limit):
            answer = await self._runner.run(plain, caller.configuration)
        response = _to_response(answer)
        logger.info(
            "call_ended",
            workspace=caller.workspace_name,
            service=service,
            method=request.method,
            status=response.status,
        )
        return response


def _to_response(answer: CallResult) -> HTTPResponse:
    if answer.is_err():
        return failure_response(answer.unwrap_err())
    endpoint_answer = answer.unwrap()
    return HTTPResponse(
        endpoint_answer.body,
        status=endpoint_answer.status,
        content_type=endpoint_answer.content_type or None,
    )


def _to_request(
    request: Request, caller: Caller, service_name: str, path: str
) -> PlainRequest:
    service = caller.configuration.plain_services.get(service_name)
    if service is None:
        message = f"{service_name} does not answer calls"
        raise RequestFailedError(Failure(ResultCode.UNKNOWN_SERVICE, message))
    query = f"?{request.query_string}" if request.query_string else ""
    call = PlainCall(
        method=request.method,
        path=f"/{path}{query}",
        body=request.body,
        content_type=request.headers.get("content-type", ""),
        workspace=caller.workspace_name,
        idempotency_key=request.headers.get("idempotency-key", ""),
    )
    return PlainRequest(service_name, service, call)
