"""State machine test of calls: checks the specification's invariants on the code."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from marjoramstile.endpoints.errors import EndpointProblem
from marjoramstile.results import Ran, ResultCode
from tests.machines import MACHINE_SETTINGS, DaemonMachine
from tests.support import booking, run_call

NUMBERS = st.integers(1, 3)
STEPS = st.sampled_from([0.001, 0.0045, 0.01, 0.03, 1.5, 12])
SETTLE_S = 30.0
KEYS = st.sampled_from(["k1", "k2"])


class CallMachine(DaemonMachine):
    """Sends calls through any daemon while the store, endpoints and daemons fail."""

    def __init__(self):
        super().__init__()
        self.answers = {}
        self.wrong = []

    async def _call(self, node, key):
        before = self.harness.plain.runs_of(key)
        answer = await run_call(node, booking(node, key))
        if answer.is_ok():
            body = answer.unwrap().body
            if self.answers.setdefault(key, body) != body:
                self.wrong.append(f"{key} got two different answers")
            return
        failure = answer.unwrap_err()
        if failure.code == ResultCode.STORE_UNAVAILABLE and failure.ran == Ran.NO:
            ran = self.harness.plain.runs_of(key)
            if ran > before and len(self.tasks) == 1:
                self.wrong.append(f"{key} was reported as not run but ran")

    @rule(number=NUMBERS, key=KEYS, seconds=STEPS)
    def call(self, number, key, seconds):
        """Send a call through a daemon and advance the clock while it runs."""
        if self.node(number) is not None:
            self.start(self._call(self.node(number), key))
            self.run(asyncio.sleep(seconds))

    @rule(seconds=STEPS)
    def have_outage(self, seconds):
        """Make the store unavailable for ``seconds``."""
        self.harness.platform.outage = True
        self.run(asyncio.sleep(seconds))
        self.harness.platform.outage = False

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        """Make the store lose its next ``count`` answers."""
        self.harness.platform.lose_answers = count

    @rule(count=st.integers(1, 2))
    def delay_writes(self, count):
        """Make the next ``count`` writes take effect late."""
        self.harness.platform.late_writes = count

    @rule(problem=st.sampled_from(list(EndpointProblem)[:3]))
    def fail_endpoint(self, problem):
        """Make the endpoint fail its next call."""
        self.harness.plain.faults.append(problem)

    @rule(number=NUMBERS)
    def kill_daemon(self, number):
        """Kill a daemon."""
        self.kill(number)

    @rule(number=NUMBERS)
    def restart_daemon(self, number):
        """Start a daemon again."""
        self.restart(number)

    @invariant()
    def runs_at_most_once(self):
        """No call runs twice, and no answer contradicts what was executed."""
        for key in ("k1", "k2"):
            assert self.harness.plain.runs_of(key) <= 1
        assert self.wrong == []

    def teardown(self):
        """Let calls in flight end and check the invariants once more."""
        self.run(asyncio.sleep(SETTLE_S))
        self.runs_at_most_once()
        super().teardown()


CallMachine.TestCase.settings = MACHINE_SETTINGS
TestCalls = CallMachine.TestCase
