"""Backoff of replicas that refused a reservation or did not answer.

A replica without room is tried again soon. One that did not answer counts as
unreachable only if two daemons report so: a single one may itself be partitioned.
"""

from collections import defaultdict

# A backoff doubles each time until a generation makes progress on the replica again.
NO_ROOM_BACKOFF_S = 0.12
NO_ROOM_BACKOFF_MAX_S = 0.5
UNREACHABLE_BACKOFF_S = 0.5
UNREACHABLE_BACKOFF_MAX_S = 4.0
# Daemons that must have had no answer from a replica before it is unreachable.
UNREACHABLE_REPORTERS = 2


class ReplicaBackoff:
    """Backoff times by replica id; a pool's scheduler owns them."""

    def __init__(self):
        self._until: dict[str, float] = {}
        self._unreachable_until: dict[str, float] = {}
        self._no_room_s: dict[str, float] = {}
        self._unreachable_s: dict[str, float] = {}
        self._reporters: dict[str, set[str]] = defaultdict(set)

    def in_backoff(self, replica_id: str, now: float) -> bool:
        """Return whether a replica must not be chosen now."""
        return now < self._until.get(replica_id, 0.0)

    def is_unreachable(self, replica_id: str, now: float) -> bool:
        """Return whether a replica is in backoff because it answers no daemon."""
        return now < self._unreachable_until.get(replica_id, 0.0)

    def record_no_room(self, replica_id: str, now: float) -> None:
        """Record that a replica refused a reservation although its leases left room."""
        backoff_s = self._no_room_s.get(replica_id, NO_ROOM_BACKOFF_S)
        self._no_room_s[replica_id] = min(2 * backoff_s, NO_ROOM_BACKOFF_MAX_S)
        self._back_off(replica_id, now + backoff_s)

    def record_no_answer(self, replica_id: str, reporter: str, now: float) -> None:
        """Record that a replica did not answer the daemon ``reporter``."""
        reporters = self._reporters[replica_id]
        reporters.add(reporter)
        if len(reporters) < UNREACHABLE_REPORTERS:
            self.record_no_room(replica_id, now)
            return
        backoff_s = self._unreachable_s.get(replica_id, UNREACHABLE_BACKOFF_S)
        self._unreachable_s[replica_id] = min(2 * backoff_s, UNREACHABLE_BACKOFF_MAX_S)
        self._unreachable_until[replica_id] = now + backoff_s
        self._back_off(replica_id, now + backoff_s)

    def record_progress(self, replica_id: str) -> None:
        """Record progress of a generation on a replica, which resets its backoff."""
        self._no_room_s.pop(replica_id, None)
        self._unreachable_s.pop(replica_id, None)
        self._reporters.pop(replica_id, None)
        self._unreachable_until.pop(replica_id, None)

    def _back_off(self, replica_id: str, until: float) -> None:
        self._until[replica_id] = max(until, self._until.get(replica_id, 0.0))
