"""Blocklists of daemons become equal, whatever the order of changes and messages."""

from dataclasses import replace

from hypothesis import given, strategies as st

from marjoramstile.crashes.blocklist import (
    BY_CRASHES,
    BY_OPERATOR,
    ENTRIES_MAX,
    TRIAL_DELAYS_S,
    BlockEntry,
    Blocklist,
)

ENTRY = BlockEntry("llm", "part/x", 1, True, 0, 5.0, ("d0", "d1"), BY_CRASHES)
ENTRIES = st.builds(
    BlockEntry,
    service=st.just("llm"),
    key=st.sampled_from(["part/a", "part/b"]),
    revision=st.integers(1, 4),
    blocked=st.booleans(),
    trials=st.integers(0, 2),
    since_s=st.sampled_from([1.0, 2.0]),
    crashes=st.just(()),
    by=st.sampled_from([BY_CRASHES, BY_OPERATOR]),
)


@given(st.lists(ENTRIES, max_size=12), st.randoms(use_true_random=False))
def test_the_same_entries_give_the_same_list_in_any_order(entries, rng):
    lists = [Blocklist(), Blocklist()]
    for entry in entries:
        lists[0].merge(entry, 0.0)
    shuffled = entries * 2
    rng.shuffle(shuffled)
    for entry in shuffled:
        lists[1].merge(entry, 0.0)
    assert set(lists[0].entries) == set(lists[1].entries)
    assert lists[0].digest == lists[1].digest


def test_an_entry_of_a_daemon_that_was_cut_off_does_not_undo_a_lift():
    blocklist = Blocklist()
    blocklist.merge(ENTRY, 0.0)
    assert blocklist.blocking("llm", ("part/x",)) == [ENTRY]
    assert blocklist.merge(ENTRY.changed(blocked=False), 1.0)
    assert not blocklist.merge(ENTRY, 2.0)
    assert blocklist.blocking("llm", ("part/x",)) == []


def test_blocks_hold_for_their_service_only():
    blocklist = Blocklist()
    blocklist.merge(ENTRY, 0.0)
    assert blocklist.blocking("other", ("part/x",)) == []


def test_trials_become_rarer_and_end():
    blocklist = Blocklist()
    entry = ENTRY
    for delay_s in TRIAL_DELAYS_S:
        blocklist.merge(entry, 100.0)
        assert blocklist.trial_wait_s(entry, 100.0) == delay_s
        assert blocklist.trial_wait_s(entry, 100.0 + delay_s) == 0.0
        entry = entry.changed(trials=entry.trials + 1)
    blocklist.merge(entry, 100.0)
    assert blocklist.trial_wait_s(entry, 1e9) is None


def test_a_block_by_operators_is_not_tried():
    entry = replace(ENTRY, by=BY_OPERATOR)
    blocklist = Blocklist()
    blocklist.merge(entry, 0.0)
    assert blocklist.trial_wait_s(entry, 1e9) is None


def test_the_list_is_bounded_and_keeps_what_is_blocked():
    blocklist = Blocklist()
    for number in range(ENTRIES_MAX):
        blocklist.merge(replace(ENTRY, key=f"part/{number}"), 0.0)
    assert not blocklist.merge(replace(ENTRY, key="part/more"), 0.0)
    lifted = replace(ENTRY, key="part/7").changed(blocked=False)
    assert blocklist.merge(lifted, 0.0)
    assert blocklist.merge(replace(ENTRY, key="part/more"), 0.0)
    assert len(blocklist.entries) == ENTRIES_MAX
