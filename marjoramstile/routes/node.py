"""Assembles the components of one routing daemon over its ports."""

import asyncio
import random
import socket
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

from marjoramstile.crashes.blocklist import Blocklist
from marjoramstile.crashes.coordinator import CrashCoordinator
from marjoramstile.crashes.detector import CrashDetector
from marjoramstile.crashes.sharing import BlocklistSharing
from marjoramstile.descriptors import DescriptorShares
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.hedging.hedger import Hedger
from marjoramstile.limits.client import PermitClient
from marjoramstile.limits.coordinator import LimitCoordinator
from marjoramstile.listeners import acquire_listener, acquire_socket
from marjoramstile.logs import get_logger
from marjoramstile.loops import datagram_socket
from marjoramstile.membership.leaving import LeavingHosts
from marjoramstile.membership.nodes import MirrorVMList
from marjoramstile.membership.prober import Prober
from marjoramstile.membership.view import View
from marjoramstile.mirrors.mirror import (
    DocumentMirror,
)
from marjoramstile.mirrors.peers import PeerChangeSource
from marjoramstile.peers.connections import IDLE_ADDRESSES_MAX, PeerConnections
from marjoramstile.peers.datagram_sources import DatagramSources
from marjoramstile.peers.membership_client import MembershipClient
from marjoramstile.peers.pool_datagrams import DatagramSender, PoolProtocol
from marjoramstile.peers.router_handler import RouterPeerHandler
from marjoramstile.peers.transport import PeerServer
from marjoramstile.pools.client import PoolClient
from marjoramstile.pools.host import SchedulerHost
from marjoramstile.pools.shards import PoolShards, SchedulerSelector
from marjoramstile.ports.feeds import StoredRow, TableFeed, era_of
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.quotas.client import QuotaClient
from marjoramstile.quotas.owner import QuotaOwner
from marjoramstile.quotas.ranking import OwnerRanking
from marjoramstile.reports.exposition import exposition_text
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.addresses import FrontAddresses
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.budget import WindowedRetryBudget
from marjoramstile.routes.calls import PlainCallRunner
from marjoramstile.routes.carrying import (
    CarrierClient,
    CarrierPeers,
    RequestCarrier,
)
from marjoramstile.routes.checked_client import CheckedReplicaClient
from marjoramstile.routes.durations import DurationForecast
from marjoramstile.routes.entry import RequestDispatcher
from marjoramstile.routes.failures import FailureRecorder
from marjoramstile.routes.generations import GenerationRunner
from marjoramstile.routes.links import LinkMonitor, ReplicaLinks
from marjoramstile.routes.loads import PrefillLoads
from marjoramstile.routes.node_mirrors import NodeMirrors
from marjoramstile.routes.notices import ReplicaNotices
from marjoramstile.routes.order_ports import OrderStore, StageClient
from marjoramstile.routes.order_rows import orders_of
from marjoramstile.routes.orders import StageRebalancer
from marjoramstile.routes.placement import DecodePlacer
from marjoramstile.routes.ports import ReplicaClient
from marjoramstile.routes.prefiller import Prefiller
from marjoramstile.routes.registration import Registration
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.replicas import MISSING_GRACE_S, ReplicaDirectory
from marjoramstile.routes.settings import RouterSettings
from marjoramstile.routes.status import FleetStatus, StatusSources
from marjoramstile.routes.table import EngineTraits, RoutingTable
from marjoramstile.streams.continuation import StreamVersions
from marjoramstile.streams.keeper import StreamKeeper
from marjoramstile.streams.registry import StreamRegistry
from marjoramstile.streams.storage import StreamStore
from marjoramstile.streams.versions import VersionHistory
from marjoramstile.utils import BackgroundTasks, loop_time, new_token, run_every

FRAME_MAX_BYTES = 4_194_304
PROBE_PERIOD_S = 0.4
PROBE_TIMEOUT_S = 0.3
SUSPICION_S = 2.0
LIST_PERIOD_S = 0.5
EXPIRY_PERIOD_S = 0.25
STAGES_PERIOD_S = 1.0
QUOTAS_PERIOD_S = 0.25
# Streams that began within this time before a kill of all daemons can't be taken up.
STREAMS_PERIOD_S = 0.25
ADDRESS_TTL_S = 1.5
# Longest time for which a starting daemon asks others for the configuration.
START_WAIT_S = 0.2
START_POLL_S = 0.01

