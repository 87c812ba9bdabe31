"""Pure functions that decide where a generation runs and when there is room for it.

Designed for bursts that need more decode memory or more prefill than the pool has.
"""

import bisect
import math
from dataclasses import dataclass
from functools import cached_property

from marjoramstile.pools.memory import Generation, GenerationGroup
from marjoramstile.pools.messages import PlacementRequest, Urgency

# Fraction of the decode replicas on which late requests leave capacity for others.
# Those that name a limit don't count, as permits run out there before memory.
LATE_RESERVE_FRACTION = 0.1
# A prompt is sent to a prefill replica only if that can start it within this time.
PREFILL_LOOKAHEAD_S = 0.12
# Beyond this wait for a prefill replica, decode replicas prefill prompts themselves.
PREFILL_WAIT_MAX_S = 0.4
# Fraction of a replica's memory that leases may fill: each generation's memory is
# rounded up to whole blocks.
MEMORY_LIMIT_FRACTION = 0.97
# Standard deviations by which all outputs together may exceed the expected length.
PEAK_DEVIATIONS = 2.0
# Bonus of a replica in the requesting daemon's data centre when decode replicas are
# ranked by free memory, as a fraction of a replica's memory.
LOCALITY_BONUS = 0.05
# Bonus of a replica that decodes infinitely faster than the mean one, in the same unit;
# a replica of half the mean speed has as much of a malus. Memory dominates: fast
# replicas may be fuller by at most twice this.
SPEED_BONUS = 0.2
# Free fraction of the memory below which the bonus shrinks, to 0 at none: what is
# nearly full refuses or preempts whatever its speed.
PRESSURE_FRACTION = 0.5
# What a prefill replica in another data centre than the decode replica counts as
# longer, if replicas differ in speed: the KV cache crosses a slower link.
REMOTE_PREFILL_S = 0.03
# A decode replica prefills at half the speed of a prefill replica.
LOCAL_PREFILL_FACTOR = 2.0


@dataclass(frozen=True)
class DecodeSnapshot:
    """Snapshot of a decode replica: its memory, in tokens, and leased generations.

    ``free_tokens`` is what the leases leave free, averaged over their duration.
    ``spread`` is the standard deviation of an output's length relative to its
    expected length.

    ``suspect`` replicas have failed recently and are chosen last. ``prefilling`` ones
    prefill a prompt themselves, which slows down their decoding. ``in_backoff`` ones
    have recently refused a reservation or not answered. ``version`` is that of the
    replica's software; ``limited`` ones name a limit on requests. ``speed`` is that of
    decoding and ``prefill_speed`` that of prefilling, both relative to the pool.
    """

    replica_id: str
    data_centre: str
    kv_tokens: int
    free_tokens: int
    generations: tuple[Generation, ...]
    slots: int
    spread: float = 0.0
    suspect: bool = False
    prefilling: bool = False
    in_backoff: bool = False
    version: str = ""
    limited: bool = False
    speed: float = 1.0
    prefill_speed: float = 1.0

    @cached_property
    def group(self) -> GenerationGroup:
        """The leased generations."""
        return GenerationGroup(self.generations)

    @cached_property
    def _later_groups(self) -> dict[int, GenerationGroup]:
        return {}

    @cached_property
    def _fitting_now(self) -> dict[Generation, bool]:
        """What was found of queued requests, which ask again and again."""
        return {}

    def _group_after(self, tokens: int) -> GenerationGroup:
        if tokens not in self._later_groups:
            self._later_groups[tokens] = self.group.after(tokens)
        return self._later_groups[tokens]

    def fits(self, generation: Generation) -> bool:
        """Return whether a generation fits until its end; any fits an idle replica."""
        return not self.in_backoff and self.fits_now(generation)

    def fits_now(self, generation: Generation) -> bool:
        """Return whether a generation fits now, whether or not in a backoff."""
        fits = self._fitting_now.get(generation)
        if fits is None:
            fits = self._fits_beside(self.group, generation)
            self._fitting_now[generation] = fits
        return fits

    def fits_after(self, tokens: int, generation: Generation) -> bool:
        """Return whether a generation fits when each leased one has added tokens."""
        return self._fits_beside(self._group_after(tokens), generation)

    def _fits_beside(self, others: GenerationGroup, generation: Generation) -> bool:
        """Return whether a generation fits beside ``others`` until its end."""
        if not others.size:
            return True
        if others.size >= self.slots:
            return False
        deviation = others.output_deviation(generation, self.spread)
        limit = MEMORY_LIMIT_FRACTION * self.kv_tokens - PEAK_DEVIATIONS * deviation
        # The current memory is a lower bound of the peak and cheaper to compute.
        if others.tokens + generation.tokens > limit:
            return False
        return others.peak_with(generation) <= limit

    def count_fitting(self, generation: Generation) -> int:
        """Return at least how many such generations fit now, beside each other."""
        if not self.fits_now(generation):
            return 0
        free_slots = self.slots - len(self.generations)
        limit = MEMORY_LIMIT_FRACTION * self.kv_tokens
        free_tokens = limit - self.group.peak
        peak = max(1, generation.tokens + generation.remaining)
        return max(1, min(free_slots, int(free_tokens / peak)))


