"""The owner's service: grants capacity, polls engines, cancels abandoned work."""

import asyncio
from collections.abc import Callable, Iterable

from marjoramstile.configuration.documents import Configuration, Endpoint, EndpointKind
from marjoramstile.configuration.keeper import ConfigurationKeeper
from marjoramstile.endpoints.engines import EngineClient
from marjoramstile.logs import get_logger
from marjoramstile.membership.leaving import LeavingHosts
from marjoramstile.membership.view import Peer, View
from marjoramstile.slots.directory import OwnerDirectory
from marjoramstile.slots.prefill_places import PrefillAnswer, PrefillOwner
from marjoramstile.slots.reservations import Ask, Granted, Refused, SlotOwner, WorkItem
from marjoramstile.utils import BackgroundTasks, loop_time

UNKNOWN_HOLDER_GRACE_S = 30.0

logger = get_logger(__name__)


class OwnerService:
    """Manages the engines that the directory assigns to this daemon.

    It keeps the owner state of each engine. That of an engine assigned to another
    daemon is dropped in the next ``step``.
    """

    def __init__(
        self,
        view: View,
        keeper: ConfigurationKeeper,
        directory: OwnerDirectory,
        engines: EngineClient,
        leaving: LeavingHosts,
        send_grant: Callable[[Peer, str], object],
        tasks: BackgroundTasks,
    ):
        self._view = view
        self._keeper = keeper
        self._directory = directory
        self._engines = engines
        self._leaving = leaving
        self._send_grant = send_grant
        self._tasks = tasks
        self._slot_owners: dict[str, SlotOwner] = {}
        self._prefill_owners: dict[str, PrefillOwner] = {}
        self._unreachable: set[str] = set()
        self._unknown_since: dict[str, float] = {}

    @property
    def slot_owners(self) -> dict[str, SlotOwner]:
        """Owner state of decode engines by engine name."""
        return self._slot_owners

    @property
    def prefill_owners(self) -> dict[str, PrefillOwner]:
        """Owner state of prefill engines by engine name."""
        return self._prefill_owners

    @property
    def _configuration(self) -> Configuration:
        return self._keeper.configuration

    async def slot_owner(self, engine: str) -> SlotOwner | None:
        """Return a decode engine's owner state, None if there is no such engine.

        The first use reads the engine's work in flight, which other owners may
        have granted.
        """
        endpoint = self._configuration.endpoints.get(engine)
        if endpoint is None or endpoint.kind != EndpointKind.DECODE:
            return None
        if engine not in self._slot_owners:
            queue_length = self._configuration.limits.queue_length
            owner = SlotOwner(endpoint.slots, endpoint.pieces, queue_length)
            work = await self._engines.work(endpoint.url)
            if engine not in self._slot_owners:
                self._slot_owners[engine] = owner
                owner.sync(work.unwrap_or(()), loop_time())
        return self._slot_owners[engine]

    async def ask_slot(self, ask: Ask):
        """Grant, queue or refuse a slot; None if there is no such decode engine.

        An engine that is leaving or that failed its last poll refuses.
        """
        owner = await self.slot_owner(ask.engine)
        if owner is None:
            return None
        endpoint = self._configuration.endpoints[ask.engine]
        leaving = endpoint.leaving or self._leaving.includes(endpoint.url)
        if leaving or ask.engine in self._unreachable:
            return Refused(owner.hold_s)
        return owner.ask(ask, loop_time())

    def release_slot(self, engine: str, request_id: str) -> None:
        """Free a request's slot or queue entry and grant it to queued requests."""
        owner = self._slot_owners.get(engine)
        if owner is not None:
            self._deliver_grants(owner.release(request_id, loop_time()))

    def ask_prefill(
        self, engine: str, tokens: int, service_class, max_wait_s: float
    ) -> PrefillAnswer | None:
        """Accept or refuse a prefill; None if there is no such prefill engine."""
        endpoint = self._configuration.endpoints.get(engine)
        if endpoint is None or endpoint.kind != EndpointKind.PREFILL:
            return None
        owner = self._prefill_owners.setdefault(engine, PrefillOwner())
        return owner.ask(tokens, service_class, max_wait_s, loop_time())

    def _deliver_grants(self, grants: Iterable[Granted]) -> None:
        for grant in grants:
            self._tasks.start(self._deliver_grant(grant), "deliver_grant")

    async def _deliver_grant(self, grant: Granted) -> None:
        """Send a grant to its holder; free the slot if the holder doesn't accept it."""
        peer = self._view.get(grant.ask.holder_vm)
        taken = peer is not None and await self._send_grant(peer, grant.ask.request_id)
        if not taken:
            self.release_slot(grant.ask.engine, grant.ask.request_id)

    async def step(self) -> None:
        """Sync with all engines that this daemon owns; run periodically."""
        owned = {
            name: endpoint
            for name, endpoint in self._configuration.endpoints.items()
            if endpoint.kind != EndpointKind.PLAIN
            and self._directory.is_own(name, endpoint.data_centre)
        }
        for table in (self._slot_owners, self._prefill_owners):
            for name in table.keys() - owned.keys():
                del table[name]
        await asyncio.gather(
            *(self._sync_engine(name, endpoint) for name, endpoint in owned.items())
        )

    async def _sync_engine(self, name: str, endpoint: Endpoint) -> None:
        work = await self._engines.work(endpoint.url)
        if work.is_err():
            self._unreachable.add(name)
            return
        self._unreachable.discard(name)
        items = work.unwrap()
        await self._cancel_abandoned(name, endpoint, items)
        if endpoint.kind == EndpointKind.DECODE:
            await self._sync_decode(name, items)
        else:
            await self._sync_prefill(name, endpoint)

    async def _sync_decode(self, name: str, items: tuple[WorkItem, ...]) -> None:
        owner = await self.slot_owner(name)
        if owner is None:
            return
        self._deliver_grants(owner.sync(items, loop_time()))
        for holder in owner.holders():
            if self._view.is_dead(holder):
                self._deliver_grants(owner.drop_holder(holder, loop_time()))

    async def _sync_prefill(self, name: str, endpoint: Endpoint) -> None:
        load = await self._engines.load(endpoint.url)
        if load.is_ok():
            owner = self._prefill_owners.setdefault(name, PrefillOwner())
            report = load.unwrap()
            owner.sync(report.queued_tokens, report.tokens_per_s, loop_time())

    async def _cancel_abandoned(
        self, name: str, endpoint: Endpoint, items: tuple[WorkItem, ...]
    ) -> None:
        """Cancel the work of daemons that are dead or unknown for too long."""
        for item in items:
            if not self._is_abandoned(item.incarnation):
                continue
            cancelled = await self._engines.cancel(endpoint.url, item.request_id)
            logger.info(
                "abandoned_work_cancelled",
                engine=name,
                request_id=item.request_id,
                confirmed=cancelled.is_ok(),
            )

    def _is_abandoned(self, incarnation: str) -> bool:
        """Return whether a daemon is dead, or not current for the grace period."""
        if self._view.is_dead(incarnation):
            return True
        if self._view.is_current(incarnation):
            self._unknown_since.pop(incarnation, None)
            return False
        since = self._unknown_since.setdefault(incarnation, loop_time())
        return loop_time() - since >= UNKNOWN_HOLDER_GRACE_S
