"""Calls to other daemons, in the terms of the roles that make them."""

from marjoramstile.configuration.freshness import PeerFreshness
from marjoramstile.configuration.member import PrepareAnswer, Proposal
from marjoramstile.configuration.store import MemberRow
from marjoramstile.membership.view import Peer
from marjoramstile.peers.membership_client import SLOT_TIMEOUT_S, MembershipClient
from marjoramstile.peers.messages import (
    ask_to_wire,
    freshness_from_wire,
    proposal_to_wire,
)
from marjoramstile.peers.peer_types import WirePrefillAsk, WireStrike
from marjoramstile.slots.reservations import Ask

PREPARE_TIMEOUT_S = 0.8


class PeerClient(MembershipClient):
    """Sends the messages of all roles; None stands for no answer."""

    async def prepare(
        self, member: MemberRow, proposal: Proposal
    ) -> PrepareAnswer | None:
        """Ask a member to prepare a change."""
        answer = await self._connections.call(
            member.peer_address,
            "prepare",
            proposal_to_wire(proposal),
            timeout_s=PREPARE_TIMEOUT_S,
        )
        return None if answer is None else PrepareAnswer(answer)

    async def finish(self, member: MemberRow, change_id: str, committed: bool) -> None:
        """Tell a member how a change ended."""
        await self._connections.call(
            member.peer_address,
            "finish",
            change_id,
            committed,
            timeout_s=PREPARE_TIMEOUT_S,
        )

    async def freshness(
        self, member: MemberRow, vm: str, incarnation: str
    ) -> PeerFreshness | None:
        """Ask a member what version it knows."""
        wire = await self._connections.call(
            member.peer_address,
            "freshness",
            vm,
            incarnation,
            timeout_s=PREPARE_TIMEOUT_S,
        )
        return None if wire is None else freshness_from_wire(wire)

    async def ask_slot(self, peer: Peer, ask: Ask):
        """Ask an owner for a slot; the answer is a thrift SlotAnswer."""
        return await self._call(
            peer, "ask_slot", ask_to_wire(ask), timeout_s=SLOT_TIMEOUT_S
        )

    async def release_slot(self, peer: Peer, engine: str, request_id: str) -> None:
        """Give a slot back to its owner."""
        await self._call(
            peer, "release_slot", engine, request_id, timeout_s=SLOT_TIMEOUT_S
        )

    async def granted(self, peer: Peer, request_id: str) -> bool:
        """Tell a daemon that a waiting request has its slot now."""
        answer = await self._call(peer, "granted", request_id, timeout_s=SLOT_TIMEOUT_S)
        return bool(answer)

    async def ask_prefill(
        self,
        peer: Peer,
        engine: str,
        tokens: int,
        service_class: str,
        max_wait_s: float,
    ):
        """Ask an owner for a place; the answer is a thrift PrefillAnswer."""
        ask = WirePrefillAsk(
            engine=engine,
            tokens=tokens,
            service_class=str(service_class),
            max_wait_s=max_wait_s,
        )
        return await self._call(peer, "ask_prefill", ask, timeout_s=SLOT_TIMEOUT_S)

    async def strike(self, peer: Peer, content: str, endpoint: str) -> None:
        """Tell a daemon of an endpoint lost under a content."""
        wire = WireStrike(content=content, endpoint=endpoint)
        await self._call(peer, "strike", wire, timeout_s=SLOT_TIMEOUT_S)

    async def clear(self, peer: Peer, content: str) -> None:
        """Tell a daemon that a struck content has finished."""
        await self._call(peer, "clear", content, timeout_s=SLOT_TIMEOUT_S)
