"""Stand-in of a replica: plain calls, prefills, streams, reservations and reports."""

import asyncio
import json
import time
from dataclasses import dataclass

from common2.raw_http import Head, Headers, Server, encode_answer, read_body
from common2.record import Record
from common2.store import Store

NOT_EXECUTED = (("X-Not-Executed", "1"),)
JSON = (("Content-Type", "application/json"),)
SLOTS = 24


@dataclass(frozen=True)
class Identity:
    """What a replica says of itself in its row; ``stage`` is empty for plain ones."""

    id: str
    service: str
    stage: str
    host: str
    port: int
    version: str = "v1"


@dataclass(frozen=True)
class Streams:
    """Length of all streams, and the pause before each event."""

    events: int = 60
    gap_s: float = 0.1


class Replica(Server):
    """One process of a replica; a restart is a new object with the same id."""

    def __init__(
        self,
        identity: Identity,
        store: Store,
        record: Record,
        streams: Streams = Streams(),  # noqa: B008
    ):
        super().__init__(identity.host, identity.port)
        self.identity = identity
        self._store = store
        self._record = record
        self._streams = streams
        self._born_ms = round(time.time() * 1000)
        self._count = 0

    async def register(self) -> None:
        """Write the row, as a replica does when it starts or changes."""
        identity = self.identity
        row = {
            "service": identity.service,
            "address": f"{identity.host}:{identity.port}",
            "zone": "zone-a",
            "version": identity.version,
            "slots": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self._born_ms,
        }
        if identity.stage:
            models = [{"name": "m", "version": 1, "adapters": []}]
            row |= {"stage": identity.stage, "models": models}
        await self._store.put("servers", identity.id, row)

    async def handle(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request or a control call."""
        body = await read_body(reader, head.headers)
        expected = head.headers.get("x-expect-instance", self.identity.id)
        path = head.line.split()[1]
        if expected != self.identity.id:
            writer.write(encode_answer(421, NOT_EXECUTED))
        elif path.startswith("/v1/"):
            writer.write(self._control(path))
        else:
            await self._answer(head, body, writer)
        await writer.drain()
        return True

    def _control(self, path: str) -> bytes:
        if path == "/v1/report":
            return _json_answer(
                stage=self.identity.stage,
                models=[],
                busy=False,
                sequence=0,
                queued=0,
                running=0,
                kvUsed=0,
                kvTotal=90_000,
                kvHandles=0,
                born=self._born_ms,
            )
        if path == "/v1/hold-take":
            return _json_answer(hold=self._next_name("hold"))
        return encode_answer(409 if path == "/v1/order" else 200)

    def _next_name(self, prefix: str) -> str:
        self._count += 1
        return f"{prefix}{self._born_ms:x}{self._count:06x}"

    async def _answer(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = head.headers["x-request-id"]
        if head.headers.get("x-stage") == "prefill":
            answer = {"kvHandle": self._next_name(""), "tokens": 100, "version": 1}
            named = (("X-Request-Id", request_id), *JSON)
            writer.write(encode_answer(200, named, json.dumps(answer).encode()))
            return
        last_event = head.headers.get("last-event-id")
        self._record.add(
            "runs",
            replica=self.identity.id,
            version=self.identity.version,
            request=request_id,
            after=last_event,
        )
        if self.identity.stage:
            await self.stream(request_id, last_event, writer)
        else:
            writer.write(encode_answer(200, self.stamp(request_id), b"done"))

    def stamp(self, request_id: str) -> Headers:
        """Return the headers of each answer to a request that has run."""
        stamp = f"{self.identity.id}.{self._born_ms}"
        return (("X-Request-Id", request_id), ("X-Server-Stamp", stamp))

    async def stream(
        self, request_id: str, last_event: str | None, writer: asyncio.StreamWriter
    ) -> None:
        """Send a stream from its start, or from the event after ``last_event``."""
        fields = (("Content-Type", "text/event-stream"), *self.stamp(request_id))
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields)]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        first = 0 if last_event is None else int(last_event) + 1
        for number in range(first, self._streams.events):
            await asyncio.sleep(self._streams.gap_s)
            event = f"id: {number}\ndata: {self.identity.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def _json_answer(**fields: object) -> bytes:
    return encode_answer(200, JSON, json.dumps(fields).encode())
