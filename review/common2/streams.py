"""Clients of resumable streams, which take up a stream that was cut."""

import asyncio
import random
import re
from collections.abc import Sequence
from dataclasses import dataclass, field

from common2.deployment import FRONT_PORT, STREAM_TIMEOUT_MS, Machine
from common2.raw_http import (
    READ_LIMIT_BYTES,
    Headers,
    encode_request,
    new_id,
    read_chunk,
    read_head,
)
from common2.record import Record

OK = 200
UNAVAILABLE = "503"
WHOLE = "whole"
CUT = "cut"
# Attempts to take a stream up; a client gives a stream up after a gap of four times
# its objective, which is 0.9 s.
TAKE_UPS_MAX = 3
GAP_MAX_S = 3.6
_EVENT = re.compile(rb"id: (\d+)\ndata: (\w+)\n\n")


@dataclass
class StreamResult:
    """What a client got of one stream; events are pairs of a number and a version."""

    events: list[tuple[int, str]] = field(default_factory=list)
    outcome: str = ""
    taken_up: bool = False
    events_before: int = 0

    @property
    def versions(self) -> set[str]:
        """Software versions whose events the client got."""
        return {version for _, version in self.events}

    @property
    def went_on(self) -> bool:
        """Whether the attempt that took the stream up brought an event."""
        return self.taken_up and len(self.events) > self.events_before


class StreamClient:
    """Asks for one resumable stream, and takes it up if it is cut."""

    def __init__(
        self,
        record: Record,
        machines: Sequence[Machine],
        path: str,
        first: Machine | None = None,
    ):
        """``first`` is the machine to ask first; a random one if it is None."""
        self._record = record
        self._left = random.sample(list(machines), len(machines))
        if first is not None:
            self._left.remove(first)
            self._left.append(first)
        self._retry_after_s = 0.0
        self._path = path
        self._id = new_id()
        self._headers: Headers = (
            ("X-Model", "m"),
            ("X-Token-Count", "100,660"),
            ("X-Prefix-Hash", f"{new_id()[:8]}:80,{new_id()[:8]}:20"),
        )
        self._body = f"notes {self._id}".encode()
        self.result = StreamResult()

    async def run(self) -> StreamResult:
        """Return what the client got."""
        result = self.result
        result.outcome = await self._attempt_anywhere(self._id, ())
        if result.outcome == CUT and result.events:
            result.taken_up = True
            result.events_before = len(result.events)
            await self._take_up()
        return result

    async def _attempt_anywhere(self, request_id: str, headers: Headers) -> str:
        """Ask the next machine that accepts a connection."""
        while self._left:
            machine = self._left.pop()
            try:
                return await self._attempt(machine, request_id, headers)
            except ConnectionRefusedError:
                self._record.add("refused", machine=machine.name, request=request_id)
        return CUT

    async def _take_up(self) -> None:
        """Go on with the stream; after a refusal, come back when it says."""
        result = self.result
        last_event = str(result.events[-1][0])
        named = (("Last-Event-Id", last_event), ("Resumes", self._id))
        loop = asyncio.get_running_loop()
        gives_up_at = loop.time() + GAP_MAX_S
        for _ in range(TAKE_UPS_MAX):
            result.outcome = await self._attempt_anywhere(new_id(), named)
            back_at = loop.time() + self._retry_after_s
            if result.outcome != UNAVAILABLE or back_at > gives_up_at:
                return
            await asyncio.sleep(self._retry_after_s)

    async def _attempt(
        self, machine: Machine, request_id: str, headers: Headers
    ) -> str:
        reader, writer = await asyncio.open_connection(
            machine.host, FRONT_PORT, limit=READ_LIMIT_BYTES
        )
        self._left.insert(0, machine)
        outcome = CUT
        try:
            request = encode_request(
                "POST",
                self._path,
                request_id,
                STREAM_TIMEOUT_MS,
                self._headers + headers,
                self._body,
            )
            self._record.add(
                "sent", machine=machine.name, request=request_id, headers=headers
            )
            writer.write(request)
            async with asyncio.timeout(STREAM_TIMEOUT_MS / 1000 + 1):
                outcome = await self._read(reader)
        except (OSError, EOFError, ValueError, TimeoutError):
            pass
        finally:
            writer.close()
            events = len(self.result.events)
            self._record.add(
                "answered", request=request_id, outcome=outcome, events=events
            )
        return outcome

    async def _read(self, reader: asyncio.StreamReader) -> str:
        head = await read_head(reader)
        status = int(head.line.split()[1])
        if status != OK:
            self._retry_after_s = float(head.headers.get("retry-after", 0.0))
            return str(status)
        while chunk := await read_chunk(reader):
            for number, version in _EVENT.findall(chunk):
                self.result.events.append((int(number), version.decode()))
        return WHOLE
