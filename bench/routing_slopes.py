"""Measures the control overhead of the routing daemon at growing sizes.

``python -m bench.routing_slopes`` prints microseconds of CPU time per operation for
shards and replicas up to the size of docs/CAPACITY.md.
"""

import json
import random
import time
from collections.abc import Callable, Iterator
from functools import partial

from marjoramstile.mirrors.mirror import TableMirror
from marjoramstile.peers.membership_messages import changes_to_wire
from marjoramstile.peers.pool_datagrams import decode_message, encode_message
from marjoramstile.pools.messages import (
    LeaseEnd,
    LeaseOutcome,
    LeaseUsage,
    PlacementRequest,
)
from marjoramstile.pools.scheduler import PoolScheduler
from marjoramstile.ports.feeds import Changes, StoredRow
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.table import EngineTraits

REPEATS = 2000
SHARD_SIZES = (9, 25, 40)
REPLICAS = (9, 45, 670)
MICROSECONDS_PER_S = 1_000_000
ENGINE = EngineTraits(
    slots=24, kv_tokens=33_466, hold_max_s=2.0, switch_s=6.0, stride=11
)


def measure(action: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the CPU time of one call in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        action()
    spent_s = time.process_time() - started
    return round(spent_s / repeats * MICROSECONDS_PER_S, 2)


def placement_request(number: int) -> PlacementRequest:
    """Return a typical placement request."""
    return PlacementRequest(
        id=f"0123456789-{number}",
        service="svc",
        shard=0,
        content=f"{number:016x}",
        data_centre="a",
        tokens=3700,
        prompt_tokens=3200,
        output_tokens=800,
        priority=1,
        target_s=0.9,
        waited_s=0.0,
        time_left_s=14.0,
    )


def measure_messages() -> list[dict]:
    """Measure encoding and decoding of a placement request."""
    message = placement_request(1)
    data = encode_message(message)
    return [
        {
            "what": "message",
            "bytes": len(data),
            "encode_us": measure(lambda: encode_message(message)),
            "decode_us": measure(lambda: decode_message(data)),
        }
    ]


def scheduler_of(replicas: int) -> PoolScheduler:
    """Return a scheduler of a shard with ``replicas`` replicas."""
    stages = {Stage.PREFILL: [], Stage.DECODE: []}
    for number in range(replicas):
        stage = Stage.PREFILL if number % 4 == 0 else Stage.DECODE
        stages[stage].append(
            Replica(f"r{number}", "svc", "h", 1, "a", 24, ReplicaState.READY, 1, stage)
        )
    rng = random.Random(1)
    return PoolScheduler(lambda stage: stages[stage], Balancer("a", rng), rng)


def grant_and_end_next(scheduler: PoolScheduler, numbers: Iterator[int]) -> None:
    """Grant a placement and end its lease."""
    number = next(numbers)
    request = placement_request(number)
    now = float(number)
    scheduler.ask(request, ENGINE, now, polls=False)
    for grant in scheduler.pop_answers():
        use = LeaseUsage(grant.id, grant.decode, 3200, 800, 800, 3.4, 0.1)
        end = LeaseEnd("svc", 0, request.content, use, LeaseOutcome.FINISHED)
        scheduler.end(end, now)


def measure_pools() -> list[dict]:
    """Measure a placement in an idle shard and a snapshot of one with leases."""
    rows = []
    for replicas in SHARD_SIZES:
        idle, busy = scheduler_of(replicas), scheduler_of(replicas)
        for number in range(5 * replicas):
            busy.ask(placement_request(number), ENGINE, number * 1e-9, polls=False)
        grant_next = partial(grant_and_end_next, idle, iter(range(1_000_000)))
        rows.append(
            {
                "what": "pool",
                "replicas": replicas,
                "place_us": measure(grant_next, 300),
                "snapshot_us": measure(lambda s=busy: s.pool_snapshot(1.0), 300),
            }
        )
    return rows


def measure_mirrors() -> list[dict]:
    """Measure the answer to a daemon that has all rows of a mirror, by rows."""
    rows = []
    for count in REPLICAS:
        mirror = TableMirror("servers")
        stored = tuple(StoredRow(f"r{n}", n + 1, b"x" * 300) for n in range(count))
        mirror.apply(Changes(stored, count, complete=True))
        rows.append(
            {
                "what": "relay",
                "rows": count,
                "unchanged_us": measure(
                    lambda m=mirror, c=count: changes_to_wire(m.changes_after(c), 0.1),
                    500,
                ),
            }
        )
    return rows


def main() -> None:
    """Print all measurements as JSON lines."""
    rows = measure_messages() + measure_pools() + measure_mirrors()
    for row in rows:
        print(json.dumps(row))


if __name__ == "__main__":
    main()
