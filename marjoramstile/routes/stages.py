"""Chooses how many replicas of a language service should prefill.

Without I/O: the split with the highest throughput is chosen if its gain over the
current one is worth a move, and a move is not taken back while the load only waves.
Capacity is counted in speed, not in replicas: answers pools of uneven replicas.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from marjoramstile.pools.decisions import LOCAL_PREFILL_FACTOR
from marjoramstile.pools.statistics import GenerationProfile

# Share of a prefill replica's speed that a decode replica adds by prefilling some
# prompts.
DECODE_PREFILL_SHARE = 0.02
# Smallest ratio of the best throughput to the current one for which replicas are
# moved: a move costs some seconds of a replica's throughput.
GAIN_MIN = 1.12
# Time for which the same move must have been wanted before it is ordered.
IMBALANCE_MIN_S = 1.5
# The same for a move that takes back an earlier one. It exceeds the period of the waves
# of a load (15 s), with which the durations that replicas show go up and down.
REVERSAL_MIN_S = 20.0


@dataclass(frozen=True)
class StageSpeeds:
    """Speeds of a replica in the two stages, relative to the pool's mean."""

    prefill: float = 1.0
    decode: float = 1.0


def decode_rate(profile: GenerationProfile, replicas: float, kv_tokens: int) -> float:
    """Return the generations per second that fill the KV memory of the replicas.

    ``replicas`` is the sum of their speeds: a fast one frees its memory sooner.
    """
    return replicas * kv_tokens / (profile.kv_tokens * profile.decode_s)


def local_prefill_s(profile: GenerationProfile) -> float:
    """Return the time for which prefilling a prompt stalls a decode replica."""
    return LOCAL_PREFILL_FACTOR * profile.prompt_tokens / profile.prefill_tokens_per_s


def prefill_rate(profile: GenerationProfile, replicas: float) -> float:
    """Return the prompts per second that the replicas can prefill.

    ``replicas`` is the sum of their speeds.
    """
    return replicas * profile.prefill_tokens_per_s / profile.prompt_tokens


def wanted_prefill_count(
    profile: GenerationProfile, prefill: int, decode: int, kv_tokens: int
) -> int:
    """Return how many of so many equally fast replicas should prefill."""
    usual = StageSpeeds()
    return wanted_prefill(profile, [usual] * prefill, [usual] * decode, kv_tokens)


def wanted_prefill(
    profile: GenerationProfile,
    prefill: Sequence[StageSpeeds],
    decode: Sequence[StageSpeeds],
    kv_tokens: int,
) -> int:
    """Return how many of the replicas should prefill.

    The current number is kept unless another gains by GAIN_MIN. The fastest replicas
    are taken to move. Without prefill replicas the decode replicas prefill; without
    decode replicas nothing is served.
    """
    if not prefill and not decode:
        return 0
    rates = {
        split.prefill: _throughput(profile, split, kv_tokens)
        for split in _splits(prefill, decode)
    }
    best = max(sorted(rates), key=rates.get)
    current = len(prefill)
    return best if rates[best] >= GAIN_MIN * rates[current] else current


@dataclass(slots=True)
class _Split:
    """Numbers of replicas in the two stages and the sums of their speeds.

    ``local_speed`` is that of the decode replicas in prefilling.
    """

    prefill: int
    decode: int
    prefill_speed: float
    decode_speed: float
    local_speed: float

    def after_move(self, replica: StageSpeeds, to_prefill: int) -> "_Split":
        """Return the split after a replica's move to prefill, or from it if -1."""
        return _Split(
            self.prefill + to_prefill,
            self.decode - to_prefill,
            self.prefill_speed + to_prefill * replica.prefill,
            self.decode_speed - to_prefill * replica.decode,
            self.local_speed - to_prefill * replica.prefill,
        )


def _splits(
    prefill: Sequence[StageSpeeds], decode: Sequence[StageSpeeds]
) -> Iterator[_Split]:
    """Return the present split and those after moves in one direction.

    The fastest replicas move first.
    """
    present = _Split(
        len(prefill),
        len(decode),
        sum(item.prefill for item in prefill),
        sum(item.decode for item in decode),
        sum(item.prefill for item in decode),
    )
    yield present
    split = present
    for replica in sorted(decode, key=lambda item: item.prefill, reverse=True):
        split = split.after_move(replica, 1)
        yield split
    split = present
    for replica in sorted(prefill, key=lambda item: item.decode, reverse=True):
        split = split.after_move(replica, -1)
        yield split


def _throughput(profile: GenerationProfile, split: _Split, kv_tokens: int) -> float:
    """Return the generations per second that a split can serve."""
    if split.decode == 0:
        return 0.0
    decoded = decode_rate(profile, split.decode_speed, kv_tokens)
    if split.prefill == 0:
        return decoded / (1 + local_prefill_s(profile) * decoded / split.local_speed)
    speed = split.prefill_speed + DECODE_PREFILL_SHARE * split.local_speed
    return min(prefill_rate(profile, speed), decoded)


@dataclass
class _Imbalance:
    """A wanted change of the split: its direction, the pool's size, since when."""

    grows: bool
    pool_size: int
    since: float


class MoveDamper:
    """Decides when a wanted change of one service's split is ordered.

    Answers loads that wave: a change must have been wanted for a while, and one that
    takes back the last move for longer than a wave, unless the pool has changed in
    size since.
    """

    def __init__(self):
        self._wanted: _Imbalance | None = None
        self._moved: _Imbalance | None = None

    def is_due(self, change: int, pool_size: int, now: float, min_s: float) -> bool:
        """Return whether a change by so many prefill replicas is to be ordered now.

        It is called periodically; ``min_s`` is for how long it must have been wanted.
        """
        if change == 0:
            self._wanted = None
            return False
        wanted = self._wanted
        if wanted is None or (wanted.grows, wanted.pool_size) != (
            change > 0,
            pool_size,
        ):
            self._wanted = wanted = _Imbalance(change > 0, pool_size, now)
        if self._takes_back_last_move(wanted):
            min_s = max(min_s, REVERSAL_MIN_S)
        return now - wanted.since >= min_s

    def record_move(self, change: int, pool_size: int, now: float) -> None:
        """Record that replicas were ordered to move."""
        self._moved = _Imbalance(change > 0, pool_size, now)

    def _takes_back_last_move(self, wanted: _Imbalance) -> bool:
        moved = self._moved
        return (
            moved is not None
            and moved.pool_size == wanted.pool_size
            and moved.grows != wanted.grows
        )
