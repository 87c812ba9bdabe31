"""Where a generation runs and how long it would wait: pure decisions.

They answer bursts that ask for more decode memory or more prefill than there is.
"""

import bisect
import math
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramstile.pools.messages import PlacementRequest, Urgency

# Part of the decode replicas at which late requests leave room for others.
LATE_SPARE_PART = 0.1
# Prompts are sent to a prefill replica only when it is about to take them.
PREFILL_AHEAD_S = 0.12
# Beyond this wait for a prefill the decode replica prefills the prompt itself.
PREFILL_WAIT_MAX_S = 0.4
# Part of its answer that a generation has in memory in the mean, and some slack.
MEAN_OUTPUT_PART = 0.6
# Part of a replica's memory that leases may fill; blocks are rounded up.
MEMORY_PART = 0.97
# Standard deviations by which answers may together be longer than expected.
PEAK_DEVIATIONS = 2.0
# What a data centre boundary is worth, in parts of a replica's memory.
NEAR_BONUS = 0.05


@dataclass(frozen=True)
class Run:
    """A generation's memory, in tokens, and those that it is still expected to add.

    ``answer`` is the length that its answer is expected to have.
    """

    tokens: int
    left: int
    answer: int


def mean_tokens(prompt: int, output: int) -> int:
    """Return the memory of a generation in the mean over its run."""
    return prompt + round(MEAN_OUTPUT_PART * output)


def peak_tokens(runs: Iterable[Run]) -> int:
    """Return the most memory that runs will have together.

    All add tokens at the same pace; each frees its memory when it ends.
    """
    by_end = sorted(runs, key=lambda run: run.left, reverse=True)
    peak = 0
    tokens = 0
    for count, run in enumerate(by_end, start=1):
        tokens += run.tokens
        peak = max(peak, tokens + count * run.left)
    return peak


@dataclass(frozen=True)
class DecodeRoom:
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
    runs: tuple[Run, ...]
    slots: int
    spread: float = 0.0
    doubtful: bool = False
    prefilling: bool = False
    full: bool = False

    def fits(self, run: Run) -> bool:
        """Tell whether a generation has room to its end; an idle replica has."""
        return not self.full and self.has_room(self.runs, run)

    def has_room(self, others: tuple[Run, ...], run: Run) -> bool:
        """Tell whether a generation has room beside ``others``."""
        if not others:
            return True
        if len(others) >= self.slots:
            return False
        runs = (*others, run)
        margin = PEAK_DEVIATIONS * self.spread * math.hypot(*(r.answer for r in runs))
        limit = MEMORY_PART * self.kv_tokens - margin
        # The peak is not under what the runs have now, which is told sooner.
        if sum(item.tokens for item in runs) > limit:
            return False
        return peak_tokens(runs) <= limit


@dataclass(frozen=True)
class PrefillRoom:
    """A prefill replica and the time until it has done what it was given."""

    replica_id: str
    data_centre: str
    busy_s: float
    doubtful: bool = False


@dataclass(frozen=True)
class PoolRoom:
    """The rooms of a pool's usable replicas.

    ``queued_prefill_s`` is the time that the waiting prompts will take.
    """

    decode: tuple[DecodeRoom, ...]
    prefill: tuple[PrefillRoom, ...]
    queued_prefill_s: float = 0.0

    @property
    def prefill_busy_s(self) -> float | None:
        """Time until a prefill replica is free; None without prefill replicas."""
        return min((room.busy_s for room in self.prefill), default=None)

    @property
    def prefill_crowded(self) -> bool:
        """Whether decode replicas should prefill prompts themselves."""
        busy_s = self.prefill_busy_s
        return busy_s is None or busy_s + self.queued_prefill_s > PREFILL_WAIT_MAX_S


@dataclass(frozen=True)
class ChosenPlace:
    """Replica ids; ``prefill`` is None if the decode replica prefills."""

    decode: str
    prefill: str | None


@dataclass(frozen=True)
class Wanted:
    """What a request needs: room for ``run``.

    A late request must leave ``usual`` room at some replicas for those on time that
    come next. One ``in_haste`` would be late if its decode replica, which is slower,
    prefilled its prompt.
    """

    run: Run
    urgency: Urgency
    usual: Run
    in_haste: bool = False


