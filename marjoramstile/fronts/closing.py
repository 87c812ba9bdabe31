"""Why callers' connections are closed: counted by reason, and logged."""

from dataclasses import dataclass
from enum import StrEnum

from marjoramstile.log_summaries import EventSummary
from marjoramstile.logs import get_logger
from marjoramstile.reports.metrics import Metrics

logger = get_logger(__name__)


class CloseReason(StrEnum):
    """What ended a caller's connection."""

    CALLER_GONE = "caller_gone"
    ANSWERED = "answered"
    KEEP_ALIVE_ENDED = "keep_alive_ended"
    HEAD_TIMEOUT = "head_timeout"
    HEAD_TOO_LONG = "head_too_long"
    BODY_FRAMING = "body_framing"
    MEMORY_NEEDED = "memory_needed"
    BODY_REFUSED = "body_refused"
    BAD_REQUEST = "bad_request"
    HANDLER_FAILED = "handler_failed"
    ANSWER_NOT_TAKEN = "answer_not_taken"
    STREAM_BROKEN = "stream_broken"
    ROOM_NEEDED = "room_needed"
    NO_ROOM = "no_room"
    STOP_IDLE = "idle_at_stop"
    STOP_FORCED = "forced_at_stop"


# Reasons for which a begun answer is not completed.
CUT_SHORT = frozenset({CloseReason.ANSWER_NOT_TAKEN, CloseReason.STREAM_BROKEN})
# The daemon has closed these although nothing was wrong with the caller's request.
_FAILURES = frozenset(
    {CloseReason.HANDLER_FAILED, CloseReason.STREAM_BROKEN, CloseReason.STOP_FORCED}
)
# Anybody can cause any number of these: they are logged as a summary.
_UNUSABLE = frozenset(
    {
        CloseReason.HEAD_TIMEOUT,
        CloseReason.HEAD_TOO_LONG,
        CloseReason.BAD_REQUEST,
        CloseReason.BODY_FRAMING,
        CloseReason.MEMORY_NEEDED,
    }
)
# Anybody can cause these, too; ``connections_at_limit`` has their number.
_AT_LIMIT = frozenset({CloseReason.ROOM_NEEDED, CloseReason.NO_ROOM})
_ORDINARY = frozenset({CloseReason.CALLER_GONE, CloseReason.ANSWERED})
_QUIET = _UNUSABLE | _AT_LIMIT | _ORDINARY


@dataclass(frozen=True)
class ClosedConnection:
    """A connection that has ended, and what was left unanswered on it.

    ``unanswered`` counts whole requests that were read and have no whole answer.
    ``request`` is the id of the one in progress, ``passed_on`` whether it has been
    sent to a replica; they are empty if there is none, or if its id was not read.
    """

    listener: str
    reason: CloseReason
    unanswered: int
    request: str
    passed_on: bool
    error: str


class ClosingReport:
    """Counts and logs the ends of callers' connections."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._unusable = EventSummary(logger, "unusable_input")

    def record(self, closed: ClosedConnection) -> None:
        """Record an end; one that left a request unanswered is a warning."""
        self._metrics.count("caller_connections_closed", closed.reason)
        if closed.unanswered:
            self._metrics.count("caller_requests_unanswered", closed.reason)
        if closed.reason in _UNUSABLE:
            kind = {"listener": closed.listener, "reason": str(closed.reason)}
            self._unusable.count(kind)
        _log_method(closed)(
            "caller_connection_closed",
            listener=closed.listener,
            reason=str(closed.reason),
            unanswered=closed.unanswered,
            request=closed.request,
            passed_on=closed.passed_on,
            error=closed.error,
        )


def _log_method(closed: ClosedConnection):
    if closed.unanswered or closed.reason in _FAILURES:
        return logger.warning
    if closed.reason in _QUIET:
        return logger.debug
    return logger.info
