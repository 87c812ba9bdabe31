"""SIGHUP: checks a changed settings file and logs the outcome."""

import asyncio
from collections.abc import Callable
from typing import Any

from result import Result

from marjoramstile.logs import get_logger
from marjoramstile.utils import loop_time

# Shortest time between two checks, which hold up the loop; signals in it are one.
CHECK_PERIOD_S = 0.5

logger = get_logger(__name__)


class SettingsChecker:
    """Logs whether the settings file is valid; changed values are not applied."""

    def __init__(
        self,
        load: Callable[[], Result],
        count_failure: Callable[[], None],
        describe: Callable[[Any], str] = str,
    ):
        self._load = load
        self._count_failure = count_failure
        self._describe = describe
        self._next_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """Check the file now, or as soon as the last check is long enough ago."""
        if self._timer is None:
            at = max(loop_time(), self._next_at)
            self._timer = asyncio.get_running_loop().call_at(at, self._check)

    def _check(self) -> None:
        self._timer = None
        self._next_at = loop_time() + CHECK_PERIOD_S
        loaded = self._load()
        if loaded.is_ok():
            logger.info("settings_reloaded", valid=True)
            return
        reason = self._describe(loaded.unwrap_err())
        logger.warning("settings_reloaded", valid=False, reason=reason)
        self._count_failure()
