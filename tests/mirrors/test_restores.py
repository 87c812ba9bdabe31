"""Mirrors of a store that comes back from an older copy, in a new era."""

import math
from dataclasses import replace

from hypothesis import given, strategies as st
from result import Err, Ok

from marjoramstile.mirrors.mirror import (
    DocumentMirror,
    PeerChanges,
    RestorePolicy,
    TableMirror,
)
from marjoramstile.peers.membership_messages import (
    changes_from_wire,
    changes_to_wire,
    table_version_to_wire,
    version_from_wire,
)
from marjoramstile.ports.feeds import (
    NO_VERSION,
    Changes,
    HistoryLostError,
    version_in_era,
)
from marjoramstile.utils import loop_time
from tests.mirrors.test_mirrors import FakePeers, ScriptedFeed, changes, follow

FIRST, SECOND = 1, 2


def in_era(era: int, number: int, complete: bool = False, **rows) -> Changes:
    """Return changes whose rows all have a version of an era."""
    return changes(version_in_era(era, number), complete, **rows)


def values(mirror: TableMirror) -> dict[str, bytes]:
    """Return the values of a mirror's rows."""
    return {key: row.value for key, row in mirror.rows.items()}


def mirror_at(*applied: Changes) -> TableMirror:
    """Return a mirror to which changes have been applied in turn."""
    mirror = TableMirror("t")
    for item in applied:
        mirror.apply(item)
    return mirror


async def test_versions_of_a_new_era_are_newer():
    mirror = mirror_at(
        in_era(FIRST, 57, True, a=b"1"),
        in_era(SECOND, 12, True, a=b"2"),
        in_era(SECOND, 13, b=b"3"),
    )
    assert values(mirror) == {"a": b"2", "b": b"3"}


def test_changes_of_a_new_era_without_what_precedes_them_are_ignored():
    mirror = mirror_at(in_era(FIRST, 57, True, a=b"1"), in_era(SECOND, 60, b=b"2"))
    assert values(mirror) == {"a": b"1"}
    assert mirror.version == version_in_era(FIRST, 57)


async def test_late_and_doubled_changes_of_an_earlier_era_are_ignored():
    late = in_era(FIRST, 99, True, a=b"late")
    mirror = mirror_at(
        in_era(FIRST, 57, True, a=b"1"), in_era(SECOND, 12, True, a=b"2"), late, late
    )
    assert values(mirror) == {"a": b"2"}


async def test_a_peer_of_an_earlier_era_gets_all_rows():
    mirror = mirror_at(in_era(SECOND, 12, True, a=b"2", b=b"2"))
    sent = mirror.changes_after(version_in_era(FIRST, 57))
    assert sent.complete
    assert len(sent.rows) == 2


async def test_a_row_that_is_read_again_unchanged_is_not_notified():
    mirror = mirror_at(in_era(FIRST, 57, True, a=b"1"))
    seen = []
    mirror.subscribe(seen.append)
    mirror.apply(in_era(SECOND, 12, True, a=b"1"))
    assert seen == []
    assert mirror.changes_after(version_in_era(SECOND, 11)).rows


async def test_a_reader_of_an_earlier_era_confirms_nothing():
    """The daemon calls the store itself, as after stale answers."""
    feed = ScriptedFeed(
        [Ok(in_era(SECOND, 12, True, a=b"2"))], [Ok(in_era(SECOND, 13, a=b"3"))]
    )
    peers = FakePeers(
        reader=PeerChanges(in_era(FIRST, 99, a=b"1"), 0.1), is_reader=False
    )
    mirror, follower, _ = await follow(feed, peers=peers, for_s=2.0)
    assert values(mirror) == {"a": b"3"}


async def test_a_reader_of_a_new_era_is_followed():
    feed = ScriptedFeed([Ok(in_era(FIRST, 57, True, a=b"1"))])
    reader = PeerChanges(in_era(SECOND, 12, True, a=b"2"), 0.1)
    mirror, follower, _ = await follow(
        feed, peers=FakePeers(reader=reader, is_reader=False)
    )
    assert values(mirror) == {"a": b"2"}
    assert follower.store_recovered_at > 0


