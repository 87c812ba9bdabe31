"""The operators' web application."""

from typing import Any

from result import Result
from sanic import HTTPResponse, Request, Sanic, json

from marjoramstile.entry.web import (
    bearer_token,
    create_app,
    failure_response,
    json_body,
    with_body,
)
from marjoramstile.logs import get_logger
from marjoramstile.operators.executor import StatementExecutor
from marjoramstile.results import Failure, RequestFailedError, ResultCode
from marjoramstile.settings import LimitSettings
from marjoramstile.utils import hash_secret, matches_any

OPERATOR_NAME_LENGTH = 8

logger = get_logger(__name__)


class OperatorHandler:
    """Serves statements and whole configurations to authenticated operators."""

    def __init__(self, executor: StatementExecutor, token_hashes: tuple[str, ...]):
        self._executor = executor
        self._token_hashes = token_hashes

    def _authenticate(self, request: Request) -> str:
        """Authenticate the request and return the operator's name.

        The name is the header ``x-operator``, or the start of the token's hash.
        Raises RequestFailedError if the token is unknown.
        """
        token = bearer_token(request)
        if not matches_any(token, self._token_hashes):
            message = "the token is no operator's"
            raise RequestFailedError(Failure(ResultCode.UNAUTHENTICATED, message))
        name = request.headers.get("x-operator", "")
        return name or hash_secret(token)[:OPERATOR_NAME_LENGTH]

    async def run(self, request: Request) -> HTTPResponse:
        """Run a statement."""
        operator = self._authenticate(request)
        text = json_body(request).get("statement")
        if not isinstance(text, str):
            message = "the body needs a statement"
            raise RequestFailedError(Failure(ResultCode.BAD_BODY, message))
        logger.info("statement", operator=operator, verb=text.split(" ", 1)[0][:16])
        return _respond(await self._executor.run(text, operator))

    async def apply(self, request: Request) -> HTTPResponse:
        """Replace the configuration."""
        operator = self._authenticate(request)
        return _respond(await self._executor.apply(json_body(request), operator))

    async def read(self, request: Request) -> HTTPResponse:
        """Return the configuration in force on this daemon."""
        self._authenticate(request)
        return json(self._executor.configuration())


def _respond(answer: Result[dict[str, Any], Failure]) -> HTTPResponse:
    if answer.is_err():
        return failure_response(answer.unwrap_err())
    return json(answer.unwrap())


def create_operator_app(limits: LimitSettings, handler: OperatorHandler) -> Sanic:
    """Return the application that operators use."""
    app = create_app("operators", limits)
    for call, path, method, name in (
        (handler.run, "/v1/statements", "POST", "statements"),
        (handler.apply, "/v1/configuration", "PUT", "apply"),
    ):
        app.add_route(with_body(call, limits), path, [method], name=name, stream=True)
    app.add_route(handler.read, "/v1/configuration", ["GET"], name="read")
    return app
