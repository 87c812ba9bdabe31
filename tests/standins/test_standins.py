"""Tests of the stand-ins over HTTP: behaviour that the daemons' tests rely on."""

import asyncio

import pytest
from aiohttp import ServerDisconnectedError
from aiohttp.test_utils import TestClient, TestServer

from standins import engine, platform, service
from standins.engine_state import EngineSettings
from standins.priority_lock import PriorityLock
from standins.tokens import answer_text


async def post(client, path, **body):
    """Post JSON; return the status and the answer, or None if that is not JSON."""
    async with client.post(path, json=body) as response:
        is_json = response.content_type == "application/json"
        return response.status, await response.json() if is_json else None


def write(version: int, value) -> dict:
    """Return a transaction that writes one row."""
    row = {"table": "t", "key": "k"}
    return {
        "conditions": [{**row, "version": version}],
        "writes": [{**row, "value": value}],
    }


async def platform_client() -> TestClient:
    """Return a client of a new platform."""
    client = TestClient(TestServer(platform.create_app()))
    await client.start_server()
    return client


async def engine_client(**settings) -> TestClient:
    """Return a client of a new engine."""
    app = engine.create_app(EngineSettings(**settings))
    client = TestClient(TestServer(app))
    await client.start_server()
    return client


async def test_transactions_are_conditional_and_versions_are_not_reused():
    client = await platform_client()
    _, first = await post(client, "/transactions", **write(0, {"a": 1}))
    _, conflict = await post(client, "/transactions", **write(0, {"a": 2}))
    assert conflict["rows"][0]["value"] == {"a": 1}
    _, deleted = await post(client, "/transactions", **write(first["version"], None))
    _, again = await post(client, "/transactions", **write(0, {"a": 3}))
    assert first["version"] < deleted["version"] < again["version"]
    await client.close()


async def test_an_outage_and_a_lost_answer_can_be_injected():
    client = await platform_client()
    await post(client, "/control", outage=True)
    assert (await client.get("/tables/t/rows/k")).status == 503
    await post(client, "/control", outage=False, lose_answers=1)
    with pytest.raises(ServerDisconnectedError):
        await post(client, "/transactions", **write(0, {"a": 1}))
    row = await (await client.get("/tables/t/rows/k")).json()
    assert row["value"] == {"a": 1}
    await client.close()


def prefill_body(request_id: str, prompt: str = "a prompt") -> dict:
    """Return a prefill order."""
    return {
        "request_id": request_id,
        "incarnation": "i",
        "prompt": prompt,
        "generated": "",
        "priority": 0,
    }


async def test_an_export_expires_and_frees_its_memory():
    client = await engine_client(export_life_s=0.05)
    _, export = await post(client, "/v1/prefill", **prefill_body("r"))
    path = f"/v1/exports/{export['export_id']}"
    assert (await client.get(path)).status == 200
    while (await client.get(path)).status != 410:
        await asyncio.sleep(0.01)
    assert (await (await client.get("/v1/work")).json())["work"] == []
    await client.close()


async def test_a_decode_streams_the_tokens_of_its_prompt_and_frees_its_memory():
    client = await engine_client(step_s=0.001)
    _, export = await post(client, "/v1/prefill", **prefill_body("r"))
    export["engine_url"] = str(client.make_url("")).rstrip("/")
    body = {"request_id": "d", "incarnation": "i", "pieces": 1, "export": export}
    assert (await post(client, "/v1/import", **body))[0] == 200
    order = {"request_id": "d", "prompt": "a prompt", "start": 0, "max_tokens": 5}
    async with client.post("/v1/decode", json=order) as response:
        lines = (await response.text()).splitlines()
    assert len(lines) == 6
    assert all(
        text in lines[n] for n, text in enumerate(answer_text("a prompt", 5).split())
    )
    _, cancelled = await post(client, "/v1/cancel", request_id="d")
    assert cancelled == {"held": False}
    await client.close()


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
async def test_stale_fencing_tokens_are_refused_if_checked(checks, status):
    client = await engine_client(checks_fencing=checks)
    await post(client, "/v1/orders", fencing=2, action="role", argument="decode")
    old = await post(client, "/v1/orders", fencing=1, action="role", argument="x")
    assert old[0] == status
    await client.close()


async def test_dropped_cache_events_leave_gaps_in_the_sequence():
    client = await engine_client(drop_every_event=2, event_lag_s=0.0)
    for number in range(4):
        await post(client, "/v1/prefill", **prefill_body(f"r{number}", f"p{number}"))
    events = (await (await client.get("/v1/events?after=0")).json())["events"]
    assert [event["sequence"] for event in events] == [1, 3]
    await client.close()


async def test_the_lock_is_granted_by_priority():
    lock = PriorityLock()
    order = []

    async def use(name: str, priority: int) -> None:
        async with lock.acquire(priority):
            order.append(name)
            await asyncio.sleep(0)

    await asyncio.gather(use("first", 1), use("late", 1), use("urgent", 0))
    assert order == ["first", "urgent", "late"]


async def test_a_service_counts_executions():
    client = TestClient(TestServer(service.create_app("s")))
    await client.start_server()
    for _ in range(2):
        await client.post("/x", headers={"Idempotency-Key": "k"})
    _, counted = await post(client, "/control")
    assert counted == {"executions": {"k": 2}}
    await client.close()
