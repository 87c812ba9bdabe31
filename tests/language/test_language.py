"""Tests of the operators' language, on running daemons."""

import pytest

from bench.harness import running_harness
from marjoramstile.language.parser import parse_statements
from marjoramstile.language.statements import Condition, Show
from marjoramstile.results import ResultCode


def test_a_query_has_conditions_an_order_and_a_limit():
    text = (
        'show slots where used_slots >= 3 and endpoint like "dec*"'
        " order by queued desc limit 5"
    )
    (statement,) = parse_statements(text).unwrap()
    assert statement == Show(
        "slots",
        (Condition("used_slots", ">=", 3), Condition("endpoint", "like", "dec*")),
        "queued",
        True,
        5,
    )


@pytest.mark.parametrize(
    ("text", "column", "suggestion"),
    [
        ("shwo daemons", 1, "show"),
        ("show daemons wher a = 1", 14, "where"),
        ("show daemons where a", 21, ""),
        ("migrate booking two 5%", 17, "to"),
        ("", 1, ""),
    ],
)
def test_a_syntax_error_has_a_column_and_a_suggestion(text, column, suggestion):
    error = parse_statements(text).unwrap_err()
    assert (error.column, error.suggestion) == (column, suggestion)


async def run(harness, text):
    """Run a statement on the first daemon."""
    return await harness.nodes["vm-1"].statement_executor.run(text, "test")


async def test_queries_join_all_daemons_and_name_the_silent_ones():
    async with running_harness(daemons=3) as harness:
        shown = (await run(harness, "show daemons order by daemon")).unwrap()
        assert [row["daemon"] for row in shown["rows"]] == ["vm-1", "vm-2", "vm-3"]
        harness.network.separate({"vm-3"}, {"vm-1"})
        shown = (await run(harness, "show daemons")).unwrap()
        assert shown["silent"] == ["vm-3"]


@pytest.mark.parametrize(
    "subject",
    [
        "daemons",
        "peers",
        "endpoints",
        "slots",
        "pools",
        "services",
        "rules",
        "workspaces",
        "limits",
        "requests",
        "quarantine",
        "metrics",
        "burn",
    ],
)
async def test_every_subject_can_be_shown(subject):
    async with running_harness(daemons=2) as harness:
        assert "rows" in (await run(harness, f"show {subject}")).unwrap()


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("show daemon", "daemons"),
        ("show daemons where verson = 1", "version"),
        ("drain endpoint decode-9", "decode-"),
        ("set pol x kind=prefill", "pool"),
        ("migrate moving to 130%", "less than or equal to 100"),
        ("migrate booking to 5%", "no old system"),
        ("show daemons; drain endpoint decode-1", "can't be mixed"),
    ],
)
async def test_an_invalid_statement_is_refused_with_a_reason(text, part):
    async with running_harness(daemons=1) as harness:
        failure = (await run(harness, text)).unwrap_err()
        assert part in failure.message
        assert failure.code in (ResultCode.BAD_STATEMENT, ResultCode.BAD_CONFIGURATION)


async def test_statements_of_one_text_are_applied_all_or_none():
    async with running_harness(daemons=2) as harness:
        text = "drain endpoint decode-1; migrate moving to 130%"
        (await run(harness, text)).unwrap_err()
        shown = (await run(harness, "show endpoints where leaving = true")).unwrap()
        assert shown["rows"] == []
        text = (
            "drain endpoint decode-1; migrate moving to 30%; set limits crash_limit=4"
        )
        assert (await run(harness, text)).unwrap() == {"version": 2, "members": 2}
        shown = (await run(harness, "show rules")).unwrap()
        assert shown["rows"][0]["new_percent"] == 30


async def test_an_item_is_created_changed_and_deleted():
    async with running_harness(daemons=2) as harness:
        text = 'set workspace new keys=["k"] services=[desk, booking] share=2'
        (await run(harness, text)).unwrap()
        (await run(harness, "set workspace new share=5")).unwrap()
        shown = (await run(harness, "show workspaces where workspace = new")).unwrap()
        assert shown["rows"] == [
            {"workspace": "new", "services": "desk, booking", "share": 5, "keys": 1}
        ]
        (await run(harness, "delete workspace new")).unwrap()
        failure = (await run(harness, "delete workspace new")).unwrap_err()
        assert "no such item" in failure.message
