"""Stand-in of a replica: plain calls, prefills and streams, and its entry."""

import asyncio
import json
import secrets
import time
from dataclasses import dataclass, field

from common.http import Exchange, Server
from common.record import Record
from common.store import Store

STRIDE = 11
STEP_S = 0.00423
PREFILL_TOKENS_PER_S = 33_333.0
HANDLE_TTL_S = 0.5
NOT_EXECUTED = {"X-Not-Executed": "1"}
JSON = {"Content-Type": "application/json"}


@dataclass(eq=False)
class Replica:
    """One replica under one id; ``handles`` is shared by all replicas of a fleet.

    ``slow`` multiplies the time of its work. ``runs`` has the requests that it began
    to work on, prefills not included.
    """

    id: str
    service: str
    host: str
    store: Store
    record: Record
    handles: dict[str, float]
    stage: str | None = None
    zone: str = "gr-north-a"
    version: str = "v1"
    work_s: float = 0.03
    slots: int = 24
    slow: float = 1.0
    state: str = "ready"
    leaving: bool = False
    listed: bool = True
    endless_errors: int = 0
    _holds: dict[str, float] = field(default_factory=dict)
    _orders: int = 0
    _sequence: int = 0
    _prefill_free_at: float = 0.0
    _beating: asyncio.Task | None = None

    async def start(self) -> None:
        """Start a new incarnation, at the same address if there was one before."""
        self.born = round(time.time() * 1000)
        self._holds.clear()
        self._orders = 0
        self._sequence = 0
        port = self.server.port if hasattr(self, "server") else 0
        self.server = Server(self._handle, self.host, port)
        await self.server.start()
        self._beating = asyncio.create_task(self._beat())
        self.record.add("replica_started", replica=self.id, version=self.version)

    @property
    def address(self) -> str:
        """The replica's ``host:port``."""
        return f"{self.host}:{self.server.port}"

    @property
    def has_hold(self) -> bool:
        """Whether a reservation is open."""
        return any(until > time.monotonic() for until in self._holds.values())

    def crash(self) -> None:
        """End as a killed process does."""
        self._beating.cancel()
        self.server.crash()
        self.record.add("replica_crashed", replica=self.id)

    def write_entry(self) -> bool:
        """Write the entry; return whether the store has accepted it."""
        self._sequence += 1
        return self.store.beat(self.id, self._entry())

    def _entry(self) -> dict:
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        if self.stage is not None:
            models = [{"name": "m", "version": 1, "adapters": []}]
            entry |= {"stage": self.stage, "models": models}
        return entry

    async def _beat(self) -> None:
        while True:
            if self.listed:
                self.write_entry()
            await asyncio.sleep(self.store.heartbeat_s)

    async def _send(self, exchange: Exchange, status: int, headers=None, body=b""):
        await exchange.send(status, {**(headers or {}), **self._notices()}, body)

    def _notices(self) -> dict[str, str]:
        return {"Server-Leaving": "1"} if self.leaving else {}

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            await self._send(exchange, 421, {"X-Instance-Id": self.id})
            return
        path = request.target.partition("?")[0]
        if path == "/v1/report":
            await self._report(exchange)
        elif path == "/v1/hold-take":
            await self._take_hold(exchange)
        elif path.startswith("/v1/hold-drop/"):
            self._holds.pop(path.rsplit("/", 1)[1], None)
            await self._send(exchange, 200)
        elif path.startswith("/v1/kv-handle/"):
            name = f"{self.address}/{path.rsplit('/', 1)[1]}"
            self.handles.pop(name, None)
            await self._send(exchange, 200)
        elif path == "/v1/order":
            await self._order(exchange)
        elif "x-request-id" not in request.headers:
            await self._send(exchange, 400, NOT_EXECUTED)
        else:
            await self._work(exchange)

    async def _report(self, exchange: Exchange) -> None:
        body = {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self._orders,
            "born": self.born,
        }
        await self._send(exchange, 200, JSON, json.dumps(body).encode())

    async def _take_hold(self, exchange: Exchange) -> None:
        asked = json.loads(exchange.request.body)
        hold = secrets.token_hex(6)
        self._holds[hold] = time.monotonic() + asked["ttlMs"] / 1000
        body = json.dumps({"hold": hold, "born": self.born}).encode()
        await self._send(exchange, 200, JSON, body)

    async def _order(self, exchange: Exchange) -> None:
        """Refuse: the cases need no change of stage."""
        self.record.add("order", replica=self.id, body=exchange.request.body.decode())
        await self._send(exchange, 409)

    def _stamp(self, exchange: Exchange) -> dict[str, str]:
        request_id = exchange.request.headers["x-request-id"]
        stamp = f"{self.id}.{request_id}"
        return {"X-Request-Id": request_id, "X-Server-Stamp": stamp, **self._notices()}

    async def _work(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        request_id = headers["x-request-id"]
        prefill = headers.get("x-stage") == "prefill"
        if self.stage is not None and prefill != (self.stage == "prefill"):
            await self._send(exchange, 421, NOT_EXECUTED)
            return
        self.record.add(
            "prefill" if prefill else "run",
            request=request_id,
            replica=self.id,
            version=self.version,
            resume_after=headers.get("last-event-id", ""),
        )
        if prefill:
            await self._prefill(exchange)
        elif self.stage is None:
            await asyncio.sleep(self.work_s * self.slow)
            body = request_id.encode()
            await self._send(exchange, 200, self._stamp(exchange), body)
        elif self.endless_errors:
            self.endless_errors -= 1
            await self._endless_error(exchange)
        else:
            await self._stream(exchange)
        event = "prefill_done" if prefill else "run_done"
        self.record.add(event, request=request_id, replica=self.id)

    async def _prefill(self, exchange: Exchange) -> None:
        tokens = int(exchange.request.headers["x-token-count"].split(",")[0])
        now = time.monotonic()
        begin = max(now, self._prefill_free_at)
        self._prefill_free_at = begin + self.slow * tokens / PREFILL_TOKENS_PER_S
        await asyncio.sleep(self._prefill_free_at - now)
        handle = secrets.token_hex(6)
        self.handles[f"{self.address}/{handle}"] = time.monotonic() + HANDLE_TTL_S
        body = {"kvHandle": handle, "tokens": tokens, "version": 1}
        headers = {"X-Request-Id": exchange.request.headers["x-request-id"], **JSON}
        await self._send(exchange, 200, headers, json.dumps(body).encode())

    async def _stream(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        prompt, output = (int(item) for item in headers["x-token-count"].split(","))
        self._holds.pop(headers.get("x-kv-hold", ""), None)
        source = headers.get("x-kv-source")
        if source is None:
            await asyncio.sleep(2 * self.slow * prompt / PREFILL_TOKENS_PER_S)
        elif self.handles.pop(source, 0.0) < time.monotonic():
            await self._send(exchange, 503, NOT_EXECUTED)
            return
        await exchange.start_chunks(200, self._stamp(exchange))
        last = -(-output // STRIDE)
        for number in range(int(headers.get("last-event-id") or 0) + 1, last + 1):
            await asyncio.sleep(STEP_S * STRIDE * self.slow)
            text = f"{headers['x-request-id']} {self.version} {self.id} of {last}"
            await exchange.chunk(f"id: {number}\ndata: {text}\n\n".encode())
        await exchange.chunk(b"")

    async def _endless_error(self, exchange: Exchange) -> None:
        """Answer with an error whose body has no end, until the caller closes."""
        self.record.add("endless_body_begins", replica=self.id)
        await exchange.start_chunks(500, self._stamp(exchange))
        while True:
            await exchange.chunk(b"x" * 60_000)
            await asyncio.sleep(0)
