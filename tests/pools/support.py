"""Pools, requests and replicas for tests of schedulers."""

import random
from dataclasses import replace

from marjoramstile.pools.messages import (
    LeaseEnd,
    LeaseOutcome,
    LeaseUsage,
    PlacementGrant,
    PlacementRequest,
)
from marjoramstile.pools.scheduler import PoolScheduler
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage
from marjoramstile.routes.table import EngineTraits

SERVICE = "llm"
ENGINE = EngineTraits(
    slots=24, kv_tokens=33_000, hold_max_s=2.0, switch_s=6.0, stride=11
)
REQUEST = PlacementRequest(
    id="q",
    service=SERVICE,
    shard=0,
    content="c",
    data_centre="a",
    tokens=3700,
    prompt_tokens=3200,
    output_tokens=800,
    priority=1,
    target_s=0.9,
    waited_s=0.0,
    time_left_s=14.0,
)


def replica(name: str, stage: Stage, data_centre: str = "a") -> Replica:
    """Return a replica of the pool."""
    return Replica(
        name, SERVICE, "h", 1, data_centre, 24, ReplicaState.READY, 1, stage=stage
    )


def request(name: str, **changes) -> PlacementRequest:
    """Return a request with an id and, unless given, a content of its own."""
    return replace(REQUEST, **{"id": name, "content": f"c-{name}", **changes})


class Pool:
    """A scheduler with replicas and a clock that tests may change."""

    def __init__(self, prefill: int = 1, decode: int = 2):
        self.now = 100.0
        self.replicas = {
            Stage.PREFILL: [replica(f"e{n}", Stage.PREFILL) for n in range(prefill)],
            Stage.DECODE: [replica(f"d{n}", Stage.DECODE) for n in range(decode)],
        }
        self.scheduler = PoolScheduler(
            lambda stage: self.replicas[stage],
            Balancer("a", random.Random(1)),
            random.Random(2),
        )
        self.answers: list = []

    def ask(self, asked: PlacementRequest, polls: bool = False):
        """Send a placement request; return the latest answer to it."""
        self.scheduler.ask(asked, ENGINE, self.now, polls)
        self.collect()
        return self.answer_to(asked.id)

    def collect(self) -> None:
        """Collect the scheduler's answers."""
        self.answers += self.scheduler.pop_answers()

    def answer_to(self, name: str):
        """Return the latest answer to a request."""
        return next(item for item in reversed(self.answers) if item.id == name)

    def wait(self, seconds: float, step_s: float = 0.03) -> None:
        """Advance the clock in steps and process the queue at each, as a host does."""
        until = self.now + seconds
        while self.now < until:
            self.now += step_s
            self.scheduler.process_queue(self.now)
            self.collect()

    def end(
        self,
        asked: PlacementRequest,
        grant: PlacementGrant,
        outcome: LeaseOutcome = LeaseOutcome.FINISHED,
        produced: int = 800,
    ) -> None:
        """End a lease."""
        usage = self.usage(asked, grant, produced)
        message = LeaseEnd(SERVICE, 0, asked.content, usage, outcome)
        self.scheduler.end(message, self.now)
        self.collect()

    @staticmethod
    def usage(
        asked: PlacementRequest, grant: PlacementGrant, produced: int = 0
    ) -> LeaseUsage:
        """Return a lease as reported by its daemon."""
        return LeaseUsage(
            grant.id,
            grant.decode,
            asked.prompt_tokens,
            asked.output_tokens,
            produced,
            produced * 0.0042,
            0.1,
        )
