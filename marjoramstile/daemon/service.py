"""The daemon ``marjoramstiled``: starts the node and its listeners and stops them."""

import asyncio
import contextlib
import random
import socket
from functools import partial

import typer
from aiohttp import ClientSession, TCPConnector
from sanic import Request

from marjoramstile.descriptors import DescriptorShares, process_descriptors
from marjoramstile.endpoints.engines import HTTPEngineClient
from marjoramstile.endpoints.plain import HTTPPlainClient
from marjoramstile.entry.app import create_caller_app
from marjoramstile.entry.web import WebServer
from marjoramstile.exit_codes import (
    BAD_SETTINGS_EXIT,
    FORBIDDEN_LOOP_EXIT,
    PLANNED_STOP_EXIT,
)
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.listeners import acquire_listener, acquire_optional_listener
from marjoramstile.log_volume import NonBlockingStream
from marjoramstile.logs import get_logger, start_logging
from marjoramstile.loops import create_loop, io_uring_descriptors
from marjoramstile.node import Node, Ports
from marjoramstile.operators.app import OperatorHandler, create_operator_app
from marjoramstile.peers.connections import IDLE_ADDRESSES_MAX, PeerConnections
from marjoramstile.peers.transport import PeerServer
from marjoramstile.ports.objects import HTTPObjectStore
from marjoramstile.ports.tables import HTTPTableService
from marjoramstile.ports.vms import HTTPVMList
from marjoramstile.process import (
    complete_unless,
    deliver_signals,
    print_error,
    report_loop_errors,
    run_loop,
)
from marjoramstile.process_signals import DaemonSignals
from marjoramstile.results import Failure, RequestFailedError, ResultCode
from marjoramstile.settings import (
    Settings,
    describe_errors,
    load_settings,
)
from marjoramstile.settings_files import wait_for_settings
from marjoramstile.settings_reload import SettingsChecker
from marjoramstile.utils import loop_time

DRAIN_POLL_S = 0.05
# Time in which operators' requests are still answered at the end.
OPERATORS_DRAIN_S = 1.0
# Longest frames of peers that are kept in memory at one time.
FRAMES_AT_ONCE = 8
LEAVING_RETRY_AFTER_S = 0.1

logger = get_logger(__name__)


