"""Tests of the routing policies."""

import random

import pytest

from marjoramstile.routing.pieces import pieces_needed
from marjoramstile.routing.policies import create_policy, policy_names
from marjoramstile.routing.snapshots import Demand, EngineView

DEMAND = Demand(prompt_tokens=4000, output_tokens=200, pieces=3)


def view(name: str, **fields) -> EngineView:
    """Return a view of an engine with 20 slots."""
    return EngineView(name, slots=20, pieces=40, **fields)


def first(policy: str, kind: str, views: list[EngineView], demand=DEMAND) -> str:
    """Return the name of the engine that a policy ranks first."""
    chosen = create_policy(policy, random.Random(1))
    return getattr(chosen, f"rank_{kind}")(views, demand)[0].name


@pytest.mark.parametrize(
    ("prompt", "output", "pieces"),
    [(1, 1, 1), (2048, 0, 1), (2048, 1, 2), (40000, 99, 20)],
)
def test_memory_is_rounded_up_to_whole_pieces(prompt, output, pieces):
    assert pieces_needed(prompt, output) == pieces


@pytest.mark.parametrize("name", policy_names())
@pytest.mark.parametrize("kind", ["prefill", "decode"])
def test_an_excluded_engine_is_never_picked(name, kind):
    demand = Demand(10, 10, 1, excluded=frozenset({"a"}))
    assert first(name, kind, [view("a"), view("b")], demand) == "b"


def test_an_engine_with_a_free_slot_ranks_before_a_full_one():
    full = view("full", used_slots=20)
    assert first("reservation", "decode", [full, view("free", used_slots=19)]) == "free"


def test_an_engine_with_too_little_memory_is_not_ranked():
    policy = create_policy("reservation", random.Random(1))
    assert policy.rank_decode([view("a")], Demand(100, 100, pieces=41)) == []


def test_an_engine_without_free_memory_ranks_as_full():
    packed = view("packed", used_slots=1, used_pieces=39)
    assert first("reservation", "decode", [packed, view("b", used_slots=15)]) == "b"


def test_prefix_cache_affinity_does_not_outweigh_queueing_time():
    cached = view("cached", cached_tokens=3000, backlog_tokens=20_000)
    assert first("reservation", "prefill", [cached, view("idle")]) == "idle"
    near = view("cached", cached_tokens=3000, backlog_tokens=1000)
    assert first("reservation", "prefill", [near, view("idle")]) == "cached"


def test_stale_reports_do_not_herd_requests_to_one_engine():
    policy = create_policy("reservation", random.Random(1))
    views = [view("empty", age_s=30.0), view("busy", used_slots=10, age_s=30.0)]
    taken = {policy.rank_decode(views, DEMAND)[0].name for _ in range(30)}
    assert taken == {"empty", "busy"}
