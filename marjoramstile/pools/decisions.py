"""Where a generation runs and how long it would wait: pure decisions.

They answer bursts that ask for more decode memory or more prefill than there is.
"""

import bisect
import math
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramstile.pools.messages import PlacementRequest, Urgency

# Part of the decode replicas at which late requests leave room for others.
LATE_RESERVE_FRACTION = 0.1
# Prompts are sent to a prefill replica only when it is about to take them.
PREFILL_LOOKAHEAD_S = 0.12
# Beyond this wait for a prefill the decode replica prefills the prompt itself.
PREFILL_WAIT_MAX_S = 0.4
# Part of its answer that a generation has in memory in the mean, and some slack.
MEAN_OUTPUT_FRACTION = 0.6
# Part of a replica's memory that leases may fill; blocks are rounded up.
MEMORY_LIMIT_FRACTION = 0.97
# Standard deviations by which answers may together be longer than expected.
PEAK_DEVIATIONS = 2.0
# What a data centre boundary is worth, in parts of a replica's memory.
LOCALITY_BONUS = 0.05


@dataclass(frozen=True)
class Generation:
    """A generation's memory, in tokens, and those that it is still expected to add.

    ``answer`` is the length that its answer is expected to have.
    """

    tokens: int
    remaining: int
    output_tokens: int


def mean_tokens(prompt: int, output: int) -> int:
    """Return the memory of a generation in the mean over its run."""
    return prompt + round(MEAN_OUTPUT_FRACTION * output)


def peak_tokens(generations: Iterable[Generation]) -> int:
    """Return the most memory that runs will have together.

    All add tokens at the same pace; each frees its memory when it ends.
    """
    by_end = sorted(
        generations, key=lambda generation: generation.remaining, reverse=True
    )
    peak = 0
    tokens = 0
    for count, generation in enumerate(by_end, start=1):
        tokens += generation.tokens
        peak = max(peak, tokens + count * generation.remaining)
    return peak


