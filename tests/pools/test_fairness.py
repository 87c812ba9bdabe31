"""What callers get of a scheduler under floods, bursts and retries at once.

Load is played on the scheduler with an explicit clock. "Without" means that the
scheduler treats all requests as if they had one class and no workspace.
"""

import pytest

from marjoramstile.pools.messages import (
    LeaseRenewal,
    PlacementCancel,
    PlacementGrant,
    PlacementQueued,
    PlacementRefusal,
    Urgency,
)
from marjoramstile.pools.precedence import Precedence
from marjoramstile.pools.shares import Standing
from marjoramstile.pools.waiting import RequestQueue
from marjoramstile.routes.table import EngineTraits
from tests.pools.support import (
    SERVICE,
    CallerClass,
    LoadedPool,
    Pool,
    Served,
    request,
)

ENGINE = EngineTraits(
    slots=12, kv_tokens=27_860, hold_max_s=2.0, switch_s=6.0, stride=11
)
# Typical generations that a replica of ENGINE ends a second.
ENDS_PER_S = 1.45
SIXTEEN = [1 / number for number in range(1, 17)]
FLOODING = "w1"


def without_precedence(monkeypatch) -> None:
    """Let schedulers treat all requests as of one class and no workspace."""
    monkeypatch.setattr(Precedence, "applies", property(lambda precedence: False))
    monkeypatch.setattr(Precedence, "update", lambda precedence, now: None)
    monkeypatch.setattr(Precedence, "rerank", lambda precedence, name, now: None)
    monkeypatch.setattr(Precedence, "expected_before", lambda precedence, key: None)
    monkeypatch.setattr(Precedence, "inflow_before", lambda precedence, waiting: None)


def play(
    callers: list[CallerClass], seed: int, decode: int, seconds: float
) -> LoadedPool:
    """Play callers on a pool of typical replicas."""
    pool = Pool(prefill=decode, decode=decode, engine=ENGINE)
    loaded = LoadedPool(pool, callers, seed)
    loaded.play(seconds)
    return loaded


def flood_of_one_workspace(decode: int, **changes) -> list[CallerClass]:
    """Return 16 workspaces of power-law sizes whose usual load the pool can serve.

    One of them sends 7.5 times its usual load; quotas are 1.8 times the usual load.
    """
    callers = []
    for number, size in enumerate(SIXTEEN):
        usual = 0.9 * decode * ENDS_PER_S * size / sum(SIXTEEN)
        name = f"w{number}"
        rate = 7.5 * usual if name == FLOODING else usual
        callers.append(
            CallerClass(name, lambda t, r=rate: r, name, weight=1.8 * usual, **changes)
        )
    return callers


def others_on_time(loaded: LoadedPool) -> float:
    """Return the fraction of the requests of unflooded workspaces that were on time."""
    others = [item for name, item in loaded.served.items() if name != FLOODING]
    asked = sum(item.asked for item in others)
    return sum(item.on_time for item in others) / asked


def least_served(loaded: LoadedPool) -> float:
    """Return the least fraction that any caller was served, relative to all."""
    total = loaded.total().served_fraction
    return min(item.served_fraction for item in loaded.served.values()) / total


@pytest.mark.parametrize("seed", [1, 2])
def test_the_flood_of_a_workspace_is_at_its_own_expense(seed, monkeypatch):
    callers = flood_of_one_workspace(decode=6)
    shared = play(callers, seed, decode=6, seconds=40)
    without_precedence(monkeypatch)
    before = play(callers, seed, decode=6, seconds=40)
    assert others_on_time(shared) > 0.9
    assert others_on_time(shared) > others_on_time(before) + 0.05
    flood = shared.served[FLOODING]
    assert flood.on_time_fraction < others_on_time(shared)
    assert least_served(shared) >= 0.25
    assert shared.total().tokens > 0.95 * before.total().tokens


def test_a_workspace_over_its_share_still_gets_its_weighted_share():
    """Two workspaces flood a pool; one has three times the weight of the other."""
    rate = 4 * ENDS_PER_S * 2
    callers = [
        CallerClass("light", lambda t: rate, "light", weight=100.0),
        CallerClass("heavy", lambda t: rate, "heavy", weight=300.0),
    ]
    loaded = play(callers, 3, decode=4, seconds=40)
    light, heavy = loaded.served["light"], loaded.served["heavy"]
    assert 0.15 < light.tokens / (light.tokens + heavy.tokens) < 0.4
    assert least_served(loaded) >= 0.25


