"""The daemon ``marjoramstiled``: puts the roles together and runs them."""

import asyncio
import contextlib
import os
import random
import signal
import sys
from pathlib import Path

import typer
from aiohttp import ClientSession, TCPConnector

from marjoramstile.admission.breakers import BreakerBoard
from marjoramstile.admission.limits import WorkspaceLimiter
from marjoramstile.admission.quarantine import Quarantine
from marjoramstile.admission.retries import RetryBudget
from marjoramstile.configuration.coordinator import ChangeCoordinator
from marjoramstile.configuration.keeper import CONFIRM_PERIOD_S, ConfigurationKeeper
from marjoramstile.configuration.store import ConfigurationStore
from marjoramstile.endpoints.engines import HTTPEngineClient
from marjoramstile.endpoints.plain import HTTPPlainClient
from marjoramstile.entry.access import AccessControl
from marjoramstile.entry.app import create_caller_app
from marjoramstile.entry.calls import CallHandler
from marjoramstile.entry.completions import CompletionHandler
from marjoramstile.entry.measuring import AnswerMeter
from marjoramstile.entry.status import AddressHandler, StatusHandler
from marjoramstile.entry.web import WebServer
from marjoramstile.language.subjects import Sources
from marjoramstile.ledger.ledger import Ledger
from marjoramstile.logs import get_logger, start_logging
from marjoramstile.membership.prober import Prober
from marjoramstile.membership.view import View
from marjoramstile.operators.app import OperatorHandler, create_operator_app
from marjoramstile.operators.desk import OperatorDesk
from marjoramstile.orders.desk import OrderDesk
from marjoramstile.peers.caller import PeerCaller
from marjoramstile.peers.connections import PeerConnections
from marjoramstile.peers.handler import PeerHandler
from marjoramstile.peers.transport import PeerServer
from marjoramstile.platform.objects import HTTPObjectStore
from marjoramstile.platform.tables import HTTPTableService
from marjoramstile.platform.vms import HTTPVMList, ListedState, ListedVM
from marjoramstile.reports.burn import BurnReport
from marjoramstile.reports.metrics import Metrics
from marjoramstile.requests.calls import CallRunner
from marjoramstile.requests.canceller import Canceller
from marjoramstile.requests.completions import CompletionRunner
from marjoramstile.requests.crashes import CrashObserver
from marjoramstile.requests.placement import Placer
from marjoramstile.requests.recent import RecentRequests
from marjoramstile.requests.running import RunningRequests
from marjoramstile.settings import Settings, load_settings
from marjoramstile.slots.broker import SlotBroker
from marjoramstile.slots.directory import OwnerDirectory
from marjoramstile.slots.hints import HintTable
from marjoramstile.slots.service import OwnerService
from marjoramstile.utils import TaskGroupOwner, new_token, run_every

BAD_SETTINGS_EXIT = 78
FORBIDDEN_LOOP_EXIT = 70
QUARANTINE_PERIOD_S = 30.0
ORDERS_PERIOD_S = 10.0
DRAIN_POLL_S = 0.05

logger = get_logger(__name__)


