"""Which key is blocked, from crashes and begins alone."""

import math

import pytest

from marjoramstile.crashes.begins import KEYS_KEPT, PERIOD_S, BeginLog
from marjoramstile.crashes.evidence import (
    CRASHES_KEPT,
    Begins,
    CrashEvidence,
    choose_suspect,
)
from marjoramstile.crashes.keys import RequestKeys

SERVICE_BEGINS = Begins(100, 1000.0)


def keys(content: str, *parts: str) -> RequestKeys:
    """Return the keys of a request."""
    return RequestKeys(f"content/{content}", tuple(f"part/{part}" for part in parts))


def evidence_of(*crashes: tuple[float, RequestKeys]) -> CrashEvidence:
    """Return evidence of crashes, each of another replica, under one request."""
    evidence = CrashEvidence()
    for number, (at, request) in enumerate(crashes):
        evidence.add((f"d{number}", 1), request, at)
    return evidence


def blocked_key(evidence, begins=None, service=SERVICE_BEGINS, blocked=()) -> str:
    """Return the key to block, empty if there is none."""
    chosen = choose_suspect(evidence.suspects(set(blocked)), begins or {}, service)
    return chosen.key if chosen else ""


def test_a_part_is_blocked_after_two_crashes_under_different_contents():
    evidence = evidence_of((1.0, keys("a", "x")))
    assert blocked_key(evidence) == ""
    evidence = evidence_of((1.0, keys("a", "x")), (2.0, keys("b", "x")))
    assert blocked_key(evidence) == "part/x"


def test_crashes_under_one_content_block_only_that_content():
    crashes = [(float(at), keys("a", "x")) for at in range(3)]
    assert blocked_key(evidence_of(*crashes[:2])) == ""
    assert blocked_key(evidence_of(*crashes)) == "content/a"


def test_crashes_at_the_same_moment_count_once_against_a_part():
    crashes = [(1.0 + 0.01 * n, keys(str(n), "x")) for n in range(9)]
    assert blocked_key(evidence_of(*crashes)) == ""


@pytest.mark.parametrize("deadly", ["first", "second", "third"])
def test_the_part_that_all_crashes_share_is_blocked_wherever_it_stands(deadly):
    crashes = []
    for number in range(2):
        names = {"first": f"f{number}", "second": f"s{number}", "third": f"t{number}"}
        names[deadly] = "dead"
        crashes.append((float(number), keys(str(number), *names.values())))
    assert blocked_key(evidence_of(*crashes)) == "part/dead"


def test_of_parts_that_all_crashes_share_the_rarest_and_then_the_last_is_blocked():
    evidence = evidence_of(
        (1.0, keys("a", "first", "dead")), (2.0, keys("b", "first", "dead"))
    )
    assert blocked_key(evidence) == "part/dead"
    sound = {"part/dead": Begins(4, 0.5), "part/first": Begins(4, 0.5)}
    assert blocked_key(evidence, sound) == "part/dead"
    sound["part/first"] = Begins()
    assert blocked_key(evidence, sound) == "part/first"


def test_a_part_that_explains_more_crashes_is_blocked_before_one_that_follows_it():
    evidence = evidence_of(
        (1.0, keys("a", "dead", "c0")),
        (2.0, keys("b", "dead", "c1")),
        (3.0, keys("c", "dead", "c0")),
    )
    assert blocked_key(evidence) == "part/dead"
    assert evidence.explains("part/dead", "part/c0")
    assert not evidence.explains("part/c0", "part/dead")


def test_a_crash_does_not_count_after_a_request_sent_later_has_begun():
    evidence = evidence_of((1.0, keys("a", "x")), (2.0, keys("b", "x")))
    evidence.record_begin("part/x", 1.5)
    assert blocked_key(evidence) == ""
    evidence.add(("d9", 1), keys("c", "x"), 3.0)
    assert blocked_key(evidence) == "part/x"


def test_crashes_under_a_blocked_part_do_not_count_against_others():
    crashes = [(float(at), keys(str(at), "first", "dead")) for at in range(4)]
    evidence = evidence_of(*crashes)
    assert blocked_key(evidence, blocked=["part/dead"]) == ""
    evidence.add(("d8", 1), keys("m", "first", "other"), 5.0)
    assert blocked_key(evidence, blocked=["part/dead"]) == ""
    evidence.add(("d9", 1), keys("n", "first"), 6.0)
    assert blocked_key(evidence, blocked=["part/dead"]) == "part/first"


@pytest.mark.parametrize(("recent", "needed"), [(0, 2), (5, 3), (50, 4)])
def test_a_part_that_many_requests_had_is_blocked_after_more_crashes(recent, needed):
    begins = {"part/x": Begins(recent, 0.5)}
    for count in range(2, 6):
        crashes = [(1.0 + at, keys(str(at), "x")) for at in range(count)]
        blocked = blocked_key(evidence_of(*crashes), begins) == "part/x"
        assert blocked == (count >= needed)


@pytest.mark.parametrize(
    ("recent", "service_recent", "needed"), [(0, 0, 3), (0, 100, 2), (1, 100, 3)]
)
def test_one_crash_more_is_needed_while_nothing_begins_at_all(
    recent, service_recent, needed
):
    """Unless many requests began before, none of which had the part."""
    begins = {"part/x": Begins(recent, 0.5)}
    service = Begins(service_recent, 0.5)
    for count in range(2, 5):
        crashes = [(1.0 + at, keys(str(at), "x")) for at in range(count)]
        blocked = blocked_key(evidence_of(*crashes), begins, service) == "part/x"
        assert blocked == (count >= needed)


def test_evidence_is_bounded_and_ages():
    evidence = CrashEvidence()
    for number in range(2 * CRASHES_KEPT):
        evidence.add((f"d{number}", 1), keys(str(number), "x"), float(number))
    assert len(evidence) == CRASHES_KEPT
    evidence.expire(math.inf)
    assert len(evidence) == 0


def test_begins_are_counted_for_the_last_minutes_and_bounded():
    log = BeginLog()
    for number in range(2 * KEYS_KEPT):
        log.record("llm", keys(str(number), "x"), 1.0, 2.0)
    assert log.begins("llm", "part/x", 3.0) == Begins(2 * KEYS_KEPT, 1.0)
    assert log.begins("llm", "content/0", 3.0) == Begins()
    assert log.begins("llm", "", PERIOD_S + 3.0).recent == 2 * KEYS_KEPT
    assert log.begins("llm", "part/x", 2 * PERIOD_S + 3.0).recent == 0
    assert log.begins("other", "part/x", 3.0) == Begins()
