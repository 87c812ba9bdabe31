"""Eras of the platform's store, as its answers name them (header Store-Era).

The store comes back from an older copy in a new era, which rises by one each time.
Answers may be under way at that moment, and a header may be missing or wrong: a new era
counts once two answers have named it, the second to a call sent after the first
answer; anything else is read as of the last era known.
"""

import asyncio

from marjoramstile.logs import get_logger
from marjoramstile.ports.feeds import ERA_MAX
from marjoramstile.utils import loop_time

HEADER = "Store-Era"
# Era of a store that sends no header.
NO_ERA = 0

logger = get_logger(__name__)


class StoreEras:
    """The store's era, and which answers may be used."""

    def __init__(self):
        self._era: int | None = None
        self._restored_at = float("-inf")
        self._candidate: tuple[int, float] | None = None
        self._reported = ""
        self._ended = asyncio.Event()

    @property
    def current(self) -> int:
        """The last era that counts; NO_ERA before there is one."""
        return NO_ERA if self._era is None else self._era

    @property
    def restored_ago_s(self) -> float:
        """Seconds since this daemon saw the store restored; infinite if it did not."""
        return loop_time() - self._restored_at

    @property
    def ended(self) -> asyncio.Event:
        """Set when the current era ends; each era has its own."""
        return self._ended

    def era_of_answer(self, header: str | None, sent_at: float) -> int | None:
        """Return the era of an answer to a call that was sent at a loop time.

        None if the answer can't be used: it is from before a restore, or the first that
        names a new era.
        """
        era = _parse(header)
        if era is None or era < self.current:
            if sent_at < self._restored_at:
                return None
            if era is not None or header is not None or self._era is not None:
                self._report(header)
            return self.current
        if self._era is None:
            self._era = era
        elif era > self._era:
            return era if self._is_confirmed(era, sent_at) else None
        elif self._candidate is not None and sent_at >= self._candidate[1]:
            self._candidate = None
        return era

    def _is_confirmed(self, era: int, sent_at: float) -> bool:
        """Begin a new era that an earlier answer has named; else note it."""
        if self._candidate is None or self._candidate[0] != era:
            self._candidate = (era, loop_time())
            return False
        if sent_at < self._candidate[1]:
            return False
        logger.warning("store_restored", era=era, former_era=self.current)
        self._era = era
        self._restored_at = loop_time()
        self._candidate = None
        self._ended.set()
        self._ended = asyncio.Event()
        return True

    def _report(self, header: str | None) -> None:
        """Log a header that can't be used, once until it is another one."""
        if self._reported != repr(header):
            self._reported = repr(header)
            logger.warning("store_era_unusable", header=repr(header), era=self.current)


def _parse(header: str | None) -> int | None:
    """Return the era that a header names; None if it names none."""
    if header is None or not (header.isascii() and header.isdecimal()):
        return None
    era = int(header[:20])
    return era if era <= ERA_MAX else None
