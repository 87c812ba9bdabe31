"""Checks an operator's configuration before it is sent, and compares two of them.

What the daemons would refuse is an error. What they accept and the operator can hardly
mean is a warning.
"""

import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass, fields

from marjoramstile.json_fields import parse_object
from marjoramstile.platform.documents import (
    configuration_errors,
    decode_routing_table,
    decode_workspaces,
)
from marjoramstile.routes.table import Route, RouteKind, RoutingTable
from marjoramstile.workspaces.keys import logged_digest
from marjoramstile.workspaces.table import Quota, QuotaUnit, WorkspaceKeys

# Fields of a route whose differences are reported, as they are named in the file.
_ROUTE_FIELDS = {
    "host": "host",
    "prefix": "prefix",
    "kind": "kind",
    "timeout_s": "timeoutMs",
    "target_latency_s": "targetLatencyMs",
    "priority": "priority",
    "shares": "trafficSplit",
    "max_attempts": "maxAttempts",
    "resumable": "resumable",
    "gap_target_s": "gapTargetMs",
    "public": "public",
}


@dataclass(frozen=True)
class Finding:
    """A fault of a configuration; ``path`` is that of the field, if it is known."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}" if self.path else self.message


@dataclass(frozen=True)
class Difference:
    """What differs from the version in force; None where there is no such entry."""

    path: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path}: {self.after}"
        if self.after is None:
            return f"- {self.path}: {self.before}"
        return f"~ {self.path}: {self.before} -> {self.after}"


@dataclass(frozen=True)
class Configuration:
    """A valid configuration.

    ``kinds`` are the kinds of the routes as stated. ``workspaces`` is None if callers
    need no keys.
    """

    table: RoutingTable
    kinds: tuple[str, ...]
    services: tuple[str, ...]
    workspaces: tuple[WorkspaceKeys, ...] | None


def read_configuration(value: bytes) -> tuple[Configuration | None, list[Finding]]:
    """Return a configuration, or None and its errors; the daemons' decoder decides."""
    errors = configuration_errors(value)
    if errors:
        return None, [_error(text) for text in errors]
    body = parse_object(value)
    return (
        Configuration(
            table=decode_routing_table(value),
            kinds=tuple(item.text("kind") for item in body.objects("routes")),
            services=tuple(item.text("name") for item in body.objects("services")),
            workspaces=decode_workspaces(value),
        ),
        [],
    )


def _error(text: str) -> Finding:
    """Return a decoder's message as a finding; it begins with the path of the field."""
    path, _, message = text.partition(" ")
    if message.startswith(("is ", "holds ", "no part ")) or path.endswith(":"):
        return Finding(path.rstrip(":"), message)
    return Finding("", text)


def warnings_of(configuration: Configuration) -> list[Finding]:
    """Return what the daemons accept and the operator can hardly mean."""
    return [
        *_route_warnings(configuration),
        *_service_warnings(configuration),
        *_workspace_warnings(configuration),
    ]


def _route_warnings(configuration: Configuration) -> Iterator[Finding]:
    first: dict[tuple[str, str], int] = {}
    names = Counter(route.name for route in configuration.table.routes)
    for index, route in enumerate(configuration.table.routes):
        path = f"routes[{index}]"
        earlier = first.setdefault((route.host, route.prefix), index)
        if earlier != index:
            yield Finding(
                path, f"never matches: routes[{earlier}] has its host and prefix"
            )
        if names[route.name] > 1:
            yield Finding(f"{path}.name", f"{route.name} is the name of several routes")
        yield from _matching_warnings(path, route)
        yield from _kind_warnings(path, route, configuration.kinds[index])
        yield from _limit_warnings(path, route)


def _matching_warnings(path: str, route: Route) -> Iterator[Finding]:
    if not route.prefix.startswith("/"):
        yield Finding(f"{path}.prefix", "never matches: paths begin with /")
    if ":" in route.host:
        yield Finding(f"{path}.host", "never matches: ports are not compared")
    for part, share in enumerate(route.shares):
        if not share.weight:
            yield Finding(
                f"{path}.trafficSplit[{part}]", f"{share.service} gets no requests"
            )


def _kind_warnings(path: str, route: Route, stated: str) -> Iterator[Finding]:
    if stated not in set(RouteKind):
        yield Finding(f"{path}.kind", f"{stated} is unknown: taken as {route.kind}")
    if route.max_attempts > 1 and not route.repeatable:
        yield Finding(
            f"{path}.maxAttempts", "has no effect: the route's requests run once"
        )


def _limit_warnings(path: str, route: Route) -> Iterator[Finding]:
    if route.max_attempts == 0:
        yield Finding(f"{path}.maxAttempts", "allows no attempt; one is made")
    if route.timeout_s == 0:
        yield Finding(f"{path}.timeoutMs", "leaves no time for an answer")
    if route.timeout_s < route.target_latency_s:
        yield Finding(f"{path}.timeoutMs", "is below targetLatencyMs")
    if route.gap_target_s is not None and route.gap_target_s > route.timeout_s:
        yield Finding(f"{path}.gapTargetMs", "is above timeoutMs")


def _service_warnings(configuration: Configuration) -> Iterator[Finding]:
    named = {
        share.service for route in configuration.table.routes for share in route.shares
    }
    counts = Counter(configuration.services)
    for index, name in enumerate(configuration.services):
        path = f"services[{index}]"
        if name not in named:
            yield Finding(path, f"no route leads to {name}")
        if counts[name] > 1:
            yield Finding(path, f"{name} is listed several times; the last one counts")
    for index, route in enumerate(configuration.table.routes):
        for share in route.shares:
            if share.service not in counts:
                text = f"{share.service} is not listed: taken as a plain service"
                yield Finding(f"routes[{index}]", text)


