"""Client of the peer protocol: all calls to other daemons."""

from marjoramstile.configuration.freshness import PeerFreshness
from marjoramstile.configuration.member import PrepareAnswer, Proposal
from marjoramstile.configuration.store import MemberRow
from marjoramstile.membership.view import Peer
from marjoramstile.peers.membership_client import CALL_TIMEOUT_S, MembershipClient
from marjoramstile.peers.messages import (
    ask_to_wire,
    freshness_from_wire,
    proposal_to_wire,
)
from marjoramstile.peers.peer_types import WirePrefillAsk, WireStrike
from marjoramstile.slots.reservations import Ask

PREPARE_TIMEOUT_S = 0.8


class PeerClient(MembershipClient):
    """Adds the calls about configuration, slots, prefills and strikes.

    None means no answer.
    """

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
        """Send a member the outcome of a change."""
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
        """Ask a member which version of the configuration it has."""
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
            peer, "ask_slot", ask_to_wire(ask), timeout_s=CALL_TIMEOUT_S
        )

    async def release_slot(self, peer: Peer, engine: str, request_id: str) -> None:
        """Release a slot at its owner."""
        await self._call(
            peer, "release_slot", engine, request_id, timeout_s=CALL_TIMEOUT_S
        )

    async def granted(self, peer: Peer, request_id: str) -> bool:
        """Grant a slot to a daemon's waiting request; return whether it is accepted."""
        answer = await self._call(peer, "granted", request_id, timeout_s=CALL_TIMEOUT_S)
        return bool(answer)

    async def ask_prefill(
        self,
        peer: Peer,
        engine: str,
        tokens: int,
        service_class: str,
        max_wait_s: float,
    ):
        """Ask an owner to accept a prefill; the answer is a thrift PrefillAnswer."""
        ask = WirePrefillAsk(
            engine=engine,
            tokens=tokens,
            service_class=str(service_class),
            max_wait_s=max_wait_s,
        )
        return await self._call(peer, "ask_prefill", ask, timeout_s=CALL_TIMEOUT_S)

    async def strike(self, peer: Peer, content: str, endpoint: str) -> None:
        """Send a strike: an endpoint was lost while it worked on a content."""
        wire = WireStrike(content=content, endpoint=endpoint)
        await self._call(peer, "strike", wire, timeout_s=CALL_TIMEOUT_S)

    async def clear(self, peer: Peer, content: str) -> None:
        """Notify a daemon that a content with strikes has finished."""
        await self._call(peer, "clear", content, timeout_s=CALL_TIMEOUT_S)
