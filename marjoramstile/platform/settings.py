"""Translates the platform's settings file into the routing daemon's settings."""

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from marjoramstile.descriptors import process_descriptors
from marjoramstile.quotas.windows import (
    DEFAULT_OVERAGE,
    DEFAULT_SLACK,
    DEFAULT_WINDOW_S,
    QuotaBounds,
)
from marjoramstile.routes.budget import BudgetLimits
from marjoramstile.routes.settings import (
    Address,
    RouterBounds,
    RouterListeners,
    RouterSettings,
)
from marjoramstile.settings_files import parse_document, read_settings
from marjoramstile.utils import MILLISECONDS_PER_S

SETTINGS_VARIABLE = "MARJORAMSTILE_CONFIG"
DEFAULT_HEARTBEAT_MS = 1200
DEFAULT_LEASE_MS = 3000
DEFAULT_ADDRESS_TTL_S = 1.0
DEFAULT_MEMORY_MB = 128
# Windows of quotas that can be kept: messages between daemons must be much faster, and
# the longest one is that of a day.
QUOTA_WINDOW_MIN_S = 0.5
QUOTA_WINDOW_MAX_S = 86_400.0
NUMBER_MAX = 1e15
BYTES_PER_MB = 1_048_576
# Optional listener of the completions front; not one of the platform's own fields.
COMPLETIONS_LISTENER = "completions"


@dataclass(frozen=True)
class FieldError(Exception):
    """A field of the settings file is missing or invalid."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def settings_path() -> str:
    """Return the path of the platform's settings file; empty if it is not set."""
    return os.environ.get(SETTINGS_VARIABLE, "")


def load_platform_settings(
    filename: str | Path,
) -> Result[RouterSettings, FieldError]:
    """Load and check the platform's settings file; unknown fields are ignored."""
    document = read_settings(filename).and_then(parse_document)
    if document.is_err():
        return Err(FieldError("(file)", document.unwrap_err()))
    try:
        return Ok(_translate(_Section("", document.unwrap())))
    except FieldError as error:
        return Err(error)


class _Section:
    """A mapping of the file; its errors give the full path of the field."""

    def __init__(self, path: str, values: Any):
        if not isinstance(values, Mapping):
            raise FieldError(path or "(file)", "must be a mapping")
        self._path = path
        self._values = values

    def get(self, name: str, convert: Callable[[Any], Any], default: Any = None) -> Any:
        """Return a converted field; raises FieldError if it is missing or invalid."""
        path = f"{self._path}.{name}" if self._path else name
        value = self._values.get(name, default)
        if value is None:
            raise FieldError(path, "is missing")
        try:
            return convert(value)
        except (TypeError, ValueError, LookupError, OverflowError) as error:
            raise FieldError(path, str(error)) from error

    def has(self, name: str) -> bool:
        """Return whether the field is present."""
        return name in self._values

    def section(self, name: str) -> "_Section":
        """Return a nested mapping."""
        path = f"{self._path}.{name}" if self._path else name
        return _Section(path, self._values.get(name))


def _translate(document: _Section) -> RouterSettings:
    ip = document.get("ip", str)
    return RouterSettings(
        vm=document.get("nodeName", str),
        ip=ip,
        data_centre=document.get("zone", str),
        region=document.get("region", str),
        listeners=_listeners(document, ip),
        store=document.section("platform").get("address", _address),
        bounds=_bounds(document),
        memory_bytes=_memory_bytes(document),
        descriptors=_descriptors(document),
        hedge_max_share=_hedge_max_share(document),
    )


def _hedge_max_share(document: _Section) -> float:
    """Return the share of requests that may be hedged; without one, none are."""
    if not document.has("hedging"):
        return 0.0
    return document.section("hedging").get("maxShare", _share, 0.0)


def _share(value: Any) -> float:
    if isinstance(value, bool):
        raise ValueError("must be a number")
    share = float(value)
    if not 0.0 <= share <= 1.0:
        raise ValueError("must be from 0 to 1")
    return share


def _memory_bytes(document: _Section) -> int:
    """Return the memory of the process; by default that of the smallest VM."""
    if not document.has("limits"):
        return DEFAULT_MEMORY_MB * BYTES_PER_MB
    limits = document.section("limits")
    return limits.get("memoryMb", _bytes, DEFAULT_MEMORY_MB)


def _descriptors(document: _Section) -> int:
    """Return the descriptors of the process; the system's limit holds in any case."""
    limit = process_descriptors()
    if not document.has("limits"):
        return limit
    return min(
        limit, document.section("limits").get("maxFds", _descriptor_count, limit)
    )


def _descriptor_count(value: Any) -> int:
    count = int(value)
    if count <= 0:
        raise ValueError("must be positive")
    return count


def _listeners(document: _Section, ip: str) -> RouterListeners:
    listen = document.section("listen")
    return RouterListeners(
        front=listen.get("front", _address),
        ready=listen.get("readyAddress", _address),
        addresses=listen.get("directory", _address),
        peers=document.get("internalPorts", lambda ports: Address(ip, int(ports[0]))),
        metrics=document.get("internalPorts", lambda ports: Address(ip, int(ports[1]))),
        completions=(
            listen.get(COMPLETIONS_LISTENER, _address)
            if listen.has(COMPLETIONS_LISTENER)
            else None
        ),
    )


def _bounds(document: _Section) -> RouterBounds:
    bounds = document.section("bounds")
    return RouterBounds(
        grace_s=bounds.get("graceS", float),
        address_ttl_max_s=bounds.get("ttl_max_s", float, DEFAULT_ADDRESS_TTL_S),
        lease_s=bounds.get("leaseMs", _seconds, DEFAULT_LEASE_MS),
        heartbeat_s=document.get("heartbeatMs", _seconds, DEFAULT_HEARTBEAT_MS),
        retries=BudgetLimits(
            ratio=bounds.get("retryBudgetRatio", float),
            window_s=bounds.get("budgetWindowS", float),
            slack=bounds.get("budgetSlack", float),
        ),
        quotas=QuotaBounds(
            window_s=bounds.get("quotaWindowS", _quota_window_s, DEFAULT_WINDOW_S),
            overage=bounds.get("quotaOverage", _at_least_0, DEFAULT_OVERAGE),
            slack=bounds.get("quotaSlack", _at_least_0, DEFAULT_SLACK),
        ),
    )


def _quota_window_s(value: Any) -> float:
    """Return a window; one that can't be used is that by default."""
    window_s = float(value)
    if not 0 < window_s <= QUOTA_WINDOW_MAX_S:
        return DEFAULT_WINDOW_S
    return max(window_s, QUOTA_WINDOW_MIN_S)


def _at_least_0(value: Any) -> float:
    """Return a bound that can be used: negative ones and no numbers allow nothing."""
    return min(float(value), NUMBER_MAX) if float(value) > 0 else 0.0


def _bytes(megabytes: Any) -> int:
    return int(float(megabytes) * BYTES_PER_MB)


def _seconds(milliseconds: Any) -> float:
    return float(milliseconds) / MILLISECONDS_PER_S


def _address(text: Any) -> Address:
    host, _, port = str(text).rpartition(":")
    return Address(host, int(port))
