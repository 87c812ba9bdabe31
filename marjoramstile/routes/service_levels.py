"""What an answer's times were, and whether it met the targets of its route."""

from collections.abc import Awaitable

from marjoramstile.routes.ports import Responder
from marjoramstile.routes.requests import Headers, Reply, RoutedRequest
from marjoramstile.routes.table import Route
from marjoramstile.utils import loop_time

SERVER_ERROR = 500


class TimedResponder:
    """Relays a stream to its caller and records the times of its events (loop time).

    ``replica_wait_s`` is the time after the first event for which the stream waited for
    its replica, ``caller_wait_s`` the time for which it waited for its caller.
    """

    def __init__(self, responder: Responder):
        self._responder = responder
        self._last_at: float | None = None
        self._relayed_at: float | None = None
        self.started = False
        self.first_at: float | None = None
        self.longest_gap_s = 0.0
        self.events = 0
        self.replica_wait_s = 0.0
        self.caller_wait_s = 0.0

    async def start(self, status: int, headers: Headers) -> None:
        """Relay the head."""
        self.started = True
        await self._relay(self._responder.start(status, headers))

    async def write(self, data: bytes) -> None:
        """Relay an event and record its time."""
        now = loop_time()
        if self._last_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_at)
        self._last_at = now
        self.events += 1
        await self._relay(self._responder.write(data))

    async def finish(self) -> None:
        """Relay the end of the stream."""
        await self._relay(self._responder.finish())

    async def _relay(self, sending: Awaitable[None]) -> None:
        began = loop_time()
        if self._relayed_at is not None:
            self.replica_wait_s += began - self._relayed_at
        try:
            await sending
        finally:
            self._relayed_at = loop_time()
            self.caller_wait_s += self._relayed_at - began


def meets_targets(
    request: RoutedRequest, reply: Reply | None, times: TimedResponder, now: float
) -> bool:
    """Return whether an answer that is complete ``now`` succeeded within the targets.

    A stream, which has no ``reply``, is evaluated by the time of its first event and
    the longest gap between events.
    """
    route = request.route
    if reply is not None:
        in_time = now - request.arrived <= route.target_latency_s
        return in_time and reply.status < SERVER_ERROR
    if times.first_at is None:
        return False
    in_time = times.first_at - request.arrived <= route.target_latency_s
    return in_time and not _exceeds_gap_target(route, times)


def _exceeds_gap_target(route: Route, times: TimedResponder) -> bool:
    if route.gap_target_s is None:
        return False
    return times.longest_gap_s > route.gap_target_s
