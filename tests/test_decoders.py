"""Every decoder of what others wrote ends in a value or in its typed error."""

from collections.abc import Callable
from dataclasses import asdict, dataclass

import orjson
import pytest
from hypothesis import given, settings, strategies as st

from marjoramstile.completions.bodies import parse_chat_body, parse_text_body
from marjoramstile.completions.errors import CompletionError
from marjoramstile.crashes import sharing
from marjoramstile.crashes.blocklist import BY_CRASHES, BlockEntry
from marjoramstile.json_fields import MalformedJSONError, split_address
from marjoramstile.membership.nodes import NodeEntry, decode_node
from marjoramstile.peers.pool_datagrams import (
    _MALFORMED,
    PoolProtocol,
    decode_message,
    encode_message,
)
from marjoramstile.platform.store import decode_page
from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.ports.feeds import StoredRow, era_of
from marjoramstile.routes.events import EVENT_MAX_BYTES, EventSplitter
from marjoramstile.routes.order_rows import OrdersRow, StageMove, orders_of
from marjoramstile.routes.replica_types import Stage
from marjoramstile.streams import storage
from marjoramstile.streams.versions import StoredVersions, decode_versions
from tests.odd_values import ODD, paths, with_odd_value
from tests.peers.test_pool_datagrams import MESSAGES, AllSources
from tests.support import captured_logs

ERA = 3


@dataclass(frozen=True)
class Decoder:
    """A decoder, a sound document, and the errors that it may raise."""

    decode: Callable[[bytes], object]
    document: object
    errors: tuple[type[Exception], ...] = ()


def of_row(decode: Callable[[StoredRow], object]) -> Callable[[bytes], object]:
    """Return a decoder of a row's value."""
    return lambda value: decode(StoredRow("k", 1, value))


PROFILE = GenerationProfile(3200.0, 800.0, 0.004, 33_000.0)
ORDERS = OrdersRow("i", 5.0, (StageMove("r", Stage.DECODE, 9.0),), PROFILE, 2)
BLOCK = BlockEntry("llm", "part/a", 2, True, 1, 5.5, ("d0",), BY_CRASHES)
NODE = NodeEntry("10.0.0.1", "10.0.0.1:8144", "a", "r", "i")
PAGE = {
    "rows": [
        {"table": "t", "part": "", "key": "a", "rowVersion": 3, "value": "eA=="},
        {"key": "b", "rowVersion": 4, "tombstone": True},
    ],
    "rowVersion": 9,
    "nowMs": 5.5,
    "hasMore": False,
}
CHAT = {"model": "m", "messages": [{"role": "user", "content": "x"}], "max_tokens": 5}
TEXT = {"model": "m", "prompt": "x", "max_tokens": 5, "stream": True}
DECODERS = {
    "page of the store": Decoder(
        lambda value: decode_page(value, ERA), PAGE, (MalformedJSONError,)
    ),
    "daemon": Decoder(decode_node, asdict(NODE)),
    "orders": Decoder(of_row(orders_of), ORDERS.to_value()),
    "block": Decoder(of_row(sharing._decode), asdict(BLOCK)),
    "versions": Decoder(
        of_row(decode_versions), StoredVersions(("v1",), ("v0",)).to_value()
    ),
    "streams": Decoder(of_row(storage._decode_streams), {"v1": ["a", "b"]}),
    "chat body": Decoder(parse_chat_body, CHAT, (CompletionError,)),
    "text body": Decoder(parse_text_body, TEXT, (CompletionError,)),
}


@pytest.mark.parametrize("name", DECODERS)
@settings(max_examples=300)
@given(data=st.data())
def test_any_value_ends_in_a_value_or_the_typed_error(name, data):
    """Any other error ended the task that read it."""
    decoder = DECODERS[name]
    document = orjson.loads(orjson.dumps(decoder.document))
    path = data.draw(st.sampled_from(paths(document)))
    value = with_odd_value(document, path, data.draw(ODD))
    try:
        decoder.decode(value)
    except decoder.errors:
        return


@pytest.mark.parametrize("name", DECODERS)
def test_the_sound_document_is_decoded(name):
    decoder = DECODERS[name]
    assert decoder.decode(orjson.dumps(decoder.document))


@settings(max_examples=600)
@given(st.data())
def test_any_datagram_is_a_message_or_malformed(data):
    message = orjson.loads(encode_message(data.draw(st.sampled_from(MESSAGES))))
    path = data.draw(st.sampled_from(paths(message)))
    value = with_odd_value(message, path, data.draw(ODD))
    try:
        decode_message(value)
    except _MALFORMED:
        return


def test_a_version_of_the_store_out_of_range_changes_the_era():
    """The bits above the number hold the era: all later rows would count as older."""
    page = orjson.dumps({"rows": [], "rowVersion": 1 << 45})
    with pytest.raises(MalformedJSONError):
        decode_page(page, ERA)
    assert era_of(decode_page(orjson.dumps(PAGE), ERA).version) == ERA


def test_the_key_of_another_writers_row_spoils_the_page():
    """Keys are any texts, also such as our own rows never have."""
    rows = [
        {"key": "a\x00\n", "rowVersion": 3, "value": "eA=="},
        {"key": "b", "rowVersion": 4, "value": "eA=="},
    ]
    page = decode_page(orjson.dumps({"rows": rows, "rowVersion": 9}), ERA)
    assert [row.key for row in page.rows] == ["a\x00\n", "b"]


@pytest.mark.parametrize("text", ["", ":1", "h:1", "10.0.0.1", "10.0.0.1:65536"])
def test_what_is_no_address_is_refused(text):
    with pytest.raises(ValueError, match=r".*"):
        split_address(text)


def test_an_event_with_an_id_of_thousands_of_digits_ends_its_stream():
    """Its digits raised an error that no stream expects; it counts as without an id."""
    events = EventSplitter().feed(b"id: %s\ndata: x\n\nid: 7\n\n" % (b"9" * 5_000))
    assert [event.id for event in events] == [None, 7]


@settings(max_examples=300)
@given(st.binary(max_size=200))
def test_any_bytes_are_events_or_wait_for_their_end(data):
    splitter = EventSplitter()
    events = splitter.feed(data)
    assert b"".join(event.data for event in events) + splitter.rest == data
    assert len(data) < EVENT_MAX_BYTES


async def test_a_message_whose_handling_fails_is_logged():
    """Without a guard, the loop's own handler reported it, outside the logs."""

    class Failing:
        def handle_message(self, message, reply):
            raise RecursionError("nested")

    failing = Failing()
    protocol = PoolProtocol(*[failing] * 8, AllSources())
    with captured_logs() as logs:
        protocol.datagram_received(encode_message(MESSAGES[0]), ("10.0.0.9", 1))
    assert "datagram_not_handled" in logs.getvalue()
