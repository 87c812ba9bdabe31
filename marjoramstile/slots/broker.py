"""Client side of reservations: asks engine owners for decode slots and prefills."""

import asyncio
from dataclasses import dataclass

from marjoramstile.configuration.documents import Configuration, ServiceClass
from marjoramstile.membership.view import Peer, View
from marjoramstile.peers.peer_client import PeerClient
from marjoramstile.slots.directory import OwnerDirectory
from marjoramstile.slots.hints import HintTable
from marjoramstile.slots.prefill_places import PrefillAnswer
from marjoramstile.slots.reservations import Ask, Granted, Refused, Waiting
from marjoramstile.slots.service import OwnerService
from marjoramstile.slots.wire import SlotReply, slot_reply, slot_reply_from_wire
from marjoramstile.utils import loop_time

OWNER_ATTEMPTS = 2
ASK_RETRY_INTERVAL_S = 2.0
SHORTEST_WAIT_S = 0.001


@dataclass(frozen=True)
class _Reservation:
    """An ask and the owner that it was sent to, kept until it is released."""

    ask: Ask
    owner: str


class SlotBroker:
    """Reserves engine capacity for the requests of this daemon.

    An owner is either this daemon, whose service is called directly, or a peer. The
    load in each reply is recorded in the hint table.
    """

    def __init__(
        self,
        view: View,
        directory: OwnerDirectory,
        service: OwnerService,
        peer_client: PeerClient,
        hints: HintTable,
    ):
        self._view = view
        self._directory = directory
        self._service = service
        self._peer_client = peer_client
        self._hints = hints
        self._held: dict[str, _Reservation] = {}
        self._pending_grants: dict[str, asyncio.Future] = {}

    async def reserve(
        self, configuration: Configuration, ask: Ask
    ) -> Granted | Refused | None:
        """Reserve a slot, waiting up to ``ask.max_wait_s``; None if no owner answers.

        The next candidate owner is tried if one doesn't answer. The caller must
        release the request id afterwards, whatever the outcome.
        """
        deadline = loop_time() + ask.max_wait_s
        data_centre = configuration.endpoints[ask.engine].data_centre
        excluded: frozenset[str] = frozenset()
        granted = asyncio.get_running_loop().create_future()
        self._pending_grants[ask.request_id] = granted
        try:
            while len(excluded) < OWNER_ATTEMPTS:
                owner = self._directory.owner_of(ask.engine, data_centre, excluded)
                if owner is None:
                    return None
                self._held[ask.request_id] = _Reservation(ask, owner.vm.name)
                reply = await self._ask(owner, ask)
                if reply is None:
                    excluded |= {owner.vm.name}
                    continue
                self._record_slot_hint(ask.engine, reply)
                answer = await self._await_grant(ask, reply.answer, deadline)
                if answer is not None:
                    return answer
            return None
        finally:
            self._pending_grants.pop(ask.request_id, None)

    async def _ask(self, owner: Peer, ask: Ask) -> SlotReply | None:
        if owner.vm.name == self._view.own.vm.name:
            answer = await self._service.ask_slot(ask)
            if answer is None:
                return None
            return slot_reply(answer, self._service.slot_owners[ask.engine])
        wire = await self._peer_client.ask_slot(owner, ask)
        return None if wire is None else slot_reply_from_wire(wire, ask)

    def _record_slot_hint(self, engine: str, reply: SlotReply) -> None:
        self._hints.record_slots(
            engine,
            reply.used_slots,
            reply.used_pieces,
            reply.queued,
            reply.hold_s,
            loop_time(),
        )

    async def _await_grant(
        self, ask: Ask, answer: Granted | Waiting | Refused, deadline: float
    ) -> Granted | Refused | None:
        """Wait for the grant of a queued ask; None if the owner must be asked again.

        At the deadline the ask is withdrawn and counts as refused.
        """
        if not isinstance(answer, Waiting):
            return answer
        wait_s = min(ASK_RETRY_INTERVAL_S, deadline - loop_time())
        grant_future = self._pending_grants[ask.request_id]
        done, _ = await asyncio.wait([grant_future], timeout=max(0.0, wait_s))
        if done:
            return Granted(ask)
        if deadline - loop_time() > SHORTEST_WAIT_S:
            return None
        await self.release(ask.request_id)
        return Refused(answer.expected_s)

    def on_granted(self, request_id: str) -> bool:
        """Handle a grant sent by an owner; return whether a request still awaits it."""
        grant_future = self._pending_grants.get(request_id)
        if grant_future is None or grant_future.done():
            return False
        grant_future.set_result(None)
        return True

    async def release(self, request_id: str) -> None:
        """Release the request's slot or its queue entry at the owner."""
        held = self._held.pop(request_id, None)
        if held is None:
            return
        if held.owner == self._view.own.vm.name:
            self._service.release_slot(held.ask.engine, request_id)
            return
        owner = self._view.get(held.owner)
        if owner is not None:
            await self._peer_client.release_slot(owner, held.ask.engine, request_id)

    async def ask_prefill(
        self,
        configuration: Configuration,
        engine: str,
        tokens: int,
        service_class: ServiceClass,
        max_wait_s: float,
    ) -> PrefillAnswer | None:
        """Ask an owner to queue a prefill; None if it doesn't answer."""
        data_centre = configuration.endpoints[engine].data_centre
        owner = self._directory.owner_of(engine, data_centre)
        if owner is None:
            return None
        if owner.vm.name == self._view.own.vm.name:
            answer = self._service.ask_prefill(
                engine, tokens, service_class, max_wait_s
            )
            prefill_owner = self._service.prefill_owners.get(engine)
            if prefill_owner is not None:
                self._record_prefill_hint(
                    engine,
                    prefill_owner.backlog_tokens(loop_time()),
                    prefill_owner.tokens_per_s,
                )
            return answer
        wire = await self._peer_client.ask_prefill(
            owner, engine, tokens, service_class, max_wait_s
        )
        if wire is None:
            return None
        self._record_prefill_hint(engine, wire.backlog_tokens, wire.tokens_per_s)
        return PrefillAnswer(wire.accepted, wire.start_in_s)

    def _record_prefill_hint(
        self, engine: str, backlog_tokens: int, tokens_per_s: float
    ) -> None:
        self._hints.record_prefill(engine, backlog_tokens, tokens_per_s, loop_time())
