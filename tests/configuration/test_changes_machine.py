"""State machine of changes: the specification's invariants, checked on the code."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from marjoramstile.configuration.edits import Edit
from tests.machines import MACHINE_SETTINGS, DaemonMachine

IN_FORCE_LIMIT_S = 11.0
SETTLE_S = 40.0
STEPS = st.sampled_from([0.003, 0.006, 0.009, 0.02, 1, 8, 15])
NUMBERS = st.integers(1, 3)


class ChangeMachine(DaemonMachine):
    """Changes the configuration while the store, the network and daemons fail."""

    def __init__(self):
        super().__init__()
        self.share = 1
        self.highest_versions = {}
        self.accepted = []
        self.committed_at = {}

    async def _change(self, node, share):
        edit = Edit("workspaces", "first", {"share": share})
        answer = await node.coordinator.change([edit], "machine")
        if answer.is_ok():
            self.accepted.append((answer.unwrap().version, share))

    @rule(number=NUMBERS, seconds=STEPS)
    def change(self, number, seconds):
        """Start a change on a daemon and let time pass."""
        if self.node(number) is not None:
            self.share += 1
            self.start(self._change(self.node(number), self.share))
            self.wait(seconds)

    def wait(self, seconds):
        """Let time pass in small steps, recording when versions are committed."""
        while seconds > 0:
            self.run(asyncio.sleep(min(1.0, seconds)))
            seconds -= 1
            self._check()

    @rule(seconds=STEPS)
    def have_outage(self, seconds):
        """Switch the store off for a while."""
        self.harness.platform.outage = True
        self.wait(seconds)
        self.harness.platform.outage = False

    @rule(number=NUMBERS, store=st.booleans(), peers=st.booleans())
    def cut_off(self, number, store, peers):
        """Cut a daemon from the store, from the others, or from both."""
        if store:
            self.harness.platform.cut.add(f"vm-{number}")
        if peers:
            names = {f"vm-{other}" for other in range(1, 4)} - {f"vm-{number}"}
            self.harness.network.separate({f"vm-{number}"}, names)

    @rule(seconds=STEPS)
    def heal(self, seconds):
        """End all cuts."""
        self.harness.platform.cut.clear()
        self.harness.network.heal()
        self.wait(seconds)

    @rule(count=st.integers(1, 2))
    def lose_answers(self, count):
        """Let the store lose the answers of its next ``count`` writes."""
        self.harness.platform.lose_answers = count

    @rule(number=NUMBERS)
    def kill_daemon(self, number):
        """Kill a daemon."""
        self.kill(number)

    @rule(number=NUMBERS)
    def restart_daemon(self, number):
        """Start a daemon again."""
        self.restart(number)

    def _current(self) -> int:
        value = self.harness.platform.tables.rows.get(("configuration", "current"))
        return value[1]["version"] if value else 0

    @invariant()
    def invariants_hold(self):
        """Check the invariants after each rule.

        A daemon's version never decreases and never exceeds the committed one. A
        daemon that is behind serves the workspace only with the change prepared, and
        at most ``IN_FORCE_LIMIT_S`` after the commit of the first version it misses.
        """
        self._check()

    def _check(self):
        now = self.loop.time()
        current = self._current()
        self.committed_at.setdefault(current, now)
        for node in self.harness.nodes.values():
            version = node.keeper.state.version
            token = node.view.own.incarnation
            assert version >= self.highest_versions.get(token, 0)
            assert version <= current
            self.highest_versions[token] = version
            if version < current and self._serves(node):
                assert node.keeper.state.prepared is not None
                outdated_since = self.committed_at[version + 1]
                assert now - outdated_since <= IN_FORCE_LIMIT_S

    def _serves(self, node) -> bool:
        """Tell whether the daemon serves the workspace that changes touch."""

        async def serves() -> bool:
            return node.keeper.refusal("desk", "first") is None

        return self.run(serves())

    def teardown(self):
        """End all faults; every daemon must then have the last version."""
        self.harness.platform.outage = False
        self.harness.platform.cut.clear()
        self.harness.network.heal()
        self.run(asyncio.sleep(SETTLE_S))
        current = self._current()
        for node in self.harness.nodes.values():
            assert node.keeper.state.version == current
        for version, share in self.accepted:
            assert version <= current
            if version == current:
                node = next(iter(self.harness.nodes.values()))
                found = node.keeper.configuration.workspaces["first"].share
                assert found == share
        super().teardown()


ChangeMachine.TestCase.settings = MACHINE_SETTINGS
TestChanges = ChangeMachine.TestCase
