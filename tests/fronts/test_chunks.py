"""Decoding of chunked bodies."""

import pytest
from hypothesis import given, strategies as st

from marjoramstile.fronts.chunks import ChunkDecoder, ChunkError, DecodedPart

MANY = 1_000_000
BODIES = st.lists(st.binary(min_size=1, max_size=40), max_size=30)
LINES = st.sampled_from([b"%x", b"%X", b"000%x", b"%x;a", b'%x;name="a b"'])
TRAILERS = st.sampled_from([b"", b"A: b\r\n", b"A:\r\nB-c: \xff d\r\n"])


def encode(chunks: list[bytes], line: bytes, trailers: bytes) -> bytes:
    """Return a chunked body."""
    encoded = b"".join(b"%s\r\n%s\r\n" % (line % len(chunk), chunk) for chunk in chunks)
    return encoded + b"0\r\n" + trailers + b"\r\n"


@given(BODIES, LINES, TRAILERS, st.integers(1, 60), st.integers(1, 5))
def test_bytes_are_lost_or_joined_at_the_borders_of_parts(
    chunks, line, trailers, part_size, max_chunks
):
    """What follows the body must not be consumed."""
    data = encode(chunks, line, trailers) + b"GET /"
    decoder = ChunkDecoder()
    body = b""
    position = 0
    while not decoder.is_complete:
        part = data[position : position + part_size]
        decoded = decoder.decode(part, max_chunks)
        assert 0 < decoded.consumed <= len(part)
        assert decoded.is_last == decoder.is_complete
        body += decoded.payload
        position += decoded.consumed
    assert body == b"".join(chunks)
    assert data[position:] == b"GET /"


def test_more_chunks_are_decoded_at_a_time_than_allowed():
    part = b"1\r\nx\r\n" * 100
    decoded = ChunkDecoder().decode(part, 10)
    assert decoded.payload == b"x" * 10
    assert decoded.consumed == 60


def test_a_long_chunk_is_kept_until_it_is_whole():
    decoder = ChunkDecoder()
    assert decoder.decode(b"ffffff\r\nabc", MANY).payload == b"abc"
    assert decoder.decode(b"d" * 1000, MANY).payload == b"d" * 1000


def test_the_end_of_a_body_is_encoded_before_it_was_received():
    assert DecodedPart(b"", 0, False).encode() == b""
    assert DecodedPart(b"ab", 0, False).encode() == b"2\r\nab\r\n"
    assert DecodedPart(b"ab", 0, True).encode() == b"2\r\nab\r\n0\r\n\r\n"


def decode_all(decoder: ChunkDecoder, parts: list[bytes]) -> None:
    """Decode parts that do not end a body."""
    for part in parts:
        assert not decoder.decode(part, MANY).is_last


@pytest.mark.parametrize("part_size", [1, 3, 100])
@pytest.mark.parametrize(
    "data",
    [
        b"\r\n1\r\nx\r\n",
        b" 1\r\nx\r\n",
        b"1 \r\nx\r\n",
        b"+1\r\nx\r\n",
        b"-1\r\nx\r\n",
        b"0x1\r\nx\r\n",
        b"1_0\r\nx\r\n",
        b"g\r\nx\r\n",
        b"\r\n\r\n",
        b"1\nx\r\n\r\n",
        b"1;a\nb\r\nx\r\n",
        b"1;a\rb\r\nx\r\n",
        b"1;\0\r\nx\r\n",
        b"1\r\nxy\r\n",
        b"1\r\nx\n0\r\n\r\n",
        b"1\r\nx\r\r\n",
        b"0\r\nno trailer\r\n\r\n",
        b"0\r\nA: b\nC: d\r\n\r\n",
        b"0\r\n: b\r\n\r\n",
        b"0\r\n A: b\r\n\r\n",
    ],
)
def test_bytes_that_can_be_read_in_two_ways_are_accepted(data, part_size):
    """Another server on the way might see another end of the body."""
    decoder = ChunkDecoder()
    parts = [
        data[start : start + part_size] for start in range(0, len(data), part_size)
    ]
    with pytest.raises(ChunkError):
        decode_all(decoder, parts)
