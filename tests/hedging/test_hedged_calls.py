"""Hedged requests over fake replicas on the paused clock."""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from marjoramstile.hedging.decision import HedgeRefusal
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.requests import (
    AnswerLostError,
    NotExecutedError,
    NotSentError,
    OutcomeUnknownError,
    Reply,
    RequestRefusedError,
    RoutedRequest,
)
from marjoramstile.routes.table import RouteKind
from marjoramstile.utils import loop_time
from standins.replica_pool import OK, STAMP, FakePool
from tests.routes.support import PLAIN, RoutingCore, request, route

USUAL_S = 0.03
SLOW_S = 0.8
SHARE = 0.05


@dataclass
class Script:
    """What replicas do with the requests of one id: one entry for each send."""

    steps: list[tuple[float, object]]
    sent: int = 0


@dataclass
class Send:
    """One request at a replica; ``ended_at`` is set when it has ended."""

    replica: str
    sent_at: float
    cancelled: bool = False
    ended_at: float | None = None


class ScriptedPool(FakePool):
    """Replicas that take a scripted time and give a scripted answer."""

    def __init__(self):
        super().__init__()
        self.scripts: dict[str, Script] = {}
        self.sends: dict[str, list[Send]] = {}
        self.latency_s = lambda replica: USUAL_S

    async def call(
        self, replica: Replica, request: RoutedRequest, timeout_s: float
    ) -> Reply:
        """Run a request as its script says; otherwise answer after ``latency_s``."""
        send = Send(replica.id, loop_time())
        self.sends.setdefault(request.id, []).append(send)
        takes_s, result = self._step(replica, request)
        try:
            await asyncio.sleep(min(takes_s, timeout_s))
        except asyncio.CancelledError:
            send.cancelled = True
            raise
        finally:
            send.ended_at = loop_time()
        if takes_s > timeout_s:
            raise AnswerLostError("timeout")
        if isinstance(result, Exception):
            raise result
        return Reply(result, STAMP, replica.id.encode())

    def _step(self, replica: Replica, request: RoutedRequest) -> tuple[float, object]:
        script = self.scripts.get(request.id)
        if script is None:
            return self.latency_s(replica), OK
        step = script.steps[min(script.sent, len(script.steps) - 1)]
        script.sent += 1
        return step


@dataclass
class Hedging:
    """A core that has learned the usual latency, with hedges saved up."""

    share: float = SHARE
    replicas: int = 4
    slack: float = 50.0
    core: RoutingCore = field(init=False)

    def __post_init__(self):
        self.pool = ScriptedPool()
        self.core = RoutingCore(
            pool=self.pool, slack=self.slack, hedge_max_share=self.share
        )
        self.core.add_plain(self.replicas)

    async def learn(self, calls: int = 200) -> None:
        """Run usual calls."""
        for number in range(calls):
            await self.call(f"usual-{number}")

    async def call(
        self, request_id: str, kind: RouteKind = RouteKind.IDEMPOTENT, **changes
    ):
        """Run a call; return its answer or its error."""
        on_route = route(kind, **changes)
        try:
            return await self.core.calls.run(request(request_id, on_route))
        except (OutcomeUnknownError, RequestRefusedError) as error:
            return error

    async def scripted(self, *steps, kind: RouteKind = RouteKind.IDEMPOTENT, **changes):
        """Learn, and run call ``q`` whose sends do what ``steps`` say."""
        await self.learn()
        self.pool.scripts["q"] = Script(list(steps))
        self.started = loop_time()
        answer = await self.call("q", kind, **changes)
        self.took_s = loop_time() - self.started
        return answer

    @property
    def sends(self) -> list[Send]:
        """The sends of call ``q``."""
        return self.pool.sends["q"]

    def count(self, name: str) -> int:
        """Return a counter's value."""
        return self.core.metrics.value(name, PLAIN)

    @property
    def refused(self) -> dict[HedgeRefusal, int]:
        """The hedges that were refused, by reason."""
        return dict(self.core.hedger.services[PLAIN].refused)


async def test_a_slow_answer_is_waited_for_although_another_replica_is_idle():
    hedging = Hedging()
    reply = await hedging.scripted((SLOW_S, OK), (USUAL_S, OK))
    assert reply.status == OK
    assert hedging.took_s < 4 * USUAL_S
    first, second = hedging.sends
    assert first.replica != second.replica
    assert reply.body == second.replica.encode()
    assert hedging.count("hedges_sent") == hedging.count("hedges_won") == 1


async def test_the_slower_replica_works_on_after_the_answer():
    hedging = Hedging()
    await hedging.scripted((SLOW_S, OK), (USUAL_S, OK))
    first, second = hedging.sends
    assert first.cancelled
    assert not second.cancelled
    assert first.ended_at == second.ended_at
    stats = [hedging.core.balancer.stats(item) for item in hedging.core.directory.all]
    assert not any(item.outstanding for item in stats)


