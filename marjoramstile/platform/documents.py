"""Decodes rows of the platform's store: routing configuration and replicas.

The rows may come from any writer. A decoder returns a value whose fields are of their
types and within bounds, or raises MalformedRowError.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

from marjoramstile.json_fields import (
    JSONObject,
    MalformedJSONError,
    parse_object,
    split_address,
)
from marjoramstile.logs import get_logger
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.table import (
    HEAD_MAX_BYTES,
    HEAD_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    EngineTraits,
    EntryLimits,
    Route,
    RoutedService,
    RouteKind,
    RoutingTable,
    ServiceShare,
)
from marjoramstile.utils import MILLISECONDS_PER_S
from marjoramstile.workspaces.keys import key_digest
from marjoramstile.workspaces.table import (
    Quota,
    QuotaUnit,
    Workspace,
    WorkspaceKeys,
    WorkspaceTable,
)

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
REPLICAS_TABLE = "servers"
# Upper bounds of what a replica or a route can state.
SLOTS_MAX = 1_000_000
ATTEMPTS_MAX = 1_000
PRIORITY_MAX = 1_000
DURATION_MAX_MS = 86_400_000.0

logger = get_logger(__name__)


class MalformedRowError(Exception):
    """A row's value is not valid for its table."""


def decode_routing_table(value: bytes) -> RoutingTable:
    """Return a row's routing table; raises MalformedRowError."""
    try:
        body = parse_object(value)
        services = [_service(item) for item in body.objects("services")]
        return RoutingTable(
            version=body.integer("version"),
            routes=tuple(_route(item) for item in body.objects("routes")),
            services={service.name: service for service in services},
            limits=_limits(body.object("limits")),
            workspaces=_workspaces(body),
        )
    except MalformedJSONError as error:
        raise MalformedRowError(str(error)) from error


def configuration_errors(value: bytes) -> list[str]:
    """Return why a configuration is not valid, for each of its parts.

    It is empty if, and only if, ``decode_routing_table`` returns a table.
    """
    try:
        body = parse_object(value)
    except MalformedJSONError as error:
        return [str(error)]
    errors: list[str] = []
    _collect(errors, lambda: body.integer("version"))
    _collect(errors, lambda: _limits(body.object("limits")))
    _collect_each(errors, body, "services", _service)
    _collect_each(errors, body, "routes", _route)
    if "tenants" in body.names:
        _collect_each(errors, body, "tenants", _workspace_keys)
    return errors


def _collect(errors: list[str], decode: Callable[[], object]) -> None:
    try:
        decode()
    except MalformedJSONError as error:
        errors.append(str(error))


def _collect_each(
    errors: list[str], body: JSONObject, name: str, decode: Callable[[JSONObject], Any]
) -> None:
    """Collect the errors of all objects of a list."""
    try:
        values = body.items(name)
    except MalformedJSONError as error:
        errors.append(str(error))
        return
    for index, item in enumerate(values):
        _collect(errors, partial(_decode_item, decode, item, body, name, index))


def _decode_item(
    decode: Callable[[JSONObject], Any],
    item: Any,
    body: JSONObject,
    name: str,
    index: int,
) -> None:
    decode(JSONObject(item, body, name, index))


def decode_workspaces(value: bytes) -> tuple[WorkspaceKeys, ...] | None:
    """Return the workspaces of a valid configuration, with the digests of their keys.

    None if it names none.
    """
    body = parse_object(value)
    if "tenants" not in body.names:
        return None
    return tuple(_workspace_keys(item) for item in body.objects("tenants"))


def configuration_version(value: bytes) -> int | None:
    """Return the version of a configuration; None if it is not valid."""
    try:
        return decode_routing_table(value).version
    except MalformedRowError as error:
        logger.error("configuration_unreadable", reason=str(error))
        return None


def _route(item: JSONObject) -> Route:
    timeout_s = _seconds(item, "timeoutMs")
    kind = _route_kind(item.text("kind"))
    return Route(
        name=item.text("name"),
        host=item.text("host").lower(),
        prefix=item.text("prefix"),
        kind=kind,
        timeout_s=timeout_s,
        target_latency_s=_seconds_or(item, "targetLatencyMs", timeout_s),
        priority=item.integer("priority", maximum=PRIORITY_MAX, default=0),
        shares=_shares(item),
        max_attempts=item.integer("maxAttempts", maximum=ATTEMPTS_MAX, default=1),
        resumable=item.flag("resumable", False) and kind == RouteKind.STREAM,
        gap_target_s=_seconds_or(item, "gapTargetMs", None),
        public=item.flag("public", False),
    )


