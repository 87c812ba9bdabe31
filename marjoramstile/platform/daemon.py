"""The routing daemon on the platform: creates its components and runs them."""

import asyncio
import random
import socket
from collections.abc import Awaitable
from functools import partial

from aiohttp import ClientSession

from marjoramstile.completions.handler import CompletionsHandler
from marjoramstile.descriptors import DescriptorShares
from marjoramstile.exit_codes import BAD_SETTINGS_EXIT
from marjoramstile.fronts.bodies import BodyReader
from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.fronts.closing import ClosingReport
from marjoramstile.fronts.connection_limit import ConnectionLimit
from marjoramstile.fronts.listeners import Listener, ListenerGroup
from marjoramstile.fronts.received import (
    DEFAULT_READ_LIMITS,
    HeldBytes,
    ReadLimits,
)
from marjoramstile.fronts.unsent import UnsentLimit
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
from marjoramstile.platform.wholeness import AnswerFaults
from marjoramstile.ports.feeds import StoredRow
from marjoramstile.process import (
    complete_unless,
    deliver_signals,
    print_error,
    report_loop_errors,
    run_loop,
)
from marjoramstile.process_signals import DaemonSignals
from marjoramstile.routes.links import ReplicaLinks
from marjoramstile.routes.node import PeerSockets, RouterNode, RouterPorts
from marjoramstile.routes.notices import ReplicaNotices
from marjoramstile.routes.settings import RouterSettings
from marjoramstile.settings_files import wait_for_settings
from marjoramstile.settings_reload import SettingsChecker
from marjoramstile.utils import loop_time, run_every