def test_a_workspace_behind_another_priority_is_not_starved():
    """Without a bound, the first workspace's flood would take everything."""
    rate = 4 * ENDS_PER_S
    callers = [
        CallerClass("first", lambda t: 3 * rate, "first", workspace_priority=0),
        CallerClass("last", lambda t: rate / 2, "last", workspace_priority=5),
    ]
    loaded = play(callers, 4, decode=4, seconds=40)
    assert least_served(loaded) >= 0.25


def masters_and_previews(decode: int, output_spread: float) -> list[CallerClass]:
    """Return masters, a tenth of the load, and previews that arrive in bursts."""
    rate = decode * ENDS_PER_S

    def previews(t: float) -> float:
        return 14 * rate if t % 7 < 0.5 else 0.0

    spread = {"output_spread": output_spread}
    return [
        CallerClass(
            "masters", lambda t: 0.1 * rate, target_s=0.8, priority=0, **spread
        ),
        CallerClass("previews", previews, target_s=2.0, priority=2, **spread),
    ]


def on_time(days: list[dict[str, Served]], name: str) -> float:
    """Return the fraction of a class's requests that were on time, over all days."""
    asked = sum(day[name].asked for day in days)
    return sum(day[name].on_time for day in days) / asked


@pytest.mark.parametrize(
    ("output_spread", "gain", "loss"),
    [(0.1, 0.05, 0.08), (0.7, 0.0, 0.06)],
    ids=["alike", "mixed"],
)
def test_masters_are_on_time_beside_bursts_of_previews(
    output_spread, gain, loss, monkeypatch
):
    """A burst of outputs of like length takes all memory until they end together.

    Outputs of mixed lengths end one by one: there is less to gain.
    """
    callers = masters_and_previews(3, output_spread)
    seeds = range(1, 5)
    after = [play(callers, seed, decode=3, seconds=42).served for seed in seeds]
    without_precedence(monkeypatch)
    before = [play(callers, seed, decode=3, seconds=42).served for seed in seeds]
    assert on_time(after, "masters") >= on_time(before, "masters") + gain
    assert on_time(after, "previews") > on_time(before, "previews") - loss


def mean_wait_s(loaded: LoadedPool, name: str) -> float:
    """Return for how long refused requests waited for their refusal."""
    waits = loaded.served[name].waits_s
    return sum(waits) / len(waits)


def test_previews_are_refused_early_when_masters_go_ahead(monkeypatch):
    """They were queued until their deadline, which left no time to go elsewhere."""
    rate = 4 * ENDS_PER_S

    def masters(t: float) -> float:
        return 4 * rate if t % 10 < 1.0 else 0.1 * rate

    callers = [
        CallerClass("masters", masters, priority=0, target_s=0.8),
        CallerClass("previews", lambda t: 0.8 * rate, priority=2, target_s=2.0),
    ]
    after = play(callers, 1, decode=4, seconds=60)
    without_precedence(monkeypatch)
    before = play(callers, 1, decode=4, seconds=60)
    assert after.pool.counters["placements_refused_overtaken"] > 0
    assert mean_wait_s(after, "previews") < 0.5 * mean_wait_s(before, "previews")
    served = after.served["previews"].on_time
    assert served > 0.85 * before.served["previews"].on_time


def test_less_urgent_callers_are_served_a_quarter_as_often_beside_a_reserve():
    rate = 3 * ENDS_PER_S
    callers = [
        CallerClass("masters", lambda t: 0.6 * rate, priority=0, target_s=0.8),
        CallerClass("previews", lambda t: 2 * rate, priority=2, target_s=2.0),
    ]
    loaded = play(callers, 5, decode=3, seconds=40)
    assert least_served(loaded) >= 0.25


