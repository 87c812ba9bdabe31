"""The daemon ``marjoramstiled``: starts the node and its listeners and stops them."""

import asyncio
import contextlib
import random
import signal
import sys

import typer
from aiohttp import ClientSession, TCPConnector
from sanic import Request

from marjoramstile.endpoints.engines import HTTPEngineClient
from marjoramstile.endpoints.plain import HTTPPlainClient
from marjoramstile.entry.app import create_caller_app
from marjoramstile.entry.web import WebServer
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.logs import get_logger, start_logging
from marjoramstile.loops import create_loop, io_uring_descriptors
from marjoramstile.node import Node, Ports
from marjoramstile.operators.app import OperatorHandler, create_operator_app
from marjoramstile.peers.connections import PeerConnections
from marjoramstile.peers.transport import PeerServer
from marjoramstile.ports.objects import HTTPObjectStore
from marjoramstile.ports.tables import HTTPTableService
from marjoramstile.ports.vms import HTTPVMList
from marjoramstile.results import Failure, RequestFailedError, ResultCode
from marjoramstile.settings import Settings, load_settings
from marjoramstile.utils import loop_time

BAD_SETTINGS_EXIT = 78
FORBIDDEN_LOOP_EXIT = 70
DRAIN_POLL_S = 0.05
# Time in which operators' requests are still answered at the end.
OPERATORS_DRAIN_S = 1.0
# Longest frames of peers that are kept in memory at one time.
FRAMES_AT_ONCE = 8
LEAVING_RETRY_AFTER_S = 0.1

logger = get_logger(__name__)


class Daemon:
    """The daemon of one entry VM: owns its node, its listeners and their lifecycle."""

    def __init__(self, settings: Settings, session: ClientSession):
        self._settings = settings
        self._stopping = asyncio.Event()
        self._has_left = False
        self._drained_by = 0.0
        frame_max_bytes = settings.limits.frame_max_bytes
        self._frames = BufferBudget(FRAMES_AT_ONCE * frame_max_bytes)
        self._connections = PeerConnections(frame_max_bytes, self._frames)
        self._node = Node(settings, self._ports(session), random.Random())
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
        self._caller_server = WebServer(caller_app, settings.listeners.callers)
        self._operator_server = WebServer(operator_app, settings.listeners.operators)
        self._peer_server = PeerServer(
            node.peer_handler, settings.limits.frame_max_bytes, self._frames
        )

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
        await self._start()
        await self._stopping.wait()
        await self._leave()
        await self._close()

    async def _start(self) -> None:
        peers = self._settings.listeners.peers
        await self._peer_server.start(peers.host, peers.port)
        await self._node.join()
        await self._operator_server.start()
        await self._caller_server.start()
        self._node.start_periodic_tasks()
        logger.info(
            "daemon_started",
            vm=self._settings.node.name,
            incarnation=self._node.view.own.incarnation,
            callers=self._settings.listeners.callers,
        )

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


async def serve(settings: Settings) -> None:
    """Run a daemon until it has stopped after SIGTERM or SIGINT."""
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector, auto_decompress=False) as session:
        daemon = Daemon(settings, session)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, daemon.stop)
        await daemon.run()


def run_daemon(settings_file: str) -> int:
    """Load the settings and run the daemon; return the exit code.

    It refuses to start on an event loop that uses io_uring.
    """
    loaded = load_settings(settings_file)
    if loaded.is_err():
        for error in loaded.unwrap_err():
            print(f"marjoramstiled: {settings_file}: {error}", file=sys.stderr)
        return BAD_SETTINGS_EXIT
    settings = loaded.unwrap()
    start_logging(settings.log_level)
    loop = create_loop()
    asyncio.set_event_loop(loop)
    if io_uring_descriptors():
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
