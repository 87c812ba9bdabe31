"""A routing core over fake replicas, on the virtual clock."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from marjoramstile.crashes.blocklist import Blocklist
from marjoramstile.crashes.coordinator import CrashCoordinator
from marjoramstile.crashes.detector import CrashDetector
from marjoramstile.crashes.sharing import BlocklistSharing
from marjoramstile.hedging.hedger import Hedger
from marjoramstile.limits.client import PermitClient
from marjoramstile.limits.coordinator import LimitCoordinator
from marjoramstile.membership.nodes import NodeEntry
from marjoramstile.membership.view import View
from marjoramstile.pools.client import PoolClient
from marjoramstile.pools.host import SchedulerHost
from marjoramstile.pools.shards import PoolShards, SchedulerSelector
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.quotas.client import QuotaClient
from marjoramstile.quotas.owner import QuotaOwner
from marjoramstile.quotas.ranking import OwnerRanking
from marjoramstile.quotas.windows import QuotaBounds
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.budget import BudgetLimits, WindowedRetryBudget
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
from marjoramstile.routes.placement import DecodePlacer
from marjoramstile.routes.prefiller import Prefiller
from marjoramstile.routes.replica_types import Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.requests import (
    GenerationSize,
    Headers,
    RoutedRequest,
)
from marjoramstile.routes.table import (
    EngineTraits,
    Route,
    RouteKind,
    RoutingTable,
    ServiceShare,
)
from marjoramstile.streams.continuation import StreamVersions
from marjoramstile.streams.keeper import StreamKeeper
from marjoramstile.streams.registry import StreamRegistry
from marjoramstile.streams.storage import StreamStore
from marjoramstile.streams.versions import VersionHistory
from marjoramstile.utils import BackgroundTasks, loop_time
from standins.replica_pool import FakePool, ReplicaModel
from tests.support import MemoryStore

LLM = "llm"
PLAIN = "ledger"
ENGINE = EngineTraits(
    slots=24,
    kv_tokens=33_466,
    hold_max_s=2.0,
    switch_s=6.0,
    stride=11,
    handle_ttl_s=0.5,
)
SIZE = GenerationSize(prompt=3200, max_output=781, expected_output=781)
EVENTS = 71


class Caller:
    """Responder that collects what one caller receives."""

    def __init__(self):
        self.data = b""
        self.first_at: float | None = None
        self.complete = False
        self.started = asyncio.Event()

    async def start(self, status: int, headers: Headers) -> None:
        """Record the time of the head."""
        self.first_at = loop_time()
        self.started.set()

    async def write(self, data: bytes) -> None:
        """Collect a chunk of the body."""
        assert not self.complete
        self.data += data

    async def finish(self) -> None:
        """Record the end."""
        self.complete = True

    @property
    def ids(self) -> list[int]:
        """Ids of the events received, in order."""
        lines = self.data.decode().splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


@dataclass
class RoutingCore:
    """The components of a daemon that run requests, wired to fake replicas."""

    pool: FakePool = field(default_factory=FakePool)
    slack: float = 50.0
    vm: str = "vm-1"
    engine: EngineTraits = ENGINE
    carriers: CarrierClient | None = None
    hedge_max_share: float = 0.0

    def __post_init__(self):
        self.tasks = BackgroundTasks()
        self.directory = ReplicaDirectory()
        self.balancer = Balancer("a", random.Random(1))
        limits = BudgetLimits(0.2, 10.0, self.slack)
        self.budget = WindowedRetryBudget(limits, lambda: 1, started=-10.0)
        self.client = CheckedReplicaClient(self.pool, self.directory)
        common = (self.directory, self.client, self.balancer)
        own = ListedVM(self.vm, "10.0.0.1", "a", "r", ListedState.LIVE)
        self.view = View(own, "i1")
        self._build_crashes()
        self._build_pools()
        self._build_carrier()
        self.metrics = Metrics()
        self._build_quotas()
        self.hedger = Hedger(self.hedge_max_share, self.budget, self.metrics)
        self.calls = PlainCallRunner(
            *common, self.budget, self.crashes, self.permits, self.links, self.hedger
        )
        failures = FailureRecorder(self.directory, self.balancer)
        self.generations = GenerationRunner(
            self.client,
            DecodePlacer(
                self.directory,
                self.client,
                self.pool_client,
                failures,
                self.links,
                self.tasks,
            ),
            Prefiller(
                *common,
                self.budget,
                PrefillLoads(),
                self.permits,
                self.crashes,
                self.links,
            ),
            self.budget,
            failures,
            self.crashes,
            self._build_streams(),
            self.carrier,
            self.tasks,
        )

    def _build_carrier(self) -> None:
        """Build the state of the links; tests start the monitor that watches them."""
        self.links = ReplicaLinks()
        self.link_monitor = LinkMonitor(
            self.links,
            self.directory,
            self.pool,
            random.Random(5),
            self.balancer.forgive,
        )
        self.carrier_entries: dict[str, NodeEntry] = {}
        self.carrier_view = View(self.view.own.vm, "i1")
        self.carrier_peers = CarrierPeers(
            self.carrier_view,
            lambda: self.carrier_entries,
            self.links,
            random.Random(6),
        )
        self.carrier = RequestCarrier(
            self.links, self.carrier_peers, self.carriers, self.budget
        )

    def _build_quotas(self) -> None:
        """Build quotas of a daemon that is alone, and that has long been there."""
        bounds = QuotaBounds()
        started = loop_time() - 2 * bounds.window_s
        ranking = OwnerRanking(self.view, bounds.window_s, started)
        self.quota_owner = QuotaOwner(ranking, bounds, lambda: None, lambda: 1)
        self.quotas = QuotaClient(
            self.view,
            ranking,
            self.quota_owner,
            None,
            bounds,
            lambda: 1,
            Metrics(),
            self.tasks,
            random.Random(7),
        )

    def _build_streams(self) -> StreamVersions:
        registry = StreamRegistry()
        self.versions = VersionHistory(self.directory)
        stream_store = StreamStore(self.store, self.store, registry, self.versions)
        self.streams = StreamKeeper(
            self.view,
            SchedulerSelector(self.view),
            None,
            registry,
            self.versions,
            stream_store,
            lambda: 0.0,
            lambda: 14.0,
        )
        self.directory.on_ended(self._handle_ended_replica)
        self.tasks.start(self.streams.load(), "load streams")
        return StreamVersions(self.streams, self.directory, self.client)

    def dispatcher(
        self, table: Callable[[], RoutingTable], metrics: Metrics | None = None
    ) -> RequestDispatcher:
        """Return an entry point over these components."""
        return RequestDispatcher(
            table,
            lambda: True,
            self.calls,
            self.generations,
            self.crashes,
            self.carrier,
            self.quotas,
            self.budget,
            DurationForecast(
                self.schedulers.profile,
                lambda service: self.engine if service == LLM else None,
            ),
            metrics or Metrics(),
            8.0,
            self.balancer._rng,
        )

    def _handle_ended_replica(self, replica, following) -> None:
        self.versions.record_gone(replica, loop_time())
        if following is not None:
            self.streams.handle_restart(replica, following)

    def _build_crashes(self) -> None:
        self.store = MemoryStore()
        self.blocklist = Blocklist()
        self.sharing = BlocklistSharing(
            self.blocklist,
            self.view,
            None,
            self.store,
            self.store,
            self.tasks,
        )
        self.crash_coordinator = CrashCoordinator(
            self.view,
            SchedulerSelector(self.view),
            self.directory,
            self.pool,
            self.blocklist,
            self.sharing,
            None,
            self.tasks,
        )
        self.crashes = CrashDetector(
            self.blocklist,
            self.sharing,
            self.crash_coordinator,
            self.pool,
            self.tasks,
        )

    def _build_pools(self) -> None:
        view = self.view
        pool_shards = PoolShards(self.directory)
        selector = SchedulerSelector(view)
        rng = random.Random(4)
        self.limits = LimitCoordinator(
            view, selector, pool_shards, None, lambda: 1, rng
        )
        self.permits = PermitClient(view.own, selector, self.limits, None, Metrics())
        self.schedulers = SchedulerHost(
            pool_shards,
            lambda service: self.engine if service == LLM else None,
            self.balancer,
            random.Random(2),
            self.limits,
        )
        self.pool_client = PoolClient(
            view.own,
            SchedulerSelector(view),
            pool_shards,
            self.schedulers,
            None,
            self.tasks,
            random.Random(3),
        )

    @property
    def scheduler(self):
        """The scheduler of the language service."""
        return self.schedulers.scheduler(LLM, 0)

    @property
    def leases(self) -> int:
        """Leases held by the client plus those granted by the scheduler."""
        return self.pool_client.leases + len(self.scheduler.leases)

    def add_plain(self, count: int) -> list:
        """Add plain replicas."""
        return [self._add(f"p{n}", PLAIN, None, ReplicaModel()) for n in range(count)]

    def add_engines(
        self, prefill: int, decode: int, model: ReplicaModel | None = None
    ) -> None:
        """Add prefill replicas e0, e1, ... and decode replicas d0, d1, ..."""
        model = model or ReplicaModel()
        for number in range(prefill):
            self._add(f"e{number}", LLM, Stage.PREFILL, model)
        for number in range(decode):
            self._add(f"d{number}", LLM, Stage.DECODE, model)

    def add_decode(self, name: str, version: str):
        """Add a decode replica of a software version."""
        return self._add(name, LLM, Stage.DECODE, ReplicaModel(), version)

    def _add(
        self,
        name: str,
        service: str,
        stage: Stage | None,
        model: ReplicaModel,
        version: str = "v1",
    ):
        fake = self.pool.add(name, service, stage, model, version)
        self.directory.put(fake.replica)
        return fake

    async def generate(self, request: RoutedRequest, caller: Caller | None = None):
        """Run a generation; return its caller."""
        caller = caller or Caller()
        await self.generations.run(request, self.engine, caller)
        return caller


def route(kind: RouteKind, **changes) -> Route:
    """Return a route of one kind; ``changes`` replace its fields."""
    stream = kind == RouteKind.STREAM
    result = Route(
        name="r",
        host="h.example",
        prefix="/p/",
        kind=kind,
        timeout_s=14.0 if stream else 1.0,
        target_latency_s=0.9 if stream else 0.2,
        priority=1,
        shares=(ServiceShare(LLM if stream else PLAIN, 1.0),),
        max_attempts=2,
        resumable=stream,
        gap_target_s=0.3 if stream else None,
    )
    return replace(result, **changes)


def request(request_id: str, on_route: Route, **changes) -> RoutedRequest:
    """Return a request that arrives now; ``changes`` replace its fields."""
    now = loop_time()
    result = RoutedRequest(
        id=request_id,
        method="POST",
        target=f"/p/{request_id}",
        headers=(),
        body=b"",
        route=on_route,
        service=on_route.shares[0].service,
        arrived=now,
        deadline=now + on_route.timeout_s,
        size=SIZE if on_route.kind == RouteKind.STREAM else None,
    )
    return replace(result, **changes)
