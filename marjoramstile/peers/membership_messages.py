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
    WireTableVersion,
)
from marjoramstile.ports.feeds import (
    ERA_MAX,
    NUMBER_MAX,
    Changes,
    StoredRow,
    era_of,
    number_of,
    version_in_era,
)

# Items of each kind that a probe may have; daemons send a few tens.
ITEMS_MAX = 256
# Era of a message of an older build, which names none.
UNNAMED_ERA = 0


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
        positions=[table_version_to_wire(*item) for item in probe.positions],
        links=probe.links,
    )


def probe_from_wire(wire) -> Probe:
    """Return the probe that ``wire`` holds; raises ValueError if it is too long."""
    for items in (wire.reports, wire.strikes, wire.positions or ()):
        if len(items) > ITEMS_MAX:
            raise ValueError(f"a probe has {len(items)} items of a kind")
    return Probe(
        vm=wire.vm,
        incarnation=wire.incarnation,
        reports=tuple(
            Report(item.vm, item.incarnation, item.counter, PeerState(item.state))
            for item in wire.reports
        ),
        strikes=tuple((item.content, item.endpoint) for item in wire.strikes),
        blocklist=wire.blocklist or "",
        positions=tuple(
            (item.table, version_from_wire(item, UNNAMED_ERA))
            for item in wire.positions or ()
        ),
        links=wire.links or 0,
    )


def changes_to_wire(changes: Changes, age_s: float, withheld: bool = False):
    """Return the thrift form of a mirror's changes, confirmed ``age_s`` ago."""
    return WireMirrorChanges(
        rows=[
            WireMirrorRow(
                key=row.key,
                version=number_of(row.version),
                value=row.value or b"",
                deleted=row.value is None,
            )
            for row in changes.rows
        ],
        version=number_of(changes.version),
        complete=changes.complete,
        age_s=age_s,
        withheld=withheld,
        era=era_of(changes.version),
    )


def changes_from_wire(wire) -> PeerChanges:
    """Return the mirror's changes that ``wire`` holds; raises ValueError."""
    era = wire.era or UNNAMED_ERA
    rows = tuple(
        StoredRow(
            row.key,
            _checked_version(era, row.version),
            None if row.deleted else _as_bytes(row.value),
        )
        for row in wire.rows
    )
    changes = Changes(rows, _checked_version(era, wire.version), wire.complete)
    return PeerChanges(changes, wire.age_s, bool(wire.withheld))


def table_version_to_wire(table: str, version: int):
    """Return the thrift form of a mirror's version."""
    return WireTableVersion(table=table, after=number_of(version), era=era_of(version))


def version_from_wire(wire, own_era: int) -> int:
    """Return a mirror's version; an older build names no era, and means the own one.

    Raises ValueError if it is out of range.
    """
    era = own_era if wire.era is None else wire.era
    return _checked_version(era, wire.after)


def _checked_version(era: int, number: int) -> int:
    if not 0 <= era <= ERA_MAX or not 0 <= number <= NUMBER_MAX:
        raise ValueError(f"version {number} in era {era} is out of range")
    return version_in_era(era, number)


def _as_bytes(value: str | bytes) -> bytes:
    """Return a binary field as bytes; thriftpy2 decodes values that are UTF-8."""
    return value.encode() if isinstance(value, str) else value
