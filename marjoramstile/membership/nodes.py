"""Rows by which daemons find each other in the platform's store."""

import ipaddress
from collections.abc import Mapping
from dataclasses import asdict, dataclass, fields

from result import Ok, Result

from marjoramstile.json_fields import parse_object, split_address
from marjoramstile.logs import get_logger
from marjoramstile.mirrors.mirror import TableMirror
from marjoramstile.ports.feeds import StoredRow
from marjoramstile.ports.tables import StoreError
from marjoramstile.ports.vms import ListedState, ListedVM

NODES_TABLE = "marjoramstile-nodes"

logger = get_logger(__name__)


@dataclass(frozen=True)
class NodeEntry:
    """A daemon's row; ``front`` is the ``host:port`` that callers connect to."""

    host: str
    front: str
    data_centre: str
    region: str
    incarnation: str

    def to_value(self) -> dict[str, str]:
        """Return the row's value."""
        return asdict(self)


def decode_node(value: bytes) -> NodeEntry | None:
    """Return the daemon that a row describes; None if it describes none."""
    try:
        body = parse_object(value)
        entry = NodeEntry(*(body.text(field.name) for field in fields(NodeEntry)))
        ipaddress.ip_address(entry.host)
        split_address(entry.front)
    except ValueError as error:
        logger.warning("node_row_unreadable", reason=str(error))
        return None
    return entry


class MirrorVMList:
    """The daemons that have a row, as the prober's VM list."""

    def __init__(self, mirror: TableMirror):
        self._mirror = mirror
        self._entries: dict[str, NodeEntry] = {}
        self._stale = True
        mirror.subscribe(self._mark_stale)

    def _mark_stale(self, row: StoredRow) -> None:
        self._stale = True

    @property
    def entries(self) -> Mapping[str, NodeEntry]:
        """Daemons by VM name; the same object until a row changes."""
        if self._stale:
            self._stale = False
            decoded = {
                vm: decode_node(row.value or b"")
                for vm, row in self._mirror.rows.items()
            }
            self._entries = {vm: entry for vm, entry in decoded.items() if entry}
        return self._entries

    async def list_vms(self) -> Result[tuple[ListedVM, ...], StoreError]:
        """Return the VMs whose daemons have a row."""
        return Ok(
            tuple(
                ListedVM(
                    vm, entry.host, entry.data_centre, entry.region, ListedState.LIVE
                )
                for vm, entry in self.entries.items()
            )
        )
