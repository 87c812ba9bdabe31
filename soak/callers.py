"""Callers of the soak: they resolve and cache addresses and record outcomes."""

import asyncio
import contextlib
import json
import random
from dataclasses import dataclass, field

from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout

from demo.published_fleet import (
    COMPLETIONS_PORT,
    HOST_NAME,
    STREAM_SERVICE,
    STRIDE,
    PublishedFleet,
)

EVENTS = 12
CALL_TIMEOUT_S = 6.0
ADDRESS_TTL_S = 1.5
KINDS = ("stream", "book", "look", "completion")
# Attempts to take up a stream that broke off, and the pause before each.
TAKE_UPS_MAX = 2
TAKE_UP_PAUSE_S = 0.3
# Share of the streams whose prompt has the part that crashes replicas at times.
DEADLY_SHARE = 0.5
DEADLY_PART = "dead01"
SHARED_PART = "f1f1"
# Share of the calls whose caller disconnects in the middle of a long stream.
DISCONNECT_SHARE = 0.1
DISCONNECT_AFTER_S = 0.4
LONG_TOKENS = 22_000
# Statuses of requests without a complete answer: not sent, and interrupted.
UNSENT = -1
CUT = 0


@dataclass(frozen=True)
class Outcome:
    """Result of one request; the status may be UNSENT or CUT.

    ``good`` is false if the status is 200 and the answer is wrong or incomplete, or if
    a stream holds events of several versions, also over attempts that took it up.
    """

    id: str
    kind: str
    front: str
    status: int
    good: bool
    ended: float


