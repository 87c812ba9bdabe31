"""Decides from crashes which content or part of a prompt crashes a service's replicas.

A crash counts against the keys of the requests that had been sent to the replica and
had not begun to answer. It no longer does once a request with that key, sent after the
crash, has begun elsewhere. Crashes at the same moment count once against a part, as
each request runs on one replica; so do crashes under the same content, which are
counted against the content. All of this is pure; times are those of the event loop.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from marjoramstile.crashes.keys import RequestKeys, is_part

# Crashes after which a content is blocked.
CONTENT_CRASHES = 3
# Moments with crashes after which a part is blocked that few requests have. One more is
# needed for each of these counts of recent begins that the part has, and one while no
# request of the service begins at all, unless there were enough before to know that
# none of them had the part.
PART_MOMENTS = 2
POPULAR_BEGINS = (5, 50)
BEGINS_COMPARED = 20
# Different contents that must have crashed replicas before a part is blocked.
PART_CONTENTS = 2
# Crashes within this time count as one moment.
MOMENT_S = 0.3
CRASHES_KEPT = 512
REQUESTS_PER_CRASH = 32
RETENTION_S = 1800.0


@dataclass(frozen=True)
class Suspect:
    """A key, and the crashes that count against it.

    ``replicas`` are the ids of the crashed ones in the order of their crashes,
    ``depth`` is the key's place in its requests, which grows from shared parts to the
    whole content.
    """

    key: str
    replicas: tuple[str, ...]
    first_at: float
    moments: int
    contents: int
    depth: int

    @property
    def is_blockable(self) -> bool:
        """Whether there are enough crashes for a key that few requests have."""
        if is_part(self.key):
            return self.moments >= PART_MOMENTS and self.contents >= PART_CONTENTS
        return len(self.replicas) >= CONTENT_CRASHES


@dataclass(frozen=True)
class Begins:
    """Requests that began to be answered.

    ``recent`` counts those of the last minutes, ``last_sent_at`` is the time at which
    the last one was sent.
    """

    recent: int = 0
    last_sent_at: float = -math.inf

    def plus(self, other: "Begins") -> "Begins":
        """Return the sum of two daemons' counts."""
        last_sent_at = max(self.last_sent_at, other.last_sent_at)
        return Begins(self.recent + other.recent, last_sent_at)


NO_BEGINS = Begins()


@dataclass
class _Crash:
    replica: str
    at: float
    requests: dict[str, RequestKeys] = field(default_factory=dict)

    def has_any(self, keys: set[str]) -> bool:
        return any(keys.intersection(item.parts) for item in self.requests.values())


class CrashEvidence:
    """Crashes of one service's replicas, by incarnation."""

    def __init__(self):
        self._crashes: dict[tuple[str, int], _Crash] = {}
        self._begun_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of crashes."""
        return len(self._crashes)

    def add(
        self, incarnation: tuple[str, int], request: RequestKeys, at: float
    ) -> bool:
        """Add a request that a crashed incarnation had; return whether it is new."""
        crash = self._crashes.setdefault(incarnation, _Crash(incarnation[0], at))
        full = len(crash.requests) >= REQUESTS_PER_CRASH
        if request.content in crash.requests or full:
            return False
        crash.requests[request.content] = request
        while len(self._crashes) > CRASHES_KEPT:
            del self._crashes[next(iter(self._crashes))]
        return True

    def record_begin(self, key: str, sent_at: float) -> None:
        """Record that a request with a key, sent at ``sent_at``, has begun."""
        self._begun_at[key] = max(sent_at, self._begun_at.get(key, -math.inf))

    def expire(self, now: float) -> None:
        """Drop crashes that are too old, and begins without any crash before them."""
        self._crashes = {
            incarnation: crash
            for incarnation, crash in self._crashes.items()
            if now - crash.at < RETENTION_S
        }
        self._begun_at = {
            key: at for key, at in self._begun_at.items() if now - at < RETENTION_S
        }

    def explains(self, key: str, other: str) -> bool:
        """Return whether all requests with ``other`` under crashes also had ``key``."""
        requests = [
            request
            for crash in self._crashes.values()
            for request in crash.requests.values()
            if other in request.all
        ]
        return bool(requests) and all(key in request.all for request in requests)

    def suspects(self, blocked: set[str]) -> list[Suspect]:
        """Return the keys with enough crashes to ask whether they are sound.

        Crashes under a part that is blocked already are explained by it.
        """
        crashes: dict[str, dict[str, _Crash]] = defaultdict(dict)
        contents: dict[str, set[str]] = defaultdict(set)
        depths: dict[str, int] = defaultdict(int)
        for crash in self._crashes.values():
            if crash.has_any(blocked):
                continue
            for request in crash.requests.values():
                for depth, key in enumerate(request.all):
                    if crash.at > self._begun_at.get(key, -math.inf):
                        crashes[key][f"{crash.replica}/{crash.at}"] = crash
                        contents[key].add(request.content)
                        depths[key] = max(depths[key], depth)
        found = (
            _suspect(key, list(items.values()), len(contents[key]), depths[key])
            for key, items in crashes.items()
            if key not in blocked
        )
        return [suspect for suspect in found if suspect.is_blockable]


def _suspect(key: str, crashes: list[_Crash], contents: int, depth: int) -> Suspect:
    crashes = sorted(crashes, key=lambda crash: crash.at)
    times = [crash.at for crash in crashes]
    return Suspect(
        key=key,
        replicas=tuple(crash.replica for crash in crashes),
        first_at=times[0],
        moments=_moments(times),
        contents=contents,
        depth=depth,
    )


def _moments(times: Iterable[float]) -> int:
    """Return how many moments sorted times form."""
    count = 0
    begins_at = -math.inf
    for at in times:
        if at > begins_at + MOMENT_S:
            count += 1
            begins_at = at
    return count


def choose_suspect(
    suspects: Iterable[Suspect], begins: Mapping[str, Begins], service_begins: Begins
) -> Suspect | None:
    """Return the key to block; None if there is none.

    It is the one that explains most crashes, less if requests with it began before
    them; of equal ones it is the most specific. None of the suspects has begun since
    its first crash. ``begins`` are those of all daemons by key, ``service_begins``
    those of all requests of the service.
    """
    guilty = [
        suspect
        for suspect in suspects
        if suspect.moments
        >= _needed(suspect, begins.get(suspect.key, NO_BEGINS), service_begins)
    ]
    return max(
        guilty,
        key=lambda suspect: (
            suspect.moments - _popularity(begins.get(suspect.key, NO_BEGINS)),
            suspect.depth,
        ),
        default=None,
    )


def _popularity(begins: Begins) -> int:
    return sum(begins.recent >= count for count in (1, *POPULAR_BEGINS))


def _needed(suspect: Suspect, begins: Begins, service_begins: Begins) -> int:
    """Return the moments with crashes after which a key is blocked."""
    if not is_part(suspect.key):
        return 1
    needed = PART_MOMENTS + sum(begins.recent >= count for count in POPULAR_BEGINS)
    is_rare = begins.recent == 0 and service_begins.recent >= BEGINS_COMPARED
    if not is_rare and service_begins.last_sent_at < suspect.first_at:
        needed += 1
    return needed