class Daemon:
    """The daemon of one entry VM: owns its node, its listeners and their lifecycle."""

    def __init__(self, settings: Settings, settings_file: str, session: ClientSession):
        self._settings = settings
        self._stopping = asyncio.Event()
        self._has_left = False
        self._drained_by = 0.0
        frame_max_bytes = settings.limits.frame_max_bytes
        self._frames = BufferBudget(FRAMES_AT_ONCE * frame_max_bytes)
        self._shares = DescriptorShares.of(process_descriptors())
        self._connections = PeerConnections(
            frame_max_bytes,
            self._frames,
            min(IDLE_ADDRESSES_MAX, self._shares.peer_addresses),
        )
        self._node = Node(settings, self._ports(session), random.Random())
        self.settings_checker = SettingsChecker(
            partial(load_settings, settings_file),
            partial(self._node.metrics.count, "settings_reload_failures", ""),
            describe_errors,
        )
        self._caller_socket: socket.socket | None = None
        self._build_listeners()

    def _ports(self, session: ClientSession) -> Ports:
        platform = self._settings.platform
        connection_args = (session, platform.url, platform.timeout_s)
        return Ports(
            tables=HTTPTableService(*connection_args),
            objects=HTTPObjectStore(*connection_args),
            vm_list=HTTPVMList(*connection_args),
            engines=HTTPEngineClient(session),
            plain=HTTPPlainClient(session),
            connections=self._connections,
        )

    def _build_listeners(self) -> None:
        settings = self._settings
        node = self._node
        caller_app = create_caller_app(
            settings.limits,
            node.completion_handler,
            node.call_handler,
            node.address_handler,
            node.status_handler,
        )
        operator_app = create_operator_app(
            settings.limits,
            OperatorHandler(node.statement_executor, settings.operator_token_hashes),
        )
        caller_app.on_request(self._refuse_after_leaving)
        shares = self._shares
        self._caller_server = WebServer(
            caller_app, self._limit("callers", shares.callers)
        )
        self._operator_server = WebServer(
            operator_app, self._limit("operators", shares.metrics)
        )
        self._peer_server = PeerServer(
            node.peer_handler,
            settings.limits.frame_max_bytes,
            self._frames,
            self._limit("peers", shares.peers),
        )

    def _limit(self, name: str, max_open: int) -> ConnectionLimit:
        return ConnectionLimit(name, max_open, self._node.metrics.count)

    async def _refuse_after_leaving(self, request: Request) -> None:
        """Refuse requests on kept-alive connections once the daemon stops listening."""
        if self._has_left:
            message = "this daemon is leaving; ask for addresses again"
            raise RequestFailedError(
                Failure(
                    ResultCode.LEAVING, message, retry_after_s=LEAVING_RETRY_AFTER_S
                )
            )

    def stop(self) -> None:
        """Request a graceful stop."""
        self._stopping.set()

    async def run(self) -> None:
        """Serve until stopped, then drain requests in flight and close."""
        report_loop_errors(partial(self._node.metrics.count, "loop_errors"))
        if not await complete_unless(self._stopping, self._join()):
            await self._abandon_start()
            return
        await self._start()
        await self._stopping.wait()
        await self._leave()
        await self._close()

    async def _join(self) -> None:
        """Join the other daemons when the addresses of peers and callers are free.

        They hand out this daemon's address from then on.
        """
        listeners = self._settings.listeners
        backlog = self._shares.backlog
        peer_socket = await acquire_listener("peers", listeners.peers, backlog)
        self._caller_socket = await acquire_listener(
            "callers", listeners.callers, backlog
        )
        await self._peer_server.serve(peer_socket, backlog)
        await self._node.join()

    async def _abandon_start(self) -> None:
        """End before any caller's connection has been accepted."""
        self._node.view.leave(loop_time())
        await self._node.prober.announce()
        await self._node.keeper.leave()
        await self._close()
        logger.info("daemon_stopped_while_starting")

    async def _start(self) -> None:
        await self._caller_server.serve(self._caller_socket, self._shares.backlog)
        self._node.tasks.start_retried(self._serve_operators, "listen for operators")
        self._node.start_periodic_tasks()
        logger.info(
            "daemon_started",
            vm=self._settings.node.name,
            incarnation=self._node.view.own.incarnation,
            callers=self._settings.listeners.callers,
        )

    async def _serve_operators(self) -> None:
        """Listen on the operators' address, which callers don't need."""
        listener = await acquire_optional_listener(
            "operators",
            self._settings.listeners.operators,
            self._shares.backlog,
            self._stopping,
        )
        if listener is not None:
            await self._operator_server.serve(listener, self._shares.backlog)

    async def _leave(self) -> None:
        """Leave gracefully.

        Peers stop handing out this daemon's address at once. Requests are served until
        the addresses cached by callers have expired, then work in flight is drained for
        at most ``drain_limit_s``.
        """
        timing = self._settings.timing
        self._node.view.leave(loop_time())
        logger.info("daemon_leaving", ttl_s=timing.address_ttl_s)
        await self._node.prober.announce()
        await asyncio.sleep(timing.address_ttl_s + timing.leave_margin_s)
        self._has_left = True
        await self._caller_server.stop_listening()
        self._drained_by = loop_time() + timing.drain_limit_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._drained_by):
                while self._node.busy:
                    await asyncio.sleep(DRAIN_POLL_S)
        await self._node.keeper.leave()

    async def _close(self) -> None:
        await self._caller_server.close(self._drained_by)
        await self._operator_server.close(loop_time() + OPERATORS_DRAIN_S)
        await self._peer_server.close()
        await self._node.tasks.close()
        self._connections.close()
        logger.info("daemon_stopped", vm=self._settings.node.name)


async def serve(settings: Settings, settings_file: str, signals: DaemonSignals) -> None:
    """Run a daemon until it has stopped after SIGTERM or SIGINT."""
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector, auto_decompress=False) as session:
        daemon = Daemon(settings, settings_file, session)
        deliver_signals(signals, daemon.stop, daemon.settings_checker.request)
        await daemon.run()


def run_daemon(settings_file: str, signals: DaemonSignals, log_descriptor: int) -> int:
    """Load the settings and run the daemon; return the exit code.

    It refuses to start on an event loop that uses io_uring.
    """
    destination = start_logging("info", NonBlockingStream(log_descriptor))
    loaded = wait_for_settings(partial(load_settings, settings_file), describe_errors)
    if loaded.is_err():
        for error in loaded.unwrap_err():
            print_error(f"marjoramstiled: {settings_file}: {error}")
        return BAD_SETTINGS_EXIT
    settings = loaded.unwrap()
    destination.set_level(settings.log_level)
    loop = create_loop()
    if io_uring_descriptors():
        print_error("marjoramstiled: the loop uses io_uring")
        return FORBIDDEN_LOOP_EXIT
    return run_loop(loop, serve(settings, settings_file, signals), signals)


def run_command(
    signals: DaemonSignals, log_descriptor: int, argv: list[str] | None = None
) -> int:
    """Run the command ``marjoramstiled``; return its exit code."""
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

    @app.command()
    def run(
        settings: str = typer.Option(..., help="YAML file with the daemon's settings."),
    ) -> None:
        """Run the routing daemon of one entry VM."""
        raise typer.Exit(run_daemon(settings, signals, log_descriptor))

    app(args=argv, prog_name="marjoramstiled")
    return PLANNED_STOP_EXIT