@dataclass
class Resolver:
    """The addresses that callers share, resolved anew once they have expired."""

    fleet: PublishedFleet
    daemons: int
    rng: random.Random
    _addresses: list[str] = field(default_factory=list)
    _resolved_at: float = float("-inf")

    async def front(self) -> str | None:
        """Return one of the addresses, None if there are none."""
        now = asyncio.get_running_loop().time()
        if now - self._resolved_at > ADDRESS_TTL_S:
            self._resolved_at = now
            await self._resolve()
        return self.rng.choice(self._addresses) if self._addresses else None

    async def _resolve(self) -> None:
        """Resolve at up to three daemons in random order, as real callers do."""
        numbers = list(range(1, self.daemons + 1))
        self.rng.shuffle(numbers)
        for number in numbers[:3]:
            with contextlib.suppress(ClientError, OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    self._addresses = await self.fleet.addresses(number)
                    return


@dataclass
class Callers:
    """Concurrent callers with shared addresses, and all their outcomes."""

    fleet: PublishedFleet
    daemons: int
    rng: random.Random
    deadly_share: float = DEADLY_SHARE
    outcomes: list[Outcome] = field(default_factory=list)
    _number: int = 0

    def __post_init__(self):
        self._resolver = Resolver(self.fleet, self.daemons, self.rng)

    async def run(self, count: int, stopping: asyncio.Event) -> None:
        """Call until ``stopping`` is set."""
        async with ClientSession(timeout=ClientTimeout(CALL_TIMEOUT_S)) as session:
            # Disables the client's own retries: each request is sent at most once.
            session._retry_connection = False
            await asyncio.gather(
                *(self._call_repeatedly(session, stopping) for _ in range(count))
            )

    async def _call_repeatedly(self, session: ClientSession, stopping: asyncio.Event):
        while not stopping.is_set():
            front = await self._resolver.front()
            if front is not None and self.rng.random() < DISCONNECT_SHARE:
                await self._disconnect_from_stream(session, front)
            elif front is not None:
                kind = self.rng.choice(KINDS)
                self.outcomes.append(await self.call(session, front, kind))
            await asyncio.sleep(self.rng.uniform(0.01, 0.1))

    def _headers(self) -> dict[str, str]:
        """Return the headers of the next request, with a unique id."""
        self._number += 1
        return {
            "Host": HOST_NAME,
            "X-Request-Id": f"s{self._number}",
            "X-Deadline-Ms": str(round(CALL_TIMEOUT_S * 1000)),
        }

    async def _disconnect_from_stream(self, session: ClientSession, front: str) -> None:
        """Disconnect from a stream of over a minute; its replica must be freed."""
        headers = self._headers()
        headers["X-Deadline-Ms"] = "120000"
        headers["X-Token-Count"] = f"800,{LONG_TOKENS}"
        headers["X-Length-Hint"] = str(11 * EVENTS)
        url = f"http://{front}/first/stream/x"
        with contextlib.suppress(ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(DISCONNECT_AFTER_S),
                session.post(url, headers=headers) as response,
            ):
                await response.read()

    async def call(self, session: ClientSession, front: str, kind: str) -> Outcome:
        """Send one request and check its answer."""
        if kind == "completion":
            return await self._complete(session, front)
        if kind == "stream":
            return await self._stream(session, front)
        headers = self._headers()
        request_id = headers["X-Request-Id"]
        method = "POST" if kind != "look" else "GET"
        status, body = CUT, b""
        try:
            async with session.request(
                method, f"http://{front}/first/{kind}/x", headers=headers
            ) as response:
                body = await response.read()
                status = response.status
        except ClientConnectorError:
            status = UNSENT
        except (ClientError, OSError, TimeoutError):
            status = CUT
        good = status != 200 or body == request_id.encode()
        ended = asyncio.get_running_loop().time()
        return Outcome(request_id, kind, front, status, good, ended)

    async def _stream(self, session: ClientSession, front: str) -> Outcome:
        """Request a stream; take it up elsewhere if it breaks off."""
        headers = self._headers()
        headers["X-Token-Count"] = f"800,{11 * EVENTS}"
        headers["X-Prefix-Hash"] = self._parts()
        request_id = headers["X-Request-Id"]
        target = f"/first/stream/{request_id}"
        received = ReceivedStream()
        status = await received.read(session, f"http://{front}{target}", headers)
        for _ in range(TAKE_UPS_MAX):
            front = await self._resolver.front() or front
            if status == 200 or received.last == 0:
                break
            await asyncio.sleep(TAKE_UP_PAUSE_S)
            resumed = {"Resumes": request_id, "Last-Event-Id": str(received.last)}
            headers = {**headers, **self._headers(), **resumed}
            url = f"http://{front}{target}"
            status = await received.read(session, url, headers)
        whole = status != 200 or received.last == EVENTS
        good = whole and received.in_order and len(received.versions) <= 1
        ended = asyncio.get_running_loop().time()
        return Outcome(request_id, "stream", front, status, good, ended)

    def _parts(self) -> str:
        deadly = self.rng.random() < self.deadly_share
        second = DEADLY_PART if deadly else f"{self._number:x}"
        return f"{SHARED_PART}:200,{second}:200,{self._number:x}ff:400"

    async def _complete(self, session: ClientSession, front: str) -> Outcome:
        """Request a streamed completion; one that the daemon aborts counts as CUT."""
        host = front.partition(":")[0]
        body = {"model": STREAM_SERVICE, "prompt": "x" * 3200, "stream": True}
        body["max_tokens"] = STRIDE * EVENTS
        request_id, status, data = "", CUT, b""
        try:
            async with session.post(
                f"http://{host}:{COMPLETIONS_PORT}/v1/completions", json=body
            ) as response:
                request_id = response.headers.get("x-request-id", "")
                data = await response.read()
                status = response.status
        except ClientConnectorError:
            status = UNSENT
        except (ClientError, OSError, TimeoutError):
            status = CUT
        good = status != 200 or _is_whole_completion(request_id, data)
        ended = asyncio.get_running_loop().time()
        return Outcome(request_id, "completion", front, status, good, ended)


@dataclass
class ReceivedStream:
    """The events that a caller has of one stream, over all of its attempts."""

    last: int = 0
    in_order: bool = True
    versions: set[str] = field(default_factory=set)

    async def read(
        self, session: ClientSession, url: str, headers: dict[str, str]
    ) -> int:
        """Read the events of one attempt; return its status."""
        status, data = CUT, b""
        try:
            async with session.post(url, headers=headers) as response:
                async for chunk in response.content.iter_any():
                    data += chunk if response.status == 200 else b""
                status = response.status
        except ClientConnectorError:
            status = UNSENT
        except (ClientError, OSError, TimeoutError):
            status = CUT
        for event in data.decode().split("\n\n")[:-1]:
            self._add(event, headers["X-Request-Id"])
        return status

    def _add(self, event: str, request_id: str) -> None:
        fields = dict(line.split(": ", 1) for line in event.splitlines())
        follows = int(fields["id"]) == self.last + 1
        self.in_order &= follows and fields["data"] == request_id
        self.last = int(fields["id"])
        self.versions.add(fields["version"])


def _is_whole_completion(request_id: str, data: bytes) -> bool:
    """Return whether a completion has all its events and its end marker."""
    *events, end, _ = data.decode().split("\n\n")
    choices = [json.loads(event.removeprefix("data: "))["choices"] for event in events]
    text = "".join(choice["text"] for item in choices for choice in item)
    return end == "data: [DONE]" and text == request_id * EVENTS
