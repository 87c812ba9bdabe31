"""Handles requests of OpenAI's completions interface.

A model is a language service that a route leads to; its route's limits hold.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from marjoramstile.completions.bodies import (
    CompletionBody,
    parse_chat_body,
    parse_text_body,
)
from marjoramstile.completions.errors import (
    BAD_GATEWAY,
    NOT_FOUND,
    REQUEST_ID,
    SERVER_ERROR,
    UNAVAILABLE,
    CompletionError,
    answer_too_long,
    broken_off,
    outcome_unknown,
    refused,
    unknown_model,
)
from marjoramstile.completions.formats import AnswerHead, Form, format_of
from marjoramstile.completions.responders import (
    PartsResponder,
    TokenCount,
    WholeResponder,
)
from marjoramstile.fronts.answers import AnswerStream, CallerDisconnectedError
from marjoramstile.fronts.bodies import BodyReader, BodyRefusedError
from marjoramstile.fronts.buffers import BufferFullError
from marjoramstile.logs import get_logger
from marjoramstile.routes.entry import IncomingRequest, RequestDispatcher
from marjoramstile.routes.ports import Responder
from marjoramstile.routes.requests import (
    GenerationSize,
    Headers,
    OutcomeUnknownError,
    Reply,
    RequestRefusedError,
    StreamBrokenError,
)
from marjoramstile.routes.table import Route, RoutingTable
from marjoramstile.utils import new_token

MODELS_PATH = "/v1/models"
FORMS = {"/v1/completions": Form.TEXT, "/v1/chat/completions": Form.CHAT}
PARSERS = {Form.TEXT: parse_text_body, Form.CHAT: parse_chat_body}
RETRY_AFTER_START_S = 0.5
ANSWER_MAX_BYTES = 8_388_608
MESSAGE_MAX_CHARACTERS = 500

# Returns the headers that tell a replica a request's id and size.
StateHeaders = Callable[[str, GenerationSize], Headers]

logger = get_logger(__name__)


@dataclass(frozen=True)
class Completion:
    """One request with its route; ``stride`` is that of the model's events."""

    id: str
    form: Form
    body: CompletionBody
    route: Route
    stride: int


