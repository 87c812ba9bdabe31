"""Decides whether the answer to one of the daemon's own calls is whole.

Calls, streams, prefills, control calls, carried calls and calls to the store are judged
here alike. What is no whole answer is lost: its request may have run.
"""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from enum import StrEnum

from aiohttp import (
    ClientOSError,
    ClientPayloadError,
    ClientResponseError,
    ServerDisconnectedError,
)

from marjoramstile.logs import get_logger
from marjoramstile.routes.requests import AnswerLostError

SWITCHING_PROTOCOLS = 101
# Registered interim statuses. A later final answer follows them; one that is not
# registered is taken for a mistaken final status.
INTERIM_STATUSES = frozenset({100, 102, 103, 104})
FINAL_STATUS_MIN = 200
FINAL_STATUS_MAX = 599
# Interim answers have no body, and so none of these.
_BODY_HEADERS = ("Content-Length", "Transfer-Encoding")

logger = get_logger(__name__)


class AnswerFault(StrEnum):
    """Why an answer is not whole."""

    INVALID_STATUS = "invalid_status"
    UPGRADE = "upgrade_not_requested"
    MALFORMED = "malformed"
    OTHER_REQUEST = "answers_another_request"
    ENDED_EARLY = "ended_before_request_was_written"
    RESET = "connection_reset"
    BROKEN_OFF = "broken_off"
    NO_ANSWER = "connection_closed_without_answer"
    ENDLESS = "without_end"


# Faults that also occur when a replica stops or crashes.
_USUAL_FAULTS = frozenset(
    {AnswerFault.RESET, AnswerFault.BROKEN_OFF, AnswerFault.NO_ANSWER}
)


class UnwholeAnswerError(ClientPayloadError):
    """The answer on a connection is not whole."""

    def __init__(self, fault: AnswerFault, detail: str = ""):
        super().__init__(f"{fault}: {detail}" if detail else str(fault))
        self.fault = fault


# A length that interim answers may state.
NO_BODY = "0"


class BrokenAnswerError(AnswerLostError):
    """The request was sent, and what came back is no whole answer: it may have run."""

    def __init__(self, fault: AnswerFault, message: str = ""):
        super().__init__(message or str(fault))
        self.fault = fault


def head_fault(status: int, headers: Mapping[str, str]) -> AnswerFault | None:
    """Return what is wrong with the head of an interim or a final answer, if anything.

    No call of the daemon asks for another protocol.
    """
    if status == SWITCHING_PROTOCOLS:
        return AnswerFault.UPGRADE
    if status in INTERIM_STATUSES:
        has_body = any(
            headers.get(name, NO_BODY).strip() != NO_BODY for name in _BODY_HEADERS
        )
        return AnswerFault.MALFORMED if has_body else None
    if FINAL_STATUS_MIN <= status <= FINAL_STATUS_MAX:
        return None
    return AnswerFault.INVALID_STATUS


def end_fault(was_reset: bool, request_was_written: bool) -> AnswerFault | None:
    """Return what is wrong with an answer that ends with its connection, if anything.

    An answer without length or chunks shows its end only by that of its connection.
    ``request_was_written`` means that the peer had received the whole request when the
    last bytes of the answer arrived: before that, it may have given up.
    """
    if was_reset:
        return AnswerFault.RESET
    return None if request_was_written else AnswerFault.ENDED_EARLY


def fault_of(error: BaseException) -> AnswerFault | None:
    """Return why an answer that failed with ``error`` is not whole.

    None if it was not awaited to its end, as after a timeout.
    """
    match error:
        case UnwholeAnswerError() | BrokenAnswerError():
            return error.fault
        case TimeoutError():
            return None
        case ServerDisconnectedError():
            return AnswerFault.NO_ANSWER
        case ClientPayloadError():
            return AnswerFault.BROKEN_OFF
        case ClientResponseError():
            return AnswerFault.MALFORMED
        case ClientOSError() | ConnectionError():
            return AnswerFault.RESET
    return None


def lost_answer(error: Exception) -> AnswerLostError:
    """Return the error of a request that was sent and whose answer failed."""
    fault = fault_of(error)
    if fault is None:
        return AnswerLostError(repr(error))
    return BrokenAnswerError(fault, repr(error))


class AnswerFaults:
    """Logs and counts answers that are not whole, by peer and fault."""

    def __init__(self):
        self._count: Callable[[str, str], None] = lambda name, label: None

    def count_with(self, count: Callable[[str, str], None]) -> None:
        """Count with ``count``, which takes a metric's name and its label."""
        self._count = count

    def record(self, peer: str, fault: AnswerFault) -> None:
        """Record that a peer's answer was not whole."""
        log = logger.info if fault in _USUAL_FAULTS else logger.warning
        log("answer_not_whole", peer=peer, reason=str(fault))
        self._count("answers_not_whole", f"{peer} {fault}")

    @contextmanager
    def watch(self, peer: str) -> Iterator[None]:
        """Record the BrokenAnswerError that the block raises, if any."""
        try:
            yield
        except BrokenAnswerError as error:
            self.record(peer, error.fault)
            raise
