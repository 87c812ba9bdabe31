"""The subjects that operators can query, and the sources of their rows."""

from dataclasses import asdict, dataclass
from typing import Any

from marjoramstile.admission.limits import WorkspaceLimiter
from marjoramstile.admission.quarantine import Quarantine
from marjoramstile.configuration.keeper import ConfigurationKeeper
from marjoramstile.language.registry import Row, SubjectRegistry
from marjoramstile.membership.view import View
from marjoramstile.reports.burn import BurnReport, merge_burn_rows
from marjoramstile.reports.metrics import Metrics
from marjoramstile.requests.running import RunningRequests
from marjoramstile.slots.directory import OwnerDirectory
from marjoramstile.slots.service import OwnerService
from marjoramstile.utils import loop_time


@dataclass(frozen=True)
class Sources:
    """The daemon's components that rows are read from."""

    view: View
    keeper: ConfigurationKeeper
    owners: OwnerService
    directory: OwnerDirectory
    limiter: WorkspaceLimiter
    quarantine: Quarantine
    running: RunningRequests
    metrics: Metrics
    burn: BurnReport


SUBJECTS: SubjectRegistry[Sources] = SubjectRegistry()


@SUBJECTS.register("daemons", on_all_daemons=True)
def daemon_rows(sources: Sources) -> list[Row]:
    """Return this daemon's state as one row."""
    own = sources.view.own
    state = sources.keeper.state
    return [
        {
            "daemon": own.vm.name,
            "data_centre": own.vm.data_centre,
            "region": own.vm.region,
            "host": own.vm.host,
            "state": own.state.name.lower(),
            "version": state.version,
            "standing": sources.keeper.standing,
            "requests": sum(sources.limiter.running.values()),
            "engines_owned": len(sources.owners.slot_owners)
            + len(sources.owners.prefill_owners),
            "incarnation": own.incarnation,
        }
    ]


@SUBJECTS.register("peers", on_all_daemons=True)
def peer_rows(sources: Sources) -> list[Row]:
    """Return this daemon's view of its peers."""
    return [
        {
            "daemon": sources.view.own.vm.name,
            "peer": peer.vm.name,
            "state": peer.state.name.lower(),
            "listed": peer.vm.state,
            "heard_from": bool(peer.incarnation),
        }
        for peer in sources.view.others
    ]


@SUBJECTS.register("endpoints", on_all_daemons=False)
def endpoint_rows(sources: Sources) -> list[Row]:
    """Return the configured endpoints and their owners."""
    rows = []
    for name, endpoint in sources.keeper.configuration.endpoints.items():
        owner = sources.directory.owner_of(name, endpoint.data_centre)
        row = {"endpoint": name, **_format_fields(asdict(endpoint))}
        row["owner"] = owner.vm.name if owner else None
        rows.append(row)
    return rows


@SUBJECTS.register("slots", on_all_daemons=True)
def slot_rows(sources: Sources) -> list[Row]:
    """Return the load of the engines that this daemon owns."""
    daemon = sources.view.own.vm.name
    decode = [
        {
            "endpoint": name,
            "daemon": daemon,
            "used_slots": owner.used_slots,
            "used_pieces": owner.used_pieces,
            "queued": owner.queued,
            "hold_s": round(owner.hold_s, 3),
        }
        for name, owner in sources.owners.slot_owners.items()
    ]
    prefill = [
        {
            "endpoint": name,
            "daemon": daemon,
            "backlog_tokens": owner.backlog_tokens(loop_time()),
        }
        for name, owner in sources.owners.prefill_owners.items()
    ]
    return decode + prefill


@SUBJECTS.register("pools", on_all_daemons=False)
def pool_rows(sources: Sources) -> list[Row]:
    """Return the configured pools."""
    return [
        {"pool": name, **_format_fields(asdict(pool))}
        for name, pool in sources.keeper.configuration.pools.items()
    ]


@SUBJECTS.register("services", on_all_daemons=False)
def service_rows(sources: Sources) -> list[Row]:
    """Return the configured services of both kinds."""
    configuration = sources.keeper.configuration
    language = [
        {"service": name, "kind": "language", **_format_fields(asdict(service))}
        for name, service in configuration.language_services.items()
    ]
    plain = [
        {"service": name, "kind": "plain", **_format_fields(asdict(service))}
        for name, service in configuration.plain_services.items()
    ]
    return language + plain


@SUBJECTS.register("rules", on_all_daemons=False)
def rule_rows(sources: Sources) -> list[Row]:
    """Return the rules that migrate traffic from the old systems."""
    return [
        {
            "service": name,
            "old": service.migration.old,
            "new_percent": service.migration.new_percent,
        }
        for name, service in sources.keeper.configuration.plain_services.items()
        if service.migration is not None
    ]


@SUBJECTS.register("workspaces", on_all_daemons=False)
def workspace_rows(sources: Sources) -> list[Row]:
    """Return the configured workspaces, without the hashes of their keys."""
    return [
        {
            "workspace": name,
            "services": ", ".join(workspace.services),
            "share": workspace.share,
            "keys": len(workspace.key_hashes),
        }
        for name, workspace in sources.keeper.configuration.workspaces.items()
    ]


@SUBJECTS.register("limits", on_all_daemons=False)
def limit_rows(sources: Sources) -> list[Row]:
    """Return the configured limits, one row each."""
    limits = asdict(sources.keeper.configuration.limits)
    return [{"limit": name, "value": value} for name, value in limits.items()]


@SUBJECTS.register("requests", on_all_daemons=True)
def request_rows(sources: Sources) -> list[Row]:
    """Return the completions in progress on this daemon."""
    daemon = sources.view.own.vm.name
    return [
        {
            "request_id": entry.request_id,
            "daemon": daemon,
            "workspace": entry.workspace,
            "service": entry.service,
            "phase": entry.phase,
            "tokens": entry.tokens,
            "age_s": round(loop_time() - entry.started_at, 3),
        }
        for entry in sources.running.entries
    ]


@SUBJECTS.register("quarantine", on_all_daemons=True)
def quarantine_rows(sources: Sources) -> list[Row]:
    """Return the contents that crashed endpoints, with the endpoints lost."""
    limit = sources.keeper.configuration.limits.crash_limit
    return [
        {
            "content": content,
            "daemon": sources.view.own.vm.name,
            "endpoints": ", ".join(sorted(endpoints)),
            "blocked": sources.quarantine.is_blocked(content, limit),
        }
        for content, endpoints in sources.quarantine.strikes.items()
    ]


@SUBJECTS.register("metrics", on_all_daemons=True)
def metric_rows(sources: Sources) -> list[Row]:
    """Return this daemon's counters and histograms."""
    daemon = sources.view.own.vm.name
    return [{"daemon": daemon, **row} for row in sources.metrics.snapshot()]


@SUBJECTS.register("burn", on_all_daemons=True, join=merge_burn_rows)
def burn_rows(sources: Sources) -> list[Row]:
    """Return burn rates of the answers that this daemon served."""
    return [asdict(row) for row in sources.burn.rows(loop_time())]


def _format_fields(fields: dict[str, Any]) -> Row:
    """Return fields with sequences and mappings formatted as text."""
    return {
        name: ", ".join(map(str, value))
        if isinstance(value, (tuple, list))
        else (str(value) if isinstance(value, dict) else value)
        for name, value in fields.items()
    }
