"""Tests of log lines."""

from marjoramstile.log_volume import NonBlockingStream
from marjoramstile.logs import get_logger, start_logging, stop_logging
from tests.support import captured_logs


def test_an_event_is_one_line_of_keys_and_values():
    with captured_logs("info") as stream:
        get_logger("module").info("peer_dead", vm="vm-1", reason="two\nlines")
        get_logger("module").debug("hidden")
    lines = [line for line in stream.getvalue().splitlines() if "=module" in line]
    (line,) = lines
    assert "level=info event=peer_dead logger=module vm=vm-1" in line
    assert 'reason="two\\nlines"' in line or "reason=two\\nlines" in line


class Unprintable:
    """A value that fails to print."""

    def __str__(self):
        raise ValueError("no text")

    __repr__ = __str__


def test_a_value_that_fails_to_print_costs_neither_the_caller_nor_the_line():
    with captured_logs("info") as stream:
        get_logger("module").info("odd", vm="vm-1", value=Unprintable())
    (line,) = stream.getvalue().splitlines()
    assert "event=odd logger=module vm=vm-1" in line
    assert "unprintable Unprintable: ValueError" in line


def test_a_line_with_text_that_has_no_encoding_is_written(tmp_path):
    path = tmp_path / "log"
    with path.open("wb") as file:
        destination = start_logging("info", NonBlockingStream(file.fileno()))
        get_logger("module").info("odd", header="\udcff")
        stop_logging(destination)
    assert "event=odd logger=module header=" in path.read_text()
