"""Which datagrams are read: all those of known VMs, and few bytes of others.

Anybody who reaches the port can send messages that are well-formed and name what
doesn't exist. What a daemon keeps of them for a while is bounded by their rate. A VM
whose row has not been read yet sends few.
"""

from collections.abc import Callable, Mapping

from marjoramstile.log_summaries import EventSummary
from marjoramstile.logs import get_logger
from marjoramstile.membership.nodes import NodeEntry
from marjoramstile.membership.view import View
from marjoramstile.utils import loop_time

# Bytes a second that are read of all other addresses together, and at one time.
UNKNOWN_BYTES_PER_S = 16_384
UNKNOWN_BURST_BYTES = 65_536

logger = get_logger(__name__)


class DatagramSources:
    """Admits datagrams by the address of their sender and by their size."""

    def __init__(
        self,
        view: View,
        entries: Callable[[], Mapping[str, NodeEntry]],
        on_refused: Callable[[str, str], None] = lambda name, kind: None,
    ):
        """``entries`` returns the VMs that have a row, the same until one changes.

        ``on_refused`` gets a counter's name and an empty kind.
        """
        self._view = view
        self._entries = entries
        self._on_refused = on_refused
        self._refused = EventSummary(logger, "datagrams_of_unknown_sources")
        # Addresses of the VMs in the view, and of those that have a row.
        self._viewed: frozenset[str] = frozenset()
        self._viewed_generation = -1
        self._listed: frozenset[str] = frozenset()
        self._listed_entries: Mapping[str, NodeEntry] | None = None
        self._allowed_bytes = float(UNKNOWN_BURST_BYTES)
        self._refilled_at = loop_time()

    def admits(self, host: str, size: int) -> bool:
        """Return whether to read a datagram of a size from an IP address."""
        if self._is_viewed(host) or self._is_listed(host) or self._take(size):
            return True
        self._on_refused("datagrams_refused", "")
        self._refused.count({}, peer=host)
        return False

    def _is_viewed(self, host: str) -> bool:
        if self._viewed_generation != self._view.generation:
            self._viewed_generation = self._view.generation
            self._viewed = frozenset(peer.vm.host for peer in self._view.peers)
        return host in self._viewed

    def _is_listed(self, host: str) -> bool:
        """Return whether a VM has a row; the view follows the rows with a delay."""
        entries = self._entries()
        if entries is not self._listed_entries:
            self._listed_entries = entries
            self._listed = frozenset(entry.host for entry in entries.values())
        return host in self._listed

    def _take(self, size: int) -> bool:
        """Take the bytes of a datagram from what all unknown addresses may send."""
        now = loop_time()
        gained = (now - self._refilled_at) * UNKNOWN_BYTES_PER_S
        self._refilled_at = now
        self._allowed_bytes = min(UNKNOWN_BURST_BYTES, self._allowed_bytes + gained)
        if size > self._allowed_bytes:
            return False
        self._allowed_bytes -= size
        return True
