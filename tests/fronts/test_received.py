"""Bounds on bytes that are no part of a whole request yet."""

import pytest

from marjoramstile.fronts.received import (
    FRAMING_PER_BYTE,
    FRAMING_UNTIMED_BYTES,
    HEAD_MARGIN_S,
    IDLE_MARGIN_S,
    REQUEST_LINE_MAX_BYTES,
    FramingCounter,
    HeadCounter,
    HeldBytes,
    ReadLimits,
)
from marjoramstile.routes.table import EntryLimits

MAX_BYTES = 1000


def test_a_caller_at_its_limits_is_cut_off():
    limits = ReadLimits.of(EntryLimits(1, 2000, 3.0, 15.0))
    assert limits.head_max_bytes == 2000 + REQUEST_LINE_MAX_BYTES
    assert limits.head_timeout_s == 3.0 + HEAD_MARGIN_S
    assert limits.idle_timeout_s == 15.0 + IDLE_MARGIN_S


@pytest.mark.parametrize("size", [1, 2, 3, 5, 100])
def test_what_follows_a_head_is_counted_as_its_part(size):
    """The end of a head may arrive in several parts."""
    data = b"GET / HTTP/1.1\r\nHost: x\r\n\r\nGET /y"
    end = data.index(b"\r\n\r\n") + 4
    counter = HeadCounter()
    for start in range(0, len(data), size):
        part = data[start : start + size]
        counter.add(part, ended_heads=start < end <= start + size)
    assert counter.size == len(b"GET /y")


def test_empty_lines_without_end_are_not_counted():
    counter = HeadCounter()
    for _ in range(100):
        counter.add(b"\r\n\r\n", ended_heads=False)
    assert counter.size == 400


def test_short_chunks_are_refused():
    framing = FramingCounter()
    for _ in range(100_000):
        framing.add(len(b"3\r\nxxx\r\n"), 3)
        assert not framing.exceeds(MAX_BYTES)
    assert not framing.is_timed


@pytest.mark.parametrize("received", [1, 500, 5000])
def test_framing_that_no_body_follows_has_no_bound(received):
    framing = FramingCounter()
    framing.add(1_000_000, 1_000_000)
    for _ in range(MAX_BYTES // received + 1):
        framing.add(received, 0)
    assert framing.exceeds(MAX_BYTES)


def test_extensions_of_chunks_with_little_body_have_no_bound():
    framing = FramingCounter()
    count = 0
    while not framing.exceeds(MAX_BYTES):
        framing.add(101, 1)
        count += 1
    assert count <= 2 * MAX_BYTES // (100 - FRAMING_PER_BYTE)


def test_bytes_that_are_told_apart_later_are_counted_as_framing():
    """While reading is paused, the parser keeps bytes of the body."""
    framing = FramingCounter()
    framing.add(30_000, 0)
    framing.add(0, 30_000)
    assert not framing.exceeds(MAX_BYTES)
    assert not framing.is_timed


def test_pause_between_chunks_is_timed_as_a_head():
    framing = FramingCounter()
    framing.add(FRAMING_UNTIMED_BYTES, 0)
    assert not framing.is_timed
    framing.add(1, 0)
    assert framing.is_timed


class Holder:
    """A connection that holds bytes."""

    def __init__(self, held: HeldBytes, is_busy: bool = False):
        self._held = held
        self.is_busy = is_busy
        self.is_dropped = False

    def hold(self, count: int) -> None:
        """Set what is held."""
        self._held.update(self, count)

    def drop_input(self) -> None:
        """Drop all."""
        self.is_dropped = True
        self._held.update(self, 0)


def test_many_connections_hold_more_than_the_bound_together():
    held = HeldBytes(MAX_BYTES)
    holders = [Holder(held) for _ in range(100)]
    for holder in holders:
        holder.hold(50)
        holder.hold(100)
        assert held.used <= MAX_BYTES
    assert [holder.is_dropped for holder in holders] == [True] * 90 + [False] * 10
    for holder in holders:
        holder.hold(0)
    assert held.used == 0


def test_connection_with_a_request_is_cut_off_before_others():
    held = HeldBytes(MAX_BYTES)
    busy, idle, last = Holder(held, True), Holder(held), Holder(held)
    for holder in (busy, idle, last):
        holder.hold(MAX_BYTES // 2)
    assert [busy.is_dropped, idle.is_dropped, last.is_dropped] == [False, True, False]


def test_connections_with_requests_hold_more_than_the_bound():
    held = HeldBytes(MAX_BYTES)
    first, second = Holder(held, True), Holder(held, True)
    first.hold(MAX_BYTES)
    second.hold(1)
    assert first.is_dropped
    assert not second.is_dropped
