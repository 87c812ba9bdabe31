"""A quota binds all daemons together and is used, whatever befalls them."""

import asyncio

import pytest

from marjoramstile.membership.view import PeerState, Report
from marjoramstile.quotas.owner import BACKUP_S
from marjoramstile.quotas.windows import QuotaBounds
from marjoramstile.routes.requests import GenerationSize
from marjoramstile.utils import loop_time
from marjoramstile.workspaces.table import Quota, QuotaUnit, Workspace
from tests.quotas.support import NAME, QuotaFleet, requests_quota
from tests.support import captured_logs

QUOTA = requests_quota(50.0, 20.0)
DAEMONS = 20
USUAL_PER_S = 30.0
OVERLOAD_PER_S = 200.0
# Time until the daemons see that one is dead.
SUSPICION_S = 1.2


def counted(fleet: QuotaFleet, name: str) -> int:
    """Return the sum of a counter over all daemons."""
    return sum(item.metrics.value(name, NAME) for item in fleet.daemons)


def size(rng) -> GenerationSize:
    """Return the size of a request of 500 to 8,000 tokens."""
    return GenerationSize(rng.randrange(400, 6000), rng.randrange(100, 2000), 70)


@pytest.mark.parametrize("daemons", [1, 3, 20, 71])
async def test_demand_within_the_quota_is_not_refused(daemons):
    async with QuotaFleet(daemons, QUOTA) as fleet:
        outcomes = await fleet.load(46.0, 30.0)
        assert not fleet.wrongly_refused()
        assert sum(item.granted for item in outcomes) >= 0.99 * len(outcomes)


async def test_the_whole_quota_can_be_used_at_once():
    """A bucket of the burst alone would refuse what is within the quota."""
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        requests = (fleet.request(fleet.rng.choice(fleet.daemons)) for _ in range(420))
        assert all(item.granted for item in await asyncio.gather(*requests))
        fleet.check_bound()


@pytest.mark.parametrize("loss", [0.0, 0.05])
async def test_an_overload_gets_what_the_quota_allows(loss):
    async with QuotaFleet(DAEMONS, QUOTA, loss=loss) as fleet:
        outcomes = await fleet.load(OVERLOAD_PER_S, 24.0)
        fleet.check_bound()
        granted = sum(item.granted for item in outcomes)
        assert granted >= 0.95 * 3 * fleet.allowance.units
        if not loss:
            assert len(fleet.wrongly_refused()) <= 0.002 * len(outcomes)


@pytest.mark.parametrize("loss", [0.0, 0.05])
async def test_a_flood_at_one_daemon_is_kept_within_the_quota(loss):
    async with QuotaFleet(DAEMONS, QUOTA, loss=loss) as fleet:
        await fleet.load(USUAL_PER_S, 5.0)
        await asyncio.gather(
            fleet.load(USUAL_PER_S, 20.0),
            fleet.load(OVERLOAD_PER_S, 20.0, [fleet.others[0]]),
        )
        fleet.check_bound()
        assert len(fleet.wrongly_refused()) <= 0.01 * len(fleet.outcomes)


async def test_demand_that_moves_between_daemons_finds_its_units():
    """Units that are held where they are not needed would be missing elsewhere."""
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        for daemon in fleet.others[:8]:
            await fleet.load(46.0, 3.0, [daemon])
        assert not fleet.wrongly_refused()
        fleet.check_bound()


async def test_an_owner_is_not_asked_for_each_request():
    async with QuotaFleet(DAEMONS, requests_quota(400.0, 100.0)) as fleet:
        await fleet.load(300.0, 10.0, fleet.others[:3])
        assert counted(fleet, "quota_asked") <= 0.25 * len(fleet.outcomes)
        asked = [item for item in fleet.outcomes if item.took_s > 0]
        assert len(asked) <= 0.2 * len(fleet.outcomes)


async def test_a_daemon_that_owns_the_workspace_asks_nobody():
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        await fleet.load(40.0, 5.0, [fleet.owner])
        assert counted(fleet, "quota_asked") == 0
        assert all(item.took_s == 0 for item in fleet.outcomes)
        next_owner = fleet.owner.ranking.ranked(NAME, loop_time())[1]
        assert set(fleet.received) == {next_owner}
        assert fleet.received[next_owner] <= 5.0 / BACKUP_S


async def test_few_messages_are_sent_for_a_refused_flood():
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        await fleet.load(2000.0, 5.0, [fleet.others[0]])
        assert counted(fleet, "quota_asked") <= 200


async def test_a_workspace_without_a_quota_costs_no_message():
    async with QuotaFleet(3, QUOTA) as fleet:
        client = fleet.others[0].client
        for workspace in (Workspace("free"), Workspace("free", 1, None)):
            decision = await client.acquire(workspace, None)
            assert (decision.granted, decision.charge) == (True, None)
        assert not client.accounts
        assert not fleet.received