def _seconds(item: JSONObject, name: str) -> float:
    """Return a duration that is stated in milliseconds, in seconds."""
    return item.number(name, maximum=DURATION_MAX_MS) / MILLISECONDS_PER_S


def _seconds_or(item: JSONObject, name: str, default_s: float | None) -> float | None:
    """Return a duration as ``_seconds`` does, or the default if it is not stated."""
    value_ms = item.number(name, maximum=DURATION_MAX_MS, default=None)
    return default_s if value_ms is None else value_ms / MILLISECONDS_PER_S


def _route_kind(text: str) -> RouteKind:
    """Return the route kind; requests of an unknown kind must not be retried."""
    try:
        return RouteKind(text)
    except ValueError:
        return RouteKind.NON_IDEMPOTENT


def _shares(item: JSONObject) -> tuple[ServiceShare, ...]:
    shares = tuple(
        ServiceShare(part.text("service"), float(part.number("weight")))
        for part in item.objects("trafficSplit", [])
    )
    if not shares:
        return (ServiceShare(item.text("service"), 1.0),)
    if not any(share.weight for share in shares):
        path = item.path_of("trafficSplit")
        raise MalformedJSONError(f"{path}: no part has a weight")
    return shares


def _service(item: JSONObject) -> RoutedService:
    engine = item.object("engine", None)
    return RoutedService(
        name=item.text("name"),
        engine=None if engine is None else _engine(engine),
    )


def _engine(item: JSONObject) -> EngineTraits:
    return EngineTraits(
        slots=item.integer("slots", maximum=SLOTS_MAX),
        kv_tokens=item.integer("kvTokens"),
        hold_max_s=_seconds_or(item, "holdMs", 0.0),
        switch_s=item.number("switchS", default=0.0),
        stride=item.integer("stride", minimum=1, default=1),
        handle_ttl_s=item.number("handleTtlS", default=0.0),
    )


def _limits(item: JSONObject) -> EntryLimits:
    return EntryLimits(
        body_max_bytes=item.integer("maxBodyBytes"),
        head_max_bytes=item.integer("maxHeaderBytes", default=HEAD_MAX_BYTES),
        head_timeout_s=_seconds_or(item, "headerTimeoutMs", HEAD_TIMEOUT_S),
        idle_timeout_s=_seconds_or(item, "idleTimeoutMs", IDLE_TIMEOUT_S),
    )


def _workspaces(body: JSONObject) -> WorkspaceTable | None:
    """Return the workspaces; None if the configuration names none.

    An empty list leaves no key in force, but callers need one.
    """
    if "tenants" not in body.names:
        return None
    return WorkspaceTable(_workspace_keys(item) for item in body.objects("tenants"))


def _workspace_keys(item: JSONObject) -> WorkspaceKeys:
    workspace = Workspace(
        name=item.text("name"),
        priority=item.integer("priority", maximum=PRIORITY_MAX, default=None),
        quota=_quota(item),
    )
    digests = tuple(key_digest(key) for key in item.texts("apiKeys"))
    return WorkspaceKeys(workspace, digests)


def _quota(item: JSONObject) -> Quota | None:
    """Return a workspace's quota; None if it has none, as with a rate of 0."""
    rate_per_s = item.number("ratePerS", default=0)
    if not rate_per_s:
        return None
    is_tokens = item.data("unit") == QuotaUnit.TOKENS
    return Quota(
        rate_per_s=float(rate_per_s),
        burst=float(item.number("burst", default=0)),
        unit=QuotaUnit.TOKENS if is_tokens else QuotaUnit.REQUESTS,
        plain_tokens=item.integer("plainTokens", default=0),
    )


def decode_replica(replica_id: str, value: bytes) -> Replica:
    """Return the replica that a row describes; raises MalformedRowError."""
    try:
        return _replica(replica_id, parse_object(value))
    except ValueError as error:
        raise MalformedRowError(str(error)) from error


def _replica(replica_id: str, body: JSONObject) -> Replica:
    """Return a replica; raises ValueError.

    All fields that replicas write must be there, also those that aren't used: a row
    without them is that of another writer.
    """
    body.integer("sequence")
    body.number("coldRemainingMs")
    host, port = split_address(body.text("address"))
    stage = body.text("stage", None)
    return Replica(
        id=replica_id,
        service=body.text("service"),
        host=host,
        port=port,
        data_centre=body.text("zone"),
        slots=body.integer("slots", maximum=SLOTS_MAX),
        state=ReplicaState(body.text("state")),
        started_at_ms=body.integer("born", default=0),
        stage=None if stage is None else Stage(stage),
        version=body.text("version"),
    )
