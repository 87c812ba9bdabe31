"""Answers the calls of other daemons by passing them to the components concerned."""

import json
from collections.abc import Callable
from typing import Any

from marjoramstile.admission.quarantine import Quarantine
from marjoramstile.configuration.documents import ServiceClass
from marjoramstile.configuration.keeper import ConfigurationKeeper
from marjoramstile.membership.prober import Prober
from marjoramstile.peers.membership_messages import probe_from_wire, probe_to_wire
from marjoramstile.peers.messages import (
    ask_from_wire,
    freshness_to_wire,
    proposal_from_wire,
)
from marjoramstile.peers.peer_types import WirePrefillAnswer
from marjoramstile.peers.queries import decode_query
from marjoramstile.slots.broker import SlotBroker
from marjoramstile.slots.service import OwnerService
from marjoramstile.slots.wire import (
    slot_reply,
    slot_reply_to_wire,
    unknown_engine_wire,
)
from marjoramstile.utils import loop_time


class PeerHandler:
    """One method for each call of peer.thrift."""

    def __init__(
        self,
        prober: Prober,
        keeper: ConfigurationKeeper,
        owners: OwnerService,
        broker: SlotBroker,
        quarantine: Quarantine,
        answer_query: Callable[[dict[str, Any]], Any],
    ):
        self._prober = prober
        self._keeper = keeper
        self._owners = owners
        self._broker = broker
        self._quarantine = quarantine
        self._answer_query = answer_query

    async def probe(self, message):
        """Exchange reports and strikes with a daemon."""
        answer = await self._prober.handle_probe(probe_from_wire(message))
        return probe_to_wire(answer)

    async def probe_through(self, vm: str) -> bool:
        """Probe a daemon for another."""
        return await self._prober.handle_probe_through(vm)

    async def ask_slot(self, ask):
        """Grant, queue or refuse a slot of an engine that this daemon owns."""
        wanted = ask_from_wire(ask)
        answer = await self._owners.ask_slot(wanted)
        if answer is None:
            return unknown_engine_wire()
        owner = self._owners.slot_owners[wanted.engine]
        return slot_reply_to_wire(slot_reply(answer, owner))

    async def release_slot(self, engine: str, request_id: str) -> bool:
        """Release a slot of an engine that this daemon owns."""
        self._owners.release_slot(engine, request_id)
        return True

    async def granted(self, request_id: str) -> bool:
        """Handle the grant of a slot; return whether the request still waits for it."""
        return self._broker.on_granted(request_id)

    async def ask_prefill(self, ask):
        """Add a prefill to the backlog of an engine that this daemon owns."""
        answer = self._owners.ask_prefill(
            ask.engine, ask.tokens, ServiceClass(ask.service_class), ask.max_wait_s
        )
        if answer is None:
            return WirePrefillAnswer(
                accepted=False, start_in_s=0.0, backlog_tokens=0, tokens_per_s=1.0
            )
        prefill_owner = self._owners.prefill_owners[ask.engine]
        return WirePrefillAnswer(
            accepted=answer.accepted,
            start_in_s=answer.start_in_s,
            backlog_tokens=prefill_owner.backlog_tokens(loop_time()),
            tokens_per_s=prefill_owner.tokens_per_s,
        )

    async def prepare(self, proposal) -> str:
        """Prepare a configuration change."""
        answer = await self._keeper.on_prepare(proposal_from_wire(proposal))
        return str(answer)

    async def finish(self, change_id: str, committed: bool) -> bool:
        """Handle the outcome of a configuration change."""
        self._keeper.on_finish(change_id, committed)
        return True

    async def freshness(self, vm: str, incarnation: str):
        """Return how recent this daemon's configuration is."""
        return freshness_to_wire(await self._keeper.on_freshness(vm, incarnation))

    async def strike(self, strike) -> bool:
        """Record a strike: an endpoint was lost while it worked on a content."""
        return self._quarantine.strike(strike.content, strike.endpoint)

    async def clear(self, content: str) -> bool:
        """Clear the strikes of a content that has finished."""
        return self._quarantine.clear(content)

    async def query(self, request: str) -> str:
        """Answer an operator's query with this daemon's rows."""
        return json.dumps(self._answer_query(decode_query(request)))
