"""Numbered result codes, and the failures that carry them.

Every unsuccessful answer carries one code. A test checks the table in
``docs/RESULT-CODES.md`` against this module.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any


class Ran(IntEnum):
    """Whether the failed request has been executed."""

    NO = 0
    UNKNOWN = 1
    YES = 2


_RAN_WORDS = {Ran.NO: "not run", Ran.UNKNOWN: "outcome unknown", Ran.YES: "ran"}


class ResultCode(IntEnum):
    """Result codes: 1xxx caller, 2xxx capacity, 3xxx outcome, 4xxx change."""

    BAD_BODY = 1001
    BODY_TOO_LARGE = 1002
    UNAUTHENTICATED = 1003
    UNKNOWN_SERVICE = 1004
    NOT_ALLOWED = 1005
    KEY_REQUIRED = 1006
    KEY_REUSED = 1007
    UNKNOWN_REQUEST = 1008
    UNKNOWN_PATH = 1009
    BODY_TIMEOUT = 1010
    OVERLOADED = 2001
    WORKSPACE_LIMIT = 2002
    NO_ENDPOINT = 2003
    LEAVING = 2004
    QUARANTINED = 2005
    FENCED = 2006
    STORE_UNAVAILABLE = 2007
    TARGET_UNREACHABLE = 2008
    VERSION_UNKNOWN = 2009
    VERSION_GONE = 2010
    IN_PROGRESS = 3001
    OUTCOME_UNKNOWN = 3002
    ENDPOINT_FAILED = 3003
    INTERNAL = 3004
    CHANGE_REFUSED = 4001
    CHANGE_LOST_RACE = 4002
    CHANGE_OUTCOME_UNKNOWN = 4003
    BAD_STATEMENT = 4004
    BAD_CONFIGURATION = 4005


HTTP_STATUS = {
    ResultCode.BAD_BODY: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNAUTHENTICATED: 401,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.NOT_ALLOWED: 403,
    ResultCode.KEY_REQUIRED: 400,
    ResultCode.KEY_REUSED: 422,
    ResultCode.UNKNOWN_REQUEST: 404,
    ResultCode.UNKNOWN_PATH: 404,
    ResultCode.BODY_TIMEOUT: 408,
    ResultCode.OVERLOADED: 503,
    ResultCode.WORKSPACE_LIMIT: 429,
    ResultCode.NO_ENDPOINT: 503,
    ResultCode.LEAVING: 503,
    ResultCode.QUARANTINED: 422,
    ResultCode.FENCED: 503,
    ResultCode.STORE_UNAVAILABLE: 503,
    ResultCode.TARGET_UNREACHABLE: 502,
    ResultCode.VERSION_UNKNOWN: 503,
    ResultCode.VERSION_GONE: 503,
    ResultCode.IN_PROGRESS: 409,
    ResultCode.OUTCOME_UNKNOWN: 409,
    ResultCode.ENDPOINT_FAILED: 502,
    ResultCode.INTERNAL: 500,
    ResultCode.CHANGE_REFUSED: 409,
    ResultCode.CHANGE_LOST_RACE: 409,
    ResultCode.CHANGE_OUTCOME_UNKNOWN: 503,
    ResultCode.BAD_STATEMENT: 400,
    ResultCode.BAD_CONFIGURATION: 400,
}


@dataclass(frozen=True)
class Failure:
    """An error answer: code, message, whether the request ran, and when to retry."""

    code: ResultCode
    message: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """Status of the HTTP answer that carries this failure."""
        return HTTP_STATUS[self.code]

    def to_body(self) -> dict[str, Any]:
        """Return the JSON body of the answer."""
        error = {
            "code": int(self.code),
            "type": self.code.name.lower(),
            "message": self.message,
            "ran": _RAN_WORDS[self.ran],
        }
        if self.retry_after_s is not None:
            error["retry_after_s"] = round(self.retry_after_s, 3)
        return {"error": error}


class RequestFailedError(Exception):
    """Raised while a request is handled to answer it with ``failure``."""

    def __init__(self, failure: Failure):
        super().__init__(failure.message)
        self.failure = failure
