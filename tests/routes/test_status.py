"""Rows that operators query from a routing daemon, joined over all daemons."""

import json
import random

import pytest

from marjoramstile.crashes.blocklist import BlockEntry, Blocklist
from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.mirrors.follower import MirrorFollower
from marjoramstile.mirrors.mirror import TableMirror
from marjoramstile.peers.membership_client import JoinedRows, MembershipClient
from marjoramstile.ports.feeds import Changes, StoredRow
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.reports.burn import BurnReport
from marjoramstile.routes.order_rows import OrdersRow, StageMove
from marjoramstile.routes.replica_types import Stage
from marjoramstile.routes.status import (
    SUBJECTS,
    FleetStatus,
    StatusSources,
)
from marjoramstile.routes.table import EntryLimits, RouteKind, RoutingTable
from marjoramstile.utils import loop_time
from marjoramstile.workspaces.table import Quota, QuotaUnit, Workspace
from tests.pools.support import request as placement_request
from tests.routes.support import LLM, RoutingCore, request, route


def listed(vm: str) -> ListedVM:
    """Return a VM of the list."""
    return ListedVM(vm, "10.0.0.1", "a", "r", ListedState.LIVE)


class FakePeerClient(MembershipClient):
    """Daemons by VM; those without a status don't answer."""

    def __init__(self, **daemons: FleetStatus):
        self.daemons = daemons

    async def query(self, peer, request):
        """Return a daemon's rows as they come over the wire."""
        daemon = self.daemons.get(peer.vm.name)
        return daemon and json.loads(daemon.answer_peer(json.dumps(request)))


def sources_of(vm: str, *others: str) -> StatusSources:
    """Return the status sources of one daemon, which sees the others as alive."""
    core = RoutingCore(vm=vm, hedge_max_share=0.05)
    core.add_engines(1, 2)
    view = View(listed(vm), f"i-{vm}")
    view.merge_list([listed(name) for name in (vm, *others)], 0.0)
    for name in others:
        view.merge_report(Report(name, f"i-{name}", 0, PeerState.ALIVE), 0.0)
    orders = TableMirror("orders")
    table = RoutingTable(7, (route(RouteKind.STREAM),), {}, EntryLimits(1))
    follower = MirrorFollower(None, orders, None, 1.0, 0.0, 0.35, random.Random(1))
    return StatusSources(
        view=view,
        table=lambda: table,
        followers={"orders": follower},
        reads_store=lambda: True,
        orders=orders,
        directory=core.directory,
        balancer=core.balancer,
        schedulers=core.schedulers,
        limits=core.limits,
        quotas=core.quotas,
        quota_owner=core.quota_owner,
        blocklist=Blocklist(),
        links=core.links,
        carrier=core.carrier,
        running=lambda: 3,
        burn=BurnReport(),
        hedger=core.hedger,
    )


def ask_for_workspace(sources: StatusSources, workspace: str) -> None:
    """Ask this daemon's scheduler for a lease of a workspace's request."""
    asked = placement_request("q", workspace=workspace, workspace_priority=2)
    sources.schedulers.handle_message(asked, lambda answer: None)


async def test_rows_of_workspaces_show_what_they_hold():
    sources = sources_of("a")
    ask_for_workspace(sources, "acme")
    lease = sources.schedulers.scheduler("llm", 0).leases.get("q")
    (row,) = FleetStatus(sources, FakePeerClient()).own_rows("workspaces")
    assert row == {
        "daemon": "a",
        "service": "llm",
        "shard": 0,
        "workspace": "acme",
        "priority": 2,
        "held_tokens": lease.kv_tokens,
        "queued": 0,
        "queued_tokens": 0,
        "share_tokens": None,
        "over_share": False,
    }


async def test_without_workspaces_there_are_no_rows_of_any():
    sources = sources_of("a")
    ask_for_workspace(sources, "")
    assert FleetStatus(sources, FakePeerClient()).own_rows("workspaces") == []


async def test_every_subject_has_rows_that_can_be_sent():
    sources = sources_of("a", "b")
    entry = BlockEntry("llm", "part/a1", 1, True, 0, 5.0, ("d0", "d1"), "crashes")
    sources.blocklist.merge(entry, loop_time())
    row = OrdersRow("i-b", 5.0, (StageMove("d0", Stage.PREFILL, 9.0),))
    value = json.dumps(row.to_value()).encode()
    sources.hedger.record_request(request("q", route(RouteKind.IDEMPOTENT)))
    sources.burn.record("llm", "stream", good=False, now=loop_time())
    sources.orders.apply(Changes((StoredRow("llm", 4, value),), 4, complete=True))
    quota = Quota(10.0, 5.0, QuotaUnit.REQUESTS, 0)
    await sources.quotas.acquire(Workspace("first", quota=quota), None)
    ask_for_workspace(sources, "acme")
    status = FleetStatus(sources, FakePeerClient())
    for name in SUBJECTS:
        assert json.loads(json.dumps(status.own_rows(name)))
    assert status.own_rows("orders") == [
        {
            "service": "llm",
            "holder": "b",
            "fencing_token": 4,
            "moves": "d0 to prefill",
        }
    ]


