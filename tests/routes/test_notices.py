"""Replicas that are leaving or ask for a pause get no requests meanwhile."""

import asyncio

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from marjoramstile.routes.notices import DEFAULT_PAUSE_S, PAUSE_MAX_S, ReplicaNotices
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.requests import RefusalReason, RequestRefusedError
from marjoramstile.routes.table import RouteKind
from marjoramstile.utils import loop_time
from tests.routes.support import RoutingCore, request, route

SERVICE = "ledger"
CALL = route(RouteKind.IDEMPOTENT)
STREAM = route(RouteKind.STREAM)


def replica(
    started_at_ms: int = 1, state: ReplicaState = ReplicaState.READY
) -> Replica:
    """Return an incarnation of one replica."""
    return Replica("r0", SERVICE, "h", 1, "a", 6, state, started_at_ms)


class NoticesMachine(RuleBasedStateMachine):
    """Rows, responses, restarts, outages of the store and time in any order.

    The model tracks the notices of each incarnation. The directory must never list a
    leaving one, nor one within a pause; after a pause only one trial request is sent.
    """

    def __init__(self):
        super().__init__()
        self.notices = ReplicaNotices()
        self.directory = ReplicaDirectory(self.notices)
        self.now = 0.0
        self.started_at_ms = 1
        self.left: set[int] = set()
        self.paused_until = 0.0
        self.directory.put(replica(), self.now)

    @property
    def is_usable(self) -> bool:
        """Whether the directory lists the replica as usable."""
        return bool(self.directory.usable(SERVICE))

    @rule(state=st.sampled_from(ReplicaState))
    def row(self, state):
        """Apply the replica's row again; it may be older than its responses."""
        self.directory.put(replica(self.started_at_ms, state), self.now)

    @rule(keep_s=st.sampled_from([0.0, 2.0]))
    def row_deleted(self, keep_s):
        """Delete the row, for good or while the store is unreachable."""
        self.directory.remove("r0", self.now + keep_s, self.now)

    @rule()
    def restart(self):
        """Restart the replica under the same id."""
        self.started_at_ms += 1
        self.paused_until = 0.0
        self.directory.put(replica(self.started_at_ms), self.now)

    @rule()
    def announces_leaving(self):
        """Receive a response of a replica that is leaving."""
        self.left.add(self.started_at_ms)
        self.notices.record_leaving(replica(self.started_at_ms))

    @rule(pause_s=st.sampled_from([0.2, 1.0, 5.0]))
    def asks_for_a_pause(self, pause_s):
        """Receive a 503 with Retry-After."""
        self.paused_until = max(self.paused_until, self.now + pause_s)
        self.notices.record_pause(replica(self.started_at_ms), str(pause_s), self.now)

    @precondition(lambda self: self.is_usable)
    @rule(answers=st.booleans())
    def send(self, answers):
        """Send a request; no other one is allowed while a trial is unanswered."""
        is_trial = self.paused_until > 0.0
        self.notices.record_sent(replica(self.started_at_ms), self.now)
        if is_trial:
            assert not self.is_usable
        if answers:
            self.notices.record_answered(replica(self.started_at_ms))
            self.paused_until = 0.0

    @rule(wait_s=st.sampled_from([0.1, 0.5, 3.0]))
    def wait(self, wait_s):
        """Let time pass."""
        self.now += wait_s
        self.directory.expire(self.now)

    @invariant()
    def leaving_or_paused_replicas_are_not_usable(self):
        """Compare the directory's list with the replica's notices."""
        if self.started_at_ms in self.left or self.now < self.paused_until:
            assert not self.is_usable


TestNotices = NoticesMachine.TestCase
TestNotices.settings = settings(max_examples=150, stateful_step_count=30)


