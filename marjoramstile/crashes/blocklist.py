"""The contents and parts of prompts that no daemon sends to replicas.

All daemons hold the same list. Of two entries for a key the one with the higher
revision holds. An entry that is lifted stays in the list, so that an older one isn't
taken over again from a daemon that was cut off.
"""

from dataclasses import dataclass, replace

from marjoramstile.logs import get_logger
from marjoramstile.utils import content_fingerprint

ENTRIES_MAX = 256
DIGEST_CHARACTERS = 16
# Times after which one request may show whether a key has become sound, counted from
# the block and from each trial. After the last one only operators lift the block.
TRIAL_DELAYS_S = (15.0, 300.0, 3600.0)
BY_CRASHES = "crashes"
BY_OPERATOR = "operator"

logger = get_logger(__name__)

EntryKey = tuple[str, str]


@dataclass(frozen=True)
class BlockEntry:
    """Whether a service's requests with a key are refused.

    ``crashes`` are the ids of the replicas that crashed, ``since_s`` is the Unix time
    of the block in seconds, ``trials`` the requests let through since.
    """

    service: str
    key: str
    revision: int
    blocked: bool
    trials: int
    since_s: float
    crashes: tuple[str, ...]
    by: str

    @property
    def id(self) -> EntryKey:
        """Service and key."""
        return self.service, self.key

    @property
    def trial_delay_s(self) -> float | None:
        """Time from the last change to the next trial; None if there is none."""
        if self.by == BY_OPERATOR or self.trials >= len(TRIAL_DELAYS_S):
            return None
        return TRIAL_DELAYS_S[self.trials]

    def changed(self, **changes) -> "BlockEntry":
        """Return the next revision of this entry."""
        return replace(self, revision=self.revision + 1, **changes)


@dataclass(frozen=True)
class _Known:
    entry: BlockEntry
    learned_at: float


class Blocklist:
    """Entries by service and key, as this daemon knows them."""

    def __init__(self):
        self._entries: dict[EntryKey, _Known] = {}
        self._digest: str | None = None

    @property
    def is_empty(self) -> bool:
        """Whether nothing is blocked, and nothing was."""
        return not self._entries

    @property
    def entries(self) -> tuple[BlockEntry, ...]:
        """All entries, lifted ones included."""
        return tuple(known.entry for known in self._entries.values())

    @property
    def digest(self) -> str:
        """A digest of all entries, equal on daemons that hold the same ones."""
        if self._digest is None:
            parts = sorted(repr(entry) for entry in self.entries)
            self._digest = content_fingerprint(*parts)[:DIGEST_CHARACTERS]
        return self._digest

    def find(self, service: str, key: str) -> BlockEntry | None:
        """Return the entry of a key, also a lifted one."""
        known = self._entries.get((service, key))
        return None if known is None else known.entry

    def blocking(self, service: str, keys: tuple[str, ...]) -> list[BlockEntry]:
        """Return the entries that block requests with these keys."""
        found = (self._entries.get((service, key)) for key in keys)
        return [known.entry for known in found if known and known.entry.blocked]

    def blocked_keys(self, service: str) -> set[str]:
        """Return the blocked keys of a service."""
        return {
            entry.key
            for entry in self.entries
            if entry.blocked and entry.service == service
        }

    def trial_wait_s(self, entry: BlockEntry, now: float) -> float | None:
        """Return the time until a trial, 0 if it is due; None if there is none."""
        delay_s = entry.trial_delay_s
        known = self._entries.get(entry.id)
        if delay_s is None or known is None:
            return None
        return max(0.0, known.learned_at + delay_s - now)

    def merge(self, entry: BlockEntry, now: float) -> bool:
        """Take over an entry unless a newer one is known; return whether it is new."""
        known = self._entries.get(entry.id)
        if known is not None and _order(known.entry) >= _order(entry):
            return False
        if known is None and not self._make_room():
            logger.error("blocklist_full", service=entry.service, key=entry.key)
            return False
        self._entries[entry.id] = _Known(entry, now)
        self._digest = None
        logger.warning(
            "block_changed",
            service=entry.service,
            key=entry.key,
            blocked=entry.blocked,
            by=entry.by,
            crashes=" ".join(entry.crashes),
            trials=entry.trials,
            revision=entry.revision,
        )
        return True

    def _make_room(self) -> bool:
        """Drop the oldest lifted entry if the list is full; return whether it fits."""
        if len(self._entries) < ENTRIES_MAX:
            return True
        lifted = [known.entry for known in self._entries.values()]
        lifted = [entry for entry in lifted if not entry.blocked]
        if lifted:
            del self._entries[min(lifted, key=lambda entry: entry.since_s).id]
        return bool(lifted)


def _order(entry: BlockEntry) -> tuple[int, bool, int, str]:
    """Return the key by which the newer of two entries is found, the same anywhere."""
    return entry.revision, not entry.blocked, entry.trials, repr(entry)