async def test_rows_of_replicas_show_why_one_is_not_used():
    sources = sources_of("a")
    directory = sources.directory
    directory.record_move("d0", Stage.PREFILL, until=9.0)
    directory.record_misdirected(directory.get("d1"))
    rows = FleetStatus(sources, FakePeerClient()).own_rows("replicas")
    standings = {row["replica"]: row["standing"] for row in rows}
    assert standings == {"e0": "used", "d0": "moving", "d1": "misdirected"}


async def test_rows_of_replicas_show_the_limits_that_they_name():
    sources = sources_of("a")
    sources.limits.record_limit(sources.directory.get("d0"), 1.7)
    rows = FleetStatus(sources, FakePeerClient()).own_rows("replicas")
    limits = {row["replica"]: row["limit_per_s"] for row in rows}
    assert limits == {"e0": None, "d0": 1.7, "d1": None}


async def test_rows_of_replicas_show_the_speeds_that_their_scheduler_has_learned():
    sources = sources_of("a")
    speeds = sources.schedulers.scheduler(LLM, 0).speeds
    started_at_ms = sources.directory.get("d0").started_at_ms
    for _ in range(20):
        speeds.observe("d0", started_at_ms, Stage.DECODE, 2.0, loop_time())
        speeds.observe("d1", started_at_ms, Stage.DECODE, 1.0, loop_time())
    rows = FleetStatus(sources, FakePeerClient()).own_rows("replicas")
    shown = {row["replica"]: row["decode_speed"] for row in rows}
    assert shown["d0"] == pytest.approx(0.8, abs=0.1)
    assert shown["e0"] is None
    assert {row["prefill_speed"] for row in rows} == {None}


async def test_rows_of_quotas_show_the_owner_and_what_is_left():
    sources = sources_of("vm-1")
    quota = Quota(10.0, 5.0, QuotaUnit.REQUESTS, 0)
    for _ in range(3):
        await sources.quotas.acquire(Workspace("first", quota=quota), None)
    (row,) = FleetStatus(sources, FakePeerClient()).own_rows("quotas")
    assert (row["workspace"], row["owner"], row["spent"]) == ("first", "vm-1", 3.0)
    assert row["left"] == pytest.approx(85 + 4.25 - 3)


async def test_rows_of_all_daemons_are_joined_and_silent_ones_named():
    other = FleetStatus(sources_of("b"), FakePeerClient())
    status = FleetStatus(sources_of("a", "b", "c"), FakePeerClient(b=other))
    answer = await status.ask("daemons")
    assert [row["daemon"] for row in answer.rows] == ["a", "b"]
    assert answer.silent == ["c"]
    assert {row["configuration"] for row in answer.rows} == {7}


async def test_the_burn_of_all_daemons_is_added_up():
    own, other = sources_of("a", "b"), sources_of("b")
    for sources, good in ((own, True), (own, False), (other, True), (other, True)):
        sources.burn.record("llm", "stream", good, now=loop_time())
    peer = FleetStatus(other, FakePeerClient())
    answer = await FleetStatus(own, FakePeerClient(b=peer)).ask("burn")
    assert {(row["total"], row["bad"]) for row in answer.rows} == {(4, 1)}
    assert {row["burn_rate"] for row in answer.rows} == {5.0}


async def test_routes_are_those_of_the_daemon_that_was_asked():
    status = FleetStatus(sources_of("a", "b"), FakePeerClient())
    answer = await status.ask("routes")
    assert answer == JoinedRows(status.own_rows("routes"), [])


async def test_a_subject_that_a_peer_does_not_know_has_no_rows():
    assert FleetStatus(sources_of("a"), FakePeerClient()).own_rows("weather") == []


async def test_rows_of_daemons_show_that_the_links_are_lost_and_who_carries():
    sources = sources_of("a")
    sources.links.record_lost([])
    sources.carrier._used_at["b"] = loop_time()
    (row,) = FleetStatus(sources, FakePeerClient()).own_rows("daemons")
    assert (row["links"], row["links_lost_s"], row["carriers"]) == ("lost", 0.0, "b")
