"""Tests of log lines."""

from marjoramstile.logs import get_logger
from tests.support import captured_logs


def test_an_event_is_one_line_of_keys_and_values():
    with captured_logs("info") as stream:
        get_logger("module").info("peer_dead", vm="vm-1", reason="two\nlines")
        get_logger("module").debug("hidden")
    lines = [line for line in stream.getvalue().splitlines() if "=module" in line]
    (line,) = lines
    assert "level=info event=peer_dead logger=module vm=vm-1" in line
    assert 'reason="two\\nlines"' in line or "reason=two\\nlines" in line
