"""Reading of settings files."""

from pathlib import Path
from typing import Any

import yaml
from result import Err, Ok, Result

# Far more than any settings file has; a parser of YAML would block for long on more.
SETTINGS_MAX_BYTES = 262_144


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
