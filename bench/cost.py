"""Compares the cost of requests through a daemon with direct ones.

``python -m bench.cost`` starts stand-ins and one daemon as processes, sends the same
requests alternately to the stand-ins and through the daemon, and prints ratios.
"""

import asyncio
import json
import os
import time
from functools import partial
from pathlib import Path
from statistics import median
from typing import Any

from demo.fleet import WORKSPACE_KEY, Fleet, own_network

REQUESTS = 20
TOKEN_COUNTS = (10, 40, 160)
STEP_S = 0.003
STREAMS = 18
STREAM_TOKENS = 400
STREAM_STEP_S = 0.01
WARM_UP = 5
HEADERS = {"Authorization": f"Bearer {WORKSPACE_KEY}"}
PROMPT = "Estimate for a fret dress"


async def direct_completion(fleet: Fleet, number: int, tokens: int) -> None:
    """Prefill, import and decode directly at the stand-ins."""
    request_id = f"direct-{tokens}-{number}"
    prefill_url = fleet.engine_url("prefill", 1)
    decode_url = fleet.engine_url("decode", 1)
    common = {"request_id": request_id, "incarnation": "bench", "prompt": PROMPT}
    order = {**common, "generated": "", "priority": 0}
    export = await _post(fleet, f"{prefill_url}/v1/prefill", order)
    export["engine_url"] = prefill_url
    body = {**common, "pieces": 1, "export": export}
    await _post(fleet, f"{decode_url}/v1/import", body)
    order = {**common, "start": 0, "max_tokens": tokens, "priority": 0}
    async with fleet.session.post(f"{decode_url}/v1/decode", json=order) as response:
        await response.read()


async def routed_completion(fleet: Fleet, number: int, tokens: int) -> None:
    """Stream a completion through the daemon."""
    body = {
        "model": "lexis-pool",
        "prompt": PROMPT,
        "max_tokens": tokens,
        "stream": True,
    }
    url = f"{fleet.callers_url(1)}/v1/completions"
    async with fleet.session.post(url, json=body, headers=HEADERS) as response:
        assert (await response.read()).endswith(b"data: [DONE]\n\n")


async def direct_call(fleet: Fleet, number: int) -> None:
    """Call the plain service directly."""
    async with fleet.session.get(f"{fleet.service_url(1)}/status") as response:
        await response.read()


async def routed_call(fleet: Fleet, number: int) -> None:
    """Call the plain service through the daemon."""
    url = f"{fleet.callers_url(1)}/v1/services/pagkos-app/status"
    async with fleet.session.get(url, headers=HEADERS) as response:
        await response.read()


async def _post(fleet: Fleet, url: str, body: dict[str, Any]) -> dict[str, Any]:
    async with fleet.session.post(url, json=body) as response:
        return await response.json()


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = (Path("/proc") / str(pid) / "stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def cost_per_token(fleet: Fleet) -> dict[str, Any]:
    """Run concurrent streams; return the daemon's CPU time per token."""
    await fleet.control(fleet.engine_url("decode", 1), step_s=STREAM_STEP_S)
    pid = fleet.get("vm-1").process.pid
    before = cpu_s(pid)
    await asyncio.gather(
        *(routed_completion(fleet, n, STREAM_TOKENS) for n in range(STREAMS))
    )
    used = cpu_s(pid) - before
    return {
        "what": f"{STREAMS} streams at once",
        "daemon_cpu_us_per_token": round(used / STREAMS / STREAM_TOKENS * 1e6, 1),
    }


def rss_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    pages = int((Path("/proc") / str(pid) / "statm").read_text().split()[1])
    return round(pages * os.sysconf("SC_PAGE_SIZE") / 2**20, 1)


async def compare(fleet: Fleet, name: str, direct, routed) -> dict[str, Any]:
    """Run direct and routed requests alternately; compare their median latencies."""
    pid = fleet.get("vm-1").process.pid
    times: dict[str, list[float]] = {"direct": [], "routed": []}
    for number in range(WARM_UP):
        await direct(fleet, -number - 1)
        await routed(fleet, number)
    before = cpu_s(pid)
    for number in range(REQUESTS):
        for way, action in (("direct", direct), ("routed", routed)):
            started = time.perf_counter()
            await action(fleet, number)
            times[way].append(time.perf_counter() - started)
    used = cpu_s(pid) - before
    direct_s, routed_s = median(times["direct"]), median(times["routed"])
    return {
        "what": name,
        "latency_ratio": round(routed_s / direct_s, 2),
        "added_ms": round((routed_s - direct_s) * 1000, 2),
        "daemon_cpu_ms_per_request": round(used / REQUESTS * 1000, 2),
    }


async def main() -> None:
    """Start the fleet and print one JSON line per measurement."""
    async with Fleet(own_network()) as fleet:
        await fleet.start_all((1,), prefills=1, decodes=1)
        for kind in ("prefill", "decode"):
            await fleet.control(fleet.engine_url(kind, 1), step_s=STEP_S)
        for tokens in TOKEN_COUNTS:
            direct = partial(direct_completion, tokens=tokens)
            routed = partial(routed_completion, tokens=tokens)
            name = f"completion of {tokens} tokens"
            print(json.dumps(await compare(fleet, name, direct, routed)))
        compared = await compare(fleet, "idempotent call", direct_call, routed_call)
        print(json.dumps(compared))
        print(json.dumps(await cost_per_token(fleet)))
        print(json.dumps({"daemon_rss_mib": rss_mib(fleet.get("vm-1").process.pid)}))


if __name__ == "__main__":
    asyncio.run(main())
