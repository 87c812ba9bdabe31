"""Measures answers as callers see them and checks them against their targets."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from marjoramstile.configuration.documents import LanguageService, ServiceClass
from marjoramstile.endpoints.engines import Token
from marjoramstile.reports.burn import BurnReport
from marjoramstile.reports.metrics import Metrics
from marjoramstile.requests.attempts import CompletionRequest
from marjoramstile.utils import loop_time


class AnswerMeter:
    """Records time to first token, time between tokens and the burn report."""

    def __init__(self, metrics: Metrics, burn: BurnReport):
        self._metrics = metrics
        self._burn = burn

    async def measure(
        self, request: CompletionRequest, tokens: AsyncIterator[Token]
    ) -> AsyncIterator[Token]:
        """Yield the tokens; record the answer once it is complete or has failed.

        An answer that the caller cancels is not recorded.
        """
        times: list[float] = []
        complete = False
        cancelled = False
        try:
            async with aclosing(tokens):
                async for token in tokens:
                    times.append(loop_time())
                    yield token
            complete = True
        except (asyncio.CancelledError, GeneratorExit):
            cancelled = True
            raise
        finally:
            if not cancelled:
                self._record(request, times, complete, loop_time())

    def _record(
        self, request: CompletionRequest, times: list[float], complete: bool, now: float
    ) -> None:
        service = request.service
        good = complete and meets_targets(service, request.received_at, times)
        self._burn.record(request.service_name, str(service.service_class), good, now)
        self._metrics.count("whole" if complete else "failed", request.service_name)
        if not times:
            return
        self._metrics.observe(
            "ttft", request.service_name, times[0] - request.received_at
        )
        for earlier, later in zip(times, times[1:], strict=False):
            self._metrics.observe("tbt", request.service_name, later - earlier)


def meets_targets(
    service: LanguageService, received_at: float, times: list[float]
) -> bool:
    """Return whether a complete answer met its targets; true for late work.

    The target of the time between tokens applies to the mean over the answer.
    """
    if service.service_class == ServiceClass.LATE:
        return True
    if not times:
        return False
    ttft_s = times[0] - received_at
    gaps = len(times) - 1
    tbt_s = (times[-1] - times[0]) / gaps if gaps else 0.0
    return ttft_s <= service.ttft_target_s and tbt_s <= service.tbt_target_s
