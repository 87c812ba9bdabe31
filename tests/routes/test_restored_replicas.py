"""Replicas whose rows go back to those of an older copy of the store."""

from dataclasses import replace

from marjoramstile.routes.replica_types import Replica, ReplicaState
from marjoramstile.routes.replicas import ReplicaDirectory, Standing

READY = Replica("r0", "one", "h", 1, "a", 6, ReplicaState.READY, 1)
DRAINING = replace(READY, state=ReplicaState.DRAINING)


def directory_of(*rows: Replica) -> ReplicaDirectory:
    """Return a directory to which a replica's rows have been applied in turn."""
    directory = ReplicaDirectory()
    for row in rows:
        directory.put(row)
    return directory


def test_a_replica_that_leaves_is_ready_again_by_an_older_row():
    directory = directory_of(READY, DRAINING, READY)
    assert directory.usable("one") == []
    assert directory.standing(directory.get("r0")) == Standing.DRAINING


def test_the_next_incarnation_of_a_replica_that_left_is_used():
    directory = directory_of(READY, DRAINING, replace(READY, started_at_ms=2))
    assert [replica.started_at_ms for replica in directory.usable("one")] == [2]