class Daemon:
    """All roles of one entry VM on one loop."""

    def __init__(self, settings: Settings, session: ClientSession):
        self._settings = settings
        self._session = session
        self._rng = random.Random()
        self._tasks = TaskGroupOwner()
        self._stopping = asyncio.Event()
        self._build_platform()
        self._build_membership()
        self._build_configuration()
        self._build_slots()
        self._build_requests()
        self._build_listeners()

    def _build_platform(self) -> None:
        platform = self._settings.platform
        where = (self._session, platform.url, platform.timeout_s)
        self._tables = HTTPTableService(*where)
        self._objects = HTTPObjectStore(*where)
        self._vm_list = HTTPVMList(*where)

    def _build_membership(self) -> None:
        node = self._settings.node
        timing = self._settings.timing
        listeners = self._settings.listeners
        own = ListedVM(
            node.name,
            listeners.peers.host,
            node.data_centre,
            node.region,
            ListedState.LIVE,
        )
        self._view = View(own, new_token())
        self._connections = PeerConnections(self._settings.limits.frame_max_bytes)
        self._caller = PeerCaller(
            self._connections, listeners.peers.port, timing.probe_timeout_s
        )
        self._prober = Prober(
            self._view,
            self._caller,
            self._vm_list,
            timing.probe_period_s,
            timing.suspicion_s,
            self._rng,
        )
        self._quarantine = Quarantine()
        self._prober.carry_strikes(
            lambda limit: self._quarantine.take_news(limit, len(self._view.peers)),
            self._quarantine.strike,
        )

    def _build_configuration(self) -> None:
        node = self._settings.node
        store = ConfigurationStore(self._tables, self._objects)
        self._keeper = ConfigurationKeeper(
            node.name,
            self._view.own.incarnation,
            str(self._settings.listeners.peers),
            store,
            self._caller,
        )
        self._coordinator = ChangeCoordinator(
            node.name, store, self._caller, self._keeper, self._tasks
        )

    def _build_slots(self) -> None:
        self._engines = HTTPEngineClient(self._session)
        self._directory = OwnerDirectory(self._view)
        self._owners = OwnerService(
            self._view,
            self._keeper,
            self._directory,
            self._engines,
            self._send_grant,
            self._tasks,
        )
        self._hints = HintTable(self._settings.node.data_centre, self._rng)
        self._broker = SlotBroker(
            self._view, self._directory, self._owners, self._caller, self._hints
        )
        self._orders = OrderDesk(
            self._tables, self._engines, self._keeper, self._directory
        )

    async def _send_grant(self, peer, request_id: str) -> bool:
        if peer.vm.name == self._view.own.vm.name:
            return self._broker.on_granted(request_id)
        return await self._caller.granted(peer, request_id)

    def _build_requests(self) -> None:
        self._metrics = Metrics()
        self._burn = BurnReport()
        self._breakers = BreakerBoard()
        self._budget = RetryBudget()
        self._limiter = WorkspaceLimiter()
        self._running = RunningRequests()
        self._recent = RecentRequests()
        self._ledger = Ledger(self._tables, self._tasks)
        self._canceller = Canceller(self._engines, self._tasks)
        crashes = CrashObserver(
            self._engines, self._quarantine, self._breakers, self._announce_strike
        )
        placer = Placer(self._broker, self._hints, self._breakers, self._rng)
        self._completions = CompletionRunner(
            self._view,
            self._engines,
            placer,
            self._canceller,
            crashes,
            self._quarantine,
            self._breakers,
            self._budget,
            self._metrics,
            self._running,
            self._tasks,
        )
        self._calls = CallRunner(
            self._view,
            HTTPPlainClient(self._session),
            self._ledger,
            self._objects,
            self._breakers,
            self._budget,
            self._tasks,
            self._rng,
        )

    def _announce_strike(self, content: str, endpoint: str) -> None:
        for peer in self._view.others:
            if peer.serving:
                self._tasks.start(
                    self._caller.strike(peer, content, endpoint), "announce_strike"
                )

    def _build_listeners(self) -> None:
        settings = self._settings
        access = AccessControl(self._keeper)
        status = StatusHandler(
            access, self._ledger, self._calls, self._recent, self._view, self._caller
        )
        meter = AnswerMeter(self._metrics, self._burn)
        caller_app = create_caller_app(
            settings.limits,
            CompletionHandler(
                access, self._limiter, self._completions, self._recent, meter
            ),
            CallHandler(access, self._limiter, self._calls),
            AddressHandler(access, self._view, settings),
            status,
        )
        desk = OperatorDesk(
            self._sources(), self._caller, self._coordinator, self._orders, status
        )
        operator_app = create_operator_app(
            settings.limits, OperatorHandler(desk, settings.operator_token_hashes)
        )
        self._caller_server = WebServer(caller_app, settings.listeners.callers)
        self._operator_server = WebServer(operator_app, settings.listeners.operators)
        handler = PeerHandler(
            self._prober,
            self._keeper,
            self._owners,
            self._broker,
            self._quarantine,
            desk.answer_peer,
        )
        self._peer_server = PeerServer(handler, settings.limits.frame_max_bytes)

    def _sources(self) -> Sources:
        return Sources(
            self._view,
            self._keeper,
            self._owners,
            self._directory,
            self._limiter,
            self._quarantine,
            self._running,
            self._metrics,
            self._burn,
        )

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stopping.set()

    async def run(self) -> None:
        """Serve until stopped, then leave without cutting anything off."""
        await self._start()
        await self._stopping.wait()
        await self._leave()
        await self._close()

    async def _start(self) -> None:
        peers = self._settings.listeners.peers
        await self._peer_server.start(peers.host, peers.port)
        await self._prober.refresh_list()
        await self._keeper.step()
        await self._operator_server.start()
        await self._caller_server.start()
        self._start_periodic_tasks()
        logger.info(
            "daemon_started",
            vm=self._settings.node.name,
            incarnation=self._view.own.incarnation,
            callers=self._settings.listeners.callers,
        )

    def _start_periodic_tasks(self) -> None:
        timing = self._settings.timing
        platform = self._settings.platform
        periodic = (
            (platform.list_period_s, self._prober.refresh_list, "vm_list"),
            (timing.probe_period_s, self._prober.step, "probe"),
            (CONFIRM_PERIOD_S, self._keeper.step, "configuration"),
            (timing.poll_period_s, self._owners.step, "owners"),
            (QUARANTINE_PERIOD_S, self._persist_quarantine, "quarantine"),
            (ORDERS_PERIOD_S, self._orders.step, "orders"),
        )
        for period_s, action, name in periodic:
            self._tasks.start(run_every(period_s, action, name), name)

    async def _persist_quarantine(self) -> None:
        limit = self._keeper.configuration.limits.crash_limit
        await self._quarantine.persist(self._tables, limit)

    async def _leave(self) -> None:
        """Leave the address answers, outlast callers' caches, end what runs."""
        timing = self._settings.timing
        self._view.leave(asyncio.get_running_loop().time())
        logger.info("daemon_leaving", ttl_s=timing.address_ttl_s)
        await asyncio.sleep(timing.address_ttl_s + timing.leave_margin_s)
        self._caller_server.stop_listening()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timing.drain_limit_s):
                while self._busy():
                    await asyncio.sleep(DRAIN_POLL_S)
        await self._keeper.leave()

    def _busy(self) -> bool:
        """Tell whether something that a caller or the ledger needs still runs."""
        return bool(
            self._limiter.running
            or self._ledger.unwritten_count
            or self._canceller.pending
        )

    async def _close(self) -> None:
        await self._caller_server.close()
        await self._operator_server.close()
        await self._peer_server.close()
        await self._tasks.close()
        self._connections.close()
        logger.info("daemon_stopped", vm=self._settings.node.name)


