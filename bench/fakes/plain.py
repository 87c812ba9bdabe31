"""Fake plain services that count every execution."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field

from result import Err, Ok, Result

from marjoramstile.endpoints.errors import EndpointError, EndpointProblem
from marjoramstile.endpoints.plain import PlainAnswer, PlainCall


@dataclass
class FakePlainServices:
    """Counts executions by URL and key; each call consumes one of ``faults``.

    An UNREACHABLE fault keeps the call from running; any other fault loses the
    answer after the call ran.
    """

    duration_s: float = 0.02
    executions: Counter[tuple[str, str]] = field(default_factory=Counter)
    faults: deque[EndpointProblem] = field(default_factory=deque)
    unreachable: set[str] = field(default_factory=set)

    def runs_of(self, key: str) -> int:
        """Return how often the call with ``key`` ran, at all URLs together."""
        return sum(n for (_, found), n in self.executions.items() if found == key)

    async def call(
        self, url: str, call: PlainCall, timeout_s: float
    ) -> Result[PlainAnswer, EndpointError]:
        """Run a call."""
        problem = self.faults.popleft() if self.faults else None
        if problem == EndpointProblem.UNREACHABLE or url in self.unreachable:
            return Err(EndpointError(EndpointProblem.UNREACHABLE, "refused"))
        self.executions[url, call.idempotency_key] += 1
        await asyncio.sleep(self.duration_s)
        if problem is not None:
            return Err(EndpointError(problem, "the answer was lost"))
        body = f"{url} {call.workspace} {call.idempotency_key}".encode()
        return Ok(PlainAnswer(200, "text/plain", body))
