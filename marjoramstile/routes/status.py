"""A routing daemon's state as rows that operators query by subject."""

import json
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass

from marjoramstile.crashes.blocklist import BlockEntry, Blocklist
from marjoramstile.hedging.hedger import Hedger
from marjoramstile.language.registry import Row, SubjectRegistry
from marjoramstile.limits.coordinator import LimitCoordinator
from marjoramstile.membership.view import View
from marjoramstile.mirrors.follower import MirrorFollower
from marjoramstile.mirrors.mirror import TableMirror
from marjoramstile.peers.membership_client import JoinedRows, MembershipClient
from marjoramstile.peers.queries import decode_query
from marjoramstile.pools.host import SchedulerHost
from marjoramstile.pools.shares import Standing
from marjoramstile.ports.feeds import era_of, number_of
from marjoramstile.quotas.client import QuotaClient
from marjoramstile.quotas.owner import QuotaOwner
from marjoramstile.reports.burn import BurnReport, merge_burn_rows
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.carrying import RequestCarrier
from marjoramstile.routes.links import ReplicaLinks
from marjoramstile.routes.order_rows import NO_ORDERS, orders_of
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.table import RoutingTable
from marjoramstile.utils import loop_time
from marjoramstile.workspaces.table import QuotaUnit


@dataclass(frozen=True)
class StatusSources:
    """Components of a routing daemon that rows are read from."""

    view: View
    table: Callable[[], RoutingTable | None]
    followers: Mapping[str, MirrorFollower]
    reads_store: Callable[[], bool]
    orders: TableMirror
    directory: ReplicaDirectory
    balancer: Balancer
    schedulers: SchedulerHost
    limits: LimitCoordinator
    quotas: QuotaClient
    quota_owner: QuotaOwner
    blocklist: Blocklist
    links: ReplicaLinks
    carrier: RequestCarrier
    running: Callable[[], int]
    burn: BurnReport
    hedger: Hedger


SUBJECTS: SubjectRegistry[StatusSources] = SubjectRegistry()


@SUBJECTS.register("daemons", on_all_daemons=True)
def daemon_rows(sources: StatusSources) -> list[Row]:
    """Return this daemon, its state and its configuration."""
    own = sources.view.own
    table = sources.table()
    now = loop_time()
    lost_since = sources.links.lost_since
    return [
        {
            "daemon": own.vm.name,
            "data_centre": own.vm.data_centre,
            "region": own.vm.region,
            "state": own.state.name.lower(),
            "configuration": table.version if table else None,
            "requests": sources.running(),
            "reads_store": sources.reads_store(),
            "links": sources.links.state(now).name.lower(),
            "links_lost_s": None if lost_since is None else _seconds(now - lost_since),
            "carriers": ", ".join(sources.carrier.recent_carriers(now)),
            "incarnation": own.incarnation,
        }
    ]


@SUBJECTS.register("mirrors", on_all_daemons=True)
def mirror_rows(sources: StatusSources) -> list[Row]:
    """Return how current this daemon's mirrors of the store's tables are."""
    now = loop_time()
    return [
        {
            "daemon": sources.view.own.vm.name,
            "table": table,
            "version": number_of(follower.mirror.version),
            "era": era_of(follower.mirror.version),
            "age_s": _seconds(follower.age_s(now)),
            "store": "reached" if follower.store_reachable else "lost",
        }
        for table, follower in sources.followers.items()
    ]


@SUBJECTS.register("peers", on_all_daemons=True)
def peer_rows(sources: StatusSources) -> list[Row]:
    """Return this daemon's view of the others."""
    now = loop_time()
    return [
        {
            "daemon": sources.view.own.vm.name,
            "peer": peer.vm.name,
            "state": peer.state.name.lower(),
            "serving": peer.serving,
            "since_s": _seconds(now - peer.since),
        }
        for peer in sources.view.others
    ]