@pytest.mark.parametrize("per_s", [USUAL_PER_S, OVERLOAD_PER_S])
async def test_the_quota_holds_when_its_owner_dies(per_s):
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        await fleet.load(per_s, 10.0)
        for _ in range(2):
            dead = fleet.owner
            fleet.dead.add(dead.vm)
            await fleet.load(per_s, SUSPICION_S)
            fleet.report([dead], PeerState.SUSPECT)
            await fleet.load(per_s, 12.0)
        fleet.check_bound()
        if per_s == USUAL_PER_S:
            assert not fleet.wrongly_refused()


@pytest.mark.parametrize("per_s", [USUAL_PER_S, OVERLOAD_PER_S])
async def test_the_quota_holds_when_its_owner_is_restarted(per_s):
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        await fleet.load(per_s, 10.0)
        owner = fleet.owner
        fleet.dead.add(owner.vm)
        await fleet.load(per_s, SUSPICION_S)
        fleet.report([owner], PeerState.SUSPECT)
        await fleet.load(per_s, 5.0)
        fleet.dead.discard(owner.vm)
        owner.start()
        await fleet.load(per_s, 0.6)
        fleet.report([owner], PeerState.ALIVE)
        await fleet.load(per_s, 12.0)
        fleet.check_bound()
        if per_s == USUAL_PER_S:
            assert not fleet.wrongly_refused()


async def test_the_quota_holds_when_all_daemons_are_restarted_in_turn():
    async with QuotaFleet(9, QUOTA) as fleet:
        await fleet.load(OVERLOAD_PER_S, 8.0)
        for daemon in fleet.daemons:
            daemon.start()
            fleet.report([daemon], PeerState.ALIVE)
            await fleet.load(OVERLOAD_PER_S, 2.0)
        fleet.check_bound()


def cut_off(fleet: QuotaFleet, daemons: list) -> None:
    """Let some daemons reach no other, and all see that."""
    for cut in daemons:
        for other in fleet.daemons:
            if other is not cut:
                other.view.suspect(cut.vm, loop_time())
                cut.view.suspect(other.vm, loop_time())


async def test_a_cut_daemon_goes_on_with_its_share():
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        await fleet.load(USUAL_PER_S, 10.0)
        cut = fleet.others[0]
        fleet.cut.add(cut.vm)
        await fleet.load(USUAL_PER_S, SUSPICION_S)
        cut_off(fleet, [cut])
        outcomes = await fleet.load(USUAL_PER_S, 20.0)
        fleet.check_bound()
        refused = [item for item in outcomes if not item.granted]
        assert all(item.vm == cut.vm for item in refused)
        alone = [item for item in outcomes if item.vm == cut.vm]
        assert sum(item.granted for item in alone) >= 0.5 * len(alone)


@pytest.mark.parametrize("cut", [1, 6])
async def test_the_quota_holds_where_daemons_are_cut_off_under_overload(cut):
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        await fleet.load(OVERLOAD_PER_S, 10.0)
        alone = fleet.others[:cut]
        fleet.cut.update(item.vm for item in alone)
        await fleet.load(OVERLOAD_PER_S, SUSPICION_S)
        cut_off(fleet, alone)
        await fleet.load(OVERLOAD_PER_S, 24.0)
        fleet.check_bound()


async def test_the_quota_holds_when_its_owner_freezes_and_wakes():
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        await fleet.load(USUAL_PER_S, 10.0)
        for _ in range(2):
            owner = fleet.owner
            owner.freeze()
            await fleet.load(USUAL_PER_S, SUSPICION_S)
            fleet.report([owner], PeerState.SUSPECT)
            await fleet.load(USUAL_PER_S, 3.0)
            owner.wake()
            await fleet.load(USUAL_PER_S, 0.5)
            refute(fleet, owner)
            await fleet.load(USUAL_PER_S, 6.0)
        fleet.check_bound()
        assert not fleet.wrongly_refused()


def refute(fleet: QuotaFleet, daemon) -> None:
    """Let a daemon tell all others that it is alive."""
    now = loop_time()
    own = daemon.view.own
    daemon.view.merge_report(
        Report(daemon.vm, own.incarnation, own.counter, PeerState.SUSPECT), now
    )
    for other in fleet.daemons:
        if other is not daemon:
            other.view.merge_report(daemon.view.own.to_report(), now)


async def test_a_daemon_that_knows_no_other_yet_grants_nothing():
    """It would take itself for the only one, and the quota for its own."""
    async with QuotaFleet(3, QUOTA) as fleet:
        alone = fleet.daemons[0]
        alone.start(known=False)
        outcome = await fleet.request(alone)
        assert (outcome.granted, outcome.wait_s > 0) == (False, True)


async def test_a_daemon_reaches_the_owner_through_a_deputy():
    """Only the way between the two is broken: the owner decides all the same."""
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        owner, asker = fleet.owner, fleet.others[0]
        fleet.reaches = lambda sender, receiver: (
            {sender, receiver}
            != {
                owner.vm,
                asker.vm,
            }
        )
        await fleet.load(OVERLOAD_PER_S, 20.0, [asker, fleet.others[1]])
        fleet.check_bound()
        granted = sum(item.granted and item.vm == asker.vm for item in fleet.outcomes)
        assert granted >= 0.3 * fleet.allowance.units
        assert counted(fleet, "quota_decided_alone") == 0


