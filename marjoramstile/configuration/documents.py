"""The shared configuration as frozen data classes, validated when parsed."""

import json
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Annotated, Any, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

_STRICT = ConfigDict(extra="forbid")
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]
Percent = Annotated[float, Field(ge=0, le=100)]
URL = Annotated[str, Field(pattern=r"^http://\d+\.\d+\.\d+\.\d+:\d+$")]
Hash = Annotated[str, Field(pattern="^[0-9a-f]{64}$")]
Count = Annotated[int, Field(gt=0)]
Seconds = Annotated[float, Field(gt=0)]


class EndpointKind(StrEnum):
    """The work that an endpoint serves."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class ServiceClass(StrEnum):
    """Whether a service's answers must meet latency targets or may be late."""

    IN_TIME = "in_time"
    LATE = "late"


@dataclass(frozen=True)
class Endpoint:
    """A process that requests are routed to.

    ``slots`` is its number of concurrent requests, ``pieces`` its KV cache capacity
    in pieces of 2,048 tokens. ``checks_fencing`` is set if it refuses orders with an
    outdated fencing token.
    """

    __pydantic_config__ = _STRICT
    kind: EndpointKind
    url: URL
    data_centre: str
    slots: Count = 20
    pieces: Count = 400
    checks_fencing: bool = True
    leaving: bool = False


@dataclass(frozen=True)
class Pool:
    """Engines of one kind that serve one model."""

    __pydantic_config__ = _STRICT
    kind: EndpointKind
    model: str
    endpoints: tuple[Name, ...]


@dataclass(frozen=True)
class Migration:
    """Share of workspaces that use the new system; the others use ``old``."""

    __pydantic_config__ = _STRICT
    old: Name
    new_percent: Percent


@dataclass(frozen=True)
class LanguageService:
    """A service whose requests are prefilled in one pool and decoded in another."""

    __pydantic_config__ = _STRICT
    model: str
    prefill_pool: Name
    decode_pool: Name
    service_class: ServiceClass = ServiceClass.IN_TIME
    ttft_target_s: Seconds = 0.63
    tbt_target_s: Seconds = 0.067
    late_limit_s: Seconds = 600.0
    policy: Literal["random", "least_load", "reservation"] = "reservation"


@dataclass(frozen=True)
class PlainService:
    """A service whose calls are passed on; some methods may not be repeated."""

    __pydantic_config__ = _STRICT
    endpoints: tuple[Name, ...]
    non_idempotent_methods: tuple[str, ...] = ("POST", "PATCH")
    timeout_s: Seconds = 5.0
    migration: Migration | None = None


@dataclass(frozen=True)
class Workspace:
    """A customer: hashes of its keys, the services it may call, and its share."""

    __pydantic_config__ = _STRICT
    key_hashes: tuple[Hash, ...]
    services: tuple[Name, ...]
    share: Count = 1


@dataclass(frozen=True)
class Limits:
    """Limits that apply on every daemon."""

    __pydantic_config__ = _STRICT
    crash_limit: Count = 3
    retry_percent: Percent = 10.0
    workspace_requests: Count = 64
    queue_length: Count = 256


@dataclass(frozen=True)
class Configuration:
    """Everything that all daemons must agree on."""

    __pydantic_config__ = _STRICT
    endpoints: dict[Name, Endpoint] = field(default_factory=dict)
    pools: dict[Name, Pool] = field(default_factory=dict)
    language_services: dict[Name, LanguageService] = field(default_factory=dict)
    plain_services: dict[Name, PlainService] = field(default_factory=dict)
    workspaces: dict[Name, Workspace] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)

    def to_json(self) -> str:
        """Return the configuration as JSON text."""
        return json.dumps(asdict(self), separators=(",", ":"), sort_keys=True)


_ADAPTER = TypeAdapter(Configuration)


def parse_configuration(document: Any) -> Result[Configuration, list[str]]:
    """Validate a JSON-like document and its references; faults name their path."""
    try:
        configuration = _ADAPTER.validate_python(document)
    except ValidationError as error:
        return Err([describe_fault(fault) for fault in error.errors()])
    faults = reference_faults(configuration)
    return Err(faults) if faults else Ok(configuration)


def reference_faults(configuration: Configuration) -> list[str]:
    """Return the invalid references between items as ``path: message``."""
    return [
        *_pool_faults(configuration),
        *_language_faults(configuration),
        *_plain_faults(configuration),
        *_workspace_faults(configuration),
    ]


def describe_fault(fault: Any) -> str:
    """Return one validation error as ``path: message``."""
    return f"{'.'.join(str(part) for part in fault['loc'])}: {fault['msg']}"


def _pool_faults(configuration: Configuration) -> list[str]:
    faults = []
    for name, pool in configuration.pools.items():
        for endpoint_name in pool.endpoints:
            endpoint = configuration.endpoints.get(endpoint_name)
            path = f"pools.{name}.endpoints"
            if endpoint is None:
                faults.append(f"{path}: unknown endpoint {endpoint_name}")
            elif endpoint.kind != pool.kind:
                faults.append(f"{path}: {endpoint_name} is not {pool.kind}")
    return faults


def _language_faults(configuration: Configuration) -> list[str]:
    faults = []
    for name, service in configuration.language_services.items():
        path = f"language_services.{name}"
        if name in configuration.plain_services:
            faults.append(f"{path}: a plain service has this name")
        uses = (
            ("prefill_pool", service.prefill_pool, EndpointKind.PREFILL),
            ("decode_pool", service.decode_pool, EndpointKind.DECODE),
        )
        for key, pool_name, kind in uses:
            pool = configuration.pools.get(pool_name)
            if pool is None:
                faults.append(f"{path}.{key}: unknown pool {pool_name}")
            elif pool.kind != kind or pool.model != service.model:
                faults.append(f"{path}.{key}: not a {kind} pool of {service.model}")
    return faults


def _plain_faults(configuration: Configuration) -> list[str]:
    faults = []
    for name, service in configuration.plain_services.items():
        names = list(service.endpoints)
        if service.migration is not None:
            names.append(service.migration.old)
        for endpoint_name in names:
            endpoint = configuration.endpoints.get(endpoint_name)
            if endpoint is None or endpoint.kind != EndpointKind.PLAIN:
                faults.append(
                    f"plain_services.{name}: no plain endpoint {endpoint_name}"
                )
    return faults


def _workspace_faults(configuration: Configuration) -> list[str]:
    known = configuration.language_services.keys() | configuration.plain_services
    faults = []
    owner_of_key: dict[str, str] = {}
    for name, workspace in configuration.workspaces.items():
        for service in workspace.services:
            if service not in known:
                faults.append(f"workspaces.{name}.services: unknown {service}")
        for key_hash in workspace.key_hashes:
            other = owner_of_key.setdefault(key_hash, name)
            if other != name:
                faults.append(f"workspaces.{name}.key_hashes: key of {other}")
    return faults
