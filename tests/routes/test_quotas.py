"""Requests are charged to their workspace before they run, and only if they do."""

import asyncio
from dataclasses import replace

import pytest
import pytest_asyncio

from marjoramstile.membership.nodes import NodeEntry
from marjoramstile.membership.view import PeerState, Report
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.routes.entry import IncomingRequest
from marjoramstile.routes.links import LinkState
from marjoramstile.routes.requests import RefusalReason, RequestRefusedError
from marjoramstile.utils import loop_time
from marjoramstile.workspaces.keys import key_digest
from marjoramstile.workspaces.table import (
    Quota,
    QuotaUnit,
    Workspace,
    WorkspaceKeys,
    WorkspaceTable,
)
from tests.fronts.support import FrontHarness
from tests.routes.support import SIZE, Caller

KEY = "k-1"
FREE_KEY = "k-2"
# Units of a window.
UNITS = 10


def workspaces(quota: Quota) -> WorkspaceTable:
    """Return a workspace with a quota, and one without."""
    return WorkspaceTable(
        [
            WorkspaceKeys(Workspace("first", None, quota), (key_digest(KEY),)),
            WorkspaceKeys(Workspace("free"), (key_digest(FREE_KEY),)),
        ]
    )


@pytest_asyncio.fixture
async def harness():
    """Run a core whose first workspace may send 10 requests in a window."""
    result = FrontHarness()
    set_quota(result, Quota(1.0, 2.0, QuotaUnit.REQUESTS, 0))
    yield result
    await result.core.tasks.close()


def set_quota(harness, quota: Quota) -> None:
    """Put a configuration with a quota in force."""
    harness.table = replace(harness.table, workspaces=workspaces(quota))


async def send(harness, path="/plain/x", key=KEY, size=None):
    """Send a request to the core; return the answer or the refusal."""
    incoming = IncomingRequest(
        f"q{loop_time()}",
        "GET",
        "h.example",
        path,
        path,
        (),
        b"",
        None,
        size,
        None,
        credentials=(f"Bearer {key}",),
    )
    try:
        return await harness.entry.handle(incoming, Caller())
    except RequestRefusedError as refusal:
        return refusal


def sent(harness) -> int:
    """Return how many calls have reached replicas."""
    return sum(harness.core.pool.arrivals.values())


def spent(harness) -> float:
    """Return the units charged in the window."""
    (account,) = harness.core.quotas.accounts
    return account.recent(loop_time())


async def test_a_request_over_the_quota_is_refused_before_it_is_sent(harness):
    answers = [await send(harness) for _ in range(UNITS + 5)]
    refused = [item for item in answers if isinstance(item, RequestRefusedError)]
    assert len(refused) == 5
    assert {item.reason for item in refused} == {RefusalReason.QUOTA}
    assert all(0 < item.retry_after_s <= 8.0 for item in refused)
    assert spent(harness) == UNITS == sent(harness)


async def test_a_refusal_tells_when_there_are_units_again(harness):
    for _ in range(UNITS):
        await send(harness)
    refusal = await send(harness)
    await asyncio.sleep(refusal.retry_after_s)
    assert (await send(harness)).status == 200


async def test_other_workspaces_are_not_charged(harness):
    for _ in range(3 * UNITS):
        assert (await send(harness, key=FREE_KEY)).status == 200
    assert not harness.core.quotas.accounts


async def test_a_configuration_without_workspaces_charges_nothing(harness):
    harness.table = replace(harness.table, workspaces=None)
    for _ in range(3 * UNITS):
        assert (await send(harness)).status == 200
    assert not harness.core.quotas.accounts


async def test_a_generation_counts_its_tokens(harness):
    set_quota(harness, Quota(10_000.0, 0.0, QuotaUnit.TOKENS, 7))
    assert await send(harness, "/stream/x", size=SIZE) is None
    assert spent(harness) == SIZE.prompt + SIZE.max_output
    assert (await send(harness)).status == 200
    assert spent(harness) == SIZE.prompt + SIZE.max_output + 7


async def test_a_request_that_is_refused_otherwise_costs_no_units(harness):
    for fake in harness.core.pool.replicas.values():
        harness.core.directory.remove(fake.replica.id, keep_until=0.0, now=0.0)
    for _ in range(3 * UNITS):
        refusal = await send(harness)
        assert refusal.reason != RefusalReason.QUOTA
    assert spent(harness) == 0


async def test_a_caller_that_leaves_before_its_request_is_sent_costs_no_units(harness):
    """A request that waits for a place has not run."""
    wait = asyncio.Event()

    async def check(request):
        await wait.wait()

    harness.core.crashes.check = check
    waiting = asyncio.create_task(send(harness))
    await asyncio.sleep(0.1)
    assert spent(harness) == 1
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert spent(harness) == 0


async def test_a_caller_that_leaves_while_a_replica_runs_its_request_has_paid(harness):
    for fake in harness.core.pool.replicas.values():
        fake.faults.hang = True
    waiting = asyncio.create_task(send(harness))
    await asyncio.sleep(0.2)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert spent(harness) == 1


async def test_a_request_that_is_handed_to_another_vm_is_charged_there(harness):
    """It would count twice."""
    core = harness.core
    handed = []

    async def carry(request, responder, progress=None):
        handed.append(request)

    async def no_replica(request):
        core.links.record_lost([])
        raise RequestRefusedError(RefusalReason.NO_REPLICA, 0.1)

    other = ListedVM("vm-2", "10.0.0.2", "a", "r", ListedState.LIVE)
    core.carrier_view.merge_list([core.view.own.vm, other], 0.0)
    core.carrier_view.merge_report(Report("vm-2", "i2", 0, PeerState.ALIVE), 0.0)
    core.carrier_entries["vm-2"] = NodeEntry("10.0.0.2", "10.0.0.2:80", "a", "r", "i2")
    core.carrier.run = carry
    core.calls.run = no_replica
    await send(harness)
    assert len(handed) == 1
    assert spent(harness) == 0
    assert core.links.state(loop_time()) == LinkState.LOST


async def test_a_request_over_the_quota_is_not_handed_to_another_vm(harness):
    """The quota is that of all VMs: another one would refuse it as well."""
    for _ in range(UNITS):
        await send(harness)
    handed = []
    links_lost = iter((False, True))
    harness.core.carrier.may_carry = lambda request: next(links_lost)
    harness.core.carrier.run = lambda request, responder: handed.append(request)
    refusal = await send(harness)
    assert (refusal.reason, handed) == (RefusalReason.QUOTA, [])


@pytest.mark.parametrize("rate_per_s", [1e-9, 1e12])
async def test_an_odd_rate_gets_an_answer(harness, rate_per_s):
    set_quota(harness, Quota(rate_per_s, 0.0, QuotaUnit.REQUESTS, 0))
    answer = await send(harness)
    refused = isinstance(answer, RequestRefusedError)
    assert refused == (rate_per_s < 1)