@dataclass(frozen=True)
class PrefillSnapshot:
    """Snapshot of a prefill replica; ``busy_s`` is the time until it is free.

    ``speed`` is relative to the pool.
    """

    replica_id: str
    data_centre: str
    busy_s: float
    suspect: bool = False
    version: str = ""
    speed: float = 1.0

    def completion_s(self, prefill_s: float) -> float:
        """Return the time until a prompt is prefilled.

        ``prefill_s`` is what the mean replica takes for it.
        """
        return self.busy_s + prefill_s / self.speed


@dataclass(frozen=True)
class PoolSnapshot:
    """Snapshot of a pool's usable replicas.

    ``queued_prefill_s`` is the time that the prefill replicas need for the prompts of
    all queued requests.
    """

    decode: tuple[DecodeSnapshot, ...]
    prefill: tuple[PrefillSnapshot, ...]
    queued_prefill_s: float = 0.0

    @property
    def prefill_busy_s(self) -> float | None:
        """Time until the first prefill replica is free; None if there is none."""
        return min((replica.busy_s for replica in self.prefill), default=None)

    @property
    def prefill_saturated(self) -> bool:
        """Whether decode replicas should prefill prompts themselves."""
        busy_s = self.prefill_busy_s
        return busy_s is None or busy_s + self.queued_prefill_s > PREFILL_WAIT_MAX_S


@dataclass(frozen=True)
class Placement:
    """Ids of the chosen replicas; ``prefill`` is None for a local prefill.

    A local prefill is one by the decode replica itself.
    """

    decode: str
    prefill: str | None


@dataclass(frozen=True)
class Requirements:
    """What a request needs of the pool: memory for ``generation`` until its end.

    A late request must leave capacity for the ``typical`` generation on some replicas
    (see ``late_reserve``) for requests that can still be on time.
    ``prefill_s`` is the time in which the mean prefill
    replica prefills the prompt, and ``prefill_slack_s`` how much longer it may take: a
    local prefill is slower and may make the request late.
    """

    generation: Generation
    urgency: Urgency
    typical: Generation
    prefill_s: float = 0.0
    prefill_slack_s: float = math.inf

    def allows_local_prefill(self, replica: DecodeSnapshot) -> bool:
        """Return whether a decode replica prefills soon enough for the request."""
        local_s = LOCAL_PREFILL_FACTOR * self.prefill_s / replica.prefill_speed
        return local_s - self.prefill_s <= self.prefill_slack_s


def choose_placement(
    pool: PoolSnapshot, request: PlacementRequest, requirements: Requirements
) -> Placement | None:
    """Return the replicas on which a request can run now; None if it has to wait."""
    if requirements.urgency == Urgency.LATE and not _leaves_reserve(pool, requirements):
        return None
    ready = [
        replica for replica in pool.prefill if replica.busy_s <= PREFILL_LOOKAHEAD_S
    ]
    local_prefill = not ready
    if local_prefill and not pool.prefill_saturated:
        return None
    is_late = requirements.urgency == Urgency.LATE
    if local_prefill and pool.prefill and is_late:
        return None
    decode = _choose_decode(pool, request, requirements, local_prefill)
    if decode is None:
        return None
    if local_prefill:
        return Placement(decode.replica_id, None)
    return Placement(
        decode.replica_id,
        _choose_prefill(ready, decode, request, requirements.prefill_s).replica_id,
    )


def late_reserve(pool: PoolSnapshot) -> int:
    """Return on how many replicas late requests leave capacity for a typical one."""
    unlimited = sum(not replica.limited for replica in pool.decode)
    return math.ceil(LATE_RESERVE_FRACTION * unlimited)


