"""Helpers shared by the tests."""

import asyncio
import json
from collections.abc import Iterator
from contextlib import aclosing, contextmanager
from dataclasses import dataclass, field
from io import StringIO

from result import Err, Ok

from marjoramstile.endpoints.plain import PlainCall
from marjoramstile.logs import start_logging, stop_logging
from marjoramstile.node import Node
from marjoramstile.ports.feeds import Changes, StoredRow
from marjoramstile.ports.tables import ABSENT, Committed, StoreError
from marjoramstile.requests.attempts import CompletionRequest
from marjoramstile.requests.calls import PlainRequest
from marjoramstile.routes.order_ports import TimestampedRow
from marjoramstile.utils import loop_time
from standins.tokens import answer_text

PROMPT = "Explain the missed turn of the spring circle to its members. " * 8


def completion(
    node: Node,
    request_id: str = "r1",
    service: str = "desk",
    prompt: str = PROMPT,
    max_tokens: int = 40,
) -> CompletionRequest:
    """Return a request to a language service."""
    return CompletionRequest(
        request_id=request_id,
        workspace="first",
        share=1,
        service_name=service,
        service=node.keeper.configuration.language_services[service],
        prompt=prompt,
        max_tokens=max_tokens,
        received_at=asyncio.get_running_loop().time(),
    )


async def collect(node: Node, request: CompletionRequest) -> str:
    """Run a completion and return its text."""
    texts = []
    running = node.completions.run(request, node.keeper.configuration)
    async with aclosing(running) as tokens:
        async for token in tokens:
            texts.append(token.text)
    return "".join(texts)


def expected_text(request: CompletionRequest) -> str:
    """Return the complete answer that a request must get."""
    return answer_text(request.prompt, request.max_tokens)


def booking(
    node: Node,
    key: str,
    service: str = "booking",
    workspace: str = "first",
    body: bytes = b"slot 7",
    method: str = "POST",
) -> PlainRequest:
    """Return a call to a plain service."""
    call = PlainCall(method, "/slots", body, "text/plain", workspace, key)
    return PlainRequest(
        service, node.keeper.configuration.plain_services[service], call
    )


async def run_call(node: Node, request: PlainRequest):
    """Run a call under the node's configuration."""
    return await node.calls.run(request, node.keeper.configuration)


@contextmanager
def captured_logs(level: str = "debug") -> Iterator[StringIO]:
    """Collect the log lines written within the context.

    Lines that were logged before without any destination are dropped.
    """
    stream = StringIO()
    destination = start_logging(level, stream)
    stream.seek(0)
    stream.truncate()
    try:
        yield stream
    finally:
        stop_logging(destination)


@dataclass
class MemoryStore:
    """Rows of one table of the platform's store, shared by all daemons of a test."""

    rows: dict[str, StoredRow] = field(default_factory=dict)
    version: int = 0
    down: bool = False
    lose_answers: bool = False
    calls: int = 0

    async def read_table(self, table):
        """Return all rows."""
        self.calls += 1
        if self.down:
            return Err(StoreError("down"))
        return Ok(Changes(tuple(self.rows.values()), self.version, complete=True))

    async def read_row(self, table, key):
        """Return one row."""
        self.calls += 1
        if self.down:
            return Err(StoreError("down"))
        return Ok(TimestampedRow(self.rows.get(key), loop_time()))

    async def transact(self, conditions, writes):
        """Write if all conditions hold."""
        self.calls += 1
        if self.down:
            return Err(StoreError("down"))
        for item in conditions:
            row = self.rows.get(item.key)
            if item.version != (row.version if row else ABSENT):
                return Ok(None)
        self.version += 1
        for item in writes:
            value = json.dumps(item.value).encode()
            self.rows[item.key] = StoredRow(item.key, self.version, value)
            if item.value is None:
                del self.rows[item.key]
        if self.lose_answers:
            return Err(StoreError("lost"))
        return Ok(Committed(self.version))