async def test_a_daemon_that_the_store_refuses_takes_the_new_era_from_a_peer():
    feed = ScriptedFeed([Ok(in_era(FIRST, 57, True, a=b"1"))])
    mirror, _, _ = await follow(feed, peer=in_era(SECOND, 12, True, a=b"2"))
    assert values(mirror) == {"a": b"2"}


async def test_a_first_read_is_not_a_recovery():
    feed = ScriptedFeed([Ok(in_era(SECOND, 57, True, a=b"1"))])
    _, follower, _ = await follow(feed)
    assert follower.store_recovered_at == -math.inf


async def test_a_history_that_is_always_lost_is_not_asked_for_without_a_pause():
    """The store sends no era and is behind the mirror."""
    read = Ok(changes(12, True, a=b"1"))
    feed = ScriptedFeed(
        [Ok(changes(57, True, a=b"1")), *[read] * 1000], [Err(HistoryLostError())] * 999
    )
    await follow(feed, for_s=5.0)
    assert len(feed.reads) >= 985


def test_changes_name_their_era_on_the_wire():
    sent = in_era(SECOND, 12, True, a=b"2", b=None)
    assert changes_from_wire(changes_to_wire(sent, 0.5)).changes == sent


def test_an_older_build_names_no_era():
    """Its changes count as of no era, what it asks for as of the asked daemon's."""
    wire = changes_to_wire(in_era(FIRST, 12, a=b"1"), 0.5)
    wire.era = None
    assert changes_from_wire(wire).changes == in_era(0, 12, a=b"1")
    asked = table_version_to_wire("t", version_in_era(FIRST, 57))
    assert version_from_wire(asked, SECOND) == version_in_era(FIRST, 57)
    asked.era = None
    assert version_from_wire(asked, SECOND) == version_in_era(SECOND, 57)


CHANGES = st.builds(
    in_era,
    st.sampled_from([FIRST, SECOND, 3]),
    st.integers(1, 9),
    st.booleans(),
    a=st.sampled_from([b"1", b"2", None]),
)


@given(st.lists(CHANGES, max_size=12))
async def test_versions_never_go_back(applied):
    mirror = TableMirror("t")
    for item in applied:
        before = mirror.version
        mirror.apply(item)
        assert mirror.version >= before


POLICY = RestorePolicy(keep_missing_s=2.0, hold_returned_s=4.0)


async def restored_mirror(*applied: Changes, policy=POLICY) -> TableMirror:
    """Return a mirror with a policy to which changes have been applied in turn."""
    mirror = TableMirror("t", policy)
    for item in applied:
        mirror.apply(item)
    return mirror


async def test_rows_that_the_copy_lacks_are_kept_until_they_can_be_written_again():
    mirror = await restored_mirror(
        in_era(FIRST, 57, True, lost=b"1", again=b"1"),
        in_era(SECOND, 12, True),
        in_era(SECOND, 14, again=b"2"),
        in_era(SECOND, 15, True, again=b"2"),
    )
    mirror.expire(loop_time() + 1.9)
    assert values(mirror) == {"lost": b"1", "again": b"2"}
    mirror.expire(loop_time() + 2.1)
    assert values(mirror) == {"again": b"2"}
    deleted = mirror.changes_after(version_in_era(SECOND, 14)).rows
    assert ("lost", None) in [(row.key, row.value) for row in deleted]


async def test_peers_are_not_told_of_rows_that_the_copy_lacks():
    mirror = await restored_mirror(
        in_era(FIRST, 57, True, lost=b"1"), in_era(SECOND, 12, True, a=b"2")
    )
    for after in (NO_VERSION, version_in_era(FIRST, 57)):
        assert [row.key for row in mirror.changes_after(after).rows] == ["a"]


