"""Translates the platform's settings file into the routing daemon's settings."""

import os
from pathlib import Path
from typing import Any

import yaml
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from marjoramstile.routes.budget import BudgetLimits
from marjoramstile.routes.settings import (
    RouterBounds,
    RouterListeners,
    RouterSettings,
)
from marjoramstile.settings import Address, SettingsError

DEFAULT_LEASE_MS = 3000
DEFAULT_HEARTBEAT_MS = 1000
MILLISECONDS_PER_S = 1000
SETTINGS_VARIABLE = "MARJORAMSTILE_CONFIG"
_SETTINGS_TYPE = TypeAdapter(RouterSettings)


def settings_path() -> str:
    """Return the path of the settings file that the platform has placed."""
    return os.environ.get(SETTINGS_VARIABLE, "")


def load_platform_settings(
    filename: str | Path,
) -> Result[RouterSettings, list[SettingsError]]:
    """Load and check the platform's settings file."""
    try:
        document = yaml.safe_load(Path(filename).read_text())
        settings = _translate(document)
        return Ok(_SETTINGS_TYPE.validate_python(settings))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return Err([SettingsError(str(filename), 0, str(error))])
    except ValidationError as error:
        return Err(
            [
                SettingsError(".".join(map(str, fault["loc"])), 0, fault["msg"])
                for fault in error.errors()
            ]
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        message = f"missing or malformed field: {error!r}"
        return Err([SettingsError("(file)", 0, message)])


def _translate(document: dict[str, Any]) -> RouterSettings:
    listen = document["listen"]
    bounds = document["bounds"]
    first_port, last_port = document["internalPorts"][:2]
    ip = document["ip"]
    return RouterSettings(
        vm=document["nodeName"],
        ip=ip,
        data_centre=document["zone"],
        region=document["region"],
        listeners=RouterListeners(
            front=_address(listen["front"]),
            ready=_address(listen["readyAddress"]),
            addresses=_address(listen["directory"]),
            peers=Address(ip, int(first_port)),
            metrics=Address(ip, int(last_port)),
        ),
        store=_address(document["platform"]["address"]),
        bounds=RouterBounds(
            grace_s=float(bounds["graceS"]),
            address_ttl_max_s=float(bounds.get("ttl_max_s", 1.0)),
            lease_s=bounds.get("leaseMs", DEFAULT_LEASE_MS) / MILLISECONDS_PER_S,
            heartbeat_s=document.get("heartbeatMs", DEFAULT_HEARTBEAT_MS)
            / MILLISECONDS_PER_S,
            retries=BudgetLimits(
                ratio=float(bounds["retryBudgetRatio"]),
                window_s=float(bounds["budgetWindowS"]),
                slack=float(bounds["budgetSlack"]),
            ),
        ),
    )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