def create_loop() -> asyncio.AbstractEventLoop:
    """Return a uvloop loop that uses no io_uring."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    return uvloop.new_event_loop()


def forbidden_descriptors(directory: str = "/proc/self/fd") -> list[str]:
    """Return this process's descriptors that are io_uring instances."""
    found = []
    for entry in Path(directory).iterdir():
        with contextlib.suppress(OSError):
            target = os.readlink(entry)
            if "io_uring" in target:
                found.append(target)
    return found


async def serve(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT."""
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector, auto_decompress=False) as session:
        daemon = Daemon(settings, session)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, daemon.stop)
        await daemon.run()


def run_daemon(settings_file: str) -> int:
    """Load the settings and run; return the exit code."""
    loaded = load_settings(settings_file)
    if loaded.is_err():
        for error in loaded.unwrap_err():
            print(f"marjoramstiled: {settings_file}: {error}", file=sys.stderr)
        return BAD_SETTINGS_EXIT
    settings = loaded.unwrap()
    start_logging(settings.log_level)
    loop = create_loop()
    asyncio.set_event_loop(loop)
    if forbidden_descriptors():
        print("marjoramstiled: the loop uses io_uring", file=sys.stderr)
        return FORBIDDEN_LOOP_EXIT
    loop.run_until_complete(serve(settings))
    return 0


def main(argv: list[str] | None = None) -> None:
    """Entry point of ``marjoramstiled``."""
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

    @app.command()
    def run(
        settings: str = typer.Option(..., help="YAML file with the daemon's settings."),
    ) -> None:
        """Run the routing daemon of one entry VM."""
        raise typer.Exit(run_daemon(settings))

    app(args=argv)


if __name__ == "__main__":
    main()