async def test_a_row_that_was_deleted_before_the_restore_does_not_come_back():
    copied = in_era(SECOND, 12, True, gone=b"1")
    mirror = await restored_mirror(
        in_era(FIRST, 50, True, gone=b"1"),
        in_era(FIRST, 57, gone=None),
        copied,
        replace(copied, version=version_in_era(SECOND, 13)),
    )
    assert values(mirror) == {}
    mirror.apply(in_era(SECOND, 14, gone=None))
    mirror.expire(loop_time() + 9.0)
    assert values(mirror) == {}


async def test_a_row_that_was_deleted_comes_back_if_written_again_or_renewed():
    """A writer that lives does not let the copy's row expire."""
    mirror = await restored_mirror(
        in_era(FIRST, 50, True, renewed=b"1", again=b"1"),
        in_era(FIRST, 57, renewed=None, again=None),
        in_era(SECOND, 12, True, renewed=b"1", again=b"1"),
        in_era(SECOND, 13, again=b"2"),
    )
    assert values(mirror) == {"again": b"2"}
    mirror.expire(loop_time() + 4.1)
    assert values(mirror) == {"again": b"2", "renewed": b"1"}


async def test_peers_are_told_of_rows_that_are_held_back():
    """They may not know that the rows were deleted, and hold back their own."""
    mirror = await restored_mirror(
        in_era(FIRST, 50, True, gone=b"1"),
        in_era(FIRST, 57, gone=None),
        in_era(SECOND, 12, True, gone=b"1"),
    )
    assert mirror.changes_after(NO_VERSION).rows[0].value == b"1"


def document_mirror(*applied: Changes) -> DocumentMirror:
    """Return a mirror of documents, whose values are their versions."""
    mirror = DocumentMirror("t", lambda value: int(value) if value.isdigit() else None)
    for item in applied:
        mirror.apply(item)
    return mirror


async def test_a_document_of_the_copy_never_replaces_a_newer_one():
    mirror = document_mirror(
        in_era(FIRST, 57, True, c=b"11"), in_era(SECOND, 12, True, c=b"5")
    )
    assert values(mirror) == {"c": b"11"}
    assert mirror.changes_after(version_in_era(FIRST, 57)).rows[0].value == b"11"
    mirror.apply(in_era(SECOND, 13, c=b"12"))
    assert values(mirror) == {"c": b"12"}


async def test_a_document_that_the_copy_lacks_stays():
    mirror = document_mirror(in_era(FIRST, 57, True, c=b"11"), in_era(SECOND, 12, True))
    mirror.expire(loop_time() + 99.0)
    assert values(mirror) == {"c": b"11"}


def test_a_newer_document_is_taken_from_older_changes_too():
    """A peer that is behind in all else, or still in the earlier era, may have it."""
    mirror = document_mirror(in_era(SECOND, 12, True, c=b"5"))
    mirror.apply(in_era(FIRST, 57, c=b"11"))
    assert values(mirror) == {"c": b"11"}


def test_an_invalid_document_between_two_valid_ones_changes_nothing():
    mirror = document_mirror(
        in_era(FIRST, 1, True, c=b"1"),
        in_era(FIRST, 2, c=b"?"),
        in_era(FIRST, 3, c=b"2"),
    )
    assert values(mirror) == {"c": b"2"}
    mirror.apply(in_era(FIRST, 4, c=b"?"))
    assert values(mirror) == {"c": b"2"}


def test_a_valid_document_replaces_an_invalid_first_one():
    mirror = document_mirror(in_era(FIRST, 1, True, c=b"?"), in_era(FIRST, 2, c=b"1"))
    assert values(mirror) == {"c": b"1"}


@given(
    st.lists(
        st.tuples(
            st.sampled_from([FIRST, SECOND, 3]),
            st.integers(1, 9),
            st.booleans(),
            st.integers(1, 9),
        ),
        max_size=12,
    )
)
async def test_documents_never_go_back(applied):
    mirror = document_mirror()
    newest = 0
    for era, number, complete, document in applied:
        mirror.apply(in_era(era, number, complete, c=str(document).encode()))
        shown = int(values(mirror).get("c", b"0"))
        assert shown >= newest
        newest = shown
