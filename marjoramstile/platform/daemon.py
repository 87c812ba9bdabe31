"""The routing daemon on the platform: creates its components and runs them."""

import asyncio
import random
import signal
import sys
from collections.abc import Callable

from aiohttp import ClientSession
from aiohttp.web import Response

from marjoramstile.completions.handler import CompletionsHandler
from marjoramstile.descriptors import DescriptorShares
from marjoramstile.fronts.bodies import BodyReader
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.fronts.closing import ClosingReport
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.fronts.draining import drain
from marjoramstile.fronts.listening import CallerServer, refuse_connection
from marjoramstile.log_volume import NonBlockingStream, VolumeLimit
from marjoramstile.logs import get_logger, start_logging
from marjoramstile.loops import create_loop, listening_socket
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
from marjoramstile.platform.settings import load_platform_settings, settings_path
from marjoramstile.platform.store import PlatformStore, create_store_session
from marjoramstile.ports.feeds import StoredRow
from marjoramstile.routes.links import ReplicaLinks
from marjoramstile.routes.node import RouterNode, RouterPorts
from marjoramstile.routes.notices import ReplicaNotices
from marjoramstile.routes.settings import Address, RouterSettings
from marjoramstile.utils import loop_time

BAD_SETTINGS_EXIT = 78
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
# Share of the grace period by which callers must have taken the last answers.
STOP_FLUSH_SHARE = 0.95
# Time in which the other listeners' connections end after the callers'.
OTHER_DRAIN_S = 0.1
CALLER_LISTENERS = ("front", "completions")

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
        self._closings = ClosingReport(self._node.metrics)
        self._shares = DescriptorShares.of(settings.descriptors)
        self._stopping = asyncio.Event()
        self._servers: list[tuple[CallerServer, asyncio.Server]] = []

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

    def reload(self) -> None:
        """Log whether the changed settings file is valid; it is not applied."""
        loaded = load_platform_settings(settings_path())
        logger.info("settings_reloaded", valid=loaded.is_ok())

    async def run(self) -> None:
        """Serve until ``stop`` is called, then drain and shut down."""
        await self._start()
        await self._stopping.wait()
        await self._stop()

    async def _start(self) -> None:
        node = self._node
        listeners = self._settings.listeners
        endpoints = PlatformEndpoints(node.entry, node.addresses)
        operators = OperatorEndpoints(
            node.metrics_text, node.status, node.block_sharing
        )
        bodies = BodyReader(self._buffers)
        front = FrontHandler(node.entry, bodies)
        shares = self._shares
        callers = self._limit("callers", shares.callers)
        await node.start()
        await self._listen(
            "ready",
            listeners.ready,
            endpoints.ready,
            self._limit("ready", shares.ready),
        )
        await self._listen(
            "addresses",
            listeners.addresses,
            endpoints.resolve,
            self._limit("addresses", shares.addresses),
        )
        await self._listen(
            "metrics",
            listeners.metrics,
            operators.handle,
            self._limit("metrics", shares.metrics),
        )
        await self._listen(
            "front", listeners.front, front.handle, callers, front.refuse
        )
        if listeners.completions is not None:
            completions = self._completions(bodies)
            await self._listen(
                "completions",
                listeners.completions,
                completions.handle,
                callers,
                completions.refuse,
            )
        node.tasks.start_retried(node.registration.register, "register")
        logger.info(
            "daemon_started",
            vm=self._settings.vm,
            incarnation=node.view.own.incarnation,
            front=listeners.front,
        )

    def _limit(self, name: str, max_open: int) -> ConnectionLimit:
        return ConnectionLimit(name, max_open, self._node.metrics.count)

    def _completions(self, bodies: BodyReader) -> CompletionsHandler:
        """Return the handler of the completions front."""
        node = self._node
        return CompletionsHandler(
            node.entry, lambda: node.table, bodies, generation_headers
        )

    async def _listen(
        self,
        name: str,
        address: Address,
        handler,
        limit: ConnectionLimit,
        refuse: Callable[[], Response] = refuse_connection,
    ) -> None:
        server = CallerServer(
            handler,
            name=name,
            closings=self._closings,
            limit=limit,
            refuse=refuse,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            lingering_time=LINGERING_TIME_S,
            access_log=None,
            auto_decompress=False,
            max_line_size=16384,
            max_field_size=16384,
        )
        listener = listening_socket(address.host, address.port, self._shares.backlog)
        loop = asyncio.get_running_loop()
        self._servers.append((server, await loop.create_server(server, sock=listener)))

    async def _stop(self) -> None:
        """Withdraw the address, drain, and shut down within the grace period."""
        started_at = loop_time()
        self._node.entry.stop()
        logger.info("daemon_stopping", running=self._node.entry.running)
        await self._node.leave()
        await self._serve_late_callers(started_at)
        self._node.entry.refuse_new()
        await self._drain_listeners(started_at)
        await self._node.close()
        logger.info("daemon_stopped", cut=self._node.entry.running)

    async def _serve_late_callers(self, started_at: float) -> None:
        """Serve until callers' addresses have expired and nothing is in progress."""
        grace_s = self._settings.bounds.grace_s
        cached_s = ADDRESS_CACHE_TTLS * self._node.addresses.ttl_s
        drain_wait_s = min(cached_s, DRAIN_WAIT_SHARE * grace_s)
        while loop_time() < self._node.entry.cut_at:
            busy = any(server.is_busy for server, _ in self._servers)
            if not busy and loop_time() >= started_at + drain_wait_s:
                break
            await asyncio.sleep(STOP_POLL_S)

    async def _drain_listeners(self, started_at: float) -> None:
        """End all listeners, those of callers first; the readiness address last."""
        deadline = started_at + STOP_FLUSH_SHARE * self._settings.bounds.grace_s
        callers = [item for item in self._servers if item[0].name in CALLER_LISTENERS]
        others = [item for item in self._servers if item not in callers]
        await asyncio.gather(*(drain(*item, deadline) for item in callers))
        deadline = loop_time() + OTHER_DRAIN_S
        for item in reversed(others):
            await drain(*item, deadline)


async def serve(settings: RouterSettings) -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    store_session = create_store_session()
    links = ReplicaLinks()
    async with store_session, create_replica_session(links) as replica_session:
        daemon = PlatformDaemon(settings, store_session, replica_session, links)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, daemon.stop)
        loop.add_signal_handler(signal.SIGHUP, daemon.reload)
        await daemon.run()


def run_daemon() -> int:
    """Load the platform's settings and run; return the exit code."""
    path = settings_path()
    loaded = load_platform_settings(path)
    if loaded.is_err():
        message = f"marjoramstile-router: {path}: {loaded.unwrap_err()}"
        print(message, file=sys.stderr)
        return BAD_SETTINGS_EXIT
    settings = loaded.unwrap()
    stream = NonBlockingStream(sys.stdout.fileno())
    start_logging(settings.log_level, stream, VolumeLimit())
    logger.info("daemon_starting", vm=settings.vm, store=settings.store)
    loop = create_loop()
    asyncio.set_event_loop(loop)
    loop.run_until_complete(serve(settings))
    return 0


def main(argv: list[str] | None = None) -> int:
    """Entry point of the routing daemon, which takes no arguments."""
    return run_daemon()
