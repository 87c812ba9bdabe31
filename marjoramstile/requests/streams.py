"""Enforces the order of a stream of tokens."""

from collections.abc import AsyncIterator
from contextlib import aclosing

from marjoramstile.endpoints.engines import Token
from marjoramstile.endpoints.errors import (
    EndpointError,
    EndpointFailedError,
    EndpointProblem,
)


async def in_order(
    tokens: AsyncIterator[Token], start: int, endpoint: str
) -> AsyncIterator[Token]:
    """Yield the tokens from position ``start`` on, each exactly once.

    Repeated tokens are dropped; raises EndpointFailedError if one is missing.
    """
    position = start
    async with aclosing(tokens):
        async for token in tokens:
            if token.position > position:
                missing = EndpointError(EndpointProblem.LOST, "tokens are missing")
                raise EndpointFailedError(endpoint, missing)
            if token.position == position:
                position += 1
                yield token
