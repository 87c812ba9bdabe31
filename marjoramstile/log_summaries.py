"""Log lines for what anybody can cause in any number: one a period for each kind."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from marjoramstile.logs import Logger

PERIOD_S = 1.0
# Length of an error's text in a line; it may quote what was received.
DETAIL_MAX = 200


@dataclass
class _Kind:
    unlogged: int = 0
    next_at: float = 0.0


class EventSummary:
    """Logs an event as a warning, with the occurrences since its last line as count.

    The first occurrence is logged at once. The fields that tell kinds apart must have
    few values.
    """

    def __init__(
        self, logger: Logger, event: str, clock: Callable[[], float] = time.monotonic
    ):
        self._logger = logger
        self._event = event
        self._clock = clock
        self._kinds: dict[tuple, _Kind] = {}

    def count(self, kind: dict[str, str], detail: str = "", **example: Any) -> None:
        """Count an occurrence; a line has the detail and ``example`` of its last."""
        state = self._kinds.setdefault(tuple(kind.values()), _Kind())
        state.unlogged += 1
        now = self._clock()
        if now < state.next_at:
            return
        fields = {**kind, "count": state.unlogged, **example}
        if detail:
            fields["detail"] = detail[:DETAIL_MAX]
        self._logger.warning(self._event, **fields)
        state.unlogged = 0
        state.next_at = now + PERIOD_S
