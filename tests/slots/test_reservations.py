"""Tests of the owner's decisions about one decode or prefill engine."""

from hypothesis import given, strategies as st

from marjoramstile.configuration.documents import ServiceClass
from marjoramstile.slots.prefill_places import PrefillOwner
from marjoramstile.slots.reservations import (
    START_LIMIT_S,
    Ask,
    Granted,
    Refused,
    SlotOwner,
    Waiting,
    WorkItem,
)

SLOTS = 3
PIECES = 6


def ask(request_id: str, **fields) -> Ask:
    """Return an ask that waits up to 60 s for a slot and one piece of memory."""
    defaults = {
        "engine": "e",
        "holder": "i1",
        "holder_vm": "vm-1",
        "pieces": 1,
        "service_class": ServiceClass.IN_TIME,
        "workspace": "w",
        "max_wait_s": 60.0,
    }
    return Ask(request_id, **{**defaults, **fields})


def full_owner() -> SlotOwner:
    """Return an owner whose slots are all granted."""
    owner = SlotOwner(SLOTS, PIECES, queue_length=10)
    for number in range(SLOTS):
        assert isinstance(owner.ask(ask(f"h{number}"), 0.0), Granted)
    return owner


def test_no_more_slots_are_granted_than_the_engine_has():
    assert isinstance(full_owner().ask(ask("x"), 0.0), Waiting)


def test_a_request_without_enough_free_memory_waits():
    owner = SlotOwner(SLOTS, PIECES, queue_length=10)
    assert isinstance(owner.ask(ask("a", pieces=5), 0.0), Granted)
    assert isinstance(owner.ask(ask("b", pieces=2), 0.0), Waiting)


def test_a_repeated_ask_takes_no_second_slot_or_queue_entry():
    owner = full_owner()
    assert isinstance(owner.ask(ask("h0"), 1.0), Granted)
    assert owner.used_slots == SLOTS
    owner.ask(ask("x"), 1.0)
    owner.ask(ask("x"), 2.0)
    assert owner.queued == 1


def test_work_in_time_is_granted_before_late_work_that_asked_earlier():
    owner = full_owner()
    owner.ask(ask("late", service_class=ServiceClass.LATE), 0.0)
    owner.ask(ask("in_time"), 1.0)
    assert [g.ask.request_id for g in owner.release("h0", 2.0)] == ["in_time"]


def test_a_workspace_with_fewer_slots_in_use_is_granted_first():
    owner = full_owner()
    owner.ask(ask("same"), 0.0)
    owner.ask(ask("other", workspace="v"), 1.0)
    assert [g.ask.request_id for g in owner.release("h0", 2.0)] == ["other"]


def test_a_larger_share_counts():
    owner = full_owner()
    owner.ask(ask("small", workspace="v"), 0.0)
    owner.ask(ask("first", workspace="u", share=4), 0.5)
    granted = owner.release("h0", 1.0)
    assert [g.ask.request_id for g in granted] == ["small"]


def test_an_ask_whose_expected_wait_exceeds_its_limit_is_refused_at_once():
    owner = full_owner()
    answer = owner.ask(ask("x", max_wait_s=0.1), 0.0)
    assert isinstance(answer, Refused)
    assert answer.expected_s > 0.1
    assert owner.queued == 0


def test_only_one_suspect_holds_a_slot_at_a_time():
    owner = SlotOwner(SLOTS, PIECES, queue_length=10)
    assert isinstance(owner.ask(ask("s1", suspect=True), 0.0), Granted)
    assert isinstance(owner.ask(ask("s2", suspect=True), 0.0), Waiting)
    assert isinstance(owner.ask(ask("x"), 0.0), Granted)
    assert [g.ask.request_id for g in owner.release("s1", 1.0)] == ["s2"]


def test_a_new_owner_counts_work_granted_by_an_earlier_owner():
    owner = SlotOwner(SLOTS, PIECES, queue_length=10)
    owner.sync([WorkItem(f"f{n}", "i2", 1) for n in range(SLOTS)], 0.0)
    assert isinstance(owner.ask(ask("x"), 0.0), Waiting)


def test_a_reservation_that_never_starts_expires():
    owner = full_owner()
    assert owner.sync([], START_LIMIT_S) == []
    assert owner.used_slots == SLOTS
    owner.sync([], START_LIMIT_S + 0.1)
    assert owner.used_slots == 0


def test_a_reservation_whose_work_has_ended_expires():
    owner = full_owner()
    owner.sync([WorkItem("h0", "i1", 1)], 1.0)
    owner.sync([], 2.0)
    assert owner.used_slots == SLOTS - 1


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "release", "sync"]),
            st.integers(0, 9),
            st.integers(1, 4),
            st.booleans(),
        ),
        max_size=60,
    )
)
def test_grants_never_exceed_the_engines_slots_and_memory(steps):
    owner = SlotOwner(SLOTS, PIECES, queue_length=5)
    now = 0.0
    for action, number, pieces, late in steps:
        now += 0.5
        service_class = ServiceClass.LATE if late else ServiceClass.IN_TIME
        if action == "ask":
            owner.ask(
                ask(f"r{number}", pieces=pieces, service_class=service_class), now
            )
        elif action == "release":
            owner.release(f"r{number}", now)
        else:
            owner.sync([], now)
        assert owner.used_slots <= SLOTS
        assert owner.used_pieces <= PIECES
        assert owner.queued <= 6


def test_prefills_in_time_do_not_wait_for_late_prefills():
    owner = PrefillOwner(tokens_per_s=1000)
    owner.ask(5000, ServiceClass.LATE, 60.0, 0.0)
    assert owner.ask(500, ServiceClass.IN_TIME, 0.1, 0.0).accepted
    refused = owner.ask(500, ServiceClass.IN_TIME, 0.1, 0.0)
    assert not refused.accepted
    assert refused.start_in_s == 0.5
    assert owner.backlog_tokens(2.0) == 3500
