"""For how long replicas that gave no place are left out.

One that had no room is asked again soon. One that gave no answer is believed to be lost
only when daemons of two VMs say so: one of them may itself be cut off.
"""

from collections import defaultdict

# Pauses double each time until a generation runs there again.
FULL_PAUSE_S = 0.12
FULL_PAUSE_MAX_S = 0.5
LOST_PAUSE_S = 0.5
LOST_PAUSE_MAX_S = 4.0
# VMs that must have had no answer from a replica.
WITNESSES = 2


class ReplicaPauses:
    """Pauses by replica id."""

    def __init__(self):
        self._until: dict[str, float] = {}
        self._lost_until: dict[str, float] = {}
        self._full_s: dict[str, float] = {}
        self._lost_s: dict[str, float] = {}
        self._witnesses: dict[str, set[str]] = defaultdict(set)

    def is_paused(self, replica_id: str, now: float) -> bool:
        """Tell whether a replica is left out."""
        return now < self._until.get(replica_id, 0.0)

    def is_lost(self, replica_id: str, now: float) -> bool:
        """Tell whether a replica is left out as one that answers nobody."""
        return now < self._lost_until.get(replica_id, 0.0)

    def note_full(self, replica_id: str, now: float) -> None:
        """Note that a replica had less room than its leases leave."""
        pause_s = self._full_s.get(replica_id, FULL_PAUSE_S)
        self._full_s[replica_id] = min(2 * pause_s, FULL_PAUSE_MAX_S)
        self._pause(replica_id, now + pause_s)

    def note_silent(self, replica_id: str, witness: str, now: float) -> None:
        """Note that a replica gave the daemon ``witness`` no answer."""
        witnesses = self._witnesses[replica_id]
        witnesses.add(witness)
        if len(witnesses) < WITNESSES:
            self.note_full(replica_id, now)
            return
        pause_s = self._lost_s.get(replica_id, LOST_PAUSE_S)
        self._lost_s[replica_id] = min(2 * pause_s, LOST_PAUSE_MAX_S)
        self._lost_until[replica_id] = now + pause_s
        self._pause(replica_id, now + pause_s)

    def note_running(self, replica_id: str) -> None:
        """Note that a generation goes on at a replica."""
        self._full_s.pop(replica_id, None)
        self._lost_s.pop(replica_id, None)
        self._witnesses.pop(replica_id, None)
        self._lost_until.pop(replica_id, None)

    def _pause(self, replica_id: str, until: float) -> None:
        self._until[replica_id] = max(until, self._until.get(replica_id, 0.0))
