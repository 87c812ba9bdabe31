"""Checks the specifications by exhaustive search; each seeded bug must be found."""

import pytest
from minicheck import check_safety

from specifications import changes, claims, orders, restores, streams

MAX_STATES = 3_000_000


def verdicts(protocol) -> dict[str, bool | None]:
    """Return whether each invariant holds.

    Fails if the search hit its limit of states without finding a violation.
    """
    report = check_safety(protocol, max_states=MAX_STATES)
    holds = {name: found["holds"] for name, found in report["properties"].items()}
    assert report["exhaustive"] or False in holds.values()
    return holds


def test_the_claim_protocol_keeps_its_invariants():
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


def test_the_change_protocol_keeps_its_invariants():
    holds = verdicts(changes.change_protocol())
    assert len(holds) == 3
    assert set(holds.values()) == {True}


@pytest.mark.parametrize("bug", changes.Variant._fields)
def test_a_seeded_bug_in_changes_is_found(bug):
    variant = changes.Variant(**{bug: True})
    assert verdicts(changes.change_protocol(variant))["in_force_everywhere"] is False


def test_the_order_protocol_keeps_its_invariants():
    holds = verdicts(orders.order_protocol())
    assert len(holds) == 2
    assert set(holds.values()) == {True}


@pytest.mark.parametrize(
    ("variant", "violated"),
    [
        (orders.Variant(write_unconditionally=True), "tokens_increase"),
        (orders.Variant(no_takeover_age=True), "holders_do_not_alternate"),
        (orders.Variant(send_late=True), "holders_do_not_alternate"),
    ],
)
def test_a_seeded_bug_in_orders_is_found(variant, violated):
    assert verdicts(orders.order_protocol(variant))[violated] is False


def test_the_protocol_of_continued_streams_keeps_its_invariants():
    holds = verdicts(streams.stream_protocol())
    assert len(holds) == 2
    assert set(holds.values()) == {True}


@pytest.mark.parametrize(
    "variant",
    [
        streams.Variant(version_from_list=True),
        streams.Variant(guess_the_one_left=True),
        streams.Variant(overwrite_reused_id=True),
        streams.Variant(forget_gone_versions=True),
    ],
)
def test_a_seeded_bug_in_continued_streams_is_found(variant):
    holds = verdicts(streams.stream_protocol(variant))
    assert holds["streams_are_not_joined"] is False


def test_the_protocol_of_a_restored_store_keeps_its_invariants():
    holds = verdicts(restores.restore_protocol())
    assert len(holds) == 3
    assert set(holds.values()) == {True}


@pytest.mark.parametrize(
    ("variant", "violated"),
    [
        (restores.Variant(mirror_ignores_era=True), "the_newest_answer_is_taken"),
        (restores.Variant(token_without_era=True), "tokens_increase"),
        (
            restores.Variant(condition_without_mark=True),
            "decided_on_the_row_replaced",
        ),
    ],
)
def test_a_seeded_bug_in_restores_is_found(variant, violated):
    assert verdicts(restores.restore_protocol(variant))[violated] is False
