"""Reading of settings files, which may be missing or half written for a moment."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import yaml
from result import Err, Ok, Result

from marjoramstile.logs import get_logger

# Far more than any settings file has; a parser of YAML would block for long on more.
SETTINGS_MAX_BYTES = 262_144
# How long a starting daemon waits for valid settings.
SETTINGS_WAIT_S = 4.0
SETTINGS_RETRY_S = 0.1

logger = get_logger(__name__)


def read_settings(filename: str | Path) -> Result[str, str]:
    """Return the text of a settings file, or why it can't be read."""
    try:
        with Path(filename).open("rb") as file:
            data = file.read(SETTINGS_MAX_BYTES + 1)
        text = data.decode()
    except (OSError, ValueError) as error:
        return Err(str(error))
    if len(data) > SETTINGS_MAX_BYTES:
        return Err(f"is longer than {SETTINGS_MAX_BYTES} bytes")
    return Ok(text)


def parse_document(text: str) -> Result[Any, str]:
    """Return the content of YAML text, or why it has none."""
    try:
        return Ok(yaml.safe_load(text))
    except Exception as error:
        # Besides YAMLError: too deep, or a tag or number without a value of its type.
        return Err(str(error) or type(error).__name__)


def wait_for_settings(
    load: Callable[[], Result], describe: Callable[[Any], str] = str
) -> Result:
    """Return valid settings, or the last error after SETTINGS_WAIT_S.

    The event loop doesn't run yet; signals are handled meanwhile.
    """
    give_up_at = time.monotonic() + SETTINGS_WAIT_S
    loaded = load()
    if loaded.is_err():
        reason = describe(loaded.unwrap_err())
        logger.warning("settings_waited_for", reason=reason, limit_s=SETTINGS_WAIT_S)
    while loaded.is_err() and time.monotonic() < give_up_at:
        time.sleep(SETTINGS_RETRY_S)
        loaded = load()
    if loaded.is_err():
        logger.error("settings_invalid", reason=describe(loaded.unwrap_err()))
    return loaded
