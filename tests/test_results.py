"""Tests of the result codes and of their table in the documentation."""

import re
from pathlib import Path

from marjoramstile.results import HTTP_STATUS, Failure, Ran, ResultCode

TABLE = Path(__file__).parent.parent / "docs" / "RESULT-CODES.md"


def test_every_code_has_a_status_and_a_row():
    assert HTTP_STATUS.keys() == set(ResultCode)
    rows = re.findall(r"^\| (\d+) \| `(\w+)` \| (\d+) \|", TABLE.read_text(), re.M)
    documented = {(int(code), name, int(status)) for code, name, status in rows}
    assert documented == {
        (int(code), code.name.lower(), HTTP_STATUS[code]) for code in ResultCode
    }


def test_a_failure_body_has_whether_it_ran_and_when_to_retry():
    failure = Failure(ResultCode.OVERLOADED, "full", Ran.NO, 1.5)
    assert failure.to_body()["error"] == {
        "code": 2001,
        "type": "overloaded",
        "message": "full",
        "ran": "not run",
        "retry_after_s": 1.5,
    }
