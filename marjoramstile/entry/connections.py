"""Callers' and operators' connections to the daemon, within a limit."""

import asyncio
from collections.abc import Callable

from sanic import Request
from sanic.exceptions import BadRequest, PayloadTooLarge
from sanic.http.constants import Stage
from sanic.http.http1 import HTTP_CONTINUE, Http
from sanic.server.protocols.http_protocol import HttpProtocol

from marjoramstile.fronts.caller_connection import CHUNKS_PER_TURN
from marjoramstile.fronts.chunks import CRLF, ChunkDecoder, ChunkError
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.fronts.reading import (
    READ_MAX_BYTES,
    BoundedReads,
    has_unread_bytes,
)
from marjoramstile.fronts.received import FramingCounter
from marjoramstile.fronts.turns import Turns
from marjoramstile.logs import get_logger
from marjoramstile.results import Failure, RequestFailedError, ResultCode

# Room for a connection may be made at any moment.
RETRY_AFTER_REFUSED_S = 1.0
# Framing of a chunked body between two parts of its payload, and in all beside a
# multiple of it.
FRAMING_MAX_BYTES = 16_384

logger = get_logger(__name__)


def is_idle(connection: HttpProtocol) -> bool:
    """Return whether nothing is left to answer, to send or to read."""
    http = connection.http
    if http is None or http.stage is not Stage.IDLE or connection.recv_buffer:
        return False
    transport = connection.transport
    if transport is None or transport.is_closing():
        return False
    return not transport.get_write_buffer_size() and not has_unread_bytes(transport)


class TurnedHttp(Http):
    """sanic's HTTP/1.1, with chunked bodies that are decoded by turns.

    sanic reads one chunk at a time, and keeps an object for it.
    """

    __slots__ = ["_chunks", "_framing", "_turns_taken"]

    def init_for_request(self) -> None:
        """Begin a new request."""
        super().init_for_request()
        self.protocol.begin_request()
        self._chunks: ChunkDecoder | None = None
        self._framing = FramingCounter()
        self._turns_taken = 0

    async def read(self) -> bytes | None:
        """Return some bytes of the request's body; None if there are none yet."""
        if self.request_body != "chunked":
            return await super().read()
        if self.expecting_continue:
            self.expecting_continue = False
            await self._send(HTTP_CONTINUE)
        if self._chunks is None:
            # The line end that sanic leaves between a head and its body.
            del self.recv_buffer[: len(CRLF)]
            self._chunks = ChunkDecoder()
        if not self.recv_buffer:
            await self._receive_more()
        payload, has_more = self._decode(bytes(self.recv_buffer[:READ_MAX_BYTES]))
        if has_more:
            await self._wait_for_turn()
        return payload or None

    async def _wait_for_turn(self) -> None:
        turns = self.protocol.turns
        if turns.refuses(self._turns_taken):
            self._end_body()
            raise overloaded("too many bodies in short chunks")
        self._turns_taken += 1
        await turns.wait()

    def _end_body(self) -> None:
        """Read no more of the body, and close after the answer."""
        self.request_body = None
        self.keep_alive = False

    def _decode(self, part: bytes) -> tuple[bytes, bool]:
        """Return decoded bytes, and whether the rest of a part has to wait."""
        try:
            decoded = self._chunks.decode(part, CHUNKS_PER_TURN)
        except ChunkError as error:
            self._end_body()
            raise BadRequest(str(error)) from error
        del self.recv_buffer[: decoded.consumed]
        self.request_bytes += len(decoded.payload)
        self._framing.add(decoded.consumed, len(decoded.payload))
        if decoded.is_last:
            self.request_body = None
        self._check_limits()
        return decoded.payload, not decoded.is_last and decoded.consumed < len(part)

    def _check_limits(self) -> None:
        if self.request_bytes > self.request_max_size:
            self.keep_alive = False
            raise PayloadTooLarge("Request body exceeds the size limit")
        if self._framing.exceeds(FRAMING_MAX_BYTES):
            self._end_body()
            raise BadRequest("the body has too much framing")


