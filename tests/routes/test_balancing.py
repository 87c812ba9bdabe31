"""The choice among replicas of a plain service: noise, slow and new replicas."""

import heapq
import random
from collections import Counter

import pytest

from marjoramstile.routes.balancing import (
    LATENCY_TOLERANCE,
    MIN_LATENCY_SAMPLES,
    Balancer,
    ReplicaStats,
)
from marjoramstile.routes.replica_types import Replica, ReplicaState

NAMES = ("p0", "p1", "p2", "p3")
CALL_S = 0.15
NOISE_FACTOR = 2.5
NOISE_S = 0.6
NOISE_SHARE = 0.15


def plain(name: str, data_centre: str = "a", started_at_ms: int = 1) -> Replica:
    """Return a plain replica."""
    state = ReplicaState.READY
    return Replica(name, "ledger", "h", 1, data_centre, 6, state, started_at_ms)


class Calls:
    """Plays one daemon's calls, at 20 per second, to replicas with given speeds.

    Each replica is slowed by noise for 0.6 s at a time, a share of the time.
    """

    def __init__(self, seed: int, noise: bool = True):
        self._rng = random.Random(seed)
        self._noise = noise
        self._slow_until = Counter()
        self._next_noise = {}
        self._running: list[tuple[float, float, str]] = []
        self.balancer = Balancer("a", random.Random(seed))
        self.replicas = {name: plain(name) for name in NAMES}
        self.factors = dict.fromkeys(NAMES, 1.0)
        self.now = 0.0
        self.chosen: list[tuple[float, str]] = []

    def play(self, seconds: float, per_s: float = 20.0) -> "Calls":
        """Play calls for some seconds."""
        until = self.now + seconds
        while True:
            self.now += self._rng.expovariate(per_s)
            if self.now >= until:
                self.now = until
                return self
            self._end_calls()
            replica = self.balancer.choose(self.replicas.values(), self.now)
            self.balancer.stats(replica).outstanding += 1
            self.chosen.append((self.now, replica.id))
            took_s = CALL_S * self.factors[replica.id] * self._noise_of(replica.id)
            heapq.heappush(self._running, (self.now + took_s, took_s, replica.id))

    def _end_calls(self) -> None:
        while self._running and self._running[0][0] <= self.now:
            ended, took_s, name = heapq.heappop(self._running)
            stats = self.balancer.stats(self.replicas[name])
            stats.outstanding -= 1
            stats.observe_latency(took_s, ended)

    def _noise_of(self, name: str) -> float:
        if not self._noise:
            return 1.0
        pause_s = NOISE_S * (1 - NOISE_SHARE) / NOISE_SHARE
        at = self._next_noise.setdefault(name, self._rng.uniform(0.0, pause_s))
        while at + NOISE_S <= self.now:
            at += NOISE_S + self._rng.expovariate(1 / pause_s)
        self._next_noise[name] = at
        return NOISE_FACTOR if at <= self.now else 1.0

    def shares(self, after: float = 0.0) -> dict[str, float]:
        """Return the share of the calls since a time that each replica got."""
        counts = Counter(name for at, name in self.chosen if at >= after)
        return {name: counts[name] / counts.total() for name in self.replicas}


SEEDS = range(8)


@pytest.mark.parametrize("seed", SEEDS)
def test_equally_fast_replicas_get_equal_shares(seed):
    shares = Calls(seed, noise=False).play(60.0).shares()
    assert min(shares.values()) > 0.2
    assert max(shares.values()) < 0.3


@pytest.mark.parametrize("seed", SEEDS)
def test_noise_does_not_take_a_replica_out(seed):
    shares = Calls(seed).play(60.0).shares()
    assert min(shares.values()) > 0.17
    assert max(shares.values()) < 0.33


@pytest.mark.parametrize("seed", SEEDS)
def test_a_replica_that_is_really_slow_is_found_within_two_seconds(seed):
    calls = Calls(seed).play(10.0)
    calls.factors["p1"] = 5.0
    began = calls.now
    calls.play(22.0)
    assert calls.shares(began + 2.0)["p1"] < 0.08


@pytest.mark.parametrize("seed", SEEDS)
def test_a_replica_that_is_fast_again_is_used_again(seed):
    calls = Calls(seed)
    calls.factors["p1"] = 5.0
    calls.play(10.0)
    calls.factors["p1"] = 1.0
    calls.play(15.0)
    ended = calls.now
    assert calls.play(30.0).shares(ended)["p1"] > 0.15


@pytest.mark.parametrize("call_s", [0.002, 0.15, 2.0])
def test_a_replica_that_nobody_tried_gets_requests(call_s):
    """A fixed first estimate kept new replicas of a fast service without requests."""
    balancer = Balancer("a", random.Random(1))
    known = [plain(name) for name in NAMES[:3]]
    for replica in known:
        for _ in range(9):
            balancer.stats(replica).observe_latency(call_s, 0.0)
    new = plain("new")
    chosen = Counter(balancer.choose([*known, new], 0.0).id for _ in range(400))
    assert 60 < chosen["new"] < 140


def test_a_slow_incarnation_says_nothing_about_the_next_one():
    balancer = Balancer("a", random.Random(1))
    slow, usual = plain("p0"), plain("p1")
    for _ in range(5):
        balancer.stats(slow).observe_latency(1.0, 0.0)
        balancer.stats(usual).observe_latency(0.1, 0.0)
    assert {balancer.choose([slow, usual], 0.0).id for _ in range(50)} == {"p1"}
    again = plain("p0", started_at_ms=2)
    assert {balancer.choose([again, usual], 0.0).id for _ in range(50)} == {"p0", "p1"}


def test_too_few_calls_say_nothing():
    stats = ReplicaStats()
    for _ in range(MIN_LATENCY_SAMPLES - 1):
        stats.observe_latency(9.0, 0.0)
        assert stats.slowness(0.1, 0.0) == 1.0
    stats.observe_latency(9.0, 0.0)
    assert stats.slowness(0.1, 0.0) > LATENCY_TOLERANCE


def test_of_equally_fast_replicas_that_in_the_same_data_centre_is_chosen():
    balancer = Balancer("a", random.Random(1))
    near, far = plain("near"), plain("far", "b")
    for _ in range(9):
        balancer.stats(near).observe_latency(0.12, 0.0)
        balancer.stats(far).observe_latency(0.1, 0.0)
    assert {balancer.choose([near, far], 0.0).id for _ in range(50)} == {"near"}
