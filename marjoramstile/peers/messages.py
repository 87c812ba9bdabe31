"""Translates between the daemon's data classes and thrift structures."""

from marjoramstile.configuration.documents import ServiceClass
from marjoramstile.configuration.edits import edits_from_json, edits_to_json
from marjoramstile.configuration.freshness import PeerFreshness
from marjoramstile.configuration.member import Proposal
from marjoramstile.membership.prober import Probe
from marjoramstile.membership.view import PeerState, Report
from marjoramstile.peers.frames import IDL
from marjoramstile.ports.feeds import Changes, StoredRow
from marjoramstile.slots.reservations import Ask


def probe_to_wire(probe: Probe):
    """Return the thrift form of a probe."""
    return IDL.Probe(
        vm=probe.vm,
        incarnation=probe.incarnation,
        reports=[
            IDL.Report(
                vm=report.vm,
                incarnation=report.incarnation,
                counter=report.counter,
                state=int(report.state),
            )
            for report in probe.reports
        ],
        strikes=[
            IDL.Strike(content=content, endpoint=endpoint)
            for content, endpoint in probe.strikes
        ],
    )


def probe_from_wire(wire) -> Probe:
    """Return the probe that ``wire`` holds."""
    return Probe(
        vm=wire.vm,
        incarnation=wire.incarnation,
        reports=tuple(
            Report(item.vm, item.incarnation, item.counter, PeerState(item.state))
            for item in wire.reports
        ),
        strikes=tuple((item.content, item.endpoint) for item in wire.strikes),
    )


def ask_to_wire(ask: Ask):
    """Return the thrift form of an ask for a slot."""
    fields = dict(vars(ask))
    fields["service_class"] = str(ask.service_class)
    return IDL.Ask(**fields)


def ask_from_wire(wire) -> Ask:
    """Return the ask that ``wire`` holds."""
    fields = dict(vars(wire))
    fields["service_class"] = ServiceClass(wire.service_class)
    return Ask(**fields)


def proposal_to_wire(proposal: Proposal):
    """Return the thrift form of a proposal."""
    return IDL.Proposal(
        change_id=proposal.change_id,
        version=proposal.version,
        base_id=proposal.base_id,
        edits=edits_to_json(proposal.edits),
    )


def proposal_from_wire(wire) -> Proposal:
    """Return the proposal that ``wire`` holds."""
    return Proposal(
        wire.change_id, wire.version, wire.base_id, edits_from_json(wire.edits)
    )


def freshness_to_wire(freshness: PeerFreshness):
    """Return the thrift form of a freshness answer."""
    return IDL.Freshness(**vars(freshness))


def freshness_from_wire(wire) -> PeerFreshness:
    """Return the freshness answer that ``wire`` holds."""
    return PeerFreshness(**vars(wire))


def changes_to_wire(changes: Changes):
    """Return the thrift form of a mirror's changes."""
    return IDL.MirrorChanges(
        rows=[
            IDL.MirrorRow(
                key=row.key,
                version=row.version,
                value=row.value or b"",
                deleted=row.value is None,
            )
            for row in changes.rows
        ],
        version=changes.version,
        complete=changes.complete,
    )


def changes_from_wire(wire) -> Changes:
    """Return the mirror's changes that ``wire`` holds."""
    rows = tuple(
        StoredRow(row.key, row.version, None if row.deleted else _as_bytes(row.value))
        for row in wire.rows
    )
    return Changes(rows, wire.version, wire.complete)


def _as_bytes(value: str | bytes) -> bytes:
    """Return a binary field; thriftpy2 decodes what happens to be UTF-8."""
    return value.encode() if isinstance(value, str) else value
