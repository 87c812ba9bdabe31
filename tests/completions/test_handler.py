"""The completions front, asked by OpenAI's own client over real sockets."""

import asyncio

import openai
import pytest
import pytest_asyncio

from marjoramstile.completions.handler import CompletionsHandler
from marjoramstile.platform.headers import generation_headers
from marjoramstile.routes.table import RoutedService, RouteKind, RoutingTable
from tests.fronts.support import Site
from tests.platform.support import HOST
from tests.routes.support import ENGINE, LLM, PLAIN, route

ONCE = "once"
TOKENS = 110
EVENTS = TOKENS // ENGINE.stride


@pytest_asyncio.fixture
async def site():
    """Run the front with a model that may be resumed; any prefix leads to it."""
    result = Site()
    handler = CompletionsHandler(
        result.entry, lambda: result.table, result.bodies, generation_headers
    )
    async with result.serve(handler.handle):
        yield result


def not_resumable(site: Site) -> None:
    """Let the model be run by one replica only."""
    used = route(
        RouteKind.STREAM, prefix="/once/", resumable=False, max_attempts=1, name="o"
    )
    table = site.table
    site.table = RoutingTable(2, (used,), table.services, table.limits)


@pytest_asyncio.fixture
async def client(site):
    """OpenAI's client as it comes, with its own repeats."""
    url = f"http://{HOST}:{site.port}/v1"
    async with openai.AsyncOpenAI(api_key="none", base_url=url, timeout=20) as client:
        yield client


def ask(client, prompt: str = "a neck reset", **fields):
    """Ask for a text."""
    return client.completions.create(
        model=LLM, prompt=prompt, max_tokens=TOKENS, **fields
    )


async def collect(stream, texts: list[str]) -> None:
    """Add the texts of a stream as they come."""
    async for part in stream:
        texts.extend(choice.text for choice in part.choices)


def runs(site) -> int:
    """Return how often replicas ran anything."""
    return sum(site.core.pool.runs.values())


def running(site) -> int:
    """Return the generations that run at replicas now."""
    return sum(len(fake.running) for fake in site.core.pool.replicas.values())


async def test_a_text_comes_whole(site, client):
    answer = await ask(client)
    choice = answer.choices[0]
    assert choice.text == answer.id * EVENTS
    assert choice.finish_reason == "length"
    assert (answer.object, answer.model) == ("text_completion", LLM)
    assert answer.usage.completion_tokens == TOKENS
    assert answer.usage.prompt_tokens == 3
    assert answer.usage.total_tokens == TOKENS + 3
    assert answer._request_id == answer.id
    assert runs(site) == 1


async def test_a_text_comes_in_parts(site, client):
    parts = [part async for part in await ask(client, stream=True)]
    texts = [part.choices[0].text for part in parts]
    assert "".join(texts) == parts[0].id * EVENTS
    assert len(parts) == EVENTS + 1
    assert parts[-1].choices[0].finish_reason == "length"
    assert {part.id for part in parts} == {parts[0].id}


async def test_a_chat_comes_whole_and_in_parts(client):
    asked = {
        "model": LLM,
        "messages": [{"role": "user", "content": "a neck reset"}],
        "max_completion_tokens": TOKENS,
    }
    answer = await client.chat.completions.create(**asked)
    assert answer.choices[0].message.content == answer.id * EVENTS
    stream = await client.chat.completions.create(
        **asked, stream=True, stream_options={"include_usage": True}
    )
    parts = [part async for part in stream]
    texts = [part.choices[0].delta.content for part in parts[:-1]]
    assert "".join(texts) == parts[0].id * EVENTS
    assert parts[-1].choices == []
    assert parts[-1].usage.completion_tokens == TOKENS


async def test_models_are_the_language_services(client):
    listed = await client.models.list()
    assert [model.id for model in listed.data] == [LLM]
    assert (await client.models.retrieve(LLM)).id == LLM
    with pytest.raises(openai.NotFoundError) as raised:
        await client.models.retrieve(PLAIN)
    assert raised.value.code == "model_not_found"


async def test_a_faulty_request_is_told_its_field_and_not_repeated(site, client):
    with pytest.raises(openai.NotFoundError):
        await client.completions.create(model="none", prompt="x")
    with pytest.raises(openai.BadRequestError) as raised:
        await client.completions.create(model=LLM, prompt="x", max_tokens=0)
    assert raised.value.param == "max_tokens"
    with pytest.raises(openai.APIStatusError) as raised:
        await ask(client, prompt="x" * 2000)
    assert raised.value.status_code == 413
    assert runs(site) == 0


