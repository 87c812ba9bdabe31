"""Port of the schedulers to the limits that replicas name."""

from typing import Protocol

from marjoramstile.routes.replica_types import Replica


class ReplicaPermits(Protocol):
    """Tells whether requests may be sent to replicas, and counts those that are."""

    def is_limited(self, replica: Replica) -> bool:
        """Return whether a replica names a limit."""

    def wait_s(self, replica: Replica) -> float:
        """Return the time until a request may be sent to a replica; 0 if now."""

    def record_use(self, replica: Replica) -> None:
        """Count a request that is going to be sent."""

    def give_back(self, replica: Replica) -> None:
        """Undo ``record_use`` for a request that was not sent."""


class UnlimitedPermits:
    """Permits of replicas that name no limit."""

    def is_limited(self, replica: Replica) -> bool:
        """Return false."""
        return False

    def wait_s(self, replica: Replica) -> float:
        """Return 0."""
        return 0.0

    def record_use(self, replica: Replica) -> None:
        """Do nothing."""

    def give_back(self, replica: Replica) -> None:
        """Do nothing."""


UNLIMITED = UnlimitedPermits()