def test_callers_that_retry_at_once_gain_nothing_over_those_that_wait():
    def rate(t: float) -> float:
        return 2 * 4 * ENDS_PER_S if t % 8 < 2.0 else 0.25 * 4 * ENDS_PER_S

    callers = [
        CallerClass("patient", rate, "w", retries=2),
        CallerClass("hasty", rate, "w", retries=2, patient=False),
    ]
    loaded = play(callers, 6, decode=4, seconds=64)
    patient, hasty = loaded.served["patient"], loaded.served["hasty"]
    assert patient.served_fraction >= hasty.served_fraction
    assert least_served(loaded) >= 0.25


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_without_workspaces_and_with_one_class_all_answers_are_as_before(
    seed, monkeypatch
):
    def answers() -> list:
        given = []

        class Recorder(LoadedPool):
            def _handle_answers(self):
                given.extend((self.pool.now, item) for item in self.pool.answers)
                super()._handle_answers()

        callers = [
            CallerClass("waves", lambda t: 25.0 if t % 6 < 1.5 else 5.0, retries=2),
            CallerClass("hasty", lambda t: 2.0, retries=2, patient=False),
        ]
        Recorder(Pool(prefill=2, decode=4), callers, seed).play(15)
        return given

    after = answers()
    without_precedence(monkeypatch)
    assert after == answers()
    assert any(isinstance(item, PlacementRefusal) for _, item in after)


def full_pool(**changes) -> tuple[Pool, list]:
    """Return a pool whose memory is taken by generations close to their end."""
    pool = Pool(prefill=8, decode=1)
    granted = []
    for number in range(20):
        asked = request(f"f{number}", **changes)
        answer = pool.ask(asked)
        if not isinstance(answer, PlacementGrant):
            break
        granted.append((asked, answer))
        pool.now += 0.02
    pool.scheduler.cancel(PlacementCancel(asked.id, SERVICE, 0), pool.now)
    pool.now += 3.0
    for item in granted:
        usage = pool.usage(*item, 780)
        pool.scheduler.renew(LeaseRenewal(SERVICE, 0, (usage,)), pool.now)
    return pool, granted


def test_a_workspace_that_holds_all_memory_waits_behind_another():
    pool, granted = full_pool(workspace="flood")
    assert isinstance(pool.ask(request("more", workspace="flood")), PlacementQueued)
    assert isinstance(pool.ask(request("other", workspace="other")), PlacementQueued)
    rows = {row.workspace: row for row in pool.scheduler.workspace_shares}
    assert rows["flood"].standing == Standing.OVER_SHARE
    assert rows["flood"].queued_tokens > 0
    assert rows["other"].held_tokens == 0
    pool.end(*granted[0])
    assert isinstance(pool.answer_to("other"), PlacementGrant)
    assert isinstance(pool.answer_to("more"), PlacementQueued)


def test_a_workspace_that_begins_to_flood_does_not_count_as_starved():
    """Its requests that wait are not refused; it would go before all others."""
    pool, _ = full_pool(workspace="w")
    for number in range(3):
        pool.ask(request(f"flood{number}", workspace="flood", target_s=9.0))
        pool.ask(request(f"other{number}", workspace="w", target_s=9.0))
    pool.wait(0.1)
    rows = {row.workspace: row for row in pool.scheduler.workspace_shares}
    assert rows["flood"].queued == 3
    assert rows["flood"].standing == Standing.WITHIN_SHARE


def test_a_new_scheduler_learns_from_renewals_what_workspaces_hold():
    """Otherwise the flood of a workspace would begin again at each change."""
    before, granted = full_pool(workspace="flood")
    after = Pool(prefill=8, decode=1)
    usages = tuple(before.usage(*item, 780) for item in granted)
    after.scheduler.renew(LeaseRenewal(SERVICE, 0, usages), after.now)
    after.ask(request("more", workspace="flood"))
    after.ask(request("other", workspace="other"))
    after.end(*granted[0])
    assert isinstance(after.answer_to("other"), PlacementGrant)


def test_a_retry_at_its_time_goes_before_one_that_came_too_early(monkeypatch):
    """Callers that come back at once would be served before those that wait."""
    pool, _ = full_pool(workspace="w")
    ranks = {}
    add = RequestQueue.add

    def record_rank(queue, waiting):
        ranks[waiting.request.id] = waiting.rank
        add(queue, waiting)

    monkeypatch.setattr(RequestQueue, "add", record_rank)
    retries = pool.scheduler._expected_retries
    retries.expect("c-early", pool.now + 0.9)
    retries.expect("c-punctual", pool.now)
    pool.ask(request("early", workspace="w"))
    pool.ask(request("punctual", workspace="w"))
    assert ranks["punctual"].urgency == ranks["early"].urgency == Urgency.LATE
    assert ranks["punctual"] < ranks["early"]
