"""Composition of all components of one daemon on top of its external ports."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from marjoramstile.admission.breakers import CircuitBreakers
from marjoramstile.admission.limits import WorkspaceLimiter
from marjoramstile.admission.quarantine import Quarantine
from marjoramstile.admission.retries import RetryBudget
from marjoramstile.configuration.coordinator import ChangeCoordinator
from marjoramstile.configuration.keeper import CONFIRM_PERIOD_S, ConfigurationKeeper
from marjoramstile.configuration.store import ConfigurationStore
from marjoramstile.endpoints.engines import EngineClient
from marjoramstile.endpoints.plain import PlainClient
from marjoramstile.entry.access import AccessControl
from marjoramstile.entry.calls import CallHandler
from marjoramstile.entry.completions import CompletionHandler
from marjoramstile.entry.measuring import AnswerMeter
from marjoramstile.entry.status import AddressHandler, StatusHandler
from marjoramstile.language.subjects import Sources
from marjoramstile.ledger.ledger import Ledger
from marjoramstile.membership.leaving import LeavingHosts
from marjoramstile.membership.prober import Prober
from marjoramstile.membership.view import Peer, View
from marjoramstile.operators.executor import StatementExecutor
from marjoramstile.orders.sender import OrderSender
from marjoramstile.peers.connections import Connections
from marjoramstile.peers.handler import PeerHandler
from marjoramstile.peers.peer_client import PeerClient
from marjoramstile.ports.objects import ObjectStore
from marjoramstile.ports.tables import TableService
from marjoramstile.ports.vms import ListedState, ListedVM, VMList
from marjoramstile.reports.burn import BurnReport
from marjoramstile.reports.metrics import Metrics
from marjoramstile.requests.calls import CallRunner
from marjoramstile.requests.canceller import Canceller
from marjoramstile.requests.completions import CompletionRunner
from marjoramstile.requests.crashes import CrashObserver
from marjoramstile.requests.placement import Placer
from marjoramstile.requests.recent import RecentRequests
from marjoramstile.requests.running import RunningRequests
from marjoramstile.settings import Settings
from marjoramstile.slots.broker import SlotBroker
from marjoramstile.slots.directory import OwnerDirectory
from marjoramstile.slots.hints import HintTable
from marjoramstile.slots.reports import LoadReports
from marjoramstile.slots.service import OwnerService
from marjoramstile.utils import BackgroundTasks, new_token, run_every

QUARANTINE_PERIOD_S = 30.0
ORDERS_PERIOD_S = 10.0
STUCK_CHANGE_PERIOD_S = 5.0


@dataclass(frozen=True)
class Ports:
    """Clients of the external systems that a daemon uses."""

    tables: TableService
    objects: ObjectStore
    vm_list: VMList
    engines: EngineClient
    plain: PlainClient
    connections: Connections


@dataclass(frozen=True)
class PeriodicTask:
    """An action and the period in seconds at which it runs."""

    name: str
    period_s: float
    action: Callable[[], Awaitable[None]]


class Node:
    """All components of one daemon except its listeners; owns its background tasks."""

    def __init__(self, settings: Settings, ports: Ports, rng: random.Random):
        self.settings = settings
        self.ports = ports
        self.rng = rng
        self.tasks = BackgroundTasks()
        self._build_membership()
        self._build_configuration()
        self._build_slots()
        self._build_requests()
        self._build_handlers()

    def _build_membership(self) -> None:
        node = self.settings.node
        timing = self.settings.timing
        peers = self.settings.listeners.peers
        own = ListedVM(
            node.name, peers.host, node.data_centre, node.region, ListedState.LIVE
        )
        self.view = View(own, new_token())
        self.peer_client = PeerClient(
            self.ports.connections, peers.port, timing.probe_timeout_s
        )
        self.leaving = LeavingHosts()
        self.prober = Prober(
            self.view,
            self.peer_client,
            self.ports.vm_list,
            self.leaving,
            timing.suspicion_s,
            self.rng,
        )
        self.quarantine = Quarantine()
        self.prober.carry_strikes(self._take_strikes, self.quarantine.strike)

    def _take_strikes(self, limit: int) -> tuple[tuple[str, str], ...]:
        return self.quarantine.take_gossip(limit, len(self.view.peers))

    def _build_configuration(self) -> None:
        name = self.settings.node.name
        store = ConfigurationStore(self.ports.tables, self.ports.objects)
        self.keeper = ConfigurationKeeper(
            name,
            self.view.own.incarnation,
            str(self.settings.listeners.peers),
            store,
            self.peer_client,
        )
        self.coordinator = ChangeCoordinator(name, store, self.peer_client, self.keeper)

    def _build_slots(self) -> None:
        engines = self.ports.engines
        self.directory = OwnerDirectory(self.view)
        self.owners = OwnerService(
            self.view,
            self.keeper,
            self.directory,
            engines,
            self.leaving,
            self._send_grant,
            self.tasks,
        )
        self.hints = HintTable(self.settings.node.data_centre, self.leaving, self.rng)
        self.broker = SlotBroker(
            self.view, self.directory, self.owners, self.peer_client, self.hints
        )
        self.reports = LoadReports(self.keeper, engines, self.hints)
        self.orders = OrderSender(
            self.ports.tables, engines, self.keeper, self.directory
        )

    async def _send_grant(self, peer: Peer, request_id: str) -> bool:
        if peer.vm.name == self.view.own.vm.name:
            return self.broker.on_granted(request_id)
        return await self.peer_client.granted(peer, request_id)

    def _build_requests(self) -> None:
        engines = self.ports.engines
        self.metrics = Metrics()
        self.burn = BurnReport()
        self.breakers = CircuitBreakers()
        self.budget = RetryBudget()
        self.limiter = WorkspaceLimiter()
        self.running = RunningRequests()
        self.recent = RecentRequests()
        self.ledger = Ledger(self.ports.tables, self.tasks)
        self.canceller = Canceller(engines, self.tasks)
        self.completions = CompletionRunner(
            self.view,
            engines,
            Placer(self.broker, self.hints, self.breakers, self.rng),
            self.canceller,
            CrashObserver(
                engines,
                self.quarantine,
                self.breakers,
                self._announce_strike,
                self._announce_clear,
            ),
            self.quarantine,
            self.breakers,
            self.budget,
            self.metrics,
            self.running,
            self.tasks,
        )
        self.calls = CallRunner(
            self.view,
            self.ports.plain,
            self.ledger,
            self.ports.objects,
            self.leaving,
            self.breakers,
            self.budget,
            self.tasks,
            self.rng,
        )

    def _announce_strike(self, content: str, endpoint: str) -> None:
        for peer in self.view.others:
            if peer.serving:
                strike = self.peer_client.strike(peer, content, endpoint)
                self.tasks.start(strike, "announce_strike")

    def _announce_clear(self, content: str) -> None:
        for peer in self.view.others:
            if peer.serving:
                clear = self.peer_client.clear(peer, content)
                self.tasks.start(clear, "announce_clear")

    def _build_handlers(self) -> None:
        access = AccessControl(self.keeper)
        self.meter = AnswerMeter(self.metrics, self.burn)
        self.completion_handler = CompletionHandler(
            access, self.limiter, self.completions, self.recent, self.meter
        )
        self.call_handler = CallHandler(access, self.limiter, self.calls)
        self.address_handler = AddressHandler(access, self.view, self.settings)
        self.status_handler = StatusHandler(
            access, self.ledger, self.calls, self.recent, self.view, self.peer_client
        )
        self.statement_executor = StatementExecutor(
            self._sources(),
            self.peer_client,
            self.coordinator,
            self.orders,
            self.status_handler,
        )
        self.peer_handler = PeerHandler(
            self.prober,
            self.keeper,
            self.owners,
            self.broker,
            self.quarantine,
            self.statement_executor.answer_peer,
        )

    def _sources(self) -> Sources:
        return Sources(
            self.view,
            self.keeper,
            self.owners,
            self.directory,
            self.limiter,
            self.quarantine,
            self.running,
            self.metrics,
            self.burn,
        )

    async def join(self) -> None:
        """Read the VM list, announce this daemon and read the configuration."""
        await self.prober.refresh_list()
        await self.prober.announce()
        await self.keeper.step()

    def start_periodic_tasks(self) -> None:
        """Start all periodic tasks."""
        for task in self._periodic_tasks():
            coroutine = run_every(task.period_s, task.action, task.name)
            self.tasks.start(coroutine, task.name)

    def _periodic_tasks(self) -> tuple[PeriodicTask, ...]:
        timing = self.settings.timing
        list_period_s = self.settings.platform.list_period_s
        return (
            PeriodicTask("vm_list", list_period_s, self.prober.refresh_list),
            PeriodicTask("probe", timing.probe_period_s, self.prober.step),
            PeriodicTask("configuration", CONFIRM_PERIOD_S, self.keeper.step),
            PeriodicTask("owners", timing.poll_period_s, self.owners.step),
            PeriodicTask("reports", timing.poll_period_s, self.reports.step),
            PeriodicTask("quarantine", QUARANTINE_PERIOD_S, self._persist_quarantine),
            PeriodicTask("orders", ORDERS_PERIOD_S, self.orders.step),
            PeriodicTask("stuck", STUCK_CHANGE_PERIOD_S, self._withdraw_stuck_changes),
        )

    async def _persist_quarantine(self) -> None:
        limit = self.keeper.configuration.limits.crash_limit
        await self.quarantine.persist(self.ports.tables, limit)

    async def _withdraw_stuck_changes(self) -> None:
        """Withdraw stuck configuration changes whose coordinator may have failed.

        In each data centre, only the daemon to which the directory assigns the key
        ``stuck changes`` does this.
        """
        data_centre = self.settings.node.data_centre
        if self.directory.is_own("stuck changes", data_centre):
            await self.coordinator.withdraw_stuck()

    @property
    def busy(self) -> bool:
        """Whether requests, unconfirmed ledger writes or cancellations are in flight.

        A stop waits for them.
        """
        return bool(
            self.limiter.running
            or self.ledger.unwritten_count
            or self.canceller.pending
        )