def choose_place(
    pool: PoolRoom, request: PlacementRequest, wanted: Wanted
) -> ChosenPlace | None:
    """Return where a request runs now; None if it has to wait."""
    if wanted.urgency == Urgency.LATE and not _leaves_room(pool, wanted):
        return None
    ready = [room for room in pool.prefill if room.busy_s <= PREFILL_AHEAD_S]
    own_prefill = not ready
    if own_prefill and not pool.prefill_crowded:
        return None
    if own_prefill and pool.prefill and not _may_prefill_itself(wanted):
        return None
    decode = _choose_decode(pool, request, wanted, own_prefill)
    if decode is None:
        return None
    if own_prefill:
        return ChosenPlace(decode.replica_id, None)
    return ChosenPlace(
        decode.replica_id, _choose_prefill(ready, decode, request).replica_id
    )


def spare_places(pool: PoolRoom) -> int:
    """Return at how many replicas late requests leave room for the usual one."""
    return math.ceil(LATE_SPARE_PART * len(pool.decode))


def _leaves_room(pool: PoolRoom, wanted: Wanted) -> bool:
    """Tell whether there is room at more replicas than late requests leave."""
    if not any(room.runs for room in pool.decode):
        return True
    fitting = sum(room.fits(wanted.usual) for room in pool.decode)
    return fitting > spare_places(pool)


def _may_prefill_itself(wanted: Wanted) -> bool:
    """Tell whether a decode replica may help where prefill replicas are busy."""
    return not wanted.in_haste and wanted.urgency != Urgency.LATE


def _choose_decode(
    pool: PoolRoom, request: PlacementRequest, wanted: Wanted, own_prefill: bool
) -> DecodeRoom | None:
    """Return the emptiest decode replica in which a request has room."""
    allowed = [
        room
        for room in pool.decode
        if room.replica_id not in request.avoid
        and not (own_prefill and room.prefilling)
    ]
    allowed.sort(key=lambda room: _decode_rank(room, request), reverse=True)
    return next((room for room in allowed if room.fits(wanted.run)), None)


def _decode_rank(room: DecodeRoom, request: PlacementRequest) -> tuple[bool, float]:
    free = room.free_tokens / max(1, room.kv_tokens)
    near = NEAR_BONUS if room.data_centre == request.data_centre else 0.0
    return not room.doubtful, free + near


def _choose_prefill(
    ready: list[PrefillRoom], decode: DecodeRoom, request: PlacementRequest
) -> PrefillRoom:
    """Return the prefill replica that is free first, near the decode replica."""
    return min(
        ready,
        key=lambda room: (
            room.replica_id in request.avoid,
            room.doubtful,
            room.busy_s > 0.0,
            room.data_centre != decode.data_centre,
            room.busy_s,
        ),
    )


def place_times(room: DecodeRoom, run: Run) -> list[int]:
    """Return when a replica will have room for a generation, then for more of them.

    Times are tokens of the generations that run. After the first, each end makes
    room for one more. That a replica has just refused a reservation says little of
    what comes.
    """
    ends = sorted(item.left for item in room.runs)
    if room.has_room(room.runs, run):
        return [0, *ends]
    return ends[_first_end_with_room(room, run, ends) :]


def _first_end_with_room(room: DecodeRoom, run: Run, ends: list[int]) -> int:
    """Return the index of the first of the sorted ends after which there is room.

    What has room after one end has it after all later ones.
    """
    return bisect.bisect_left(
        ends, True, key=lambda end: room.has_room(_runs_after(room.runs, end), run)
    )


def first_to_have_room(pool: PoolRoom, run: Run) -> str | None:
    """Return the decode replica that is expected to have room first; None if none."""
    found = None
    best = math.inf
    for room in pool.decode:
        if room.has_room(room.runs, run):
            return room.replica_id
        ends = sorted(item.left for item in room.runs if item.left < best)
        if ends and room.has_room(_runs_after(room.runs, ends[-1]), run):
            found = room.replica_id
            best = ends[_first_end_with_room(room, run, ends)]
    return found


def _runs_after(runs: tuple[Run, ...], tokens: int) -> tuple[Run, ...]:
    """Return the runs that go on when each has added ``tokens``."""
    return tuple(
        Run(item.tokens + tokens, item.left - tokens, item.answer)
        for item in runs
        if item.left > tokens
    )
