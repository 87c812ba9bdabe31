"""Exhaustive searches of the specifications; each seeded bug must be found."""

import pytest
from minicheck import check_safety

from specifications import changes, claims, orders

MAX_STATES = 3_000_000


def verdicts(protocol) -> dict[str, bool | None]:
    """Search a specification; a search cut short proves nothing."""
    report = check_safety(protocol, max_states=MAX_STATES)
    holds = {name: found["holds"] for name, found in report["properties"].items()}
    assert report["exhaustive"] or False in holds.values()
    return holds


def test_claims_hold():
    holds = verdicts(claims.claim_protocol())
    assert len(holds) == 3
    assert set(holds.values()) == {True}


@pytest.mark.parametrize(
    ("variant", "violated"),
    [
        (claims.Variant(claim_unconditionally=True), "runs_at_most_once"),
        (claims.Variant(release_sent=True), "runs_at_most_once"),
        (claims.Variant(no_tombstone=True), "not_run_leaves_no_claim"),
    ],
)
def test_a_seeded_bug_in_claims_is_found(variant, violated):
    assert verdicts(claims.claim_protocol(variant))[violated] is False


def test_changes_hold():
    holds = verdicts(changes.change_protocol())
    assert len(holds) == 3
    assert set(holds.values()) == {True}


@pytest.mark.parametrize("bug", changes.Variant._fields)
def test_a_seeded_bug_in_changes_is_found(bug):
    variant = changes.Variant(**{bug: True})
    assert verdicts(changes.change_protocol(variant))["in_force_everywhere"] is False


def test_orders_hold():
    holds = verdicts(orders.order_protocol())
    assert len(holds) == 2
    assert set(holds.values()) == {True}


@pytest.mark.parametrize(
    ("variant", "violated"),
    [
        (orders.Variant(write_unconditionally=True), "tokens_grow"),
        (orders.Variant(no_age=True), "holders_take_no_turns"),
        (orders.Variant(send_late=True), "holders_take_no_turns"),
    ],
)
def test_a_seeded_bug_in_orders_is_found(variant, violated):
    assert verdicts(orders.order_protocol(variant))[violated] is False
