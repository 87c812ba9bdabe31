"""Handles requests of OpenAI's completions interface.

A model is a language service that a route leads to; the limits of that route apply.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from marjoramstile.completions.bodies import (
    CompletionBody,
    parse_chat_body,
    parse_fields,
    parse_text_body,
)
from marjoramstile.completions.errors import (
    BAD_GATEWAY,
    NOT_FOUND,
    REQUEST_ID,
    SERVER_ERROR,
    UNAVAILABLE,
    CompletionError,
    answer_too_long_error,
    outcome_unknown_error,
    request_refused_error,
    stream_broken_error,
    unknown_model_error,
)
from marjoramstile.completions.formats import (
    CompletionKind,
    CompletionMetadata,
    create_formatter,
)
from marjoramstile.completions.responders import (
    BufferingResponder,
    StreamingResponder,
    TokenCounter,
)
from marjoramstile.fronts.answers import ResponseStream
from marjoramstile.fronts.bodies import BodyReader, BodyRefusedError
from marjoramstile.fronts.buffers import BufferBudgetExceededError, BufferFullError
from marjoramstile.fronts.listening import close_when_idle, note_request
from marjoramstile.fronts.turns import Turns
from marjoramstile.logs import get_logger
from marjoramstile.routes.entry import IncomingRequest, RequestDispatcher
from marjoramstile.routes.ports import Responder
from marjoramstile.routes.requests import (
    CallerDisconnectedError,
    GenerationSize,
    Headers,
    OutcomeUnknownError,
    RefusalReason,
    Reply,
    RequestRefusedError,
    StreamBrokenError,
)
from marjoramstile.routes.table import Route, RoutingTable
from marjoramstile.utils import new_token

MODELS_PATH = "/v1/models"
KINDS_BY_PATH = {
    "/v1/completions": CompletionKind.TEXT,
    "/v1/chat/completions": CompletionKind.CHAT,
}
PARSERS = {CompletionKind.TEXT: parse_text_body, CompletionKind.CHAT: parse_chat_body}
RETRY_AFTER_START_S = 0.5
RETRY_AFTER_NO_ROOM_S = 1.0
COMPLETION_MAX_BYTES = 8_388_608
MESSAGE_MAX_CHARACTERS = 500

# Returns the headers that give a replica a request's id and size.
GenerationHeaders = Callable[[str, GenerationSize], Headers]

logger = get_logger(__name__)


@dataclass(frozen=True)
class Completion:
    """One request with its route; ``stride`` is the model's tokens per event."""

    id: str
    kind: CompletionKind
    body: CompletionBody
    route: Route
    stride: int


def _error_response(error: CompletionError) -> web.Response:
    return web.json_response(
        error.to_body(), status=error.status, headers=error.to_headers()
    )


