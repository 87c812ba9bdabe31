"""Measures the control overhead of the routing daemon at growing sizes.

``python -m bench.routing_slopes`` prints microseconds of CPU time per operation for
shards and replicas up to the size of docs/CAPACITY.md.
"""

import json
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial

from marjoramstile.mirrors.mirror import TableMirror
from marjoramstile.peers.membership_messages import changes_to_wire
from marjoramstile.peers.pool_datagrams import decode_message, encode_message
from marjoramstile.pools.messages import (
    LeaseEnd,
    LeaseOutcome,
    LeaseRenewal,
    LeaseUsage,
    PlacementCancel,
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
# Queued requests of a shard and workspaces that have sent any.
QUEUED = (30, 100, 300)
FAIR_REPLICAS = 60
LEASES = 7
WORKSPACES = 6800
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


def placement_request(number: int, **changes) -> PlacementRequest:
    """Return a typical placement request."""
    request = PlacementRequest(
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
    return replace(request, **changes)


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


def workspace_request(number: int, named: bool, **changes) -> PlacementRequest:
    """Return a request of one of many workspaces, or of none; a tenth are urgent."""
    if not named:
        return placement_request(number, **changes)
    workspace = number * 7919 % WORKSPACES
    return placement_request(
        number,
        workspace=f"workspace-{workspace}",
        weight=1000.0 + workspace,
        priority=0 if number % 10 == 0 else 2,
        **changes,
    )


def queued_scheduler(queued: int, named: bool) -> PoolScheduler:
    """Return a scheduler of a full shard with queued requests, at time 1.

    Each of the workspaces has sent a request before.
    """
    scheduler = scheduler_of(FAIR_REPLICAS)
    if named:
        for number in range(WORKSPACES):
            asked = workspace_request(number, named)
            scheduler._precedence.observe_asked(asked, 800, 0.7, -100.0)
    scheduler.ask(workspace_request(0, named), ENGINE, 0.0, polls=False)
    for number in range(FAIR_REPLICAS):
        usages = tuple(
            LeaseUsage(f"lease-{number}-{n}", f"r{number}", 3200, 800, 400, 1.7, 0.1)
            for n in range(LEASES)
        )
        if named:
            usages = tuple(
                replace(usage, workspace=f"workspace-{number * 100 + n}")
                for n, usage in enumerate(usages)
            )
        scheduler.renew(LeaseRenewal("svc", 0, usages), 0.5)
    for number in range(queued - scheduler.queued):
        asked = workspace_request(10_000 + number, named, target_s=60.0)
        waiting = scheduler._enqueue(asked, 0.5, polls=False)
        waiting.deadline = 1e9
    scheduler.process_queue(1.0)
    scheduler.pop_answers()
    return scheduler


def process_next(scheduler: PoolScheduler) -> None:
    """Process a queue after its usual period; leases don't expire in the meantime."""
    scheduler.process_queue(scheduler._next_processing)


def ask_and_cancel(
    scheduler: PoolScheduler, named: bool, numbers: Iterator[int]
) -> None:
    """Ask for a placement beside a long queue, between two runs of it."""
    request = workspace_request(next(numbers), named)
    now = scheduler._next_processing - 0.001
    scheduler.ask(request, ENGINE, now, polls=False)
    scheduler.cancel(PlacementCancel(request.id, "svc", 0), now)
    scheduler.pop_answers()


def measure_fairness() -> list[dict]:
    """Measure processing a queue in a full shard, without and with workspaces."""
    rows = []
    for queued in QUEUED:
        plain, fair = queued_scheduler(queued, False), queued_scheduler(queued, True)
        precedence, refusals = fair._precedence, fair._refusals
        pool = fair.pool_snapshot(1.0)
        rows.append(
            {
                "what": "fairness",
                "replicas": FAIR_REPLICAS,
                "workspaces": WORKSPACES,
                "queued": fair.queued,
                "queued_plain": plain.queued,
                "ask_plain_us": measure(
                    partial(ask_and_cancel, plain, False, iter(range(20_000, 90_000))),
                    100,
                ),
                "ask_us": measure(
                    partial(ask_and_cancel, fair, True, iter(range(20_000, 90_000))),
                    100,
                ),
                "process_plain_us": measure(partial(process_next, plain), 40),
                "process_us": measure(partial(process_next, fair), 40),
                "shares_us": measure(lambda p=precedence: p.compute_shares(1.0), 100),
                "overtaken_us": measure(
                    lambda r=refusals, p=pool, s=fair: r.overtaken(
                        p, s.statistics, 1.0
                    ),
                    30,
                ),
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
    rows = measure_messages() + measure_pools() + measure_fairness() + measure_mirrors()
    for row in rows:
        print(json.dumps(row))


if __name__ == "__main__":
    main()