def _workspace_warnings(configuration: Configuration) -> Iterator[Finding]:
    if configuration.workspaces is None:
        return
    if not configuration.workspaces:
        yield Finding("tenants", "is empty: only public routes can be used")
    names = Counter(item.workspace.name for item in configuration.workspaces)
    owners: dict[str, set[str]] = {}
    for item in configuration.workspaces:
        for digest in item.digests:
            owners.setdefault(digest, set()).add(item.workspace.name)
    for index, item in enumerate(configuration.workspaces):
        path, name = f"tenants[{index}]", item.workspace.name
        if names[name] > 1:
            yield Finding(f"{path}.name", f"{name} is listed several times")
        yield from _key_warnings(path, item, owners)
        if item.workspace.quota is not None:
            yield from _quota_warnings(path, item.workspace.quota)


def _key_warnings(
    path: str, item: WorkspaceKeys, owners: dict[str, set[str]]
) -> Iterator[Finding]:
    """Yield keys that open nothing; they are shown by the begin of their digests."""
    if not item.digests:
        yield Finding(f"{path}.apiKeys", "is empty: nobody can use the workspace")
    for position, digest in enumerate(item.digests):
        others = sorted(owners[digest] - {item.workspace.name})
        if others:
            text = f"opens nothing: {', '.join(others)} has the key"
            yield Finding(
                f"{path}.apiKeys[{position}]", f"{text} {logged_digest(digest)}, too"
            )


def _quota_warnings(path: str, quota: Quota) -> Iterator[Finding]:
    counts_tokens = quota.unit == QuotaUnit.TOKENS
    one_request = max(1, quota.plain_tokens) if counts_tokens else 1
    if quota.burst < one_request:
        unit = "plainTokens" if counts_tokens else "one request"
        yield Finding(f"{path}.burst", f"{quota.burst:g} is below {unit}")
    if counts_tokens and quota.plain_tokens == 0:
        yield Finding(
            f"{path}.plainTokens", "is 0: requests without a size are not counted"
        )


def differences(before: Configuration, after: Configuration) -> list[Difference]:
    """Return what differs; entries are compared by their names."""
    found = [Difference("version", str(before.table.version), str(after.table.version))]
    for kind in ("limits", "routes", "services", "tenants"):
        old, new = _entries(before, kind), _entries(after, kind)
        for name in [*old, *(name for name in new if name not in old)]:
            found += _entry_differences(
                f"{kind}.{name}" if name else kind, old.get(name), new.get(name)
            )
    return [item for item in found if item.before != item.after]


def _entry_differences(
    path: str, old: dict[str, str] | None, new: dict[str, str] | None
) -> list[Difference]:
    if old is None or new is None:
        return [Difference(path, _one_line(old), _one_line(new))]
    return [
        Difference(f"{path}.{name}", old.get(name), new.get(name))
        for name in {**old, **new}
    ]


def _one_line(entry: dict[str, str] | None) -> str | None:
    if entry is None:
        return None
    return " ".join(f"{name}={value}" for name, value in entry.items())


def _entries(configuration: Configuration, kind: str) -> dict[str, dict[str, str]]:
    """Return the entries of a kind by name, with their fields as texts."""
    table = configuration.table
    if kind == "limits":
        return {"": {"maxBodyBytes": str(table.limits.body_max_bytes)}}
    if kind == "routes":
        return {route.name: _route_fields(route) for route in table.routes}
    if kind == "services":
        return {
            name: _texts(asdict(service.engine))
            if service.engine
            else {"kind": "plain"}
            for name, service in table.services.items()
        }
    return {
        item.workspace.name: _workspace_fields(item)
        for item in configuration.workspaces or ()
    }


def _route_fields(route: Route) -> dict[str, str]:
    values = {item.name: getattr(route, item.name) for item in fields(route)}
    values["shares"] = ", ".join(
        f"{share.service}:{share.weight:g}" for share in route.shares
    )
    for name in ("timeout_s", "target_latency_s", "gap_target_s"):
        if values[name] is not None:
            values[name] *= 1000
    return _texts({_ROUTE_FIELDS[key]: values[key] for key in _ROUTE_FIELDS})


def _workspace_fields(item: WorkspaceKeys) -> dict[str, str]:
    """Return a workspace's fields; of its keys, the begin of their digests."""
    quota = item.workspace.quota
    return _texts(
        {
            "priority": item.workspace.priority,
            "apiKeys": ", ".join(sorted(map(logged_digest, item.digests))),
            "ratePerS": quota and quota.rate_per_s,
            "burst": quota and quota.burst,
            "unit": quota and str(quota.unit),
            "plainTokens": quota and quota.plain_tokens,
        }
    )


def _texts(values: dict) -> dict[str, str]:
    return {
        name: f"{value:g}" if isinstance(value, float) else str(value)
        for name, value in values.items()
        if value is not None and value != "" and not _is_nan(value)
    }


def _is_nan(value: object) -> bool:
    return isinstance(value, float) and math.isnan(value)


def order_findings(before: Configuration, after: Configuration) -> list[Finding]:
    """Return an error if the new version would not replace the one in force."""
    if after.table.version > before.table.version:
        return []
    return [
        Finding(
            "version",
            f"{after.table.version} is not above {before.table.version}, which is in"
            " force: daemons keep that one",
        )
    ]
