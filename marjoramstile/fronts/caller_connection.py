"""Connections of callers, with limits on what is read besides the bodies of requests.

aiohttp limits the lines of a head and the idle time between requests, but neither the
size of a head nor the time that it takes from its first bytes on. It reads on after an
error, and doesn't tell why a connection ended.
"""

import asyncio
from collections import deque
from itertools import islice
from typing import Any, Protocol

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from marjoramstile.fronts.buffers import BufferBudgetExceededError
from marjoramstile.fronts.chunks import ChunkDecoder, ChunkError
from marjoramstile.fronts.closing import (
    CUT_SHORT,
    ClosedConnection,
    CloseReason,
)
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.fronts.reading import has_unread_bytes
from marjoramstile.fronts.received import (
    HEAD_END,
    FramingCounter,
    HeadCounter,
    HeldBytes,
    ReadLimits,
    fields_memory_bytes,
)
from marjoramstile.fronts.turns import Turns
from marjoramstile.logs import get_logger
from marjoramstile.routes.requests import SendRecord

# Received bytes that are parsed at a time while a body is read.
BODY_SLICE_BYTES = 32_768
# Chunks of a body that are decoded at a time; a connection with more waits for a turn.
CHUNKS_PER_TURN = 256
# Bytes of a body that are buffered for a handler before reading pauses.
BODY_BUFFER_BYTES = 16_384
# Pipelined requests that wait for their handler before reading pauses.
QUEUED_MAX = 4
# Bytes of a refused body that are discarded, so that its client reads the refusal.
DISCARDED_MAX_BYTES = 4_194_304
# Part of an error's text that is sent; it may quote as many bytes as were received.
ERROR_TEXT_MAX = 200
HEAD_TOO_LONG = 431
# Lines of a head that are parsed at once; a connection with more waits for a turn.
LINES_AT_ONCE = 256
SERVER_ERROR = 500
# Time for the first request on a connection that was opened as its listener closed.
FIRST_REQUEST_WAIT_S = 0.1
IDLE_CHECK_S = 0.005

logger = get_logger(__name__)


class ConnectionServer(Protocol):
    """What a connection needs of its server, which is aiohttp's besides."""

    name: str

    @property
    def limits(self) -> ReadLimits:
        """Limits on what is read of a connection, as they are now."""

    @property
    def closes_when_idle(self) -> bool:
        """Whether all connections are closed as soon as they are idle."""

    def report_closed(self, closed: ClosedConnection) -> None:
        """Record the end of one of its connections."""


