"""Tests that logs stay within their bounds and never block the daemon."""

import os
import time

from marjoramstile.log_volume import MAX_LINES_PER_S, NonBlockingStream, VolumeLimit
from marjoramstile.logs import get_logger, start_logging, stop_logging
from tests.support import captured_logs


def logged_text(limit: VolumeLimit, lines: int) -> str:
    """Return the log of many lines of one event and one of another, under a limit."""
    from io import StringIO

    stream = StringIO()
    destination = start_logging("info", stream, limit)
    for number in range(lines):
        get_logger("module").info("often", number=number)
    get_logger("module").warning("seldom")
    stop_logging(destination)
    return stream.getvalue()


def test_lines_of_one_event_are_bounded_and_others_kept():
    text = logged_text(VolumeLimit(lambda: 0.0), 1000)
    assert text.count("event=often") == MAX_LINES_PER_S["info"]
    assert text.count("event=seldom") == 1


def test_left_out_lines_are_reported_in_the_next_second():
    now = [0.0]
    limit = VolumeLimit(lambda: now[0])
    logged_text(limit, 1000)
    now[0] = 1.0
    text = logged_text(limit, 1)
    assert "event=log_lines_left_out" in text
    assert f"of=often count={1000 - MAX_LINES_PER_S['info']}" in text


def test_a_stalled_reader_drops_lines_and_never_blocks():
    reader, writer = os.pipe()
    stream = NonBlockingStream(writer, max_bytes=10_000)
    started = time.monotonic()
    for number in range(20_000):
        stream.write(f"line={number} {'x' * 50}\n")
        stream.flush()
    assert time.monotonic() - started < 5.0
    assert stream.dropped > 0
    os.set_blocking(reader, False)
    received = os.read(reader, 1 << 20)
    stream.flush()
    stream.write("last\n")
    stream.flush()
    received += os.read(reader, 1 << 20)
    os.close(reader)
    os.close(writer)
    assert b"event=log_lines_dropped count=" in received
    assert received.endswith(b"last\n")


def test_a_closed_reader_drops_lines_without_an_error():
    reader, writer = os.pipe()
    stream = NonBlockingStream(writer)
    os.close(reader)
    stream.write("lost\n")
    stream.flush()
    os.close(writer)


def test_ordinary_logging_has_no_limit():
    with captured_logs("info") as stream:
        for _ in range(300):
            get_logger("module").info("often")
    assert stream.getvalue().count("event=often") == 300
