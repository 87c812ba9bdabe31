"""The completions front, called by OpenAI's own client over real sockets."""

import asyncio

import openai
import pytest
import pytest_asyncio

from marjoramstile.completions.handler import CompletionsHandler
from marjoramstile.platform.headers import generation_headers
from marjoramstile.routes.table import RoutedService, RouteKind, RoutingTable
from tests.fronts.support import FrontHarness
from tests.platform.support import HOST
from tests.routes.support import ENGINE, LLM, PLAIN, route

ONCE = "once"
TOKENS = 110
EVENTS = TOKENS // ENGINE.stride


@pytest_asyncio.fixture
async def harness():
    """Run the completions front over a model whose first route allows resumption.

    Requests reach the model whatever the prefix of its route is.
    """
    result = FrontHarness()
    handler = CompletionsHandler(
        result.entry, lambda: result.table, result.bodies, generation_headers
    )
    async with result.serve(handler.handle):
        yield result


def allow_one_attempt(harness: FrontHarness) -> None:
    """Replace the routes by one that allows a single attempt and no resumption."""
    limited = route(
        RouteKind.STREAM, prefix="/once/", resumable=False, max_attempts=1, name="o"
    )
    table = harness.table
    harness.table = RoutingTable(2, (limited,), table.services, table.limits)


@pytest_asyncio.fixture
async def client(harness):
    """OpenAI's client with its default retries."""
    url = f"http://{HOST}:{harness.port}/v1"
    async with openai.AsyncOpenAI(api_key="none", base_url=url, timeout=20) as client:
        yield client


def create_completion(client, prompt: str = "a neck reset", **fields):
    """Request a text completion."""
    return client.completions.create(
        model=LLM, prompt=prompt, max_tokens=TOKENS, **fields
    )


async def collect(stream, texts: list[str]) -> None:
    """Append the texts of a stream as they arrive."""
    async for chunk in stream:
        texts.extend(choice.text for choice in chunk.choices)


def run_count(harness) -> int:
    """Return how many runs replicas have started."""
    return sum(harness.core.pool.runs.values())


def running_count(harness) -> int:
    """Return the number of generations that run at replicas now."""
    return sum(len(fake.running) for fake in harness.core.pool.replicas.values())


async def test_text_completion_is_returned_whole(harness, client):
    completion = await create_completion(client)
    choice = completion.choices[0]
    assert choice.text == completion.id * EVENTS
    assert choice.finish_reason == "length"
    assert (completion.object, completion.model) == ("text_completion", LLM)
    assert completion.usage.completion_tokens == TOKENS
    assert completion.usage.prompt_tokens == 3
    assert completion.usage.total_tokens == TOKENS + 3
    assert completion._request_id == completion.id
    assert run_count(harness) == 1


async def test_text_completion_is_streamed_in_chunks(harness, client):
    chunks = [chunk async for chunk in await create_completion(client, stream=True)]
    texts = [chunk.choices[0].text for chunk in chunks]
    assert "".join(texts) == chunks[0].id * EVENTS
    assert len(chunks) == EVENTS + 1
    assert chunks[-1].choices[0].finish_reason == "length"
    assert {chunk.id for chunk in chunks} == {chunks[0].id}


async def test_chat_completion_is_returned_whole_and_streamed(client):
    arguments = {
        "model": LLM,
        "messages": [{"role": "user", "content": "a neck reset"}],
        "max_completion_tokens": TOKENS,
    }
    completion = await client.chat.completions.create(**arguments)
    assert completion.choices[0].message.content == completion.id * EVENTS
    stream = await client.chat.completions.create(
        **arguments, stream=True, stream_options={"include_usage": True}
    )
    chunks = [chunk async for chunk in stream]
    texts = [chunk.choices[0].delta.content for chunk in chunks[:-1]]
    assert "".join(texts) == chunks[0].id * EVENTS
    assert chunks[-1].choices == []
    assert chunks[-1].usage.completion_tokens == TOKENS


async def test_only_language_services_are_listed_as_models(client):
    listed = await client.models.list()
    assert [model.id for model in listed.data] == [LLM]
    assert (await client.models.retrieve(LLM)).id == LLM
    with pytest.raises(openai.NotFoundError) as raised:
        await client.models.retrieve(PLAIN)
    assert raised.value.code == "model_not_found"


async def test_invalid_request_is_rejected_and_never_runs(harness, client):
    with pytest.raises(openai.NotFoundError):
        await client.completions.create(model="none", prompt="x")
    with pytest.raises(openai.BadRequestError) as raised:
        await client.completions.create(model=LLM, prompt="x", max_tokens=0)
    assert raised.value.param == "max_tokens"
    with pytest.raises(openai.APIStatusError) as raised:
        await create_completion(client, prompt="x" * 2000)
    assert raised.value.status_code == 413
    assert run_count(harness) == 0


