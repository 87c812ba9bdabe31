"""The routing daemon on the platform: creates its components and runs them."""

import asyncio
import random
import socket
from functools import partial

from aiohttp import ClientSession

from marjoramstile.completions.handler import CompletionsHandler
from marjoramstile.exit_codes import BAD_SETTINGS_EXIT
from marjoramstile.fronts.bodies import BodyReader
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.fronts.listening import CallerServer
from marjoramstile.listeners import acquire_listener, acquire_optional_listener
from marjoramstile.log_volume import NonBlockingStream, VolumeLimit
from marjoramstile.logs import get_logger, start_logging
from marjoramstile.loops import create_loop
from marjoramstile.mirrors.mirror import DocumentMirror
from marjoramstile.platform.carriers import HTTPCarrierClient
from marjoramstile.platform.documents import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    REPLICAS_TABLE,
    MalformedRowError,
    configuration_version,
    decode_replica,
    decode_routing_table,
)
from marjoramstile.platform.front import FrontHandler, PlatformEndpoints
from marjoramstile.platform.headers import generation_headers
from marjoramstile.platform.operators import OperatorEndpoints
from marjoramstile.platform.replicas import HTTPReplicaClient, create_replica_session
from marjoramstile.platform.settings import (
    SETTINGS_VARIABLE,
    load_platform_settings,
    settings_path,
)
from marjoramstile.platform.store import PlatformStore, create_store_session
from marjoramstile.ports.feeds import StoredRow
from marjoramstile.process import (
    complete_unless,
    deliver_signals,
    print_error,
    report_loop_errors,
    run_loop,
)
from marjoramstile.process_signals import DaemonSignals
from marjoramstile.routes.entry import STOP_DEADLINE_SHARE
from marjoramstile.routes.links import ReplicaLinks
from marjoramstile.routes.node import PeerSockets, RouterNode, RouterPorts
from marjoramstile.routes.notices import ReplicaNotices
from marjoramstile.routes.settings import Address, RouterSettings
from marjoramstile.settings_files import wait_for_settings
from marjoramstile.settings_reload import SettingsChecker
from marjoramstile.utils import loop_time

# Share of a VM's memory for bodies that are being read.
BUFFER_MEMORY_SHARE = 0.2
# Longer than any idle time that the configuration allows callers.
KEEPALIVE_TIMEOUT_S = 120.0
STOP_POLL_S = 0.05
LINGERING_TIME_S = 1.0
# Callers may use a resolved address list for up to this many of its TTLs.
ADDRESS_CACHE_TTLS = 3
# Largest share of the grace period for which an idle daemon waits for such callers.
DRAIN_WAIT_SHARE = 0.6
# Timeout for closing a server's connections at shutdown.
SERVER_SHUTDOWN_S = 0.2

logger = get_logger(__name__)