def _leaves_reserve(pool: PoolSnapshot, requirements: Requirements) -> bool:
    """Return whether more replicas have capacity than late requests must leave."""
    if not any(replica.generations for replica in pool.decode):
        return True
    fitting = sum(replica.fits(requirements.typical) for replica in pool.decode)
    return fitting > late_reserve(pool)


def _choose_decode(
    pool: PoolSnapshot,
    request: PlacementRequest,
    requirements: Requirements,
    local_prefill: bool,
) -> DecodeSnapshot | None:
    """Return the decode replica that ranks first among those that a request fits."""
    allowed = [
        replica
        for replica in pool.decode
        if replica.replica_id not in request.avoid
        and not (local_prefill and replica.prefilling)
    ]
    if local_prefill and pool.prefill:
        allowed = [item for item in allowed if requirements.allows_local_prefill(item)]
    allowed.sort(key=lambda replica: _decode_rank(replica, request), reverse=True)
    return next(
        (replica for replica in allowed if replica.fits(requirements.generation)), None
    )


def _decode_rank(
    replica: DecodeSnapshot, request: PlacementRequest
) -> tuple[bool, float]:
    """Return the rank by memory and expected completion.

    Answers pools of uneven replicas: a generation ends sooner on a fast one, which
    frees its memory sooner, too.
    """
    free = replica.free_tokens / max(1, replica.kv_tokens)
    near = LOCALITY_BONUS if replica.data_centre == request.data_centre else 0.0
    return not replica.suspect, free + near + _speed_bonus(replica.speed, free)


def _speed_bonus(speed: float, free: float) -> float:
    """Return what a replica's speed is worth as a free fraction of its memory."""
    if speed == 1.0:
        return 0.0
    saved = max(-1.0, 1.0 - 1.0 / speed)
    pressure = min(1.0, max(0.0, free) / PRESSURE_FRACTION)
    return SPEED_BONUS * saved * pressure


def _choose_prefill(
    ready: list[PrefillSnapshot],
    decode: DecodeSnapshot,
    request: PlacementRequest,
    prefill_s: float,
) -> PrefillSnapshot:
    """Return the best prefill replica.

    Idle ones come first, then those in the data centre of the decode replica, then
    those that are free soonest; replicas to avoid, suspect ones and those of another
    software version than the decode replica come last. If some differ in speed, the one
    that completes the prompt first is the best instead.
    """
    uneven = any(replica.speed != 1.0 for replica in ready)

    def completion_s(replica: PrefillSnapshot) -> float:
        remote_s = REMOTE_PREFILL_S * (replica.data_centre != decode.data_centre)
        return replica.completion_s(prefill_s) + remote_s if uneven else 0.0

    return min(
        ready,
        key=lambda replica: (
            replica.replica_id in request.avoid,
            replica.suspect,
            replica.version != decode.version,
            completion_s(replica),
            replica.busy_s > 0.0,
            replica.data_centre != decode.data_centre,
            replica.busy_s,
        ),
    )


def capacity_times(replica: DecodeSnapshot, generation: Generation) -> list[int]:
    """Return the times at which a replica fits a generation, another one, and so on.

    Times are counted in tokens that each running generation adds until then. After the
    first times, each generation that ends is taken to make room for one more. A backoff
    is ignored: a refused reservation predicts little about later capacity.
    """
    ends = replica.group.ends
    fitting = replica.count_fitting(generation)
    if fitting:
        return [0] * fitting + ends
    return ends[_first_end_that_fits(replica, generation, ends) :]


def _first_end_that_fits(
    replica: DecodeSnapshot, generation: Generation, ends: list[int]
) -> int:
    """Return the index of the first of the sorted ends after which a generation fits.

    What fits after one end fits after all later ones, so bisection is valid.
    """
    return bisect.bisect_left(
        ends,
        True,
        key=lambda end: replica.fits_after(end, generation),
    )


def first_to_fit(
    pool: PoolSnapshot, generation: Generation, avoid: tuple[str, ...]
) -> str | None:
    """Return the id of the decode replica expected to fit a generation first.

    None if no replica but those to ``avoid`` is expected to.
    """
    found = None
    best = math.inf
    for replica in pool.decode:
        if replica.replica_id in avoid:
            continue
        if replica.fits_now(generation):
            return replica.replica_id
        ends = [end for end in replica.group.ends if end / replica.speed < best]
        if ends and replica.fits_after(ends[-1], generation):
            found = replica.replica_id
            first = ends[_first_end_that_fits(replica, generation, ends)]
            best = first / replica.speed
    return found
