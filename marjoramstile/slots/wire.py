"""Slot replies of owners and their conversion to and from thrift."""

from dataclasses import dataclass

from marjoramstile.peers.peer_types import WireSlotAnswer
from marjoramstile.slots.reservations import Ask, Granted, Refused, SlotOwner, Waiting

GRANTED = 0
WAITING = 1
REFUSED = 2
UNKNOWN_ENGINE = 3


@dataclass(frozen=True)
class SlotReply:
    """An owner's answer and the engine's load right after it."""

    answer: Granted | Waiting | Refused
    used_slots: int
    used_pieces: int
    queued: int
    hold_s: float


def slot_reply(answer: Granted | Waiting | Refused, owner: SlotOwner) -> SlotReply:
    """Return the reply that combines an answer with the owner's current load."""
    return SlotReply(
        answer, owner.used_slots, owner.used_pieces, owner.queued, owner.hold_s
    )


def slot_reply_to_wire(reply: SlotReply):
    """Return the thrift form of a reply."""
    outcome, expected_s = GRANTED, 0.0
    if isinstance(reply.answer, Waiting):
        outcome, expected_s = WAITING, reply.answer.expected_s
    elif isinstance(reply.answer, Refused):
        outcome, expected_s = REFUSED, reply.answer.expected_s
    return WireSlotAnswer(
        outcome=outcome,
        expected_s=expected_s,
        used_slots=reply.used_slots,
        used_pieces=reply.used_pieces,
        queued=reply.queued,
        hold_s=reply.hold_s,
    )


def unknown_engine_wire():
    """Return the thrift answer for an engine that the owner doesn't know."""
    return WireSlotAnswer(
        outcome=UNKNOWN_ENGINE,
        expected_s=0.0,
        used_slots=0,
        used_pieces=0,
        queued=0,
        hold_s=0.0,
    )


def slot_reply_from_wire(wire, ask: Ask) -> SlotReply | None:
    """Return the reply in a thrift answer, None for an unknown engine."""
    if wire.outcome == UNKNOWN_ENGINE:
        return None
    answers = {
        GRANTED: Granted(ask),
        WAITING: Waiting(wire.expected_s),
        REFUSED: Refused(wire.expected_s),
    }
    return SlotReply(
        answers[wire.outcome],
        wire.used_slots,
        wire.used_pieces,
        wire.queued,
        wire.hold_s,
    )