async def test_a_retry_after_holds_when_the_flood_is_over():
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        outcomes = await fleet.load(OVERLOAD_PER_S, 4.0)
        refused = [item for item in outcomes if not item.granted]
        assert len(refused) >= 200
        # The first units were used within 3 s, and leave a window later.
        assert all(4.0 < item.wait_s <= fleet.bounds.window_s for item in refused)

        async def retry(item):
            at = item.at + item.wait_s
            await asyncio.sleep(max(0.0, at - loop_time()))
            return await fleet.request(fleet.daemon(item.vm))

        again = await asyncio.gather(*map(retry, refused))
        assert sum(item.granted for item in again) >= 0.95 * len(again)


async def test_units_that_are_given_back_are_used_by_others():
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        first, other = fleet.others[:2]
        decisions = await asyncio.gather(
            *(first.client.acquire(fleet.workspace, None) for _ in range(420))
        )
        assert all(item.granted for item in decisions)
        for decision in decisions:
            first.client.give_back(decision.charge)
        await asyncio.sleep(2.0)
        outcomes = await asyncio.gather(*(fleet.request(other) for _ in range(420)))
        assert all(item.granted for item in outcomes)
        assert counted(fleet, "quota_given_back") == 420


async def test_a_caller_that_leaves_while_its_request_waits_costs_nothing():
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        client = fleet.others[0].client
        waiting = asyncio.create_task(client.acquire(fleet.workspace, None))
        await asyncio.sleep(0.001)
        waiting.cancel()
        await asyncio.sleep(3.0)
        owned = fleet.owner.owner.describe((NAME, QuotaUnit.REQUESTS))
        allowance = fleet.allowance
        assert owned is None or owned.left == allowance.units + allowance.margin


@pytest.mark.parametrize("rate_per_s", [20.0, 90.0])
async def test_a_changed_quota_is_binding_after_a_window(rate_per_s):
    async with QuotaFleet(DAEMONS, QUOTA) as fleet:
        await fleet.load(OVERLOAD_PER_S, 9.0)
        fleet.set_quota(requests_quota(rate_per_s, 10.0))
        changed = loop_time()
        await fleet.load(OVERLOAD_PER_S, 20.0)
        since = changed + fleet.bounds.window_s
        fleet.check_bound(since)
        assert fleet.most_in_a_window(since) >= 0.95 * fleet.allowance.units


async def test_tokens_are_counted_by_the_sizes_of_requests():
    bounds = QuotaBounds(8.0, 0.1, 190_000.0)
    quota = Quota(40_000.0, 30_000.0, QuotaUnit.TOKENS, 500)
    async with QuotaFleet(71, quota, bounds=bounds) as fleet:
        await fleet.load(8.0, 10.0, sizes=size)
        assert not fleet.wrongly_refused()
        await fleet.load(60.0, 16.0, sizes=size)
        fleet.check_bound()
        assert not fleet.wrongly_refused()
        assert fleet.most_in_a_window() >= fleet.allowance.units


@pytest.mark.parametrize(
    "quota",
    [
        requests_quota(1e12, 1e12),
        requests_quota(1e12, 0.0),
        Quota(1e12, 0.0, QuotaUnit.TOKENS, 0),
    ],
)
async def test_a_huge_quota_refuses_nothing(quota):
    async with QuotaFleet(3, quota) as fleet:
        outcomes = await fleet.load(100.0, 3.0, sizes=size)
        assert all(item.granted for item in outcomes)


@pytest.mark.parametrize("overage", [0.0, 1e12])
async def test_odd_bounds_neither_fail_nor_lock_out(overage):
    bounds = QuotaBounds(8.0, overage, 0.0)
    async with QuotaFleet(3, QUOTA, bounds=bounds) as fleet:
        await fleet.load(20.0, 10.0)
        assert not fleet.wrongly_refused()


async def test_a_tiny_quota_refuses_with_a_wait_and_does_not_fail():
    async with QuotaFleet(3, requests_quota(1e-6, 0.0)) as fleet:
        outcomes = await fleet.load(20.0, 2.0)
        assert all(item.wait_s > 0 for item in outcomes if not item.granted)


async def test_logs_and_counters_tell_of_refusals_and_of_owners():
    with captured_logs() as logs:
        async with QuotaFleet(DAEMONS, QUOTA) as fleet:
            await fleet.load(OVERLOAD_PER_S, 4.0)
            dead = fleet.owner
            fleet.dead.add(dead.vm)
            await fleet.load(OVERLOAD_PER_S, SUSPICION_S)
    text = logs.getvalue()
    for event in ("quota_refused", "quota_owner_silent", "quota_owner_changed"):
        assert event in text
    assert "quota_owned" in text
    refused = sum(not item.granted for item in fleet.outcomes)
    assert counted(fleet, "quota_refused") == refused
    assert counted(fleet, "quota_granted") == len(fleet.outcomes) - refused
