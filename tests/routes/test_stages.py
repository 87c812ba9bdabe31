"""The split into stages in uneven pools and under loads that wave, without I/O."""

import math
from itertools import pairwise

import pytest

from marjoramstile.pools.speeds import ReplicaSpeeds
from marjoramstile.pools.statistics import GenerationProfile, PoolStatistics
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.stages import (
    IMBALANCE_MIN_S,
    REVERSAL_MIN_S,
    MoveDamper,
    StageSpeeds,
    wanted_prefill,
    wanted_prefill_count,
)

PROFILE = GenerationProfile(3200.0, 800.0, 3.5 / 800.0, 33_000.0)
KV_TOKENS = 25_084
WAVE_S = 15.0
WAVE_HEIGHT = 0.55
SWITCH_S = 6.0


def speeds(*factors: float) -> list[StageSpeeds]:
    """Return replicas that are equally fast in both stages."""
    return [StageSpeeds(factor, factor) for factor in factors]


@pytest.mark.parametrize("prefill", range(13))
def test_equally_fast_replicas_are_split_as_by_their_number(prefill):
    decode = 12 - prefill
    wanted = wanted_prefill(
        PROFILE, speeds(*[1.0] * prefill), speeds(*[1.0] * decode), KV_TOKENS
    )
    assert wanted == wanted_prefill_count(PROFILE, prefill, decode, KV_TOKENS)


def test_fewer_fast_replicas_prefill_what_more_slow_ones_do():
    decode = [1.0] * 21
    fast = wanted_prefill(PROFILE, speeds(2.0), speeds(*decode, 2.0, 2.0), KV_TOKENS)
    slow = wanted_prefill(PROFILE, speeds(0.5), speeds(*decode, 0.5, 0.5), KV_TOKENS)
    assert fast < slow


class WavedPool:
    """Plays the splits of a pool whose load waves by 55% within 15 s.

    ``elasticity`` is by how much the durations of prefills and tokens follow the load.
    """

    def __init__(self, factors: list[float], prefill: int, elasticity: float):
        self._replicas = [
            Replica(f"r{number:02}", "llm", "h", 1, "a", 16, ReplicaState.READY, 1)
            for number in range(len(factors))
        ]
        self._factors = dict(zip(self._replicas, factors, strict=True))
        self._stages = {
            replica: Stage.PREFILL if number < prefill else Stage.DECODE
            for number, replica in enumerate(self._replicas)
        }
        self._away_until = dict.fromkeys(self._replicas, 0.0)
        self._elasticity = elasticity
        self._statistics = PoolStatistics()
        self._speeds = ReplicaSpeeds()
        self._damper = MoveDamper()
        self.moves: list[tuple[float, int]] = []

    @property
    def reversals(self) -> int:
        """Number of moves that took back the one before."""
        return sum(
            (one > 0) != (two > 0) for (_, one), (_, two) in pairwise(self.moves)
        )

    def play(self, seconds: int) -> "WavedPool":
        """Play the load; the split is decided every second."""
        for tenth in range(10 * seconds):
            now = tenth / 10
            load = 1 + WAVE_HEIGHT * math.sin(2 * math.pi * now / WAVE_S)
            self._observe(load, now)
            profile = self._statistics.profile()
            if tenth % 10 == 0 and profile is not None:
                self._decide(profile, now)
        return self

    def _observe(self, load: float, now: float) -> None:
        statistics = self._statistics
        slowdown = 1 - self._elasticity + self._elasticity * load
        statistics.observe_arrival(3200, 700, now)
        for replica, stage in self._stages.items():
            if now < self._away_until[replica]:
                continue
            speed = self._factors[replica]
            if stage == Stage.PREFILL:
                took_s = load * 3200 / (33_000.0 * speed) * slowdown
                expected_s = load * 3200 / statistics.prefill_tokens_per_s
                statistics.observe_prefill(load * 3200, took_s, now)
            else:
                tokens = round(200 * load * speed)
                took_s = tokens * 0.0042 / speed * slowdown
                expected_s = tokens * statistics.decode_s_per_token
                statistics.observe_decode(tokens, took_s, now)
            if statistics.has_enough_data:
                self._speeds.observe(replica.id, 1, stage, took_s / expected_s, now)

    def _decide(self, profile: GenerationProfile, now: float) -> None:
        groups = {
            stage: [item for item in self._replicas if self._stages[item] == stage]
            for stage in Stage
        }
        prefill, decode = (
            [
                StageSpeeds(
                    *(self._speeds.likely_factor(item, stage, now) for stage in Stage)
                )
                for item in groups[group]
            ]
            for group in (Stage.PREFILL, Stage.DECODE)
        )
        change = wanted_prefill(profile, prefill, decode, KV_TOKENS) - len(prefill)
        size = len(self._replicas)
        if not self._damper.is_due(change, size, now, IMBALANCE_MIN_S):
            return
        target = Stage.PREFILL if change > 0 else Stage.DECODE
        donors = groups[Stage.DECODE if change > 0 else Stage.PREFILL]
        donors.sort(
            key=lambda item: self._speeds.likely_factor(item, target, now), reverse=True
        )
        for replica in donors[: abs(change)]:
            self._stages[replica] = target
            self._away_until[replica] = now + SWITCH_S
        self._damper.record_move(change, size, now)
        self.moves.append((now, change))


UNEVEN = [(0.55, 1.2)[number % 2] for number in range(30)]


@pytest.mark.parametrize("elasticity", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("prefill", [2, 7, 15])
@pytest.mark.parametrize("factors", [UNEVEN, [1.0] * 30], ids=["uneven", "even"])
def test_the_split_does_not_flap_with_a_load_that_waves(factors, prefill, elasticity):
    pool = WavedPool(factors, prefill, elasticity).play(240)
    assert pool.reversals == 0
    assert len(pool.moves) <= 1


def test_a_change_that_is_wanted_for_half_of_each_wave_is_not_taken_back():
    """A small pool moves a replica back and forth, each time without it for 6 s."""
    damper = MoveDamper()
    ordered = []
    for second in range(120):
        change = 1 if second % WAVE_S < WAVE_S / 2 else -1
        if damper.is_due(change, 9, second, IMBALANCE_MIN_S):
            ordered.append(change)
            damper.record_move(change, 9, second)
    assert set(ordered) == {1}


def test_a_move_is_taken_back_if_that_is_wanted_for_longer_than_a_wave():
    damper = MoveDamper()
    damper.record_move(1, 9, 0.0)
    due = [damper.is_due(-1, 9, now, IMBALANCE_MIN_S) for now in (0.0, 15.0, 20.0)]
    assert due == [False, False, True]


def test_a_pool_that_has_lost_replicas_is_split_anew_soon():
    damper = MoveDamper()
    damper.record_move(-1, 9, 0.0)
    assert not damper.is_due(1, 8, 0.0, IMBALANCE_MIN_S)
    assert damper.is_due(1, 8, IMBALANCE_MIN_S, IMBALANCE_MIN_S)
    assert IMBALANCE_MIN_S < REVERSAL_MIN_S
