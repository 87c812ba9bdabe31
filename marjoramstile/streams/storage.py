"""What the store keeps of streams, for the time after a kill of all daemons.

Each service has a row with its software versions, written when they change. While two
versions serve, or have done so lately, the first keeper of each bucket writes the
streams that were recorded since its last write, in the next row of a ring. The rows of
a ring are removed when one version has served alone for a while.
"""

from collections import deque
from dataclasses import dataclass, field, replace

from result import Result

from marjoramstile.json_fields import MalformedJSONError, parse_object
from marjoramstile.logs import get_logger
from marjoramstile.ports.feeds import Changes, StoredRow, TableFeed, unchanged
from marjoramstile.ports.tables import (
    ABSENT,
    Committed,
    Condition,
    StoreError,
    Write,
)
from marjoramstile.routes.order_ports import OrderStore
from marjoramstile.streams.registry import StreamRegistry
from marjoramstile.streams.versions import (
    StoredVersions,
    VersionHistory,
    decode_versions,
)
from marjoramstile.utils import loop_time

STREAMS_TABLE = "marjoramstile-streams"
VERSIONS_PREFIX = "versions/"
RING_PREFIX = "streams/"
# Rows of a ring; at four a second they reach back for 16 s.
RING_ROWS = 64
# Streams in one row.
STREAMS_PER_ROW = 2000
REMOVED_PER_CALL = 100

logger = get_logger(__name__)

Bucket = tuple[str, int]


@dataclass
class _Ring:
    """Rows to write next, oldest first, and the versions of streams as stored."""

    slots: deque[int]
    stored: dict[str, str] = field(default_factory=dict)


