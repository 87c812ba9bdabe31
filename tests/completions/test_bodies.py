"""Parsing and validation of the JSON bodies of completion requests."""

import json

import pytest

from marjoramstile.completions.bodies import (
    DEFAULT_CHAT_TOKENS,
    DEFAULT_TEXT_TOKENS,
    parse_chat_body,
    parse_text_body,
)
from marjoramstile.completions.errors import CompletionError
from marjoramstile.routes.requests import GenerationSize

MESSAGES = [{"role": "user", "content": "x" * 400}]


def text_body(**fields) -> bytes:
    """Return the body of a text completion request."""
    return json.dumps({"model": "m", "prompt": "x" * 401, **fields}).encode()


def chat_body(**fields) -> bytes:
    """Return the body of a chat completion request."""
    return json.dumps({"model": "m", "messages": MESSAGES, **fields}).encode()


def test_size_comes_from_prompt_and_limit():
    body = parse_text_body(text_body(max_tokens=50, temperature=0.7, seed=None))
    assert body.size == GenerationSize(101, 50, 50)
    assert (body.model, body.stream, body.include_usage) == ("m", False, False)


def test_missing_limit_falls_back_to_the_default():
    assert parse_text_body(text_body()).max_tokens == DEFAULT_TEXT_TOKENS
    assert parse_chat_body(chat_body()).max_tokens == DEFAULT_CHAT_TOKENS


def test_chat_limit_is_read_under_either_name():
    assert parse_chat_body(chat_body(max_tokens=7)).max_tokens == 7
    assert parse_chat_body(chat_body(max_completion_tokens=8)).max_tokens == 8
    both = chat_body(max_completion_tokens=8, max_tokens=7)
    assert parse_chat_body(both).max_tokens == 8


def test_short_prompt_counts_as_one_token():
    assert parse_text_body(text_body(prompt="é")).size.prompt == 1


def test_stream_usage_is_included_only_on_request():
    wanted = text_body(stream=True, stream_options={"include_usage": True})
    assert parse_text_body(wanted).include_usage
    assert not parse_text_body(text_body(stream=True, stream_options={})).include_usage


@pytest.mark.parametrize(
    ("data", "param"),
    [
        (b"", None),
        (b"[]", None),
        (b"\xff", None),
        (b"[" * 100_000, None),
        (text_body(model=None), "model"),
        (text_body(model=5), "model"),
        (text_body(prompt=""), "prompt"),
        (text_body(prompt=["a", "b"]), "prompt"),
        (text_body(max_tokens=0), "max_tokens"),
        (text_body(max_tokens=True), "max_tokens"),
        (text_body(max_tokens=10**9), "max_tokens"),
        (text_body(max_tokens="5"), "max_tokens"),
        (text_body(n=2), "n"),
        (text_body(stream="yes"), "stream"),
        (text_body(stream_options=[1]), "stream_options"),
    ],
)
def test_invalid_body_is_rejected_with_its_field_named(data, param):
    with pytest.raises(CompletionError) as raised:
        parse_text_body(data)
    assert (raised.value.status, raised.value.param) == (400, param)
    assert not raised.value.should_retry


@pytest.mark.parametrize("messages", [[], "x", ["x"], None])
def test_chat_without_valid_messages_is_rejected(messages):
    with pytest.raises(CompletionError) as raised:
        parse_chat_body(chat_body(messages=messages))
    assert raised.value.param == "messages"