class CallerConnection(RequestHandler):
    """aiohttp's server protocol with a timeout for incomplete request heads.

    It reports its end to its server, with the first reason that was noted.
    """

    def __init__(
        self,
        server: ConnectionServer,
        *,
        limit: ConnectionLimit | None = None,
        held: HeldBytes | None = None,
        turns: Turns | None = None,
        **options,
    ):
        super().__init__(server, read_bufsize=BODY_BUFFER_BYTES, **options)
        self._server = server
        self._limit = limit
        self._held = held
        self._turns = turns or Turns()
        self._awaits_turn = False
        self._has_turn = False
        # Of the chunked body that is being read.
        self._turns_taken = 0
        self._messages = MessageQueue()
        self._max_msg_queue_size = QUEUED_MAX
        self._msg_queue_resume_size = QUEUED_MAX // 2
        # Received bytes that are not parsed yet, as reading is paused.
        self._unparsed = b""
        self._head = HeadCounter()
        self._framing = FramingCounter()
        # Of the chunked body that is being read.
        self._chunks: ChunkDecoder | None = None
        self._queued_bytes = 0
        self._body_timer: asyncio.TimerHandle | None = None
        self._received_at = 0.0
        # The body of the last answered request; what is left of it is discarded.
        self._answered_body: StreamReader | None = None
        self._discarded_bytes = 0
        self._is_refusing = False
        self._input_ended = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._reason: CloseReason | None = None
        # The request whose answer is not whole yet, its id, and what was sent of it.
        self._unanswered: web.BaseRequest | None = None
        self._request_id = ""
        self._sends = SendRecord()
        self._opened_at = 0.0
        # Since when the rest of the request is awaited that was received last.
        self._part_began_at: float | None = None
        self._closes_when_idle = False
        self._idle_check: asyncio.Handle | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, or bytes of an answer are not sent yet."""
        if self._current_request is not None or self._messages or self._unparsed:
            return True
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that were written and not sent yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    @property
    def closes_when_idle(self) -> bool:
        """Whether answers announce that this connection is about to be closed."""
        return self._closes_when_idle

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to answer, to send or to read."""
        if self.is_busy or self._head_timer is not None:
            return False
        if self._waiter is None or self._waiter.done():
            return False
        return self._input_ended or not has_unread_bytes(self.transport)

    @property
    def stalled_since(self) -> float | None:
        """Loop time since which only the rest of a request is awaited, if it is."""
        if self._input_ended or self.transport is None:
            return None
        is_behind = self._has_waiting_requests if self._reads_body else self.is_busy
        return None if is_behind else self._part_began_at

    @property
    def is_ending(self) -> bool:
        """Whether it closes after an answer, as what was received was refused."""
        return self._input_ended

    @property
    def _is_just_opened(self) -> bool:
        age_s = self._loop.time() - self._opened_at
        is_new = self._request_count == 0 and age_s < FIRST_REQUEST_WAIT_S
        return is_new and not self._input_ended

    @property
    def _limits(self) -> ReadLimits:
        return self._server.limits

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve a new connection; abort it if there is no room for it."""
        super().connection_made(transport)
        self._opened_at = self._loop.time()
        if self._limit is not None and not self._limit.add(self):
            self.note_closing(CloseReason.NO_ROOM)
            transport.abort()
        elif self._server.closes_when_idle:
            self.close_when_idle()

    def close_idle(self) -> None:
        """Close the connection to make room for another one."""
        self.note_closing(CloseReason.ROOM_NEEDED)
        self.force_close()

    def close_stalled(self) -> None:
        """Close the connection to make room; a request that was begun is refused."""
        if not self._reads_body:
            self.close_idle()
            return
        self.note_closing(CloseReason.ROOM_NEEDED)
        error = BufferBudgetExceededError("the connection is needed for others")
        self._refuse_body(self._messages.last_body, error)

    def close_when_idle(self) -> None:
        """Close the connection when all that was sent on it is answered."""
        self._closes_when_idle = True
        self._check_idle_later(0.0)

    def cut_off(self) -> None:
        """Close the connection at once, so that no begun answer can look whole."""
        if self.transport is not None:
            self.note_closing(CloseReason.STOP_FORCED)
            self.transport.abort()

    def cut_off_slow(self) -> None:
        """Close the connection at once, as its caller takes its answers too slowly."""
        if self.transport is not None:
            self.note_closing(CloseReason.ANSWER_NOT_TAKEN)
            self.transport.abort()

    def _check_idle_later(self, delay_s: float) -> None:
        if self._idle_check is None:
            self._idle_check = self._loop.call_later(delay_s, self._check_idle)

    def _check_idle(self) -> None:
        """Close the connection if it is idle; the end of a request checks again."""
        self._idle_check = None
        if self.transport is None or self.transport.is_closing():
            return
        if self.is_idle and not self._is_just_opened:
            self.note_closing(CloseReason.STOP_IDLE)
            self.force_close()
        elif not self._request_in_progress:
            self._check_idle_later(IDLE_CHECK_S)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes in parts, and count those that are no body.

        The rest is kept while reading is paused. aiohttp calls this without data to
        resume.
        """
        if self._input_ended or self._close or self._force_close:
            return
        if self._limit is not None and data:
            self._limit.record_received(self)
        if self._unparsed:
            data = self._unparsed + data
            self._unparsed = b""
        self._parse(data)
        self._update_part()
        self._update_head_timer()
        self._update_body_timer()
        self._update_held()

    def _parse(self, data: bytes) -> None:
        """Parse as much as the limits allow; at least what the parser has kept."""
        position = 0
        if self._chunks is not None:
            self._parse_part(b"")
        while not self._input_ended:
            # A turn is for one part.
            self._has_turn = self._has_turn and position == 0
            if self._is_reading_paused and (data or self._reading_paused):
                self._unparsed = data[position:]
                return
            position += self._parse_next(data, position)
            if position >= len(data):
                return

    def _parse_next(self, data: bytes, position: int) -> int:
        """Parse the next part of received bytes; return its size."""
        if self._upgraded or self._reads_body:
            part = data[position : position + BODY_SLICE_BYTES]
            if self._chunks is not None:
                return self._parse_chunks(part)
        else:
            part_max = max(1, self._limits.head_max_bytes + 1 - self._head.size)
            part = data[position : position + part_max]
            part = part[: self._head.find_chunks(part)]
            lines = self._head.lines + part.count(b"\n")
            if lines > LINES_AT_ONCE and not self._has_turn:
                self._wait_for_turn()
                return 0
        self._parse_part(part)
        return len(part)

    @property
    def _is_reading_paused(self) -> bool:
        if self._reading_paused or self._awaits_turn:
            return True
        if self._chunks is not None and self._chunks.is_complete:
            # The parser has kept the end of the body.
            return self._reads_body
        return len(self._messages) >= QUEUED_MAX

    @property
    def _has_waiting_requests(self) -> bool:
        return len(self._messages) > (0 if self._current_request is not None else 1)

    @property
    def _reads_body(self) -> bool:
        body = self._messages.last_body
        return body is not None and not body.is_eof()

    def _parse_part(self, part: bytes) -> None:
        requests_before = self._request_count
        body = self._messages.last_body if self._reads_body else None
        body_bytes = body.total_bytes if body is not None else 0
        super().data_received(part)
        if self._messages and isinstance(self._messages[-1][0], _ErrInfo):
            self._refuse_unreadable(body)
        elif self._upgraded:
            self._head.reset()
        elif self._request_count > requests_before:
            self._count_requests(part, self._request_count - requests_before)
        elif body is not None:
            self._count_body(body, part, body.total_bytes - body_bytes)
        else:
            self._head.add(part, ended_heads=False)
            if self._head.size > self._limits.head_max_bytes:
                self._refuse_head()

    def _count_requests(self, part: bytes, count: int) -> None:
        """Begin to count the body of the last request whose head has ended."""
        self._cancel_head_timer()
        self._part_began_at = None
        self._framing = FramingCounter()
        self._queued_bytes += len(part) + self._head.size
        self._queued_bytes += sum(
            fields_memory_bytes(len(message.raw_headers))
            for message, _ in islice(reversed(self._messages), count)
        )
        if self._messages.last_body is EMPTY_PAYLOAD:
            if part:
                self._head.add(part, ended_heads=True)
            return
        is_first = self._head.size == 0
        ends_head = self._head.is_end(part)
        self._head.reset()
        if self._messages.last_is_chunked and ends_head:
            self._chunks = ChunkDecoder()
            self._turns_taken = 0
        elif is_first and count == 1:
            self._count_after_body(part)

    def _parse_chunks(self, part: bytes) -> int:
        """Parse a part of a chunked body as one chunk; return how much was parsed."""
        body = self._messages.last_body
        try:
            decoded = self._chunks.decode(part, CHUNKS_PER_TURN)
        except ChunkError as error:
            self.note_closing(CloseReason.BODY_FRAMING)
            self._refuse_body(body, web.RequestPayloadError(str(error)))
            return len(part)
        super().data_received(decoded.encode())
        self._count_body(body, part[: decoded.consumed], len(decoded.payload))
        if not decoded.is_last and decoded.consumed < len(part):
            self._continue_later(body)
        return decoded.consumed

    def _continue_later(self, body: StreamReader) -> None:
        """Wait until more of a body in short chunks may be parsed, or refuse it."""
        if self._turns.refuses(self._turns_taken):
            self.note_closing(CloseReason.BODY_FRAMING)
            error = BufferBudgetExceededError("too many bodies in short chunks")
            self._refuse_body(body, error)
            return
        self._turns_taken += 1
        self._wait_for_turn()

    def _wait_for_turn(self) -> None:
        self._awaits_turn = True
        self._pause_transport_reading()
        self._turns.add(self._take_turn)

    def _take_turn(self) -> None:
        """Parse some more of what was received; read on when all is parsed."""
        self._awaits_turn = False
        if self.transport is None or self._input_ended:
            return
        self._has_turn = True
        self.data_received(b"")
        self._has_turn = False
        if not self._is_reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _count_after_body(self, part: bytes) -> None:
        """Count what follows the one request of a part, if its body is whole."""
        body = self._messages.last_body
        head_end = part.find(HEAD_END) + len(HEAD_END)
        if body.is_eof() and head_end >= len(HEAD_END):
            self._count_rest(part, len(part) - head_end - body.total_bytes)

    def _count_rest(self, part: bytes, size: int) -> None:
        """Count the last bytes of a part, which follow a body with a stated length.

        They begin the next head. What follows the last chunk isn't told apart.
        """
        if size > 0 and not self._messages.last_is_chunked:
            self._head.add(part[-size:], ended_heads=False)

    def _count_body(self, body: StreamReader, part: bytes, body_bytes: int) -> None:
        received = len(part)
        if self._messages:
            self._queued_bytes += received
        if body is self._answered_body:
            self._discarded_bytes += received
        if body.is_eof():
            self._part_began_at = None
            self._chunks = None
            self._head.reset()
            self._count_rest(part, len(part) - body_bytes)
            return
        self._framing.add(received, body_bytes)
        # While reading is paused the parser has bytes that it has not told apart yet.
        exceeds = not self._reading_paused and self._framing.exceeds(
            self._limits.head_max_bytes
        )
        if exceeds or self._discarded_bytes > DISCARDED_MAX_BYTES:
            self.note_closing(CloseReason.BODY_FRAMING)
            self._refuse_body(body, web.RequestPayloadError("too much framing"))

    def _refuse_head(self) -> None:
        """Answer 431 after the requests before, and read no more."""
        error = BadHttpMessage("the head is too long")
        refusal = _ErrInfo(HEAD_TOO_LONG, error, error.message)
        self._messages.append((refusal, EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._end_input()

    def _refuse_unreadable(self, body: StreamReader | None) -> None:
        """Answer 400, and read no more; the error's text may be as long as the data."""
        refused, _ = self._messages.pop()
        text = refused.message[:ERROR_TEXT_MAX]
        if body is None or body.is_eof():
            refusal = _ErrInfo(refused.status, BadHttpMessage(text), text)
            self._messages.append((refusal, EMPTY_PAYLOAD))
            self._end_input()
        else:
            self.note_closing(CloseReason.BODY_FRAMING)
            self._refuse_body(body, web.RequestPayloadError(text))

    def _refuse_body(self, body: StreamReader, error: Exception) -> None:
        """End a body with an error for its handler, and read no more.

        Only the body of an answered request may end without: it is being discarded.
        """
        if body is not self._answered_body:
            body.set_exception(error)
        body.feed_eof()
        self._end_input()

    def _end_input(self) -> None:
        """Read no more, and close when all requests that were read are answered."""
        self._input_ended = True
        self._unparsed = b""
        self._chunks = None
        self._head.reset()
        self._cancel_head_timer()
        self._pause_transport_reading()
        self.close_when_idle()

    def drop_input(self) -> None:
        """Drop what no handler has taken, as there is no memory for it."""
        self.note_closing(CloseReason.MEMORY_NEEDED)
        if not self.is_busy:
            self._input_ended = True
            if self.transport is not None:
                self.transport.abort()
            return
        if self._reads_body:
            error = BufferBudgetExceededError("too many bytes wait for handlers")
            self._refuse_body(self._messages.last_body, error)
        else:
            self._end_input()
        # Otherwise the next request is just being taken from the queue.
        if self._current_request is not None:
            self._messages.clear()

    def _resume_transport_reading(self) -> None:
        if not self._input_ended and not self._awaits_turn:
            super()._resume_transport_reading()

    def _update_part(self) -> None:
        if not self._head.size and not self._reads_body:
            self._part_began_at = None
        elif self._part_began_at is None:
            self._part_began_at = self._loop.time()

    def _update_held(self) -> None:
        if not self._messages:
            self._queued_bytes = 0
        if self._held is None or self.transport is None:
            return
        count = self._head.memory_bytes + len(self._message_tail)
        if self._has_waiting_requests:
            # Otherwise a handler takes the rest, or is about to.
            count += self._queued_bytes + len(self._unparsed)
        self._held.update(self, count)

    def _update_head_timer(self) -> None:
        """Time a head from its first byte on, and framing that no body follows."""
        reads_body = self._reads_body
        is_timed = self._framing.is_timed if reads_body else self._head.size > 0
        is_paused = self._reading_paused or self._awaits_turn
        if not is_timed or is_paused or self._input_ended:
            self._cancel_head_timer()
        elif self._head_timer is None:
            self._restart_head_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the end, and cancel the head timer."""
        self._cancel_head_timer()
        if self._body_timer is not None:
            self._body_timer.cancel()
        if self._limit is not None:
            self._limit.remove(self)
        if self._held is not None:
            self._held.update(self, 0)
        if self._idle_check is not None:
            self._idle_check.cancel()
        self._server.report_closed(self._describe_end(exc))
        super().connection_lost(exc)

    def note_closing(self, reason: CloseReason) -> None:
        """Record why this connection is about to be closed; the first reason holds."""
        self._reason = self._reason or reason

    def note_request(self, request_id: str, sends: SendRecord) -> None:
        """Record the id of the request in progress, and what tells of its sends."""
        self._request_id = request_id
        self._sends = sends

    def _describe_end(self, exc: BaseException | None) -> ClosedConnection:
        reason = self._reason
        if reason is None:
            is_last = not self._keepalive or self._close
            reason = CloseReason.ANSWERED if is_last else CloseReason.CALLER_GONE
        queued = [
            payload
            for message, payload in self._messages
            if not isinstance(message, _ErrInfo)
        ]
        current = self._unanswered
        bodies = queued if current is None else [current.content, *queued]
        return ClosedConnection(
            self._server.name,
            reason,
            sum(body.is_eof() and body.exception() is None for body in bodies),
            self._request_id if current is not None else "",
            current is not None and self._sends.may_have_run,
            repr(exc) if exc is not None else "",
        )

    async def _handle_request(self, request, start_time, request_handler):
        self._update_held()
        self._unanswered = None if self._is_refusing else request
        self._request_id = ""
        self._sends = SendRecord()
        if self._server.closes_when_idle:
            self.close_when_idle()
        try:
            response, reset = await super()._handle_request(
                request, start_time, _announcing(request_handler)
            )
        finally:
            self._answered_body = request.content
            self._discarded_bytes = 0
            if self._reading_paused and request.content.is_eof():
                # Its handler has left a long body unread.
                self.resume_reading()
            if self._closes_when_idle:
                self._check_idle_later(IDLE_CHECK_S)
        if not reset and self._reason not in CUT_SHORT:
            self._unanswered = None
        return response, reset

    def _make_error_handler(self, err_info):
        self._is_refusing = True
        is_long = err_info.status == HEAD_TOO_LONG
        reason = CloseReason.HEAD_TOO_LONG if is_long else CloseReason.BAD_REQUEST
        self.note_closing(reason)
        return super()._make_error_handler(err_info)

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the answer to a request that is unreadable, or whose handler failed.

        After a failure, what else was sent on the connection is answered as well.
        """
        if status < SERVER_ERROR:
            # aiohttp's own answer would also log the error with its traceback.
            refusal = web.Response(status=status, text=message)
            refusal.force_close()
            return refusal
        self.note_closing(CloseReason.HANDLER_FAILED)
        logger.error("handler_failed", request=self._request_id, error=repr(exc))
        response = super().handle_error(request, status, exc, message)
        self.close_when_idle()
        answer = web.Response(status=status, text=response.text)
        announce_close(request, answer)
        return answer

    def _process_keepalive(self) -> None:
        if self._head_timer is not None:
            # The next idle time schedules it again.
            self._keepalive_handle = None
            return
        # The configuration may have changed since the connection was opened.
        idle_since = self._next_keepalive_close_time - self._keepalive_timeout
        close_time = idle_since + self._limits.idle_timeout_s
        if self._loop.time() < close_time:
            self._keepalive_handle = self._loop.call_at(
                close_time, self._process_keepalive
            )
            return
        was_open = self.transport is not None
        super()._process_keepalive()
        if was_open and self.transport is None:
            self.note_closing(CloseReason.KEEP_ALIVE_ENDED)

    def _restart_head_timer(self) -> None:
        self._cancel_head_timer()
        self._head_timer = self._loop.call_later(
            self._limits.head_timeout_s, self._handle_head_timeout
        )

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _handle_head_timeout(self) -> None:
        """Close the connection, unless an earlier request on it is in progress.

        A request whose body has not gone on in time is refused.
        """
        self._head_timer = None
        if self._reads_body:
            self.note_closing(CloseReason.BODY_FRAMING)
            self._refuse_body(self._messages.last_body, TimeoutError())
        elif self.is_busy:
            self._restart_head_timer()
        else:
            self.note_closing(CloseReason.HEAD_TIMEOUT)
            self.force_close()

    def _update_body_timer(self) -> None:
        """Time a body that a handler reads from its last bytes on."""
        self._received_at = self._loop.time()
        if self._body_timer is None and self._reads_body and not self._input_ended:
            self._body_timer = self._loop.call_later(
                self._limits.idle_timeout_s, self._check_body
            )

    def _check_body(self) -> None:
        """Refuse a body of which nothing has arrived for the idle time."""
        self._body_timer = None
        if not self._reads_body or self._input_ended or self.transport is None:
            return
        now = self._loop.time()
        if self._has_waiting_requests or self._is_reading_paused:
            self._received_at = now
        due_at = self._received_at + self._limits.idle_timeout_s
        if now < due_at:
            self._body_timer = self._loop.call_at(due_at, self._check_body)
        else:
            self.note_closing(CloseReason.BODY_REFUSED)
            self._refuse_body(self._messages.last_body, TimeoutError())


class MessageQueue(deque):
    """Requests that were read; keeps the body of the one that was added last."""

    def __init__(self):
        super().__init__()
        self.last_body: StreamReader | None = None
        self.last_is_chunked = False

    def append(self, message: tuple[Any, StreamReader]) -> None:
        """Add a request with its body; an error has none."""
        super().append(message)
        if not isinstance(message[0], _ErrInfo):
            self.last_body = message[1]
            self.last_is_chunked = message[0].chunked


def announce_close(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Tell in a response, before it is sent, that its connection will be closed."""
    connection = request.protocol
    if isinstance(connection, CallerConnection) and connection.closes_when_idle:
        response.headers["Connection"] = "close"


def _announcing(handler):
    """Return a handler whose answers announce that their connection closes."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        response = await handler(request)
        if not response.prepared:
            announce_close(request, response)
        return response

    return handle
