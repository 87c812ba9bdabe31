"""Calls that every daemon makes: probes, changes of mirrored tables, queries."""

import asyncio
import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import orjson

from marjoramstile.logs import get_logger
from marjoramstile.membership.prober import Probe
from marjoramstile.membership.view import Peer
from marjoramstile.mirrors.mirror import PeerChanges
from marjoramstile.peers.connections import Connections
from marjoramstile.peers.membership_messages import (
    changes_from_wire,
    probe_from_wire,
    probe_to_wire,
    table_version_to_wire,
)

CALL_TIMEOUT_S = 0.5
QUERY_TIMEOUT_S = 2.0
LONG_ROWS_TIMEOUT_S = 2.0
# Daemons that are sent the same query concurrently.
CONCURRENT_QUERIES_MAX = 32

T = TypeVar("T")

logger = get_logger(__name__)


@dataclass(frozen=True)
class JoinedRows:
    """Rows of all daemons that answered, and the VMs of those that did not."""

    rows: list[dict[str, Any]]
    silent: list[str]


def _decoded(peer: Peer, decode: Callable[[Any], T], wire: Any) -> T | None:
    """Return a decoded answer; None if there is none, or it can't be decoded."""
    if wire is None:
        return None
    try:
        return decode(wire)
    except (ValueError, TypeError, AttributeError) as error:
        logger.warning("answer_unreadable", peer=peer.vm.name, reason=repr(error))
        return None


class MembershipClient:
    """Sends messages to the daemons of a view; None means no answer."""

    def __init__(
        self, connections: Connections, peers_port: int, probe_timeout_s: float
    ):
        self._connections = connections
        self._peers_port = peers_port
        self._probe_timeout_s = probe_timeout_s

    async def _call(
        self, peer: Peer, method: str, *arguments: Any, timeout_s: float
    ) -> Any | None:
        address = f"{peer.vm.host}:{self._peers_port}"
        return await self._connections.call(
            address, method, *arguments, timeout_s=timeout_s
        )

    async def probe(self, peer: Peer, probe: Probe) -> Probe | None:
        """Probe a daemon."""
        wire = await self._call(
            peer, "probe", probe_to_wire(probe), timeout_s=self._probe_timeout_s
        )
        return _decoded(peer, probe_from_wire, wire)

    async def probe_through(self, peer: Peer, target: str) -> bool:
        """Ask a daemon to probe ``target``."""
        answer = await self._call(
            peer, "probe_through", target, timeout_s=2 * self._probe_timeout_s
        )
        return bool(answer)

    async def changes(
        self, peer: Peer, versions: Mapping[str, int], whole: bool
    ) -> dict[str, PeerChanges] | None:
        """Ask a daemon for changes of mirrored tables after their versions.

        ``whole`` includes long rows, which take longer to send.
        """
        asked = [
            table_version_to_wire(table, after) for table, after in versions.items()
        ]
        timeout_s = LONG_ROWS_TIMEOUT_S if whole else CALL_TIMEOUT_S
        wire = await self._call(peer, "changes", asked, whole, timeout_s=timeout_s)
        if wire is None or len(wire) != len(versions):
            return None
        changes = [_decoded(peer, changes_from_wire, item) for item in wire]
        if None in changes:
            return None
        return dict(zip(versions, changes, strict=True))

    async def query(self, peer: Peer, request: dict[str, Any]) -> Any | None:
        """Send a daemon an operator's query."""
        answer = await self._call(
            peer, "query", json.dumps(request), timeout_s=QUERY_TIMEOUT_S
        )
        return _decoded(peer, orjson.loads, answer)

    async def query_rows(
        self, peers: Sequence[Peer], request: dict[str, Any]
    ) -> JoinedRows:
        """Send several daemons the same query; join the rows of their answers."""
        semaphore = asyncio.Semaphore(CONCURRENT_QUERIES_MAX)

        async def ask(peer: Peer) -> list[dict[str, Any]] | None:
            async with semaphore:
                return await self.query(peer, request)

        answers = await asyncio.gather(*(ask(peer) for peer in peers))
        joined = JoinedRows([], [])
        for peer, answer in zip(peers, answers, strict=True):
            if answer is None:
                joined.silent.append(peer.vm.name)
            else:
                joined.rows.extend(answer)
        return joined
