"""Translates between the daemon's data classes and thrift structures."""

from marjoramstile.configuration.documents import ServiceClass
from marjoramstile.configuration.edits import edits_from_json, edits_to_json
from marjoramstile.configuration.freshness import PeerFreshness
from marjoramstile.configuration.member import Proposal
from marjoramstile.json_fields import count_values
from marjoramstile.peers.peer_types import WireAsk, WireFreshness, WireProposal
from marjoramstile.slots.reservations import Ask

# Values of the edits in a frame; a proper frame of the largest size has no more.
EDIT_VALUES_MAX = 262_144


def ask_to_wire(ask: Ask):
    """Return the thrift form of a request for a slot."""
    fields = dict(vars(ask))
    fields["service_class"] = str(ask.service_class)
    return WireAsk(**fields)


def ask_from_wire(wire) -> Ask:
    """Return the request for a slot that ``wire`` holds."""
    fields = dict(vars(wire))
    fields["service_class"] = ServiceClass(wire.service_class)
    return Ask(**fields)


def proposal_to_wire(proposal: Proposal):
    """Return the thrift form of a proposal."""
    return WireProposal(
        change_id=proposal.change_id,
        version=proposal.version,
        base_id=proposal.base_id,
        edits=edits_to_json(proposal.edits),
    )


def proposal_from_wire(wire) -> Proposal:
    """Return the proposal that ``wire`` holds.

    Raises ValueError, also for more values than a configuration has.
    """
    if count_values(wire.edits) > EDIT_VALUES_MAX:
        raise ValueError(f"edits have more than {EDIT_VALUES_MAX} values")
    return Proposal(
        wire.change_id, wire.version, wire.base_id, edits_from_json(wire.edits)
    )


def freshness_to_wire(freshness: PeerFreshness):
    """Return the thrift form of a freshness answer."""
    return WireFreshness(**vars(freshness))


def freshness_from_wire(wire) -> PeerFreshness:
    """Return the freshness answer that ``wire`` holds."""
    return PeerFreshness(**vars(wire))
