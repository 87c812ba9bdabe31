"""For how long replicas that gave no place are left out.

One that had no room is asked again soon. One that gave no answer is believed to be lost
only when daemons of two VMs say so: one of them may itself be cut off.
"""

from collections import defaultdict

# Pauses double each time until a generation runs there again.
NO_ROOM_BACKOFF_S = 0.12
NO_ROOM_BACKOFF_MAX_S = 0.5
UNREACHABLE_BACKOFF_S = 0.5
UNREACHABLE_BACKOFF_MAX_S = 4.0
# VMs that must have had no answer from a replica.
UNREACHABLE_REPORTERS = 2


class ReplicaBackoff:
    """Pauses by replica id."""

    def __init__(self):
        self._until: dict[str, float] = {}
        self._unreachable_until: dict[str, float] = {}
        self._no_room_s: dict[str, float] = {}
        self._unreachable_s: dict[str, float] = {}
        self._reporters: dict[str, set[str]] = defaultdict(set)

    def in_backoff(self, replica_id: str, now: float) -> bool:
        """Tell whether a replica is left out."""
        return now < self._until.get(replica_id, 0.0)

    def is_unreachable(self, replica_id: str, now: float) -> bool:
        """Tell whether a replica is left out as one that answers nobody."""
        return now < self._unreachable_until.get(replica_id, 0.0)

    def record_no_room(self, replica_id: str, now: float) -> None:
        """Note that a replica had less room than its leases leave."""
        backoff_s = self._no_room_s.get(replica_id, NO_ROOM_BACKOFF_S)
        self._no_room_s[replica_id] = min(2 * backoff_s, NO_ROOM_BACKOFF_MAX_S)
        self._back_off(replica_id, now + backoff_s)

    def record_no_answer(self, replica_id: str, reporter: str, now: float) -> None:
        """Note that a replica gave the daemon ``witness`` no answer."""
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
        """Note that a generation goes on at a replica."""
        self._no_room_s.pop(replica_id, None)
        self._unreachable_s.pop(replica_id, None)
        self._reporters.pop(replica_id, None)
        self._unreachable_until.pop(replica_id, None)

    def _back_off(self, replica_id: str, until: float) -> None:
        self._until[replica_id] = max(until, self._until.get(replica_id, 0.0))
