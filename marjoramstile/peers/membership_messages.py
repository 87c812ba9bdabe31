"""Translates probes and mirrors' changes to thrift structures and back."""

from marjoramstile.membership.prober import Probe
from marjoramstile.membership.view import PeerState, Report
from marjoramstile.mirrors.mirror import PeerChanges
from marjoramstile.peers.peer_types import (
    WireMirrorChanges,
    WireMirrorRow,
    WireProbe,
    WireReport,
    WireStrike,
)
from marjoramstile.ports.feeds import Changes, StoredRow


def probe_to_wire(probe: Probe):
    """Return the thrift form of a probe."""
    return WireProbe(
        vm=probe.vm,
        incarnation=probe.incarnation,
        reports=[
            WireReport(
                vm=report.vm,
                incarnation=report.incarnation,
                counter=report.counter,
                state=int(report.state),
            )
            for report in probe.reports
        ],
        strikes=[
            WireStrike(content=content, endpoint=endpoint)
            for content, endpoint in probe.strikes
        ],
        blocklist=probe.blocklist,
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
        blocklist=wire.blocklist or "",
    )


def changes_to_wire(changes: Changes, age_s: float, withheld: bool = False):
    """Return the thrift form of a mirror's changes, confirmed ``age_s`` ago."""
    return WireMirrorChanges(
        rows=[
            WireMirrorRow(
                key=row.key,
                version=row.version,
                value=row.value or b"",
                deleted=row.value is None,
            )
            for row in changes.rows
        ],
        version=changes.version,
        complete=changes.complete,
        age_s=age_s,
        withheld=withheld,
    )


def changes_from_wire(wire) -> PeerChanges:
    """Return the mirror's changes that ``wire`` holds."""
    rows = tuple(
        StoredRow(row.key, row.version, None if row.deleted else _as_bytes(row.value))
        for row in wire.rows
    )
    changes = Changes(rows, wire.version, wire.complete)
    return PeerChanges(changes, wire.age_s, bool(wire.withheld))


def _as_bytes(value: str | bytes) -> bytes:
    """Return a binary field as bytes; thriftpy2 decodes values that are UTF-8."""
    return value.encode() if isinstance(value, str) else value