logger = get_logger(__name__)


@dataclass(frozen=True)
class PeerSockets:
    """Sockets on which other daemons reach this one."""

    datagrams: socket.socket
    calls: socket.socket


@dataclass(frozen=True)
class RouterPorts:
    """External interfaces that a routing daemon uses."""

    feed: TableFeed
    replicas: ReplicaClient
    orders: OrderStore
    stages: StageClient
    notices: ReplicaNotices
    links: ReplicaLinks
    carriers: CarrierClient
    buffers: BufferBudget


class RouterNode:
    """The components of one routing daemon, without its listeners for callers.

    Owns the mirrors, the configuration in force and the background tasks.
    """

    def __init__(
        self,
        settings: RouterSettings,
        ports: RouterPorts,
        configuration_mirror: DocumentMirror,
        replicas_table: str,
        rng: random.Random,
    ):
        self.settings = settings
        self._shares = DescriptorShares.of(settings.descriptors)
        self.metrics = Metrics()
        self.tasks = BackgroundTasks(partial(self.metrics.count, "task_failures"))
        self.directory = ReplicaDirectory(ports.notices)
        self._ports = ports
        self._rng = rng
        self._table: RoutingTable | None = None
        self.mirrors = NodeMirrors(
            configuration_mirror, replicas_table, settings.bounds.heartbeat_s
        )
        self.mirrors.orders.subscribe(self._apply_orders)
        self._build_membership()
        self._build_requests()
        self._build_status()

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force; None until one is known."""
        return self._table

    def put_table(self, table: RoutingTable) -> None:
        """Install a configuration unless it is older than the one in force."""
        if self._table is not None and table.version < self._table.version:
            logger.warning(
                "older_configuration_ignored",
                version=table.version,
                in_force=self._table.version,
            )
            return
        self._table = table
        logger.info(
            "configuration_in_force", version=table.version, routes=len(table.routes)
        )

    def remove_replica(self, replica_id: str) -> None:
        """Drop a replica whose row was deleted, or expired during a store outage."""
        follower = self._followers[self.mirrors.replicas.table]
        keep_until = follower.store_recovered_at + MISSING_GRACE_S
        self.directory.remove(replica_id, keep_until, loop_time())

    def drop_replica(self, replica_id: str) -> None:
        """Drop a replica whose row names none any more."""
        now = loop_time()
        self.directory.remove(replica_id, keep_until=now, now=now)

    def _apply_orders(self, row: StoredRow) -> None:
        """Record the moves that a daemon has ordered: moving replicas are not used.

        The row is that of a service; its profile holds the averages of its pool. One
        written before a restore of the store may lack the last orders.
        """
        orders = orders_of(row)
        if orders.era and orders.era != era_of(row.version):
            logger.info("orders_of_earlier_era_ignored", service=row.key)
            return
        now = loop_time()
        if orders.profile is not None:
            self.schedulers.adopt_profile(row.key, orders.profile)
        for move in orders.moves:
            until = now + move.until_s - orders.at_s
            self.directory.record_move(move.replica, move.stage, until)

    def metrics_text(self) -> str:
        """Return all metrics for a scrape."""
        return exposition_text(self.metrics.snapshot())

    def _build_membership(self) -> None:
        settings = self.settings
        own = ListedVM(
            settings.vm,
            settings.ip,
            settings.data_centre,
            settings.region,
            ListedState.LIVE,
        )
        self.view = View(own, new_token())
        self._connections = PeerConnections(
            FRAME_MAX_BYTES,
            self._ports.buffers,
            min(IDLE_ADDRESSES_MAX, self._shares.peer_addresses),
        )
        self.peer_client = MembershipClient(
            self._connections, settings.listeners.peers.port, PROBE_TIMEOUT_S
        )
        self._vm_list = MirrorVMList(self.mirrors.nodes)
        self.prober = Prober(
            self.view,
            self.peer_client,
            self._vm_list,
            LeavingHosts(),
            SUSPICION_S,
            self._rng,
        )
        self._build_followers()

    def _build_followers(self) -> None:
        """Build what keeps the mirrors current."""
        peers = PeerChangeSource(self.view, self.peer_client, self.tasks, self._rng)
        self._followers = self.mirrors.follow(self._ports.feed, peers, self._rng)
        self._reads_store = peers.reads_store
        self._lag = self.mirrors.detect_lag(self.view, self.peer_client, self.tasks)
        self.prober.carry_positions(self._lag.positions, self._lag.handle_positions)
        mirrors = self.mirrors.by_table
        for mirror in mirrors.values():
            mirror.on_failed_row(partial(self.metrics.count, "rows_not_applied"))
        self.registration = Registration(
            self.settings,
            self.view.own.incarnation,
            self._ports.orders,
            mirrors,
            self.metrics,
            self.tasks,
            self._rng,
        )

    def _daemon_count(self) -> int | None:
        """Return how many daemons there are; None before their rows were read."""
        if not self.mirrors.nodes.loaded:
            return None
        return max(len(self.view.peers), len(self.mirrors.nodes.rows))

    def _build_requests(self) -> None:
        settings = self.settings
        client = CheckedReplicaClient(self._ports.replicas, self.directory)
        self.balancer = Balancer(settings.data_centre, self._rng)
        self._build_pools()
        self.budget = WindowedRetryBudget(
            settings.bounds.retries, self._daemon_count, loop_time()
        )
        crashes = self._build_crashes(client)
        self.stages = StageRebalancer(
            self.view,
            self.directory,
            self._selector,
            self.schedulers.scheduler,
            self._ports.orders,
            self._ports.stages,
            self.limits.is_limited,
            settings.bounds.lease_s,
        )
        self._build_carrying(client)
        self.hedger = Hedger(settings.hedge_max_share, self.budget, self.metrics)
        self._build_quotas()
        calls = PlainCallRunner(
            self.directory,
            client,
            self.balancer,
            self.budget,
            crashes,
            self._permits,
            self._ports.links,
            self.hedger,
        )
        generations = self._build_generations(client, crashes)
        self.entry = RequestDispatcher(
            lambda: self._table,
            lambda: self.mirrors.replicas.loaded,
            calls,
            generations,
            crashes,
            self._carrier,
            self.quotas,
            self.budget,
            DurationForecast(self.schedulers.profile, self._engine_of),
            self.metrics,
            settings.bounds.grace_s,
            self._rng,
        )
        self.addresses = FrontAddresses(
            self.view,
            lambda: self._vm_list.entries,
            str(settings.listeners.front),
            lambda: self.entry.ready,
            min(ADDRESS_TTL_S, settings.bounds.address_ttl_max_s),
        )

    def _build_carrying(self, client: ReplicaClient) -> None:
        """Build what finds out that this VM reaches no replicas, and what it does."""
        links = self._ports.links
        self._link_monitor = LinkMonitor(
            links, self.directory, client, self._rng, self.balancer.forgive
        )
        self.carrier_peers = CarrierPeers(
            self.view, lambda: self._vm_list.entries, links, self._rng
        )
        self.prober.carry_links(
            self.carrier_peers.own_state, self.carrier_peers.handle_state
        )
        self._carrier = RequestCarrier(
            links, self.carrier_peers, self._ports.carriers, self.budget
        )

    def _build_pools(self) -> None:
        """Build the schedulers of generations, and the client that calls them."""
        shards = PoolShards(self.directory)
        self._selector = SchedulerSelector(self.view)
        self._sender = DatagramSender(self.settings.listeners.peers.port)
        self._build_limits(shards)
        self.schedulers = SchedulerHost(
            shards,
            self._engine_of,
            self.balancer,
            self._rng,
            self.limits,
            self.metrics.count,
        )
        self.pool = PoolClient(
            self.view.own,
            self._selector,
            shards,
            self.schedulers,
            self._sender,
            self.tasks,
            self._rng,
        )

    def _build_crashes(self, client: ReplicaClient) -> CrashDetector:
        """Build what finds and keeps out requests that crash replicas.

        Probes carry the digest of what is blocked.
        """
        self.blocklist = Blocklist()
        self.block_sharing = BlocklistSharing(
            self.blocklist,
            self.view,
            self._sender,
            self._ports.feed,
            self._ports.orders,
            self.tasks,
        )
        self.prober.carry_digest(
            lambda: self.block_sharing.digest, self.block_sharing.handle_digest
        )
        self._crash_coordinator = CrashCoordinator(
            self.view,
            SchedulerSelector(self.view),
            self.directory,
            client,
            self.blocklist,
            self.block_sharing,
            self._sender,
            self.tasks,
        )
        return CrashDetector(
            self.blocklist,
            self.block_sharing,
            self._crash_coordinator,
            client,
            self.tasks,
        )

    def _build_limits(self, shards: PoolShards) -> None:
        """Build the coordinator of replicas' limits, and the client of permits.

        They have a selector of their own: one lost answer about a permit must not make
        a scheduler count as silent.
        """
        selector = SchedulerSelector(self.view)
        self.limits = LimitCoordinator(
            self.view, selector, shards, self._sender, self._daemon_count, self._rng
        )
        self._permits = PermitClient(
            self.view.own, selector, self.limits, self._sender, self.metrics
        )
        self._ports.notices.record_limits_in(self.limits)

    def _build_quotas(self) -> None:
        """Build the owner of workspaces' quotas, and the client that asks owners."""
        bounds = self.settings.bounds.quotas
        ranking = OwnerRanking(self.view, bounds.window_s, loop_time())
        self.quota_owner = QuotaOwner(
            ranking,
            bounds,
            lambda: self._table.workspaces if self._table else None,
            self._daemon_count,
        )
        self.quotas = QuotaClient(
            self.view,
            ranking,
            self.quota_owner,
            self._sender,
            bounds,
            self._daemon_count,
            self.metrics,
            self.tasks,
            self._rng,
        )

    def _engine_of(self, service: str) -> EngineTraits | None:
        routed = self._table.services.get(service) if self._table else None
        return routed.engine if routed else None

    def _build_generations(
        self, client: ReplicaClient, crashes: CrashDetector
    ) -> GenerationRunner:
        failures = FailureRecorder(self.directory, self.balancer)
        placer = DecodePlacer(
            self.directory, client, self.pool, failures, self._ports.links, self.tasks
        )
        prefiller = Prefiller(
            self.directory,
            client,
            self.balancer,
            self.budget,
            PrefillLoads(),
            self._permits,
            crashes,
            self._ports.links,
        )
        self._build_streams()
        streams = StreamVersions(self.streams, self.directory, client)
        return GenerationRunner(
            client,
            placer,
            prefiller,
            self.budget,
            failures,
            crashes,
            streams,
            self._carrier,
            self.tasks,
        )

    def _build_streams(self) -> None:
        """Build what remembers the software versions of streams."""
        registry = StreamRegistry()
        self._versions = VersionHistory(self.directory)
        store = StreamStore(
            self._ports.feed, self._ports.orders, registry, self._versions
        )
        replicas = self._followers[self.mirrors.replicas.table]
        self.streams = StreamKeeper(
            self.view,
            SchedulerSelector(self.view),
            self._sender,
            registry,
            self._versions,
            store,
            lambda: replicas.age_s(loop_time()),
            lambda: self._table.longest_timeout_s if self._table else None,
        )
        self.directory.on_ended(self._handle_ended_replica)
        self.registration.on_restored(self.streams.store_again)
        self.registration.on_restored(self.block_sharing.store_again)

    def _handle_ended_replica(
        self, replica: Replica, following: Replica | None
    ) -> None:
        self._versions.record_gone(replica, loop_time())
        if following is not None:
            self.streams.handle_restart(replica, following)

    async def _store_streams(self) -> None:
        """Store changes of versions, and streams while there are several."""
        if self._table is None or not self.mirrors.replicas.loaded:
            return
        self._versions.begin(loop_time())
        self.streams.expire()
        engines = [item.name for item in self._table.services.values() if item.engine]
        await self.streams.store_changes(engines)

    def _build_status(self) -> None:
        sources = StatusSources(
            view=self.view,
            table=lambda: self._table,
            followers=self._followers,
            reads_store=self._reads_store,
            orders=self.mirrors.orders,
            directory=self.directory,
            balancer=self.balancer,
            schedulers=self.schedulers,
            limits=self.limits,
            quotas=self.quotas,
            quota_owner=self.quota_owner,
            blocklist=self.blocklist,
            links=self._ports.links,
            carrier=self._carrier,
            running=lambda: self.entry.running,
            burn=self.entry.burn,
            hedger=self.hedger,
        )
        self.status = FleetStatus(sources, self.peer_client)
        handler = RouterPeerHandler(
            self.prober, self._followers, self.status.answer_peer
        )
        self._peer_server = PeerServer(
            handler,
            FRAME_MAX_BYTES,
            self._ports.buffers,
            ConnectionLimit("peers", self._shares.peers, self.metrics.count),
            self.metrics.count,
        )

    async def acquire_sockets(self) -> PeerSockets:
        """Return the sockets for peers, which are not served before ``start``."""
        peers = self.settings.listeners.peers
        return PeerSockets(
            await acquire_socket(datagram_socket, peers.host, peers.port, "peers_udp"),
            await acquire_listener("peers", peers, self._shares.backlog),
        )

    async def start(self, sockets: PeerSockets) -> None:
        """Serve peers and begin to follow the store."""
        await self._peer_server.serve(sockets.calls, self._shares.backlog)
        await self._start_datagrams(sockets.datagrams)
        for table, follower in self._followers.items():
            if follower.mirror is not self.mirrors.configuration:
                self.tasks.start_retried(follower.run, f"follow {table}")
        self.tasks.start_retried(self._follow_configuration, "follow the configuration")
        self.tasks.start_retried(self.block_sharing.load, "load the blocklist")
        self.tasks.start_retried(self.streams.load, "load streams")
        self.tasks.start_retried(self._link_monitor.run, "watch links to replicas")
        self._every(STREAMS_PERIOD_S, self._store_streams, "store streams")
        self._every(LIST_PERIOD_S, self.prober.refresh_list, "list")
        self._every(PROBE_PERIOD_S, self.prober.step, "probe")
        self._every(EXPIRY_PERIOD_S, self._expire, "expire")
        self._every(STAGES_PERIOD_S, self._rebalance_stages, "stages")
        self._every(QUOTAS_PERIOD_S, self._step_quotas, "quotas")

    async def _follow_configuration(self) -> None:
        """Follow the store, after asking other daemons.

        The store may just have come back from a copy with an older configuration.
        """
        table = self.mirrors.configuration.table
        with suppress(TimeoutError):
            async with asyncio.timeout(START_WAIT_S):
                while not self.mirrors.nodes.loaded:
                    await asyncio.sleep(START_POLL_S)
                listed = (await self._vm_list.list_vms()).unwrap()
                self.view.merge_list(listed, loop_time())
                await self._lag.ask_at_start(table, self._rng)
        await self._followers[table].run()

    async def _start_datagrams(self, bound: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: PoolProtocol(
                self.schedulers,
                self.pool,
                self.limits,
                self._permits,
                self._crash_coordinator,
                self.streams,
                self.quotas,
                self.quota_owner,
                DatagramSources(
                    self.view, lambda: self._vm_list.entries, self.metrics.count
                ),
                self.metrics.count,
            ),
            sock=bound,
        )
        self._sender.connect(transport)

    def _every(self, period_s: float, action, name: str) -> None:
        self.tasks.start_retried(partial(run_every, period_s, action, name), name)

    async def _rebalance_stages(self) -> None:
        if self.entry.ready:
            self._share_estimates()
            await self.stages.step(self._table)

    def _share_estimates(self) -> None:
        for service in self._table.services.values():
            if service.engine is not None:
                self.pool.share_profile(service.name)
                self.pool.share_speeds(service.name)
        for service, changes in self.schedulers.pop_speed_changes().items():
            for _ in range(changes):
                self.metrics.count("replica_speed_changed", service)

    async def _expire(self) -> None:
        now = loop_time()
        for follower in self._followers.values():
            follower.mirror.expire(now)
        self.registration.check_era()
        self.directory.expire(now)
        self.balancer.forget_missing(self.directory.all)
        self.limits.forget_missing(self.directory.all)
        self.limits.tell_newcomers()
        self.carrier_peers.forget_missing()

    async def _step_quotas(self) -> None:
        self.quotas.step()
        self.quota_owner.step()

    async def leave(self) -> None:
        """Announce to all daemons that this one accepts no new callers."""
        self.view.leave(loop_time())
        await self.prober.announce()

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        await self._peer_server.close()
        self.schedulers.close()
        await self.tasks.close()
        self._connections.close()
