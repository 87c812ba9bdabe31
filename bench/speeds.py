"""Measures what the learned speeds of replicas cost: ``python -m bench.speeds``.

It prints microseconds of CPU time per decision, bytes of state and bytes per second on
the wire as JSON lines, for pools in which every replica differs from the mean.
"""

import json
import random
import tracemalloc
from functools import partial

from bench.routing_slopes import ENGINE, measure, placement_request
from marjoramstile.peers.pool_datagrams import encode_message
from marjoramstile.pools.messages import SpeedUpdate
from marjoramstile.pools.scheduler import PoolScheduler
from marjoramstile.pools.speeds import ReplicaSpeeds, next_batch
from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.stages import StageSpeeds, wanted_prefill

# A pool in one shard, and the largest one of docs/CAPACITY.md in a single shard, which
# is far more than a scheduler has (about 40).
POOL_SIZES = (60, 670)
OBSERVATIONS = 12
# Messages a second for each shard.
MESSAGES_PER_S = 1.0
ENTRY_SPEEDS = (0.55, 1.2)
REPEATS = 200
PROFILE = GenerationProfile(3200.0, 800.0, 3.5 / 800.0, 33_000.0)


def replicas_of(count: int) -> list[Replica]:
    """Return replicas, a quarter of which prefill."""
    return [
        Replica(
            f"replica-{number:04}",
            "svc",
            "h",
            1,
            "a",
            24,
            ReplicaState.READY,
            1_764_000_000_000,
            Stage.PREFILL if number % 4 == 0 else Stage.DECODE,
        )
        for number in range(count)
    ]


def learn(speeds: ReplicaSpeeds, replicas: list[Replica]) -> None:
    """Observe each replica in both stages; every other one is slow."""
    for step in range(OBSERVATIONS):
        for number, replica in enumerate(replicas):
            ratio = 1 / ENTRY_SPEEDS[number % 2]
            for stage in Stage:
                speeds.observe(
                    replica.id, replica.started_at_ms, stage, ratio, step / 10
                )


def scheduler_of(replicas: list[Replica]) -> PoolScheduler:
    """Return a scheduler of the replicas."""
    stages = {
        stage: [replica for replica in replicas if replica.stage == stage]
        for stage in Stage
    }
    rng = random.Random(1)
    return PoolScheduler(lambda stage: stages[stage], Balancer("a", rng), rng)


def state_bytes(replicas: list[Replica]) -> int:
    """Return the memory of the speeds of all replicas."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    speeds = ReplicaSpeeds()
    learn(speeds, replicas)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


def snapshot_us(replicas: list[Replica], learned: bool) -> float:
    """Return the time of a snapshot of replicas with five leases each."""
    scheduler = scheduler_of(replicas)
    for number in range(min(300, 5 * len(replicas))):
        scheduler.ask(placement_request(number), ENGINE, number * 1e-9, polls=False)
    if learned:
        learn(scheduler.speeds, replicas)
    return measure(lambda: scheduler.pool_snapshot(2.0), REPEATS)


def place_us(replicas: list[Replica], learned: bool) -> float:
    """Return the time of a placement in an idle pool."""
    scheduler = scheduler_of(replicas)
    if learned:
        learn(scheduler.speeds, replicas)
    numbers = iter(range(1_000_000))

    def place() -> None:
        request = placement_request(next(numbers))
        scheduler.ask(request, ENGINE, 2.0, polls=False)
        for grant in scheduler.pop_answers():
            scheduler.cancel(grant, 2.0)

    return measure(place, REPEATS)


def split_us(replicas: list[Replica], speeds: ReplicaSpeeds) -> float:
    """Return the time of the decision on the split, made every second."""

    def decide() -> int:
        prefill, decode = (
            [
                StageSpeeds(*(speeds.likely_factor(item, one, 2.0) for one in Stage))
                for item in replicas
                if item.stage == stage
            ]
            for stage in Stage
        )
        return wanted_prefill(PROFILE, prefill, decode, ENGINE.kv_tokens)

    return measure(decide, REPEATS)


def choose_us(replicas: list[Replica]) -> float:
    """Return the time of the choice among replicas of a plain service."""
    balancer = Balancer("a", random.Random(1))
    for number, replica in enumerate(replicas):
        for _ in range(OBSERVATIONS):
            balancer.stats(replica).observe_latency(0.1 + number / 1000, 0.0)
    return measure(lambda: balancer.choose(replicas, 1.0), REPEATS)


def measure_pool(count: int) -> dict[str, object]:
    """Measure one pool."""
    replicas = replicas_of(count)
    speeds = ReplicaSpeeds()
    learn(speeds, replicas)
    first = replicas[0]
    differing = speeds.differing(2.0)
    batch = next_batch(differing, "")
    message = encode_message(SpeedUpdate("svc", 0, batch))
    observe = partial(
        speeds.observe, first.id, first.started_at_ms, Stage.PREFILL, 1.8, 2.0
    )
    return {
        "replicas": count,
        "observe_us": measure(observe),
        "factor_us": measure(lambda: speeds.factor(first, Stage.PREFILL, 2.0)),
        "snapshot_us": snapshot_us(replicas, learned=True),
        "snapshot_even_us": snapshot_us(replicas, learned=False),
        "place_us": place_us(replicas, learned=True),
        "place_even_us": place_us(replicas, learned=False),
        "share_us": measure(lambda: next_batch(speeds.differing(2.0), ""), REPEATS),
        "choose_us": choose_us(replicas),
        "split_us": split_us(replicas, speeds),
        "state_bytes": state_bytes(replicas),
        "differing": len(differing),
        "message_bytes": len(message),
        "wire_bytes_per_s": round(len(message) * MESSAGES_PER_S),
        "all_shared_s": round(len(differing) / len(batch) / MESSAGES_PER_S, 1),
    }


def main() -> None:
    """Print the measurements as JSON lines."""
    for count in POOL_SIZES:
        print(json.dumps(measure_pool(count)))


if __name__ == "__main__":
    main()
