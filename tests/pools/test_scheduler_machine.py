"""Invariants of a scheduler under any sequence of messages, replicas and time."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marjoramstile.pools.messages import (
    LeaseOutcome,
    LeaseRenewal,
    PlacementCancel,
    PlacementGrant,
    PlacementQueued,
    PlacementRefusal,
)
from marjoramstile.routes.replica_types import Stage
from tests.pools.support import ENGINE, SERVICE, Pool, replica, request

CONTENTS = st.sampled_from(["c0", "c1", "c2", "c3"])


class SchedulerMachine(RuleBasedStateMachine):
    """Daemons that request, poll, cancel, renew and end leases, or stop sending."""

    def __init__(self):
        super().__init__()
        self.pool = Pool(prefill=1, decode=2)
        self.asked: dict = {}
        self.final: dict = {}
        self.number = 0

    def _check_answers(self) -> None:
        """Check that each request has at most one final answer, and record it."""
        for answer in self.pool.answers:
            if isinstance(answer, PlacementQueued):
                assert answer.id not in self.final
                continue
            known = self.final.setdefault(answer.id, answer)
            assert known == answer
        self.pool.answers.clear()

    @rule(
        content=CONTENTS,
        prompt=st.integers(100, 20_000),
        output=st.integers(1, 5000),
        resumed=st.booleans(),
        polls=st.booleans(),
    )
    def ask(self, content, prompt, output, resumed, polls):
        """Send a new placement request."""
        self.number += 1
        item = request(
            f"q{self.number}",
            content=content,
            prompt_tokens=prompt,
            output_tokens=output,
            tokens=prompt + output // 2,
            resumed=resumed,
        )
        self.asked[item.id] = item
        self.pool.scheduler.ask(item, ENGINE, self.pool.now, polls)
        self.pool.collect()
        self._check_answers()

    @rule(data=st.data())
    def ask_again(self, data):
        """Repeat a request that has no final answer or still has its lease."""
        if self.asked:
            item = data.draw(st.sampled_from(list(self.asked.values())))
            ended = item.id in self.final and self._lease_of(item.id) is None
            if not ended:
                self.pool.scheduler.ask(item, ENGINE, self.pool.now, True)
                self.pool.collect()
                self._check_answers()

    def _lease_of(self, name):
        return self.pool.scheduler.leases.get(name)

    def _granted(self) -> list:
        return [
            (self.asked[name], answer)
            for name, answer in self.final.items()
            if isinstance(answer, PlacementGrant) and self._lease_of(name)
        ]

    @rule(data=st.data(), outcome=st.sampled_from(LeaseOutcome))
    def end(self, data, outcome):
        """End a lease with any outcome."""
        granted = self._granted()
        if granted:
            asked, grant = data.draw(st.sampled_from(granted))
            produced = data.draw(st.integers(0, 6000))
            self.pool.end(asked, grant, outcome, produced)
            assert self._lease_of(grant.id) is None
            self._check_answers()

    @rule(data=st.data())
    def cancel(self, data):
        """Cancel a request, whether granted or not."""
        if self.asked:
            name = data.draw(st.sampled_from(list(self.asked)))
            message = PlacementCancel(name, SERVICE, 0)
            self.pool.scheduler.cancel(message, self.pool.now)
            self.pool.collect()
            assert self._lease_of(name) is None
            self._check_answers()

    @rule(data=st.data())
    def renew(self, data):
        """Renew up to two of the leases."""
        for asked, grant in self._granted()[:2]:
            produced = data.draw(st.integers(0, 5000))
            usage = self.pool.usage(asked, grant, produced)
            renewal = LeaseRenewal(SERVICE, 0, (usage,))
            self.pool.scheduler.renew(renewal, self.pool.now)

    @rule(decode=st.integers(0, 3), prefill=st.integers(0, 2))
    def change_replicas(self, decode, prefill):
        """Add or remove replicas."""
        self.pool.replicas = {
            Stage.PREFILL: [replica(f"e{n}", Stage.PREFILL) for n in range(prefill)],
            Stage.DECODE: [replica(f"d{n}", Stage.DECODE) for n in range(decode)],
        }

    @rule(seconds=st.sampled_from([0.03, 0.3, 2.0]))
    def wait(self, seconds):
        """Advance the clock."""
        self.pool.wait(seconds, step_s=min(seconds, 0.1))
        self._check_answers()

    @invariant()
    def lease_totals_match_leases(self):
        """Compare the totals of each replica with the sum over its leases."""
        leases = list(self.pool.scheduler.leases)
        for number in range(3):
            name = f"d{number}"
            lease_totals = self.pool.scheduler.leases.lease_totals(name)
            here = [lease for lease in leases if lease.decode == name]
            assert lease_totals.requests == len(here)
            assert lease_totals.tokens == sum(lease.kv_tokens for lease in here)

    @invariant()
    def queued_requests_have_no_lease_and_a_deadline(self):
        """A queued request has no lease, and its deadline is within three seconds."""
        for waiting in self.pool.scheduler._queue:
            assert self._lease_of(waiting.request.id) is None
            assert waiting.deadline <= self.pool.now + 3.0

    def teardown(self):
        """Check that each queued request is answered, or dropped without polls."""
        self.pool.wait(4.0, step_s=0.1)
        self._check_answers()
        assert self.pool.scheduler.queued == 0
        for answer in self.final.values():
            if isinstance(answer, PlacementRefusal):
                assert answer.retry_after_s >= 1.0


TestScheduler = SchedulerMachine.TestCase
TestScheduler.settings = settings(max_examples=120, stateful_step_count=30)