@dataclass(frozen=True)
class DecodeSnapshot:
    """Memory, in tokens, and runs that leases put at one decode replica.

    ``free_tokens`` is what the leases leave in the mean over their runs.

    ``doubtful`` replicas have failed lately and come last. ``prefilling`` ones
    prefill a prompt themselves, which slows what they decode. ``full`` ones have just
    refused a reservation. ``spread`` is the standard deviation of an answer's length,
    in parts of it.
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

    def fits(self, generation: Generation) -> bool:
        """Tell whether a generation has room to its end; an idle replica has."""
        return not self.in_backoff and self.fits_beside(self.generations, generation)

    def fits_beside(
        self, others: tuple[Generation, ...], generation: Generation
    ) -> bool:
        """Tell whether a generation has room beside ``others``."""
        if not others:
            return True
        if len(others) >= self.slots:
            return False
        generations = (*others, generation)
        margin = (
            PEAK_DEVIATIONS
            * self.spread
            * math.hypot(*(r.output_tokens for r in generations))
        )
        limit = MEMORY_LIMIT_FRACTION * self.kv_tokens - margin
        # The peak is not under what the runs have now, which is told sooner.
        if sum(item.tokens for item in generations) > limit:
            return False
        return peak_tokens(generations) <= limit


@dataclass(frozen=True)
class PrefillSnapshot:
    """A prefill replica and the time until it has done what it was given."""

    replica_id: str
    data_centre: str
    busy_s: float
    suspect: bool = False


@dataclass(frozen=True)
class PoolSnapshot:
    """The rooms of a pool's usable replicas.

    ``queued_prefill_s`` is the time that the waiting prompts will take.
    """

    decode: tuple[DecodeSnapshot, ...]
    prefill: tuple[PrefillSnapshot, ...]
    queued_prefill_s: float = 0.0

    @property
    def prefill_busy_s(self) -> float | None:
        """Time until a prefill replica is free; None without prefill replicas."""
        return min((replica.busy_s for replica in self.prefill), default=None)

    @property
    def prefill_saturated(self) -> bool:
        """Whether decode replicas should prefill prompts themselves."""
        busy_s = self.prefill_busy_s
        return busy_s is None or busy_s + self.queued_prefill_s > PREFILL_WAIT_MAX_S


@dataclass(frozen=True)
class Placement:
    """Replica ids; ``prefill`` is None if the decode replica prefills."""

    decode: str
    prefill: str | None


@dataclass(frozen=True)
class Requirements:
    """What a request needs: room for ``run``.

    A late request must leave ``usual`` room at some replicas for those on time that
    come next. One that ``needs_prefill_replica`` would be late if its decode replica,
    which is slower, prefilled its prompt.
    """

    generation: Generation
    urgency: Urgency
    typical: Generation
    needs_prefill_replica: bool = False


def choose_placement(
    pool: PoolSnapshot, request: PlacementRequest, requirements: Requirements
) -> Placement | None:
    """Return where a request runs now; None if it has to wait."""
    if requirements.urgency == Urgency.LATE and not _leaves_reserve(pool, requirements):
        return None
    ready = [
        replica for replica in pool.prefill if replica.busy_s <= PREFILL_LOOKAHEAD_S
    ]
    local_prefill = not ready
    if local_prefill and not pool.prefill_saturated:
        return None
    if local_prefill and pool.prefill and not _allows_local_prefill(requirements):
        return None
    decode = _choose_decode(pool, request, requirements, local_prefill)
    if decode is None:
        return None
    if local_prefill:
        return Placement(decode.replica_id, None)
    return Placement(
        decode.replica_id, _choose_prefill(ready, decode, request).replica_id
    )


def late_reserve(pool: PoolSnapshot) -> int:
    """Return at how many replicas late requests leave room for the usual one."""
    return math.ceil(LATE_RESERVE_FRACTION * len(pool.decode))


def _leaves_reserve(pool: PoolSnapshot, requirements: Requirements) -> bool:
    """Tell whether there is room at more replicas than late requests leave."""
    if not any(replica.generations for replica in pool.decode):
        return True
    fitting = sum(replica.fits(requirements.typical) for replica in pool.decode)
    return fitting > late_reserve(pool)


def _allows_local_prefill(requirements: Requirements) -> bool:
    """Tell whether a decode replica may help where prefill replicas are busy."""
    return (
        not requirements.needs_prefill_replica and requirements.urgency != Urgency.LATE
    )


def _choose_decode(
    pool: PoolSnapshot,
    request: PlacementRequest,
    requirements: Requirements,
    local_prefill: bool,
) -> DecodeSnapshot | None:
    """Return the emptiest decode replica in which a request has room."""
    allowed = [
        replica
        for replica in pool.decode
        if replica.replica_id not in request.avoid
        and not (local_prefill and replica.prefilling)
    ]
    allowed.sort(key=lambda replica: _decode_rank(replica, request), reverse=True)
    return next(
        (replica for replica in allowed if replica.fits(requirements.generation)), None
    )


def _decode_rank(
    replica: DecodeSnapshot, request: PlacementRequest
) -> tuple[bool, float]:
    free = replica.free_tokens / max(1, replica.kv_tokens)
    near = LOCALITY_BONUS if replica.data_centre == request.data_centre else 0.0
    return not replica.suspect, free + near


def _choose_prefill(
    ready: list[PrefillSnapshot], decode: DecodeSnapshot, request: PlacementRequest
) -> PrefillSnapshot:
    """Return the prefill replica that is free first, near the decode replica."""
    return min(
        ready,
        key=lambda replica: (
            replica.replica_id in request.avoid,
            replica.suspect,
            replica.busy_s > 0.0,
            replica.data_centre != decode.data_centre,
            replica.busy_s,
        ),
    )


def capacity_times(replica: DecodeSnapshot, generation: Generation) -> list[int]:
    """Return when a replica will have room for a generation, then for more of them.

    Times are tokens of the generations that run. After the first, each end makes
    room for one more. That a replica has just refused a reservation says little of
    what comes.
    """
    ends = sorted(item.remaining for item in replica.generations)
    if replica.fits_beside(replica.generations, generation):
        return [0, *ends]
    return ends[_first_end_that_fits(replica, generation, ends) :]


def _first_end_that_fits(
    replica: DecodeSnapshot, generation: Generation, ends: list[int]
) -> int:
    """Return the index of the first of the sorted ends after which there is room.

    What has room after one end has it after all later ones.
    """
    return bisect.bisect_left(
        ends,
        True,
        key=lambda end: replica.fits_beside(
            _generations_after(replica.generations, end), generation
        ),
    )


def first_to_fit(pool: PoolSnapshot, generation: Generation) -> str | None:
    """Return the decode replica that is expected to have room first; None if none."""
    found = None
    best = math.inf
    for replica in pool.decode:
        if replica.fits_beside(replica.generations, generation):
            return replica.replica_id
        ends = sorted(
            item.remaining for item in replica.generations if item.remaining < best
        )
        if ends and replica.fits_beside(
            _generations_after(replica.generations, ends[-1]), generation
        ):
            found = replica.replica_id
            best = ends[_first_end_that_fits(replica, generation, ends)]
    return found


def _generations_after(
    generations: tuple[Generation, ...], tokens: int
) -> tuple[Generation, ...]:
    """Return the runs that go on when each has added ``tokens``."""
    return tuple(
        Generation(item.tokens + tokens, item.remaining - tokens, item.output_tokens)
        for item in generations
        if item.remaining > tokens
    )
