"""Settings of one daemon: defaults, and loading and validation of the YAML file.

What all daemons share (services, pools, workspaces, limits) is part of the
configuration instead, which the platform's table service stores.
"""

import ipaddress
from copy import deepcopy
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import yaml
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.functional_validators import AfterValidator
from result import Err, Ok, Result

from marjoramstile.settings_files import read_settings

DEFAULT_CONFIG: dict[str, Any] = {
    "platform": {"timeout_s": 1.0, "list_period_s": 1.0},
    "limits": {
        "body_max_bytes": 1_048_576,
        "body_timeout_s": 10.0,
        "bodies_max_bytes": 16_777_216,
        "frame_max_bytes": 4_194_304,
    },
    "timing": {
        "address_ttl_s": 5.0,
        "leave_margin_s": 1.0,
        "drain_limit_s": 600.0,
        "probe_period_s": 1.0,
        "probe_timeout_s": 0.5,
        "suspicion_s": 3.0,
        "poll_period_s": 1.0,
    },
    "log_level": "info",
}


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


IPAddress = Annotated[str, AfterValidator(_check_ip)]
Port = Annotated[int, Field(ge=1, le=65535)]
Seconds = Annotated[float, Field(gt=0)]
Hash = Annotated[str, Field(pattern="^[0-9a-f]{64}$")]
_STRICT = ConfigDict(extra="forbid")


@dataclass(frozen=True)
class Address:
    """An IP address and a TCP port."""

    __pydantic_config__ = _STRICT
    host: IPAddress
    port: Port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class NodeSettings:
    """Name and location of the VM that this daemon runs on."""

    __pydantic_config__ = _STRICT
    name: Annotated[str, Field(min_length=1, max_length=64)]
    data_centre: str
    region: str


@dataclass(frozen=True)
class ListenerSettings:
    """Addresses that callers, operators and peers connect to."""

    __pydantic_config__ = _STRICT
    callers: Address
    operators: Address
    peers: Address


@dataclass(frozen=True)
class PlatformSettings:
    """URL and timeout of the platform's service, and how often its VM list is read."""

    __pydantic_config__ = _STRICT
    url: Annotated[str, Field(pattern="^https?://")]
    timeout_s: Seconds
    list_period_s: Seconds


@dataclass(frozen=True)
class LimitSettings:
    """Limits on the size and duration of what a connection sends."""

    __pydantic_config__ = _STRICT
    body_max_bytes: Annotated[int, Field(gt=0)]
    body_timeout_s: Seconds
    bodies_max_bytes: Annotated[int, Field(gt=0)]
    frame_max_bytes: Annotated[int, Field(gt=0)]


@dataclass(frozen=True)
class TimingSettings:
    """Periods and time limits of the daemon's own work, in seconds."""

    __pydantic_config__ = _STRICT
    address_ttl_s: Seconds
    leave_margin_s: Seconds
    drain_limit_s: Seconds
    probe_period_s: Seconds
    probe_timeout_s: Seconds
    suspicion_s: Seconds
    poll_period_s: Seconds


@dataclass(frozen=True)
class Settings:
    """All settings of one daemon."""

    __pydantic_config__ = _STRICT
    node: NodeSettings
    listeners: ListenerSettings
    platform: PlatformSettings
    limits: LimitSettings
    timing: TimingSettings
    operator_token_hashes: Annotated[tuple[Hash, ...], Field(min_length=1)]
    log_level: Literal["debug", "info", "warning", "error"]


@dataclass(frozen=True)
class SettingsError:
    """An error in a settings file: the key's path and its line (0 if unknown)."""

    path: str
    line: int
    message: str

    def __str__(self) -> str:
        where = f"line {self.line}: " if self.line else ""
        return f"{where}{self.path}: {self.message}"


def describe_errors(errors: list[SettingsError]) -> str:
    """Return all errors in one line."""
    return "; ".join(map(str, errors))


def load_settings(filename: str | Path) -> Result[Settings, list[SettingsError]]:
    """Load the settings file, add missing keys from DEFAULT_CONFIG and validate it."""
    text = read_settings(filename)
    if text.is_err():
        return Err([SettingsError(str(filename), 0, text.unwrap_err())])
    return parse_settings(text.unwrap())


def parse_settings(text: str) -> Result[Settings, list[SettingsError]]:
    """Validate settings given as YAML text."""
    return parse_yaml(text, TypeAdapter(Settings), DEFAULT_CONFIG)


def parse_yaml(
    text: str, adapter: TypeAdapter, defaults: dict[str, Any]
) -> Result[Any, list[SettingsError]]:
    """Validate YAML ``text`` merged into ``defaults``; errors name the key and line."""
    try:
        document = yaml.safe_load(text)
        tree = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        problem = getattr(error, "problem", None) or str(error)
        return Err([SettingsError("(file)", line, problem)])
    except Exception as error:
        # Too deep, or a tag or number without a value of its type.
        return Err([SettingsError("(file)", 0, str(error) or type(error).__name__)])
    if not isinstance(document, dict):
        return Err([SettingsError("(file)", 1, "must be a mapping")])
    try:
        return Ok(adapter.validate_python(_merge(defaults, document)))
    except ValidationError as error:
        return Err([_to_settings_error(fault, tree) for fault in error.errors()])


def _merge(defaults: dict[str, Any], document: dict[str, Any]) -> dict[str, Any]:
    merged = deepcopy(defaults)
    for key, value in document.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = _merge(merged[key], value)
        else:
            merged[key] = value
    return merged


def _to_settings_error(fault: Any, tree: yaml.Node) -> SettingsError:
    path = ".".join(str(part) for part in fault["loc"]) or "(file)"
    return SettingsError(path, _line_of(fault["loc"], tree), fault["msg"])


def _line_of(location: tuple[Any, ...], node: yaml.Node) -> int:
    """Return the line of the deepest part of ``location`` found in the file."""
    line = node.start_mark.line + 1
    for part in location:
        child = _child(node, part)
        if child is None:
            return line
        key_mark, node = child
        line = key_mark.line + 1
    return line


def _child(node: yaml.Node, part: Any) -> tuple[yaml.Mark, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(part):
                return key.start_mark, value
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        value = node.value[part]
        return value.start_mark, value
    return None
