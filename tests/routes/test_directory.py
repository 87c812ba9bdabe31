"""The directory's cached lists of usable replicas are current after any changes."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.replicas import ReplicaDirectory, Standing

NAMES = st.sampled_from(["r0", "r1", "r2"])
SERVICES = ("one", "two")
STAGES = (None, Stage.PREFILL, Stage.DECODE)


class DirectoryMachine(RuleBasedStateMachine):
    """Rows, orders, answers and time in any order."""

    def __init__(self):
        super().__init__()
        self.directory = ReplicaDirectory()
        self.now = 0.0

    @rule(
        name=NAMES,
        service=st.sampled_from(SERVICES),
        stage=st.sampled_from(STAGES),
        state=st.sampled_from(ReplicaState),
        started_at_ms=st.integers(1, 2),
    )
    def put(self, name, service, stage, state, started_at_ms):
        """Apply a row."""
        replica = Replica(
            name, service, "h", 1, "a", 6, state, started_at_ms, stage=stage
        )
        self.directory.put(replica, self.now)

    @rule(name=NAMES, keep_s=st.sampled_from([0.0, 2.0]))
    def remove(self, name, keep_s):
        """Delete a row, for good or while the store is unreachable."""
        self.directory.remove(name, self.now + keep_s, self.now)

    @rule(name=NAMES, stage=st.sampled_from(STAGES[1:]))
    def order(self, name, stage):
        """Order a replica into a stage."""
        self.directory.record_move(name, stage, self.now + 3.0)

    @rule(name=NAMES)
    def refuse_order(self, name):
        """Handle the refusal of an order."""
        self.directory.forget_move(name)

    @rule(name=NAMES)
    def misdirect(self, name):
        """Receive a 421 for a replica."""
        replica = self.directory.get(name)
        if replica is not None:
            self.directory.record_misdirected(replica)

    @rule(pause_s=st.sampled_from([0.5, 4.0]))
    def wait(self, pause_s):
        """Let time pass."""
        self.now += pause_s
        self.directory.expire(self.now)

    @invariant()
    def cached_lists_are_current(self):
        """Compare every list with one computed from scratch."""
        for service in SERVICES:
            for stage in STAGES:
                wanted = [
                    replica
                    for replica in self.directory.all
                    if (replica.service, replica.stage) == (service, stage)
                    and self.directory.standing(replica)
                    in (Standing.USED, Standing.MISSING)
                ]
                assert self.directory.usable(service, stage) == wanted


TestDirectory = DirectoryMachine.TestCase
TestDirectory.settings = settings(max_examples=60, stateful_step_count=30)