class LimitedProtocol(HttpProtocol):
    """sanic's server protocol, whose connections count towards a limit."""

    HTTP_CLASS = TurnedHttp
    __slots__ = ("_limit", "_part_began_at", "_part_timer", "turns")

    def __init__(self, *, limit: ConnectionLimit, turns: Turns, **options):
        super().__init__(**options)
        self._limit = limit
        self._part_began_at: float | None = None
        self._part_timer: asyncio.TimerHandle | None = None
        self.turns = turns

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to answer, to send or to read."""
        return is_idle(self)

    @property
    def is_refused(self) -> bool:
        """Whether there is no room for this connection."""
        return self._limit.refuses(self)

    @property
    def stalled_since(self) -> float | None:
        """Loop time since which only the rest of a request is awaited, if it is."""
        http = self.http
        if http is None or self._part_began_at is None:
            return None
        reads_head = http.stage in (Stage.IDLE, Stage.REQUEST)
        reads_body = http.stage is Stage.HANDLER and http.request_body is not None
        return self._part_began_at if reads_head or reads_body else None

    @property
    def is_ending(self) -> bool:
        """Whether it closes after an answer, as what was received was refused."""
        http = self.http
        return http is not None and http.stage is Stage.FAILED

    def close_idle(self) -> None:
        """Close the connection to make room for another one."""
        self.close_if_idle()

    def close_stalled(self) -> None:
        """Close the connection to make room; a request that was begun is refused."""
        http = self.http
        if http is None or http.stage is not Stage.HANDLER or self._task is None:
            self.abort()
            return
        http.exception = overloaded("the connection is needed for others")
        self._task.cancel()

    def begin_request(self) -> None:
        """Time the next request, of which some bytes may have been received."""
        self._cancel_head_timer()
        self._part_began_at = None
        if self.recv_buffer:
            self._begin_part()

    def connection_made(self, transport) -> None:
        """Count the connection; abort it if there is no room for it."""
        super().connection_made(transport)
        if not self._limit.add(self):
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Record that the connection is in use, and when a request has begun."""
        self._limit.record_received(self)
        http = self.http
        if http is None or http.stage in (Stage.IDLE, Stage.REQUEST):
            self._begin_part()
        super().data_received(data)

    def _begin_part(self) -> None:
        """Time a request's head from its first byte on.

        sanic times it from the last byte that was received.
        """
        if self._part_began_at is None:
            self._part_began_at = self.loop.time()
            self._part_timer = self.loop.call_later(
                self.request_timeout, self._check_head
            )

    def _check_head(self) -> None:
        self._part_timer = None
        http = self.http
        if http is not None and http.stage is Stage.REQUEST:
            logger.info("head_not_whole", limit_s=self.request_timeout)
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection."""
        self._limit.remove(self)
        self._cancel_head_timer()
        super().connection_lost(exc)

    def _cancel_head_timer(self) -> None:
        if self._part_timer is not None:
            self._part_timer.cancel()
            self._part_timer = None


def limited_protocol(
    limit: ConnectionLimit, turns: Turns
) -> Callable[..., BoundedReads]:
    """Return what creates the connections of a server with a limit.

    ``turns`` are those at the decoding of bodies in short chunks.
    """
    buffer = bytearray(READ_MAX_BYTES)

    def create(**options) -> BoundedReads:
        protocol = LimitedProtocol(limit=limit, turns=turns, **options)
        return BoundedReads(protocol, buffer)

    return create


def overloaded(message: str) -> RequestFailedError:
    """Return the error of a request that has not run, as others take the room."""
    failure = Failure(
        ResultCode.OVERLOADED, message, retry_after_s=RETRY_AFTER_REFUSED_S
    )
    return RequestFailedError(failure)


async def refuse_connection(request: Request) -> None:
    """Refuse a request, as sanic's middleware, if its connection exceeds the limit."""
    if request.stream.protocol.is_refused:
        request.stream.keep_alive = False
        message = "this daemon has too many connections; ask for other addresses"
        raise overloaded(message)