class PlatformDaemon:
    """One VM's routing daemon; owns its node and its listeners."""

    def __init__(
        self,
        settings: RouterSettings,
        store_session: ClientSession,
        replica_session: ClientSession,
        links: ReplicaLinks,
    ):
        self._settings = settings
        self._buffers = BufferBudget(int(settings.memory_bytes * BUFFER_MEMORY_SHARE))
        self._store = PlatformStore(store_session, str(settings.store), self._buffers)
        notices = ReplicaNotices()
        replicas = HTTPReplicaClient(replica_session, notices, self._buffers, links)
        ports = RouterPorts(
            feed=self._store,
            replicas=replicas,
            orders=self._store,
            stages=replicas,
            notices=notices,
            links=links,
            carriers=HTTPCarrierClient(replica_session, self._buffers),
            buffers=self._buffers,
        )
        self._node = RouterNode(
            settings,
            ports,
            DocumentMirror(OPERATOR_TABLE, configuration_version),
            REPLICAS_TABLE,
            random.Random(),
        )
        self._node.configuration_mirror.subscribe(self._apply_configuration)
        self._node.replicas_mirror.subscribe(self._apply_replica)
        self.settings_checker = SettingsChecker(
            lambda: load_platform_settings(settings_path()),
            partial(self._node.metrics.count, "settings_reload_failures", ""),
        )
        self._stopping = asyncio.Event()
        self._servers: list[tuple[CallerServer, asyncio.Server]] = []
        self._peer_sockets: PeerSockets | None = None
        self._front_socket: socket.socket | None = None

    def _apply_configuration(self, row: StoredRow) -> None:
        if row.key != CONFIGURATION_KEY or row.value is None:
            return
        try:
            self._node.put_table(decode_routing_table(row.value))
        except MalformedRowError as error:
            logger.error("configuration_unreadable", reason=str(error))
            self._node.metrics.count("rows_unreadable", OPERATOR_TABLE)

    def _apply_replica(self, row: StoredRow) -> None:
        if row.value is None:
            self._node.remove_replica(row.key)
            return
        try:
            replica = decode_replica(row.key, row.value)
        except MalformedRowError as error:
            logger.warning("replica_row_unreadable", row=row.key, reason=str(error))
            self._node.metrics.count("rows_unreadable", REPLICAS_TABLE)
            self._node.drop_replica(row.key)
            return
        self._node.directory.put(replica, loop_time())

    def stop(self) -> None:
        """Start a graceful shutdown."""
        self._stopping.set()

    async def run(self) -> None:
        """Serve until ``stop`` is called, then drain and shut down."""
        report_loop_errors(partial(self._node.metrics.count, "loop_errors"))
        if not await complete_unless(self._stopping, self._acquire_addresses()):
            await self._abandon_start()
            return
        await self._start()
        await self._stopping.wait()
        await self._stop()

    async def _acquire_addresses(self) -> None:
        """Wait until all addresses are free that the daemon can't serve without.

        Other daemons hear from this one only when its front accepts connections; until
        then the readiness address answers that it is not ready.
        """
        listeners = self._settings.listeners
        endpoints = PlatformEndpoints(self._node.entry, self._node.addresses)
        await self._listen("ready", listeners.ready, endpoints.ready)
        await self._listen("directory", listeners.addresses, endpoints.resolve)
        self._peer_sockets = await self._node.acquire_sockets()
        self._front_socket = await acquire_listener("front", listeners.front)

    async def _start(self) -> None:
        node = self._node
        listeners = self._settings.listeners
        bodies = BodyReader(self._buffers)
        front = FrontHandler(node.entry, bodies)
        await self._serve(self._front_socket, front.handle)
        await node.start(self._peer_sockets)
        operators = OperatorEndpoints(
            node.metrics_text, node.status, node.block_sharing
        )
        self._listen_when_free("metrics", listeners.metrics, operators.handle)
        if listeners.completions is not None:
            completions = self._completions(bodies)
            self._listen_when_free("completions", listeners.completions, completions)
        node.tasks.start_retried(node.registration.register, "register")
        logger.info(
            "daemon_started",
            vm=self._settings.vm,
            incarnation=node.view.own.incarnation,
            front=listeners.front,
        )

    def _completions(self, bodies: BodyReader):
        """Return the handler of the completions front."""
        node = self._node
        return CompletionsHandler(
            node.entry, lambda: node.table, bodies, generation_headers
        ).handle

    async def _listen(self, purpose: str, address: Address, handler) -> None:
        await self._serve(await acquire_listener(purpose, address), handler)

    def _listen_when_free(self, purpose: str, address: Address, handler) -> None:
        """Listen on an address that the daemon can serve without."""

        async def listen() -> None:
            listener = await acquire_optional_listener(purpose, address, self._stopping)
            if listener is not None:
                await self._serve(listener, handler)

        self._node.tasks.start_retried(listen, f"listen for {purpose}")

    async def _serve(self, listener: socket.socket, handler) -> None:
        server = CallerServer(
            handler,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            lingering_time=LINGERING_TIME_S,
            access_log=None,
            auto_decompress=False,
            max_line_size=16384,
            max_field_size=16384,
        )
        loop = asyncio.get_running_loop()
        self._servers.append((server, await loop.create_server(server, sock=listener)))

    async def _abandon_start(self) -> None:
        """End before the front has accepted any connection."""
        for _, listener in self._servers:
            listener.close()
        await asyncio.gather(
            *(server.shutdown(timeout=SERVER_SHUTDOWN_S) for server, _ in self._servers)
        )
        await self._node.close()
        logger.info("daemon_stopped_while_starting")

    async def _stop(self) -> None:
        """Withdraw the address, drain, and shut down within the grace period."""
        grace_s = self._settings.bounds.grace_s
        started_at = loop_time()
        self._node.entry.stop()
        logger.info("daemon_stopping", running=self._node.entry.running)
        await self._node.leave()
        cached_s = ADDRESS_CACHE_TTLS * self._node.addresses.ttl_s
        drain_wait_s = min(cached_s, DRAIN_WAIT_SHARE * grace_s)
        while loop_time() < started_at + STOP_DEADLINE_SHARE * grace_s:
            busy = any(server.is_busy for server, _ in self._servers)
            if not busy and loop_time() >= started_at + drain_wait_s:
                break
            await asyncio.sleep(STOP_POLL_S)
        for _, listener in self._servers:
            listener.close()
        for server, _ in self._servers:
            server.pre_shutdown()
        await asyncio.gather(
            *(server.shutdown(timeout=SERVER_SHUTDOWN_S) for server, _ in self._servers)
        )
        await self._node.close()
        logger.info("daemon_stopped", cut=self._node.entry.running)


async def serve(settings: RouterSettings, signals: DaemonSignals) -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    store_session = create_store_session()
    links = ReplicaLinks()
    async with store_session, create_replica_session(links) as replica_session:
        daemon = PlatformDaemon(settings, store_session, replica_session, links)
        deliver_signals(signals, daemon.stop, daemon.settings_checker.request)
        await daemon.run()


def run_daemon(signals: DaemonSignals, log_descriptor: int) -> int:
    """Load the platform's settings and run; return the exit code."""
    stream = NonBlockingStream(log_descriptor)
    destination = start_logging("info", stream, VolumeLimit())
    path = settings_path()
    if not path:
        print_error(f"marjoramstile-router: {SETTINGS_VARIABLE} is not set")
        return BAD_SETTINGS_EXIT
    loaded = wait_for_settings(partial(load_platform_settings, path))
    if loaded.is_err():
        print_error(f"marjoramstile-router: {path}: {loaded.unwrap_err()}")
        return BAD_SETTINGS_EXIT
    settings = loaded.unwrap()
    destination.set_level(settings.log_level)
    logger.info("daemon_starting", vm=settings.vm, store=settings.store)
    return run_loop(create_loop(), serve(settings, signals), signals)