async def test_refusal_carries_retry_after_and_never_runs(harness, client):
    for fake in harness.core.pool.replicas.values():
        harness.core.directory.remove(fake.replica.id, 0.0, 1.0)
    with pytest.raises(openai.InternalServerError) as raised:
        await create_completion(client.with_options(max_retries=0))
    assert (raised.value.status_code, raised.value.code) == (503, "no_replica")
    headers = raised.value.response.headers
    assert headers["x-should-retry"] == "true"
    assert float(headers["retry-after"]) > 0
    assert headers["x-request-id"]
    assert run_count(harness) == 0


async def test_request_that_may_have_run_is_not_retried(harness, client):
    allow_one_attempt(harness)
    for fake in harness.core.pool.replicas.values():
        fake.faults.break_after_events = 0
    with pytest.raises(openai.APIStatusError) as raised:
        await create_completion(client)
    assert raised.value.status_code == 502
    assert raised.value.code == "outcome_unknown"
    assert run_count(harness) == 1


async def test_broken_stream_raises_an_error_at_the_client(harness, client):
    allow_one_attempt(harness)
    for fake in harness.core.pool.replicas.values():
        fake.faults.break_after_events = 3
    texts = []
    stream = await create_completion(client, stream=True)
    with pytest.raises(openai.APIError) as raised:
        await collect(stream, texts)
    assert "broke off" in raised.value.message
    assert len(texts) == 3
    assert run_count(harness) == 1


async def test_broken_stream_has_no_done_event_and_no_last_chunk(harness):
    allow_one_attempt(harness)
    for fake in harness.core.pool.replicas.values():
        fake.faults.break_after_events = 3
    body = b'{"model": "llm", "prompt": "x", "max_tokens": 110, "stream": true}'
    head = b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    received = await harness.exchange(head % len(body) + body)
    assert received.startswith(b"HTTP/1.1 200")
    assert b"[DONE]" not in received
    assert not received.endswith(b"0\r\n\r\n")


async def test_broken_stream_resumes_on_another_replica(harness, client):
    replicas = harness.core.pool.replicas.values()

    def break_first(request_id: str) -> None:
        if harness.core.pool.runs[request_id] == 1:
            for fake in replicas:
                fake.faults.break_after_events = 3 if fake.running else None

    harness.core.pool.on_run = break_first
    chunks = [chunk async for chunk in await create_completion(client, stream=True)]
    assert "".join(p.choices[0].text for p in chunks) == chunks[0].id * EVENTS
    assert chunks[-1].choices[0].finish_reason == "length"
    assert run_count(harness) == 2


async def test_cancelled_client_request_releases_replicas_and_leases(harness, client):
    for fake in harness.core.pool.replicas.values():
        fake.faults.hang = True
    task = asyncio.create_task(create_completion(client, stream=True))
    async with asyncio.timeout(5):
        while not running_count(harness):
            await asyncio.sleep(0.01)
        task.cancel()
        while running_count(harness) or harness.core.leases:
            await asyncio.sleep(0.01)


async def test_missing_configuration_is_retried_by_the_client(harness, client):
    table, harness.table = harness.table, None
    task = asyncio.create_task(create_completion(client))
    await asyncio.sleep(0.2)
    harness.table = table
    completion = await asyncio.wait_for(task, 10)
    assert completion.choices[0].text == completion.id * EVENTS


async def test_response_over_the_buffer_budget_releases_everything(harness, client):
    """A replica may send events without end, also for a completion that is buffered."""
    for _ in range(2):
        harness.buffers.reserve(0, 49_900)
    with pytest.raises(openai.APIStatusError) as raised:
        await create_completion(client)
    assert (raised.value.status_code, raised.value.code) == (502, "answer_too_long")
    assert run_count(harness) == 1
    async with asyncio.timeout(2):
        while running_count(harness) or harness.core.leases:
            await asyncio.sleep(0.01)
    assert harness.buffers.used == 99_800


async def test_unknown_path_or_method_gets_404(harness):
    for line in (b"GET /v1/files", b"GET /v1/completions", b"POST /v1/models"):
        request = b"%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" % line
        assert (await harness.exchange(request)).startswith(b"HTTP/1.1 404")


async def test_plain_and_unrouted_services_are_not_models(harness, client):
    harness.table.services["other"] = RoutedService("other", ENGINE)
    for model in (PLAIN, "other"):
        with pytest.raises(openai.NotFoundError):
            await client.completions.create(model=model, prompt="x")


async def test_100_concurrent_requests_on_two_decode_replicas_succeed(harness, client):
    """Load: 100 concurrent callers; the replicas have slots for 48 generations."""
    results = await asyncio.wait_for(
        asyncio.gather(
            *(
                create_completion(client, prompt=f"estimate {number}")
                for number in range(100)
            )
        ),
        20,
    )
    assert all(item.choices[0].text == item.id * EVENTS for item in results)
    assert run_count(harness) == 100