class CompletionsHandler:
    """Serves ``/v1/completions``, ``/v1/chat/completions`` and ``/v1/models``."""

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        table: Callable[[], RoutingTable | None],
        bodies: BodyReader,
        generation_headers: GenerationHeaders,
    ):
        self._turns = Turns()
        self._dispatcher = dispatcher
        self._table = table
        self._bodies = bodies
        self._generation_headers = generation_headers

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to one request, also if it fails."""
        try:
            response = await self._dispatch(request, self._require_table())
        except CompletionError as error:
            response = _error_response(error)
        if self._dispatcher.stopping:
            close_when_idle(request)
        return response

    def refuse(self) -> web.Response:
        """Return the response to a request on a connection that exceeds the limit."""
        refusal = RequestRefusedError(
            RefusalReason.NO_CONNECTION, RETRY_AFTER_NO_ROOM_S
        )
        return _error_response(request_refused_error(refusal))

    def _require_table(self) -> RoutingTable:
        table = self._table()
        if table is None:
            raise CompletionError(
                UNAVAILABLE,
                "not_configured",
                "no configuration is known yet",
                retry_after_s=RETRY_AFTER_START_S,
                should_retry=True,
            )
        return table

    async def _dispatch(
        self, request: web.BaseRequest, table: RoutingTable
    ) -> web.StreamResponse:
        kind = KINDS_BY_PATH.get(request.path)
        if request.method == "POST" and kind is not None:
            return await self._handle_completion(request, table, kind)
        if request.method == "GET" and request.path == MODELS_PATH:
            data = [_model_body(name) for name in routes_by_model(table)]
            return web.json_response({"object": "list", "data": data})
        prefix, _, model = request.path.rpartition("/")
        if request.method == "GET" and prefix == MODELS_PATH:
            if model not in routes_by_model(table):
                raise unknown_model_error(model)
            return web.json_response(_model_body(model))
        raise CompletionError(NOT_FOUND, "unknown_path", "there is no such path")

    async def _handle_completion(
        self, request: web.BaseRequest, table: RoutingTable, kind: CompletionKind
    ) -> web.StreamResponse:
        reading = self._bodies.read_body(request, table.limits.body_max_bytes)
        try:
            async with reading as data:
                body = await self._parse(kind, data)
                return await self._complete(request, table, kind, body, data)
        except BodyRefusedError as error:
            raise CompletionError(
                error.status,
                "body_refused",
                str(error),
                retry_after_s=error.retry_after_s,
                should_retry=error.retry_after_s is not None,
            ) from error

    async def _parse(self, kind: CompletionKind, data: bytes) -> CompletionBody:
        """Parse a body; raises CompletionError, also if too many others take long."""
        try:
            fields = await parse_fields(data, self._turns)
        except BufferBudgetExceededError as error:
            raise CompletionError(
                UNAVAILABLE,
                "body_refused",
                str(error),
                retry_after_s=RETRY_AFTER_NO_ROOM_S,
                should_retry=True,
            ) from error
        return PARSERS[kind](fields)

    async def _complete(
        self,
        request: web.BaseRequest,
        table: RoutingTable,
        kind: CompletionKind,
        body: CompletionBody,
        data: bytes,
    ) -> web.StreamResponse:
        route = routes_by_model(table).get(body.model)
        if route is None:
            raise unknown_model_error(body.model)
        stride = table.services[body.model].engine.stride
        completion = Completion(new_token(), kind, body, route, stride)
        incoming = self._build_incoming(request, completion, data)
        note_request(request, incoming.id, incoming.sends)
        try:
            if body.stream:
                return await self._complete_streaming(request, completion, incoming)
            return await self._complete_buffered(completion, incoming)
        except CompletionError as error:
            error.request_id = completion.id
            raise

    def _build_incoming(
        self, request: web.BaseRequest, completion: Completion, data: bytes
    ) -> IncomingRequest:
        size = completion.body.size
        headers = (
            ("Content-Type", "application/json"),
            *self._generation_headers(completion.id, size),
        )
        return IncomingRequest(
            id=completion.id,
            method="POST",
            host=completion.route.host,
            path=completion.route.prefix,
            target=request.path,
            headers=headers,
            body=data,
            time_left_s=None,
            size=size,
            resume_after=None,
            credentials=tuple(request.headers.getall("Authorization", ())),
        )

    async def _run(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Run a request whose response is streamed to ``responder``.

        Raises CompletionError for a request that is refused, has an unknown outcome or
        gets no stream. StreamBrokenError and the responder's errors pass unchanged.
        """
        try:
            reply = await self._dispatcher.handle(incoming, responder)
        except RequestRefusedError as error:
            raise request_refused_error(error) from error
        except OutcomeUnknownError as error:
            raise outcome_unknown_error(error) from error
        if reply is not None:
            raise _replica_error(reply)

    async def _complete_buffered(
        self, completion: Completion, incoming: IncomingRequest
    ) -> web.StreamResponse:
        with self._bodies.response_buffer(COMPLETION_MAX_BYTES) as buffer:
            responder = BufferingResponder(
                _formatter(completion), _token_counter(completion), buffer
            )
            try:
                await self._run(incoming, responder)
            except StreamBrokenError as error:
                raise stream_broken_error() from error
            except BufferFullError as error:
                logger.warning("answer_too_long", request=completion.id)
                raise answer_too_long_error(error) from error
            return responder.response(_request_id_header(completion))

    async def _complete_streaming(
        self,
        request: web.BaseRequest,
        completion: Completion,
        incoming: IncomingRequest,
    ) -> web.StreamResponse:
        stream = ResponseStream(request)
        responder = StreamingResponder(
            stream,
            _formatter(completion),
            _token_counter(completion),
            _request_id_header(completion),
            completion.body.include_usage,
            lambda: self._dispatcher.stopping,
        )
        try:
            await self._run(incoming, responder)
        except StreamBrokenError:
            return await self._end_with_error(stream, responder)
        except CallerDisconnectedError:
            return stream.abort()
        return stream.response

    @staticmethod
    async def _end_with_error(
        stream: ResponseStream, responder: StreamingResponder
    ) -> web.StreamResponse:
        try:
            return await responder.fail(stream_broken_error())
        except CallerDisconnectedError:
            return stream.abort()


def routes_by_model(table: RoutingTable) -> dict[str, Route]:
    """Return the language services by name, each with the first route to it."""
    found: dict[str, Route] = {}
    for route in table.routes:
        for share in route.shares:
            service = table.services.get(share.service)
            if service is not None and service.engine is not None:
                found.setdefault(service.name, route)
    return found


def _model_body(name: str) -> dict[str, str | int]:
    return {"id": name, "object": "model", "created": 0, "owned_by": "marjoramstile"}


def _formatter(completion: Completion):
    metadata = CompletionMetadata(
        completion.id, completion.body.model, int(time.time())
    )
    return create_formatter(completion.kind, metadata)


def _token_counter(completion: Completion) -> TokenCounter:
    return TokenCounter(completion.body.size, completion.stride)


def _request_id_header(completion: Completion) -> dict[str, str]:
    return {REQUEST_ID: completion.id}


def _replica_error(reply: Reply) -> CompletionError:
    """Return the error for a plain response that was received instead of a stream."""
    is_client_error = reply.status < SERVER_ERROR
    status = reply.status if is_client_error else BAD_GATEWAY
    text = reply.body.decode("utf-8", "replace")[:MESSAGE_MAX_CHARACTERS]
    code = "replica_rejected" if is_client_error else "replica_failed"
    return CompletionError(status, code, text or f"status {reply.status}")
