"""Decodes rows of the platform's store: routing configuration and replicas."""

import json
from typing import Any

from marjoramstile.logs import get_logger
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.table import (
    EngineTraits,
    EntryLimits,
    Route,
    RoutedService,
    RouteKind,
    RoutingTable,
    ServiceShare,
)
from marjoramstile.utils import MILLISECONDS_PER_S

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
REPLICAS_TABLE = "servers"

logger = get_logger(__name__)

_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


class MalformedRowError(Exception):
    """A row's value is not valid for its table."""


def decode_routing_table(value: bytes) -> RoutingTable:
    """Return a row's routing table; raises MalformedRowError."""
    try:
        body = json.loads(value)
        return RoutingTable(
            version=int(body["version"]),
            routes=tuple(_route(item) for item in body["routes"]),
            services={item["name"]: _service(item) for item in body["services"]},
            limits=_limits(body["limits"]),
        )
    except _DECODE_ERRORS as error:
        raise MalformedRowError(repr(error)) from error


def configuration_version(value: bytes) -> int | None:
    """Return the version of a configuration; None if it is not valid."""
    try:
        return decode_routing_table(value).version
    except MalformedRowError as error:
        logger.error("configuration_unreadable", reason=str(error))
        return None


def _route(item: dict[str, Any]) -> Route:
    gap_ms = item.get("gapTargetMs")
    return Route(
        name=item["name"],
        host=item["host"].lower(),
        prefix=item["prefix"],
        kind=_route_kind(item["kind"]),
        timeout_s=_seconds(item["timeoutMs"]),
        target_latency_s=_seconds(item.get("targetLatencyMs", item["timeoutMs"])),
        priority=int(item.get("priority", 0)),
        shares=_shares(item),
        max_attempts=int(item.get("maxAttempts", 1)),
        resumable=bool(item.get("resumable", False)),
        gap_target_s=None if gap_ms is None else _seconds(gap_ms),
    )


def _seconds(milliseconds: float) -> float:
    return milliseconds / MILLISECONDS_PER_S


def _route_kind(text: str) -> RouteKind:
    """Return the route kind; requests of an unknown kind must not be retried."""
    try:
        return RouteKind(text)
    except ValueError:
        return RouteKind.NON_IDEMPOTENT


def _shares(item: dict[str, Any]) -> tuple[ServiceShare, ...]:
    if item.get("trafficSplit"):
        return tuple(
            ServiceShare(part["service"], float(part["weight"]))
            for part in item["trafficSplit"]
        )
    return (ServiceShare(item["service"], 1.0),)


def _service(item: dict[str, Any]) -> RoutedService:
    engine = item.get("engine")
    return RoutedService(
        name=item["name"],
        engine=_engine(engine) if engine else None,
    )


def _engine(item: dict[str, Any]) -> EngineTraits:
    return EngineTraits(
        slots=int(item["slots"]),
        kv_tokens=int(item["kvTokens"]),
        hold_max_s=_seconds(item.get("holdMs", 0.0)),
        switch_s=float(item.get("switchS", 0.0)),
        stride=int(item.get("stride", 1)),
    )


def _limits(item: dict[str, Any]) -> EntryLimits:
    return EntryLimits(
        body_max_bytes=int(item["maxBodyBytes"]),
    )


def decode_replica(replica_id: str, value: bytes) -> Replica:
    """Return the replica that a row describes; raises MalformedRowError."""
    try:
        body = json.loads(value)
        host, _, port = body["address"].rpartition(":")
        stage = body.get("stage")
        born = body.get("born", 0)
        if not isinstance(born, int) or not isinstance(body["service"], str):
            raise TypeError("born is not an integer or service not a string")
        return Replica(
            id=replica_id,
            service=body["service"],
            host=host,
            port=int(port),
            data_centre=str(body["zone"]),
            slots=int(body["slots"]),
            state=ReplicaState(body["state"]),
            started_at_ms=born,
            stage=Stage(stage) if stage else None,
            version=_version(body.get("version")),
        )
    except _DECODE_ERRORS as error:
        raise MalformedRowError(repr(error)) from error


def _version(value: object) -> str:
    """Return the version of a replica's software, empty if it is no text."""
    return value if isinstance(value, str) else ""