@SUBJECTS.register("replicas", on_all_daemons=True)
def replica_rows(sources: StatusSources) -> list[Row]:
    """Return the state of each replica as known to this daemon, and since when."""
    return [_replica_row(sources, replica) for replica in sources.directory.all]


def _replica_row(sources: StatusSources, replica: Replica) -> Row:
    now = loop_time()
    lease_totals = sources.schedulers.lease_totals(replica)
    return {
        "daemon": sources.view.own.vm.name,
        "replica": replica.id,
        "service": replica.service,
        "data_centre": replica.data_centre,
        "address": replica.address,
        "state": str(replica.state),
        "stage": None if replica.stage is None else str(replica.stage),
        "version": replica.version,
        "standing": str(sources.directory.standing(replica)),
        "since_s": _seconds(now - sources.directory.changed_at(replica.id)),
        "doubtful": sources.balancer.is_suspect(replica, now),
        "limit_per_s": sources.limits.limit_per_s(replica),
        "leases": lease_totals.requests,
        "leased_tokens": lease_totals.tokens,
        "prefill_speed": _rounded(sources.schedulers.speed(replica, Stage.PREFILL)),
        "decode_speed": _rounded(sources.schedulers.speed(replica, Stage.DECODE)),
    }


def _rounded(factor: float | None) -> float | None:
    return None if factor is None else round(factor, 2)


@SUBJECTS.register("routes", on_all_daemons=False)
def route_rows(sources: StatusSources) -> list[Row]:
    """Return the routes of the configuration in force on this daemon."""
    table = sources.table()
    if table is None:
        return []
    return [
        {
            "route": route.name,
            "host": route.host,
            "prefix": route.prefix,
            "kind": str(route.kind),
            "services": ", ".join(
                f"{share.service}:{share.weight:g}" for share in route.shares
            ),
            "configuration": table.version,
        }
        for route in table.routes
    ]


@SUBJECTS.register("orders", on_all_daemons=False)
def order_rows(sources: StatusSources) -> list[Row]:
    """Return each service's last order, its holder, and the moves in progress."""
    rows = []
    holders = {peer.incarnation: peer.vm.name for peer in sources.view.peers}
    for service, row in sources.orders.rows.items():
        orders = orders_of(row)
        if orders == NO_ORDERS:
            continue
        rows.append(
            {
                "service": service,
                "holder": holders.get(orders.holder, orders.holder),
                "fencing_token": row.version,
                "moves": ", ".join(
                    f"{move.replica} to {move.stage}" for move in orders.moves
                ),
            }
        )
    return rows


@SUBJECTS.register("quarantine", on_all_daemons=True)
def quarantine_rows(sources: StatusSources) -> list[Row]:
    """Return the contents and parts of prompts that this daemon refuses or has refused.

    ``trial_in_s`` is the time until one request may show whether the key is sound.
    """
    now = loop_time()
    return [
        {
            "daemon": sources.view.own.vm.name,
            "service": entry.service,
            "key": entry.key,
            "blocked": entry.blocked,
            "by": entry.by,
            "since": entry.since_s,
            "crashes": ", ".join(entry.crashes),
            "trials": entry.trials,
            "trial_in_s": _trial_in_s(sources.blocklist, entry, now),
        }
        for entry in sources.blocklist.entries
    ]


def _trial_in_s(blocklist: Blocklist, entry: BlockEntry, now: float) -> float | None:
    wait_s = blocklist.trial_wait_s(entry, now) if entry.blocked else None
    return None if wait_s is None else _seconds(wait_s)


@SUBJECTS.register("quotas", on_all_daemons=True)
def quota_rows(sources: StatusSources) -> list[Row]:
    """Return the quotas that this daemon has charged lately, or grants as the owner.

    ``left`` and ``granted_per_s`` are known to the owner only.
    """
    keys = [account.key for account in sources.quotas.accounts]
    keys += [key for key in sources.quota_owner.keys if key not in keys]
    return [_quota_row(sources, *key) for key in keys]