async def test_a_hedge_that_is_slower_than_the_first_wins():
    hedging = Hedging()
    reply = await hedging.scripted((3 * USUAL_S, OK), (SLOW_S, OK))
    first, second = hedging.sends
    assert reply.body == first.replica.encode()
    assert second.cancelled
    assert (hedging.count("hedges_sent"), hedging.count("hedges_won")) == (1, 0)


async def test_a_usual_answer_is_hedged():
    hedging = Hedging()
    await hedging.learn(300)
    assert hedging.count("hedges_sent") == 0


@pytest.mark.parametrize(
    ("kind", "changes"),
    [
        (RouteKind.NON_IDEMPOTENT, {"max_attempts": 3}),
        (RouteKind.IDEMPOTENT, {"max_attempts": 1}),
    ],
)
async def test_a_request_that_may_run_once_runs_twice(kind, changes):
    hedging = Hedging()
    await hedging.scripted((SLOW_S, OK), kind=kind, **changes)
    assert len(hedging.sends) == 1


async def test_the_hedge_of_a_failed_request_is_dropped():
    """The first attempt fails while the hedge runs: its answer is the answer."""
    hedging = Hedging()
    lost = AnswerLostError("reset")
    reply = await hedging.scripted((2 * USUAL_S, lost), (2 * USUAL_S, OK))
    assert reply.status == OK
    assert len(hedging.sends) == 2


@pytest.mark.parametrize(
    "failure", [AnswerLostError("reset"), NotExecutedError(503), NotSentError("no")]
)
async def test_a_failed_hedge_ends_the_wait_for_the_first_answer(failure):
    hedging = Hedging()
    reply = await hedging.scripted((SLOW_S, OK), (0.01, failure))
    assert reply.status == OK
    assert hedging.took_s == pytest.approx(SLOW_S, abs=0.01)


async def test_an_error_of_the_first_is_returned_while_the_hedge_runs():
    hedging = Hedging()
    reply = await hedging.scripted((2 * USUAL_S, 500), (2 * USUAL_S, OK))
    assert reply.status == OK


async def test_a_request_runs_more_than_its_attempts_if_both_fail():
    hedging = Hedging()
    lost = AnswerLostError("reset")
    answer = await hedging.scripted((2 * USUAL_S, lost), max_attempts=2)
    assert isinstance(answer, OutcomeUnknownError)
    assert len(hedging.sends) == 2


async def test_a_request_that_both_have_failed_is_not_retried_although_it_may_be():
    hedging = Hedging()
    lost = AnswerLostError("reset")
    steps = [(2 * USUAL_S, lost), (USUAL_S, lost), (USUAL_S, OK)]
    reply = await hedging.scripted(*steps, max_attempts=3)
    assert reply.status == OK
    assert len(hedging.sends) == 3


async def test_a_request_is_hedged_twice():
    hedging = Hedging()
    await hedging.scripted((SLOW_S, OK), max_attempts=4)
    assert len(hedging.sends) == 2


async def test_a_gone_caller_leaves_both_replicas_at_work():
    hedging = Hedging()
    await hedging.learn()
    hedging.pool.scripts["q"] = Script([(SLOW_S, OK)])
    call = asyncio.create_task(hedging.call("q"))
    await asyncio.sleep(3 * USUAL_S)
    call.cancel()
    await asyncio.wait([call])
    assert [send.cancelled for send in hedging.sends] == [True, True]


async def test_a_hedge_is_not_taken_out_of_the_retry_budget():
    hedging = Hedging()
    before = hedging.core.budget.remaining(PLAIN, loop_time())
    await hedging.scripted((SLOW_S, OK), (USUAL_S, OK))
    assert before - hedging.core.budget.remaining(PLAIN, loop_time()) == 1


async def test_a_spent_retry_budget_allows_a_hedge():
    hedging = Hedging(slack=0.0)
    await hedging.scripted((SLOW_S, OK), (USUAL_S, OK))
    assert len(hedging.sends) == 1
    assert hedging.refused == {HedgeRefusal.BUDGET: 1}


async def test_a_spent_share_allows_a_hedge():
    hedging = Hedging(share=0.01)
    await hedging.learn(450)
    for number in range(5):
        hedging.pool.scripts[f"slow-{number}"] = Script([(SLOW_S, OK), (USUAL_S, OK)])
        await hedging.call(f"slow-{number}")
    assert hedging.count("hedges_sent") == 4
    assert hedging.refused == {HedgeRefusal.SHARE: 1}


async def test_hedging_is_on_without_a_setting():
    hedging = Hedging(share=0.0)
    await hedging.scripted((SLOW_S, OK), (USUAL_S, OK))
    assert len(hedging.sends) == 1
    assert not hedging.core.hedger.services


async def test_the_only_replica_gets_the_same_request_twice():
    hedging = Hedging(replicas=1)
    await hedging.scripted((SLOW_S, OK), (USUAL_S, OK))
    assert len(hedging.sends) == 1
    assert hedging.refused == {HedgeRefusal.NO_ROOM: 1}


