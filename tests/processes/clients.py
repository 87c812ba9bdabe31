"""Requests of callers to running daemons."""

import json
from dataclasses import dataclass
from typing import Any

from demo.fleet import WORKSPACE_KEY, Fleet
from standins.tokens import answer_text

HEADERS = {"Authorization": f"Bearer {WORKSPACE_KEY}"}
PROMPT = "Estimate for a bouzouki neck reset"
EVENT_PREFIX = b"data: "


@dataclass(frozen=True)
class Answer:
    """An HTTP answer with its JSON body."""

    status: int
    headers: dict[str, str]
    body: Any


async def call(
    fleet: Fleet,
    number: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    **options: Any,
) -> Answer:
    """Send a request to a daemon's listener for callers."""
    url = fleet.callers_url(number) + path
    sent = HEADERS if headers is None else headers
    async with fleet.session.request(method, url, headers=sent, **options) as response:
        return Answer(response.status, dict(response.headers), await response.json())


def completion_body(max_tokens: int = 20, **fields: Any) -> dict[str, Any]:
    """Return the body of a completion request."""
    body = {"model": "lexis-pool", "prompt": PROMPT, "max_tokens": max_tokens}
    return {**body, **fields}


async def stream(fleet: Fleet, number: int, body: dict[str, Any], on_token=None) -> str:
    """Stream a completion; return its text, or raise if the stream is incomplete."""
    url = f"{fleet.callers_url(number)}/v1/completions"
    text = ""
    async with fleet.session.post(
        url, json={**body, "stream": True}, headers=HEADERS
    ) as response:
        assert response.status == 200, await response.text()
        async for line in response.content:
            if line.startswith(b"data: [DONE]"):
                return text
            if line.startswith(EVENT_PREFIX):
                event = json.loads(line[len(EVENT_PREFIX) :])
                assert "error" not in event, event
                text += event["choices"][0]["text"]
                if on_token is not None:
                    on_token()
    raise AssertionError(f"the stream ended early, after {text!r}")


def whole_text(body: dict[str, Any]) -> str:
    """Return the full text that a completion request must be answered with."""
    return answer_text(body["prompt"], body["max_tokens"])
