"""Log lines that anybody can cause are bounded without losing their number."""

from marjoramstile.log_summaries import PERIOD_S, EventSummary
from marjoramstile.logs import get_logger
from tests.support import captured_logs


def test_each_occurrence_has_a_line_of_its_own():
    now = 0.0
    summary = EventSummary(get_logger(__name__), "refused", lambda: now)
    with captured_logs() as logs:
        for number in range(1000):
            summary.count({"reason": "a"}, peer=number)
        summary.count({"reason": "b"}, peer=7)
        now += PERIOD_S
        summary.count({"reason": "a"}, peer=8)
    lines = [line.partition("event=")[2] for line in logs.getvalue().splitlines()]
    assert len(lines) == 3
    assert "reason=a count=1 peer=0" in lines[0]
    assert "reason=b count=1 peer=7" in lines[1]
    assert "reason=a count=1000 peer=8" in lines[2]
