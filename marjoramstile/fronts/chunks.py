"""Decodes the chunked transfer coding of request bodies (RFC 9112, section 7.1).

aiohttp's parser calls Python several times for each chunk, and keeps an object for it.
Bodies in chunks of a few bytes are therefore joined before they are parsed.
"""

import re
from dataclasses import dataclass

CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# Most chunks have one of these lines.
SIZE_LINES = {b"%x" % size: size for size in range(1, 4096)}
# The end of a head that a chunk may follow.
CHUNKS_START = re.compile(rb"\r\n\r\n(?=[0-9A-Fa-f])")
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:;[\t\x20-\x7e\x80-\xff]*)?")
TRAILER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*")


class ChunkError(Exception):
    """Bytes that are not a chunked body."""


@dataclass(frozen=True)
class DecodedPart:
    """Result of decoding a part of a body.

    ``consumed`` bytes were decoded or kept, and hold ``payload``. ``is_last`` tells
    that they end the body.
    """

    payload: bytes
    consumed: int
    is_last: bool

    def encode(self) -> bytes:
        """Return the payload as one chunk; the last part with the end of the body."""
        chunk = b"%x\r\n%s\r\n" % (len(self.payload), self.payload)
        return (chunk if self.payload else b"") + (LAST_CHUNK if self.is_last else b"")


class ChunkDecoder:
    """Decodes one chunked body, whose bytes are given in parts of any size.

    Trailers are checked and dropped. An incomplete line is kept until its end arrives;
    it is up to the caller to bound the bytes that hold no payload.
    """

    def __init__(self):
        self._kept = b""
        # Bytes of the current chunk's payload that have not arrived yet.
        self._payload_left = 0
        self._in_chunk = False
        self._in_trailers = False
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was decoded."""
        return self._is_complete

    def decode(self, part: bytes, max_chunks: int) -> DecodedPart:
        """Decode a part, of which at most ``max_chunks`` chunks.

        Raises ChunkError.
        """
        data = self._kept + part
        kept_before = len(self._kept)
        self._kept = b""
        payloads: list[bytes] = []
        position = 0
        while position < len(data) and not self._is_complete:
            if not self._in_chunk and not self._in_trailers:
                position = _decode_whole(data, position, max_chunks, payloads)
            if len(payloads) >= max_chunks:
                break
            following = self._decode_next(data, position, payloads)
            if following == position:
                self._kept = data[position:]
                position = len(data)
            else:
                position = following
        consumed = position - kept_before
        return DecodedPart(b"".join(payloads), consumed, self._is_complete)

    def _decode_next(self, data: bytes, position: int, payloads: list[bytes]) -> int:
        """Decode one payload or line; return the position after it.

        That is the same position if the rest of a line has not arrived.
        """
        if self._in_chunk:
            return self._decode_payload(data, position, payloads)
        end = data.find(CRLF, position)
        if end < 0:
            return position
        line = data[position:end]
        if self._in_trailers:
            self._check_trailer(line)
        else:
            self._begin_chunk(line)
        return end + len(CRLF)

    def _decode_payload(self, data: bytes, position: int, payloads: list[bytes]) -> int:
        if self._payload_left:
            payload = data[position : position + self._payload_left]
            payloads.append(payload)
            self._payload_left -= len(payload)
            position += len(payload)
            if self._payload_left or position == len(data):
                return position
        end = data[position : position + len(CRLF)]
        if end == CRLF:
            self._in_chunk = False
            return position + len(CRLF)
        if not CRLF.startswith(end):
            raise ChunkError("a chunk is longer than its size")
        return position

    def _begin_chunk(self, line: bytes) -> None:
        size = SIZE_LINES.get(line) or _parse_size(line)
        self._in_trailers = size == 0
        self._in_chunk = size > 0
        self._payload_left = size

    def _check_trailer(self, line: bytes) -> None:
        if not line:
            self._is_complete = True
        elif not TRAILER_LINE.fullmatch(line):
            raise ChunkError("a trailer can't be read")


def _decode_whole(
    data: bytes, position: int, max_chunks: int, payloads: list[bytes]
) -> int:
    """Decode chunks that have arrived whole; return the position after the last one.

    Chunks that are long or have extensions are left to others.
    """
    while len(payloads) < max_chunks:
        line_end = data.find(CRLF, position)
        if line_end < 0:
            break
        size = SIZE_LINES.get(data[position:line_end])
        if size is None:
            break
        start = line_end + len(CRLF)
        end = start + size
        if data[end : end + len(CRLF)] != CRLF:
            break
        payloads.append(data[start:end])
        position = end + len(CRLF)
    return position


def _parse_size(line: bytes) -> int:
    match = SIZE_LINE.fullmatch(line)
    if match is None:
        raise ChunkError("the size of a chunk can't be read")
    return int(match.group(1), 16)
