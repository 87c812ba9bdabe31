"""Demonstration of the routing daemons over the published protocol."""

import asyncio
import json

from aiohttp import ClientError

from demo.fleet import own_network
from demo.published_fleet import HOST_NAME, STREAM_SERVICE, STRIDE, PublishedFleet

EVENTS = 10
DAEMONS = 3


async def demonstrate() -> list[str]:
    """Run the steps and print what each returned; return the failed ones."""
    failures: list[str] = []

    def check(step: str, shown: object, good: bool) -> None:
        print(f"{'ok  ' if good else 'BAD '} {step}: {shown}", flush=True)
        if not good:
            failures.append(step)

    async with PublishedFleet(own_network()) as fleet:
        await fleet.start(daemons=DAEMONS)
        addresses = await _resolve_all(fleet)
        check("addresses", addresses, len(addresses) == DAEMONS)
        for number, kind in ((1, "book"), (2, "look")):
            status, body = await _send_request(fleet, number, kind)
            check(f"{kind} through daemon {number}", status, body == b"demo")
        status, body = await _send_request(fleet, 3, "stream")
        events = body.count(b"id: ")
        check("stream through daemon 3", f"{events} events", events == EVENTS)
        fleet.get("decode-1").process.kill()
        status, body = await _send_request(fleet, 1, "stream")
        events = body.count(b"id: ")
        check("stream after a replica was killed", f"{events} events", events == EVENTS)
        texts = await _stream_completion(fleet, 2)
        check("streamed completion through daemon 2", len(texts), len(texts) == EVENTS)
        await fleet.fail_store(mode="silent")
        status, _ = await _send_request(fleet, 2, "look")
        check("look during a store outage", status, status == 200)
    return failures


async def _resolve_all(fleet: PublishedFleet) -> list[str]:
    """Resolve until the addresses of all daemons are returned."""
    async with asyncio.timeout(20):
        while len(found := await fleet.addresses(1)) < DAEMONS:
            await asyncio.sleep(0.1)
    return found


async def _stream_completion(fleet: PublishedFleet, number: int) -> list[str]:
    """Stream a completion; return the texts of its chunks, none if incomplete."""
    body = {"model": STREAM_SERVICE, "prompt": "A neck reset", "stream": True}
    body["max_tokens"] = STRIDE * EVENTS
    texts = []
    url = f"{fleet.completions(number)}/completions"
    async with fleet.session.post(url, json=body) as response:
        async for line in response.content:
            if line == b"data: [DONE]\n":
                return texts
            if line.startswith(b"data: "):
                parts = json.loads(line[6:])["choices"]
                texts += [part["text"] for part in parts if part["text"]]
    return []


async def _send_request(
    fleet: PublishedFleet, number: int, kind: str
) -> tuple[int, bytes]:
    headers = {"Host": HOST_NAME, "X-Request-Id": "demo", "X-Deadline-Ms": "5000"}
    if kind == "stream":
        headers["X-Token-Count"] = f"3200,{STRIDE * EVENTS}"
    url = f"http://{fleet.front(number)}/first/{kind}/x"
    try:
        async with fleet.session.post(url, headers=headers) as response:
            return response.status, await response.read()
    except (ClientError, OSError) as error:
        return 0, repr(error).encode()