def _quota_row(sources: StatusSources, workspace: str, unit: QuotaUnit) -> Row:
    now = loop_time()
    owned = sources.quota_owner.describe((workspace, unit))
    account = sources.quotas.account((workspace, unit))
    return {
        "daemon": sources.view.own.vm.name,
        "workspace": workspace,
        "unit": str(unit),
        "owner": sources.quotas.owner_of(workspace),
        "left": None if owned is None else round(owned.left, 3),
        "granted_per_s": None if owned is None else round(owned.granted_per_s, 3),
        "balance": 0.0 if account is None else round(account.balance(now), 3),
        "spent": 0.0 if account is None else round(account.recent(now), 3),
    }


@SUBJECTS.register("workspaces", on_all_daemons=True)
def workspace_rows(sources: StatusSources) -> list[Row]:
    """Return the workspaces with generations on the shards scheduled by this daemon.

    ``share_tokens`` is empty while there is room for all.
    """
    return [
        {
            "daemon": sources.view.own.vm.name,
            "service": service,
            "shard": shard,
            "workspace": share.workspace,
            "priority": share.priority,
            "held_tokens": share.held_tokens,
            "queued": share.queued,
            "queued_tokens": share.queued_tokens,
            "share_tokens": (
                None if share.share_tokens is None else round(share.share_tokens)
            ),
            "over_share": share.standing == Standing.OVER_SHARE,
        }
        for service, shard, share in sources.schedulers.workspace_shares()
    ]


@SUBJECTS.register("burn", on_all_daemons=True, join=merge_burn_rows)
def burn_rows(sources: StatusSources) -> list[Row]:
    """Return this daemon's share of the service-level burn."""
    return [asdict(row) for row in sources.burn.rows(loop_time())]


@SUBJECTS.register("hedging", on_all_daemons=True)
def hedging_rows(sources: StatusSources) -> list[Row]:
    """Return each service's hedged requests on this daemon since its start.

    ``after_s`` is the wait after which a request is hedged; empty while too few answers
    were seen.
    """
    return [
        {
            "daemon": sources.view.own.vm.name,
            "service": name,
            "after_s": _rounded(sources.hedger.tail_s(name)),
            "usual_s": _rounded(sources.hedger.usual_s(name)),
            "requests": service.requests,
            "sent": service.sent,
            "won": service.won,
            "refused": ", ".join(
                f"{reason}:{count}" for reason, count in sorted(service.refused.items())
            ),
        }
        for name, service in sources.hedger.services.items()
    ]


def _rounded(duration_s: float | None) -> float | None:
    return None if duration_s is None else _seconds(duration_s)


def _seconds(duration_s: float) -> float | None:
    """Return a duration rounded for display; None if it is infinite."""
    return None if duration_s == float("inf") else round(duration_s, 3)


class FleetStatus:
    """Answers operators' queries with the rows of all daemons."""

    def __init__(self, sources: StatusSources, peer_client: MembershipClient):
        self._sources = sources
        self._peer_client = peer_client

    def own_rows(self, name: str) -> list[Row]:
        """Return this daemon's rows; none if the subject is unknown."""
        known = SUBJECTS.get(name)
        return known.source(self._sources) if known else []

    def answer_peer(self, request: str) -> str:
        """Answer another daemon's query; both are JSON.

        Raises ValueError if the query can't be one.
        """
        return json.dumps(self.own_rows(decode_query(request)["subject"]))

    async def ask(self, name: str) -> JoinedRows:
        """Return a subject's rows, from all daemons if it is registered so."""
        subject = SUBJECTS[name]
        rows = self.own_rows(name)
        if not subject.on_all_daemons:
            return JoinedRows(rows, [])
        others = await self._peer_client.query_rows(
            self._sources.view.others, {"subject": name}
        )
        return JoinedRows(subject.join(rows + others.rows), others.silent)
