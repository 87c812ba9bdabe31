"""Events of a stream are found however its bytes are split into chunks."""

from hypothesis import given, strategies as st

from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.routes.events import EventSplitter, EventTooLongError, event_text

PIECES = st.sampled_from(
    [b"id: 7", b"data: w", b"data:", b": c", b"\n", b"\r\n", b"\r", b"\r\n\r\n"]
)


@given(st.lists(PIECES).map(b"".join), st.lists(st.integers(1, 9), min_size=1))
def test_events_do_not_depend_on_chunk_boundaries(data, lengths):
    whole = EventSplitter()
    expected = b"".join(event.data for event in whole.feed(data)) + whole.rest
    cut = EventSplitter()
    received = b""
    begin = 0
    while begin < len(data):
        length = lengths[begin % len(lengths)]
        events = cut.feed(data[begin : begin + length])
        received += b"".join(event.data for event in events)
        begin += length
    assert received + cut.rest == expected == data


def test_an_event_separator_split_over_chunks_is_found():
    for end in (b"\n\n", b"\r\n\r\n", b"\r\r"):
        splitter = EventSplitter()
        events = []
        for byte in b"id: 3\ndata: x" + end + b"id: 4":
            events += splitter.feed(bytes([byte]))
        assert [event.id for event in events] == [3]
        assert splitter.rest == b"id: 4"


def test_the_text_of_an_event_is_that_of_its_data_lines():
    assert event_text(b"id: 1\ndata: a neck \n\n") == "a neck "
    assert event_text(b"data:a\r\ndata:  b\r\n: c\r\n\r\n") == "a\n b"
    assert event_text("data: \u2028é\n\n".encode()) == "\u2028é"
    assert event_text(b"data: \xff\n\n") == "\ufffd"
    assert event_text(b"id: 1\n\n") == ""


def test_unfinished_events_of_many_streams_exceed_the_memory():
    """Each stream kept up to EVENT_MAX_BYTES, outside of the budget."""
    budget = BufferBudget(1_000_000)
    splitters = [EventSplitter(budget) for _ in range(100)]
    refused = set()
    for _ in range(100):
        for splitter in set(splitters) - refused:
            try:
                assert splitter.feed(b"x" * 1000) == []
            except EventTooLongError:
                refused.add(splitter)
                splitter.close()
        assert budget.used <= 1_000_000
    assert 0 < len(refused) < 100
    for splitter in splitters:
        splitter.close()
    assert budget.used == 0


def test_whole_events_keep_their_memory():
    budget = BufferBudget(1_000_000)
    splitter = EventSplitter(budget)
    for _ in range(100):
        splitter.feed(b"data: %s" % (b"x" * 50_000))
        assert budget.used == len(splitter.rest)
        assert len(splitter.feed(b"\n\nid: 7")) == 1
    splitter.close()
    assert budget.used == 0
