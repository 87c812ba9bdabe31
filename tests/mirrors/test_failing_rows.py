"""A row that a listener can't apply hurts itself alone."""

from marjoramstile.mirrors.mirror import DocumentMirror, TableMirror
from marjoramstile.ports.feeds import Changes, StoredRow


def rows(*keys: str, version: int = 1) -> tuple[StoredRow, ...]:
    """Return rows with these keys."""
    return tuple(StoredRow(key, version, key.encode()) for key in keys)


def raise_at(name: str, applied: list[str]):
    """Return a listener that fails with any error for one row."""

    def listener(row: StoredRow) -> None:
        if row.key == name:
            raise RecursionError("nested too deep")
        applied.append(row.key)

    return listener


def test_the_rows_after_one_that_fails_are_applied():
    """The error left the mirror, and ended the task that followed the table."""
    mirror = TableMirror("servers")
    applied: list[str] = []
    failed: list[str] = []
    mirror.subscribe(raise_at("b", applied))
    mirror.on_failed_row(failed.append)
    mirror.apply(Changes(rows("a", "b", "c"), 1, complete=True))
    mirror.apply(Changes(rows("d", version=2), 2, complete=False))
    assert applied == ["a", "c", "d"]
    assert failed == ["servers"]
    assert mirror.version == 2


def test_the_listeners_after_one_that_fails_are_called():
    mirror = TableMirror("servers")
    applied: list[str] = []
    mirror.subscribe(raise_at("a", []))
    mirror.subscribe(raise_at("", applied))
    mirror.apply(Changes(rows("a"), 1, complete=True))
    assert applied == ["a"]


def test_a_document_whose_version_can_not_be_read_is_not_taken():
    def version(value: bytes) -> int:
        if value == b"bad":
            raise OverflowError
        return int(value)

    mirror = DocumentMirror("op", version)
    taken: list[bytes] = []
    mirror.subscribe(lambda row: taken.append(row.value))
    for number, value in enumerate((b"7", b"bad", b"8"), start=1):
        row = StoredRow("config", number, value)
        mirror.apply(Changes((row,), number, complete=False))
    assert taken == [b"7", b"8"]
