"""Rows by which daemons find each other."""

import json

import pytest

from marjoramstile.membership.nodes import MirrorVMList, NodeEntry, decode_node
from marjoramstile.mirrors.mirror import TableMirror
from marjoramstile.ports.feeds import Changes, StoredRow

ENTRY = NodeEntry("10.0.0.1", "10.0.0.1:80", "a", "r", "i")


def as_row(vm: str, version: int, entry: NodeEntry = ENTRY) -> StoredRow:
    """Return a daemon's row."""
    return StoredRow(vm, version, json.dumps(entry.to_value()).encode())


def test_an_entry_is_decoded_as_encoded():
    assert decode_node(as_row("vm-1", 1).value) == ENTRY


@pytest.mark.parametrize(
    "value", [b"", b"[]", b"{}", b'"x"', json.dumps({**ENTRY.to_value(), "host": 7})]
)
def test_a_row_in_another_format_is_ignored(value):
    assert decode_node(value) is None


def test_entries_are_decoded_again_only_after_a_change():
    mirror = TableMirror("t")
    listed = MirrorVMList(mirror)
    assert listed.entries == {}
    mirror.apply(Changes((as_row("vm-1", 1),), 1, complete=True))
    first = listed.entries
    assert first == {"vm-1": ENTRY}
    assert listed.entries is first
    mirror.apply(Changes((as_row("vm-2", 2), StoredRow("vm-3", 2, b"?")), 2, False))
    assert set(listed.entries) == {"vm-1", "vm-2"}


def test_a_newer_row_at_an_unchanged_table_version_is_decoded():
    """A table read in pages may hold rows newer than its version."""
    mirror = TableMirror("t")
    listed = MirrorVMList(mirror)
    mirror.apply(Changes((as_row("vm-1", 1),), 1, complete=True))
    assert set(listed.entries) == {"vm-1"}
    mirror.apply(Changes((as_row("vm-2", 2),), 1, complete=False))
    assert set(listed.entries) == {"vm-1", "vm-2"}