def test_a_leaving_replica_is_not_used_whatever_its_row_contains():
    notices = ReplicaNotices()
    directory = ReplicaDirectory(notices)
    directory.put(replica(), 0.0)
    notices.record_leaving(replica())
    directory.put(replica(), 1.0)
    directory.remove("r0", 0.0, 1.0)
    directory.put(replica(), 2.0)
    assert directory.usable(SERVICE) == []
    directory.put(replica(started_at_ms=2), 3.0)
    assert directory.usable(SERVICE) == [replica(started_at_ms=2)]


@pytest.mark.parametrize(
    ("wanted", "pause_s"),
    [
        ("0.5", 0.5),
        ("-3", DEFAULT_PAUSE_S),
        ("soon", DEFAULT_PAUSE_S),
        ("nan", DEFAULT_PAUSE_S),
        ("Fri, 04 Dec 2026 10:00:00 GMT", DEFAULT_PAUSE_S),
        ("1e9", PAUSE_MAX_S),
        ("0", 0.0),
    ],
)
def test_a_pause_that_is_invalid_or_too_long_is_bounded(wanted, pause_s):
    notices = ReplicaNotices()
    notices.record_pause(replica(), wanted, 10.0)
    assert notices.pause_left_s(replica(), 10.0) == pytest.approx(pause_s)


def test_a_pause_outlives_the_row_of_its_replica():
    """A row may expire while the store is away, and be written again."""
    notices = ReplicaNotices()
    directory = ReplicaDirectory(notices)
    directory.put(replica())
    notices.record_pause(replica(), "9", 0.0)
    directory.remove("r0", keep_until=0.0, now=1.0)
    directory.put(replica())
    assert directory.usable(SERVICE) == []


def test_an_unanswered_trial_is_followed_by_another():
    notices = ReplicaNotices()
    directory = ReplicaDirectory(notices)
    directory.put(replica(), 0.0)
    notices.record_pause(replica(), "1", 0.0)
    directory.expire(1.0)
    notices.record_sent(replica(), 1.0)
    assert directory.usable(SERVICE) == []
    directory.expire(2.1)
    assert directory.usable(SERVICE) == [replica()]


async def test_a_call_is_refused_at_once_while_all_replicas_are_paused():
    core = RoutingCore()
    for fake in core.add_plain(2):
        core.directory._notices.record_pause(fake.replica, "3", loop_time())
    began = loop_time()
    with pytest.raises(RequestRefusedError) as refusal:
        await core.calls.run(request("q", CALL))
    assert refusal.value.reason == RefusalReason.PAUSED
    assert refusal.value.retry_after_s == pytest.approx(3.0, abs=0.1)
    assert loop_time() - began < 0.05


async def test_a_generation_is_refused_at_once_while_all_replicas_are_paused():
    core = RoutingCore()
    core.add_engines(1, 2)
    for name in ("d0", "d1"):
        engine = core.pool.replicas[name].replica
        core.directory._notices.record_pause(engine, "5", loop_time())
    began = loop_time()
    with pytest.raises(RequestRefusedError) as refusal:
        await core.generate(request("q", STREAM))
    assert refusal.value.reason == RefusalReason.PAUSED
    assert loop_time() - began < 0.05


@pytest.mark.parametrize("leaves", [True, False])
async def test_a_reservation_is_not_used_once_its_replica_leaves_or_pauses(leaves):
    core = RoutingCore()
    core.add_engines(1, 2)
    notices = core.directory._notices
    refused = []

    def at_prefill(replica_of_prefill):
        for name, fake in core.pool.replicas.items():
            if fake.holds and not refused:
                refused.append(name)
                if leaves:
                    notices.record_leaving(fake.replica)
                else:
                    notices.record_pause(fake.replica, "2", loop_time())

    prefill = core.pool.prefill

    async def prefill_then_notice(target, *arguments):
        handle = await prefill(target, *arguments)
        at_prefill(target)
        return handle

    core.pool.prefill = prefill_then_notice
    caller = await core.generate(request("q", STREAM))
    assert caller.complete
    assert len(refused) == 1
    engine = core.pool.replicas[refused[0]]
    assert engine.replica.stage == Stage.DECODE
    assert core.pool.runs["q"] == 1
    await asyncio.sleep(0)