# Share of a VM's memory for bodies that are being read.
BUFFER_MEMORY_SHARE = 0.2
# Share of a VM's memory for answers that slow callers have not taken yet.
UNSENT_MEMORY_SHARE = 0.1
UNSENT_CHECK_S = 0.25
# Share for heads that are not whole and requests that wait behind others on their
# connection. Whole heads of other callers are taken at once, and need none of it.
HELD_MEMORY_SHARE = 0.04
STOP_POLL_S = 0.05
# Callers may use a resolved address list for up to this many of its TTLs.
ADDRESS_CACHE_TTLS = 3
# Largest share of the grace period for which an idle daemon waits for such callers.
DRAIN_WAIT_SHARE = 0.6
# Share of the grace period by which callers must have taken the last answers.
STOP_FLUSH_SHARE = 0.93
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
        faults = AnswerFaults()
        self._store = PlatformStore(
            store_session,
            str(settings.store),
            self._buffers,
            faults,
            {REPLICAS_TABLE: decode_replica},
        )
        notices = ReplicaNotices()
        replicas = HTTPReplicaClient(
            replica_session, notices, self._buffers, links, faults
        )
        ports = RouterPorts(
            feed=self._store,
            replicas=replicas,
            orders=self._store,
            stages=replicas,
            notices=notices,
            links=links,
            carriers=HTTPCarrierClient(replica_session, self._buffers, faults),
            buffers=self._buffers,
        )
        self._node = RouterNode(
            settings,
            ports,
            DocumentMirror(OPERATOR_TABLE, configuration_version),
            REPLICAS_TABLE,
            random.Random(),
        )
        faults.count_with(self._node.metrics.count)
        self._node.mirrors.configuration.subscribe(self._apply_configuration)
        self._node.mirrors.replicas.subscribe(self._apply_replica)
        self._shares = DescriptorShares.of(settings.descriptors)
        self._listeners = ListenerGroup(
            self._shares.backlog,
            ClosingReport(self._node.metrics),
            HeldBytes(int(settings.memory_bytes * HELD_MEMORY_SHARE)),
        )
        self.settings_checker = SettingsChecker(
            lambda: load_platform_settings(settings_path()),
            partial(self._node.metrics.count, "settings_reload_failures", ""),
        )
        self._stopping = asyncio.Event()
        self._bodies = BodyReader(self._buffers)
        self._unsent = UnsentLimit(
            int(settings.memory_bytes * UNSENT_MEMORY_SHARE),
            partial(self._node.metrics.count, "slow_callers_cut", ""),
        )
        self._callers_limit = self._limit("callers", self._shares.callers)
        self._front = self._build_front()
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
        endpoints = PlatformEndpoints(self._node.entry, self._node.addresses)
        addresses = self._settings.listeners
        limit = self._limit("ready", self._shares.ready)
        ready = Listener("ready", addresses.ready, endpoints.ready, limit)
        await self._listeners.listen(ready)
        limit = self._limit("directory", self._shares.addresses)
        directory = Listener("directory", addresses.addresses, endpoints.resolve, limit)
        await self._listeners.listen(directory)
        self._peer_sockets = await self._node.acquire_sockets()
        self._front_socket = await self._listeners.acquire(self._front)

    async def _start(self) -> None:
        node = self._node
        await self._listeners.serve(self._front, self._front_socket)
        await node.start(self._peer_sockets)
        self._listen_when_free(self._operators())
        if self._settings.listeners.completions is not None:
            self._listen_when_free(self._completions())
        check_unsent = partial(run_every, UNSENT_CHECK_S, self._check_unsent, "unsent")
        node.tasks.start_retried(check_unsent, "check unsent answers")
        node.tasks.start_retried(node.registration.register, "register")
        logger.info(
            "daemon_started",
            vm=self._settings.vm,
            incarnation=node.view.own.incarnation,
            front=self._settings.listeners.front,
        )

    def _limit(self, name: str, max_open: int) -> ConnectionLimit:
        return ConnectionLimit(name, max_open, self._node.metrics.count)

    async def _check_unsent(self) -> None:
        self._unsent.check(self._listeners.connections)

    def _callers_read_limits(self) -> ReadLimits:
        """Return limits for callers that keep within those of the configuration."""
        limits = self._node.entry.limits
        return DEFAULT_READ_LIMITS if limits is None else ReadLimits.of(limits)

    def _build_front(self) -> Listener:
        handler = FrontHandler(self._node.entry, self._bodies)
        return Listener(
            "front",
            self._settings.listeners.front,
            handler.handle,
            self._callers_limit,
            handler.refuse,
            self._callers_read_limits,
        )

    def _operators(self) -> Listener:
        node = self._node
        endpoints = OperatorEndpoints(
            node.metrics_text, node.status, node.block_sharing, self._bodies
        )
        limit = self._limit("metrics", self._shares.metrics)
        address = self._settings.listeners.metrics
        return Listener("metrics", address, endpoints.handle, limit)

    def _completions(self) -> Listener:
        node = self._node
        handler = CompletionsHandler(
            node.entry, lambda: node.table, self._bodies, generation_headers
        )
        return Listener(
            "completions",
            self._settings.listeners.completions,
            handler.handle,
            self._callers_limit,
            handler.refuse,
            self._callers_read_limits,
        )

    def _listen_when_free(self, listener: Listener) -> None:
        """Listen on an address that the daemon can serve without."""

        listen = partial(self._listeners.listen_unless, listener, self._stopping)
        self._node.tasks.start_retried(listen, f"listen for {listener.name}")

    async def _abandon_start(self) -> None:
        """End before the front has accepted any connection."""
        await self._listeners.close()
        await self._node.close()
        logger.info("daemon_stopped_while_starting")

    async def _stop(self) -> None:
        """Withdraw the address, drain, and shut down within the grace period."""
        started_at = loop_time()
        self._node.entry.stop()
        logger.info("daemon_stopping", running=self._node.entry.running)
        await _complete_step("leave", self._node.leave())
        await self._serve_late_callers(started_at)
        self._node.entry.refuse_new()
        await _complete_step("drain", self._drain_listeners(started_at))
        await _complete_step("close", self._node.close())
        logger.info("daemon_stopped", cut=self._node.entry.running)

    async def _serve_late_callers(self, started_at: float) -> None:
        """Serve until callers' addresses have expired and nothing is in progress."""
        grace_s = self._settings.bounds.grace_s
        cached_s = ADDRESS_CACHE_TTLS * self._node.addresses.ttl_s
        drain_wait_s = min(cached_s, DRAIN_WAIT_SHARE * grace_s)
        while loop_time() < self._node.entry.cut_at:
            if not self._listeners.is_busy and loop_time() >= started_at + drain_wait_s:
                break
            await asyncio.sleep(STOP_POLL_S)

    async def _drain_listeners(self, started_at: float) -> None:
        """End all listeners, those of callers first; the readiness address last."""
        deadline = started_at + STOP_FLUSH_SHARE * self._settings.bounds.grace_s
        await self._listeners.drain(CALLER_LISTENERS, deadline)
        await self._listeners.drain_others(loop_time() + OTHER_DRAIN_S)


async def _complete_step(name: str, step: Awaitable[None]) -> None:
    """Await a step of a stop; an error must not keep the next ones from their work."""
    try:
        await step
    except Exception as error:
        logger.error("stop_step_failed", step=name, error=repr(error))


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