async def test_a_refusal_says_when_to_come_back_and_nothing_ran(site, client):
    for fake in site.core.pool.replicas.values():
        site.core.directory.remove(fake.replica.id, 0.0, 1.0)
    with pytest.raises(openai.InternalServerError) as raised:
        await ask(client.with_options(max_retries=0))
    assert (raised.value.status_code, raised.value.code) == (503, "no_replica")
    headers = raised.value.response.headers
    assert headers["x-should-retry"] == "true"
    assert float(headers["retry-after"]) > 0
    assert headers["x-request-id"]
    assert runs(site) == 0


async def test_work_that_may_have_run_is_not_sent_again(site, client):
    not_resumable(site)
    for fake in site.core.pool.replicas.values():
        fake.faults.break_after_events = 0
    with pytest.raises(openai.APIStatusError) as raised:
        await ask(client)
    assert raised.value.status_code == 502
    assert raised.value.code == "outcome_unknown"
    assert runs(site) == 1


async def test_a_stream_that_breaks_off_is_an_error_and_never_whole(site, client):
    not_resumable(site)
    for fake in site.core.pool.replicas.values():
        fake.faults.break_after_events = 3
    texts = []
    stream = await ask(client, stream=True)
    with pytest.raises(openai.APIError) as raised:
        await collect(stream, texts)
    assert "broke off" in raised.value.message
    assert len(texts) == 3
    assert runs(site) == 1


async def test_the_bytes_of_a_broken_stream_have_no_end(site):
    not_resumable(site)
    for fake in site.core.pool.replicas.values():
        fake.faults.break_after_events = 3
    body = b'{"model": "llm", "prompt": "x", "max_tokens": 110, "stream": true}'
    head = b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    received = await site.exchange(head % len(body) + body)
    assert received.startswith(b"HTTP/1.1 200")
    assert b"[DONE]" not in received
    assert not received.endswith(b"0\r\n\r\n")


async def test_a_broken_stream_goes_on_elsewhere(site, client):
    replicas = site.core.pool.replicas.values()

    def break_first(request_id: str) -> None:
        if site.core.pool.runs[request_id] == 1:
            for fake in replicas:
                fake.faults.break_after_events = 3 if fake.running else None

    site.core.pool.on_run = break_first
    parts = [part async for part in await ask(client, stream=True)]
    assert "".join(p.choices[0].text for p in parts) == parts[0].id * EVENTS
    assert parts[-1].choices[0].finish_reason == "length"
    assert runs(site) == 2


async def test_a_client_that_closes_a_stream_frees_the_replicas(site, client):
    for fake in site.core.pool.replicas.values():
        fake.faults.hang = True
    asked = asyncio.create_task(ask(client, stream=True))
    async with asyncio.timeout(5):
        while not running(site):
            await asyncio.sleep(0.01)
        asked.cancel()
        while running(site) or site.core.leases:
            await asyncio.sleep(0.01)


async def test_a_daemon_without_configuration_asks_for_patience(site, client):
    table, site.table = site.table, None
    asked = asyncio.create_task(ask(client))
    await asyncio.sleep(0.2)
    site.table = table
    answer = await asyncio.wait_for(asked, 10)
    assert answer.choices[0].text == answer.id * EVENTS


async def test_an_answer_without_room_is_given_up_and_holds_nothing(site, client):
    """A replica may send events without end, also to a caller who wants them whole."""
    site.buffers.reserve(99_800)
    with pytest.raises(openai.APIStatusError) as raised:
        await ask(client)
    assert (raised.value.status_code, raised.value.code) == (502, "answer_too_long")
    assert runs(site) == 1
    async with asyncio.timeout(2):
        while running(site) or site.core.leases:
            await asyncio.sleep(0.01)
    assert site.buffers.used == 99_800


async def test_a_path_that_is_not_known_is_not_found(site):
    for line in (b"GET /v1/files", b"GET /v1/completions", b"POST /v1/models"):
        request = b"%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" % line
        assert (await site.exchange(request)).startswith(b"HTTP/1.1 404")


async def test_a_plain_service_is_no_model(site, client):
    site.table.services["other"] = RoutedService("other", ENGINE)
    for model in (PLAIN, "other"):
        with pytest.raises(openai.NotFoundError):
            await client.completions.create(model=model, prompt="x")


async def test_a_hundred_at_once_on_two_decode_replicas_are_served(site, client):
    """Load: 100 callers at the same moment; room for 48 generations at once."""
    answers = await asyncio.wait_for(
        asyncio.gather(
            *(ask(client, prompt=f"estimate {number}") for number in range(100))
        ),
        20,
    )
    assert all(item.choices[0].text == item.id * EVENTS for item in answers)
    assert runs(site) == 100