class CompletionsHandler:
    """Answers ``/v1/completions``, ``/v1/chat/completions`` and ``/v1/models``."""

    def __init__(
        self,
        entry: RequestDispatcher,
        table: Callable[[], RoutingTable | None],
        bodies: BodyReader,
        state_headers: StateHeaders,
    ):
        self._entry = entry
        self._table = table
        self._bodies = bodies
        self._state_headers = state_headers

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        try:
            response = await self._answer(request, self._known_table())
        except CompletionError as error:
            response = web.json_response(
                error.to_body(), status=error.status, headers=error.to_headers()
            )
        if self._entry.stopping:
            response.force_close()
        return response

    def _known_table(self) -> RoutingTable:
        table = self._table()
        if table is None:
            raise CompletionError(
                UNAVAILABLE,
                "not_configured",
                "no configuration is known yet",
                retry_after_s=RETRY_AFTER_START_S,
                may_repeat=True,
            )
        return table

    async def _answer(
        self, request: web.BaseRequest, table: RoutingTable
    ) -> web.StreamResponse:
        form = FORMS.get(request.path)
        if request.method == "POST" and form is not None:
            return await self._read_and_complete(request, table, form)
        if request.method == "GET" and request.path == MODELS_PATH:
            data = [_model_body(name) for name in models(table)]
            return web.json_response({"object": "list", "data": data})
        prefix, _, model = request.path.rpartition("/")
        if request.method == "GET" and prefix == MODELS_PATH:
            if model not in models(table):
                raise unknown_model(model)
            return web.json_response(_model_body(model))
        raise CompletionError(NOT_FOUND, "unknown_path", "there is no such path")

    async def _read_and_complete(
        self, request: web.BaseRequest, table: RoutingTable, form: Form
    ) -> web.StreamResponse:
        reading = self._bodies.whole_body(request, table.limits.body_max_bytes)
        try:
            async with reading as data:
                body = PARSERS[form](data)
                return await self._complete(request, table, form, body, data)
        except BodyRefusedError as error:
            raise CompletionError(
                error.status,
                "body_refused",
                str(error),
                retry_after_s=error.retry_after_s,
                may_repeat=error.retry_after_s is not None,
            ) from error

    async def _complete(
        self,
        request: web.BaseRequest,
        table: RoutingTable,
        form: Form,
        body: CompletionBody,
        data: bytes,
    ) -> web.StreamResponse:
        route = models(table).get(body.model)
        if route is None:
            raise unknown_model(body.model)
        stride = table.services[body.model].engine.stride
        completion = Completion(new_token(), form, body, route, stride)
        incoming = self._incoming(request, completion, data)
        try:
            if body.stream:
                return await self._send_parts(request, completion, incoming)
            return await self._send_whole(completion, incoming)
        except CompletionError as error:
            error.request_id = completion.id
            raise

    def _incoming(
        self, request: web.BaseRequest, completion: Completion, data: bytes
    ) -> IncomingRequest:
        size = completion.body.size
        headers = (
            ("Content-Type", "application/json"),
            *self._state_headers(completion.id, size),
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
        )

    async def _run(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Run a request whose answer goes to ``responder``.

        Raises StreamBrokenError and CallerDisconnectedError as they are, else
        CompletionError.
        """
        try:
            reply = await self._entry.handle(incoming, responder)
        except RequestRefusedError as error:
            raise refused(error) from error
        except OutcomeUnknownError as error:
            raise outcome_unknown(error) from error
        if reply is not None:
            raise _replica_error(reply)

    async def _send_whole(
        self, completion: Completion, incoming: IncomingRequest
    ) -> web.StreamResponse:
        with self._bodies.response_buffer(ANSWER_MAX_BYTES) as kept:
            responder = WholeResponder(_format(completion), _count(completion), kept)
            try:
                await self._run(incoming, responder)
            except StreamBrokenError as error:
                raise broken_off() from error
            except BufferFullError as error:
                logger.warning("answer_too_long", request=completion.id)
                raise answer_too_long(error) from error
            return responder.response(_id_header(completion))

    async def _send_parts(
        self,
        request: web.BaseRequest,
        completion: Completion,
        incoming: IncomingRequest,
    ) -> web.StreamResponse:
        stream = AnswerStream(request)
        responder = PartsResponder(
            stream,
            _format(completion),
            _count(completion),
            _id_header(completion),
            completion.body.include_usage,
            lambda: self._entry.stopping,
        )
        try:
            await self._run(incoming, responder)
        except StreamBrokenError:
            return await self._break_off(stream, responder)
        except CallerDisconnectedError:
            return stream.abort()
        return stream.response

    @staticmethod
    async def _break_off(
        stream: AnswerStream, responder: PartsResponder
    ) -> web.StreamResponse:
        try:
            return await responder.fail(broken_off())
        except CallerDisconnectedError:
            return stream.abort()


def models(table: RoutingTable) -> dict[str, Route]:
    """Return the language services with the first route that leads to each."""
    found: dict[str, Route] = {}
    for route in table.routes:
        for share in route.shares:
            service = table.services.get(share.service)
            if service is not None and service.engine is not None:
                found.setdefault(service.name, route)
    return found


def _model_body(name: str) -> dict[str, str | int]:
    return {"id": name, "object": "model", "created": 0, "owned_by": "marjoramstile"}


def _format(completion: Completion):
    head = AnswerHead(completion.id, completion.body.model, int(time.time()))
    return format_of(completion.form, head)


def _count(completion: Completion) -> TokenCount:
    return TokenCount(completion.body.size, completion.stride)


def _id_header(completion: Completion) -> dict[str, str]:
    return {REQUEST_ID: completion.id}


def _replica_error(reply: Reply) -> CompletionError:
    """Return the error for a replica's own answer that is no completion."""
    is_callers = reply.status < SERVER_ERROR
    status = reply.status if is_callers else BAD_GATEWAY
    text = reply.body.decode("utf-8", "replace")[:MESSAGE_MAX_CHARACTERS]
    code = "replica_rejected" if is_callers else "replica_failed"
    return CompletionError(status, code, text or f"status {reply.status}")