class StreamStore:
    """Reads and writes the streams table."""

    def __init__(
        self,
        feed: TableFeed,
        store: OrderStore,
        registry: StreamRegistry,
        history: VersionHistory,
    ):
        self._feed = feed
        self._store = store
        self._registry = registry
        self._history = history
        self._versions: dict[str, StoredVersions] = {}
        self._rings: dict[Bucket, _Ring] = {}

    def stored_versions(self, service: str) -> StoredVersions | None:
        """Return a service's versions as this daemon last read or wrote them."""
        return self._versions.get(service)

    def forget(self) -> None:
        """Forget what is stored: a restored store may lack it."""
        self._versions.clear()
        self._rings.clear()

    async def load(self) -> bool:
        """Take over all rows; return whether the store could be read."""
        rows = await self._read_streams()
        if rows is None:
            return False
        now = loop_time()
        for row in rows:
            if row.key.startswith(VERSIONS_PREFIX):
                stored = decode_versions(row)
                if stored is not None:
                    service = row.key.removeprefix(VERSIONS_PREFIX)
                    self._versions[service] = stored
                    self._history.load(service, stored, now)
        logger.info(
            "streams_read", streams=len(self._registry), services=len(self._versions)
        )
        return True

    async def load_streams(self) -> bool:
        """Take over the rows of streams; return whether the store could be read."""
        return await self._read_streams() is not None

    async def _read_streams(self) -> tuple[StoredRow, ...] | None:
        """Take over the rows of streams; return all rows, None if they are unread."""
        answer = await self._feed.read_table(STREAMS_TABLE)
        if answer.is_err():
            logger.info("streams_not_read", reason=answer.unwrap_err().message)
            return None
        rows = answer.unwrap().rows
        now = loop_time()
        for row in rows:
            if not row.key.startswith(VERSIONS_PREFIX):
                for stream, version in _decode_streams(row).items():
                    self._registry.record(stream, version, now)
        return rows

    async def write_versions(
        self, service: str, present: set[str], forget_gone: bool
    ) -> None:
        """Store a service's versions if they differ from the stored ones."""
        key = VERSIONS_PREFIX + service
        answer = await self._store.read_row(STREAMS_TABLE, key)
        if answer.is_err():
            return
        read = answer.unwrap()
        stored = None if read.row is None else decode_versions(read.row)
        changed = (stored or StoredVersions()).changed_to(present)
        if forget_gone:
            changed = replace(changed, gone=())
        if changed != stored:
            condition = unchanged(STREAMS_TABLE, key, read.row)
            if not await self._write(key, changed.to_value(), condition):
                return
            logger.info(
                "versions_stored",
                service=service,
                present=" ".join(changed.present),
                gone=" ".join(changed.gone),
            )
        self._versions[service] = changed

    async def write_streams(self, bucket: Bucket, streams: dict[str, str]) -> None:
        """Store the streams of a bucket that are not stored yet."""
        ring = self._rings.get(bucket) or await self._open_ring(bucket)
        if ring is None:
            return
        ring.stored = {
            stream: version
            for stream, version in ring.stored.items()
            if stream in streams
        }
        missing = [
            stream
            for stream, version in streams.items()
            if ring.stored.get(stream) != version
        ]
        for start in range(0, len(missing), STREAMS_PER_ROW):
            chunk = missing[start : start + STREAMS_PER_ROW]
            if not await self._write_row(bucket, ring, chunk, streams):
                return

    async def _write_row(
        self, bucket: Bucket, ring: _Ring, chunk: list[str], streams: dict[str, str]
    ) -> bool:
        by_version: dict[str, list[str]] = {}
        for stream in chunk:
            by_version.setdefault(streams[stream], []).append(stream)
        key = f"{_ring_prefix(bucket)}{ring.slots[0]}"
        if not await self._write(key, by_version):
            return False
        ring.slots.rotate(-1)
        ring.stored |= {stream: streams[stream] for stream in chunk}
        logger.debug("streams_stored", row=key, streams=len(chunk))
        return True

    async def _open_ring(self, bucket: Bucket) -> _Ring | None:
        """Return a ring that continues after its newest row; None if it is unread."""
        answer = await self._read_ring(bucket)
        if answer.is_err():
            return None
        versions = dict.fromkeys(range(RING_ROWS), ABSENT)
        for row in answer.unwrap():
            slot = row.key.removeprefix(_ring_prefix(bucket))
            if slot.isdecimal() and int(slot) in versions:
                versions[int(slot)] = row.version
        slots = deque(sorted(versions, key=versions.__getitem__))
        self._rings[bucket] = _Ring(slots)
        return self._rings[bucket]

    async def _read_ring(self, bucket: Bucket) -> Result[list[StoredRow], StoreError]:
        def rows_of_ring(changes: Changes) -> list[StoredRow]:
            prefix = _ring_prefix(bucket)
            return [row for row in changes.rows if row.key.startswith(prefix)]

        return (await self._feed.read_table(STREAMS_TABLE)).map(rows_of_ring)

    async def remove_ring(self, bucket: Bucket) -> None:
        """Remove the rows of a ring that this daemon has written to."""
        if bucket not in self._rings:
            return
        answer = await self._read_ring(bucket)
        if answer.is_err():
            return
        keys = [row.key for row in answer.unwrap()]
        for start in range(0, len(keys), REMOVED_PER_CALL):
            chunk = keys[start : start + REMOVED_PER_CALL]
            writes = [Write(STREAMS_TABLE, key, None) for key in chunk]
            if (await self._store.transact([], writes)).is_err():
                return
        del self._rings[bucket]

    async def _write(
        self, key: str, value: dict, condition: Condition | None = None
    ) -> bool:
        writes = [Write(STREAMS_TABLE, key, value)]
        conditions = [] if condition is None else [condition]
        answer = await self._store.transact(conditions, writes)
        return answer.is_ok() and isinstance(answer.unwrap(), Committed)


def _ring_prefix(bucket: Bucket) -> str:
    service, number = bucket
    return f"{RING_PREFIX}{service}/{number}/"


def _decode_streams(row: StoredRow) -> dict[str, str]:
    """Return the versions of a row's streams; nothing if it is malformed."""
    if row.value is None:
        return {}
    try:
        body = parse_object(row.value)
        return {
            stream: version for version in body.names for stream in body.texts(version)
        }
    except MalformedJSONError as error:
        logger.warning("streams_row_unreadable", row=row.key, reason=str(error))
        return {}
