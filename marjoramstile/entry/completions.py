"""Handler of completions, streamed or in one response."""

from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import replace

from sanic import HTTPResponse, Request, json

from marjoramstile.admission.limits import WorkspaceLimiter
from marjoramstile.endpoints.engines import Token
from marjoramstile.entry.access import AccessControl, Caller
from marjoramstile.entry.bodies import (
    COMPLETION_FIELDS,
    STREAM_END,
    CompletionBody,
    completion_answer,
    completion_event,
    failure_event,
    parse_completion_body,
)
from marjoramstile.entry.measuring import AnswerMeter
from marjoramstile.entry.web import json_fields
from marjoramstile.logs import get_logger
from marjoramstile.requests.attempts import CompletionRequest
from marjoramstile.requests.completions import CompletionRunner
from marjoramstile.requests.recent import RecentRequest, RecentRequests, RequestState
from marjoramstile.results import Failure, Ran, RequestFailedError, ResultCode
from marjoramstile.utils import loop_time, new_token

REPEAT_RETRY_AFTER_S = 1.0

logger = get_logger(__name__)


class CompletionHandler:
    """Serves ``POST /v1/completions``."""

    def __init__(
        self,
        access: AccessControl,
        limiter: WorkspaceLimiter,
        runner: CompletionRunner,
        recent: RecentRequests,
        meter: AnswerMeter,
    ):
        self._access = access
        self._limiter = limiter
        self._runner = runner
        self._recent = recent
        self._meter = meter

    async def handle(self, request: Request) -> HTTPResponse | None:
        """Answer a completion request.

        A repeated idempotency key is answered from the recent requests, unless the
        earlier request failed. Returns None after a streamed answer.
        """
        caller = self._access.authenticate(request)
        fields = await json_fields(request, COMPLETION_FIELDS)
        body = parse_completion_body(fields)
        self._access.check_service(caller, body.model)
        completion = _to_request(caller, body)
        key = request.headers.get("idempotency-key", "")
        earlier = self._recent.get(caller.workspace_name, key) if key else None
        if earlier is not None and earlier.state != RequestState.FAILED:
            return _answer_repeated(earlier, completion)
        limit = caller.configuration.limits.workspace_requests
        with self._limiter.admit(caller.workspace_name, limit):
            tokens = self._run_and_record(completion, caller, key)
            if body.stream:
                await self._respond_stream(request, completion, tokens)
                return None
            return await self._respond_complete(completion, tokens)

    async def _respond_complete(
        self, completion: CompletionRequest, tokens: AsyncIterator[Token]
    ) -> HTTPResponse:
        async with aclosing(tokens):
            texts = [token.text async for token in tokens]
        return json(
            completion_answer(
                completion.request_id,
                completion.service_name,
                texts,
                completion.prompt_tokens,
            )
        )

    async def _respond_stream(
        self,
        request: Request,
        completion: CompletionRequest,
        tokens: AsyncIterator[Token],
    ) -> None:
        """Stream tokens as server-sent events.

        The response starts with the first token, so that a request refused before
        it still gets an error status. A later failure is sent as the last event.
        """
        async with aclosing(tokens):
            first = await anext(tokens, None)
            response = await request.respond(content_type="text/event-stream")
            if first is not None:
                await response.send(_token_event(completion, first))
            try:
                async for token in tokens:
                    await response.send(_token_event(completion, token))
                await response.send(STREAM_END)
            except RequestFailedError as error:
                await response.send(failure_event(error.failure))
        await response.eof()

    async def _run_and_record(
        self, completion: CompletionRequest, caller: Caller, key: str
    ) -> AsyncIterator[Token]:
        """Run the request, yield its tokens and record its state and text."""
        entry = RecentRequest(
            completion.request_id, completion.content, RequestState.RUNNING
        )
        self._recent.put(caller.workspace_name, key, entry)
        texts: list[str] = []
        state = RequestState.FAILED
        running = self._runner.run(completion, caller.configuration)
        try:
            async with aclosing(self._meter.measure(completion, running)) as tokens:
                async for token in tokens:
                    texts.append(token.text)
                    yield token
            state = RequestState.DONE
        finally:
            entry = replace(entry, state=state, text="".join(texts))
            self._recent.put(caller.workspace_name, key, entry)
            logger.info(
                "completion_ended",
                request_id=completion.request_id,
                workspace=completion.workspace,
                service=completion.service_name,
                state=state,
                tokens=len(texts),
            )


def _token_event(completion: CompletionRequest, token: Token) -> str:
    return completion_event(completion.request_id, completion.service_name, token.text)


def _to_request(caller: Caller, body: CompletionBody) -> CompletionRequest:
    service = caller.configuration.language_services.get(body.model)
    if service is None:
        message = f"{body.model} does not answer completions"
        raise RequestFailedError(Failure(ResultCode.UNKNOWN_SERVICE, message))
    return CompletionRequest(
        request_id=new_token(),
        workspace=caller.workspace_name,
        share=caller.workspace.share,
        service_name=body.model,
        service=service,
        prompt=body.prompt,
        max_tokens=body.max_tokens,
        received_at=loop_time(),
    )


def _answer_repeated(
    earlier: RecentRequest, completion: CompletionRequest
) -> HTTPResponse:
    """Answer a repeated key with the recorded answer of the earlier request.

    Raises ``RequestFailedError`` if the earlier request had other content or is
    still running.
    """
    if earlier.content != completion.content:
        message = "this Idempotency-Key belongs to another request"
        raise RequestFailedError(Failure(ResultCode.KEY_REUSED, message))
    if earlier.state == RequestState.RUNNING:
        raise RequestFailedError(
            Failure(
                ResultCode.IN_PROGRESS,
                "the same request is running",
                ran=Ran.UNKNOWN,
                retry_after_s=REPEAT_RETRY_AFTER_S,
            )
        )
    return json(
        completion_answer(
            earlier.request_id,
            completion.service_name,
            [earlier.text],
            completion.prompt_tokens,
        )
    )