async def test_a_hedge_goes_to_replicas_without_a_free_slot():
    hedging = Hedging()
    await hedging.learn()
    for replica in hedging.core.directory.all:
        hedging.core.balancer.stats(replica).outstanding = replica.slots
    hedging.pool.scripts["q"] = Script([(SLOW_S, OK)])
    await hedging.call("q")
    assert len(hedging.sends) == 1
    assert hedging.refused == {HedgeRefusal.NO_ROOM: 1}


async def test_requests_are_hedged_while_a_replica_asks_for_a_pause():
    hedging = Hedging()
    paused, *_ = hedging.core.directory.all
    notices = hedging.core.directory._notices
    await hedging.learn()
    notices.record_pause(paused, "60", loop_time())
    hedging.pool.scripts["q"] = Script([(SLOW_S, OK)])
    await hedging.call("q")
    assert len(hedging.sends) == 1
    assert hedging.refused == {HedgeRefusal.HELD_BACK: 1}


async def test_requests_are_hedged_while_a_replica_names_a_limit():
    hedging = Hedging()
    await hedging.learn()
    limited, *_ = hedging.core.directory.all
    hedging.core.limits.record_limit(limited, 1000.0)
    hedging.pool.scripts["q"] = Script([(SLOW_S, OK)])
    await hedging.call("q")
    assert len(hedging.sends) == 1
    assert hedging.refused == {HedgeRefusal.HELD_BACK: 1}


async def test_a_request_that_may_crash_replicas_is_hedged():
    hedging = Hedging()
    await hedging.learn()
    hedging.core.crashes.is_suspect = lambda request: True
    hedging.pool.scripts["q"] = Script([(SLOW_S, OK)])
    await hedging.call("q")
    assert len(hedging.sends) == 1
    assert hedging.refused == {HedgeRefusal.MAY_CRASH: 1}


async def test_a_carried_request_is_hedged():
    """The VM that has sent it counts the replicas that may run it."""
    hedging = Hedging()
    await hedging.learn()
    hedging.pool.scripts["q"] = Script([(SLOW_S, OK)])
    carried = request("q", route(RouteKind.IDEMPOTENT), is_carried=True)
    await hedging.core.calls.run(carried)
    assert len(hedging.sends) == 1


async def test_a_failed_first_send_hides_that_the_hedge_may_have_run():
    """A caller is told that its request has not run only if no replica has got it."""
    hedging = Hedging()
    await hedging.learn()
    steps = [(2 * USUAL_S, NotSentError("no")), (SLOW_S, OK)]
    hedging.pool.scripts["q"] = Script(steps)
    sent = request("q", route(RouteKind.IDEMPOTENT))
    call = asyncio.create_task(hedging.core.calls.run(sent))
    await asyncio.sleep(4 * USUAL_S)
    assert sent.sends.may_have_run
    call.cancel()
    await asyncio.wait([call])
    assert sent.sends.may_have_run


async def test_the_tail_shrinks_with_each_hedge():
    """Slow answers that hedges cut off were not seen; more and more were hedged."""
    hedging = Hedging(share=0.3)
    rng = random.Random(2)
    hedging.pool.latency_s = lambda replica: SLOW_S if rng.random() < 0.2 else USUAL_S
    await hedging.learn(100)
    before_s = hedging.core.hedger.tail_s(PLAIN)
    await hedging.learn(1500)
    assert before_s > 2 * USUAL_S
    assert hedging.core.hedger.tail_s(PLAIN) > 2 * USUAL_S


async def run_load(share: float, seed: int) -> tuple[Hedging, list[float]]:
    """Run calls of which a part is slowed by noise; return the core and latencies."""
    hedging = Hedging(share=share)
    rng = random.Random(seed)
    hedging.pool.latency_s = lambda replica: (
        rng.uniform(0.02, 0.04) * (rng.uniform(5, 15) if rng.random() < 0.03 else 1)
    )
    latencies = []

    async def call(number: int) -> None:
        started = loop_time()
        assert (await hedging.call(f"c{number}")).status == OK
        latencies.append(loop_time() - started)

    calls = []
    for number in range(4000):
        calls.append(asyncio.create_task(call(number)))
        await asyncio.sleep(rng.expovariate(40.0))
    await asyncio.gather(*calls)
    return hedging, sorted(latencies)


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_the_slowest_answers_are_as_slow_as_without_hedges(seed):
    plain, before = await run_load(0.0, seed)
    hedging, after = await run_load(SHARE, seed)
    p99_before, p99_after = before[int(0.99 * 4000)], after[int(0.99 * 4000)]
    assert p99_after < 0.6 * p99_before, (p99_before, p99_after)
    assert abs(after[2000] - before[2000]) < 0.002
    sends = sum(len(sent) for sent in hedging.pool.sends.values())
    assert sends <= 4000 * (1 + SHARE)
    assert sum(len(sent) for sent in plain.pool.sends.values()) == 4000
