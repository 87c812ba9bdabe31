"""Pools, requests and replicas for tests of schedulers."""

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from marjoramstile.pools.messages import (
    LeaseEnd,
    LeaseOutcome,
    LeaseRenewal,
    LeaseUsage,
    PlacementGrant,
    PlacementRefusal,
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

    def __init__(
        self, prefill: int = 1, decode: int = 2, engine: EngineTraits = ENGINE
    ):
        self.now = 100.0
        self.engine = engine
        self.replicas = {
            Stage.PREFILL: [replica(f"e{n}", Stage.PREFILL) for n in range(prefill)],
            Stage.DECODE: [replica(f"d{n}", Stage.DECODE) for n in range(decode)],
        }
        self.scheduler = PoolScheduler(
            lambda stage: self.replicas[stage],
            Balancer("a", random.Random(1)),
            random.Random(2),
            count=self._count,
        )
        self.counters: Counter[str] = Counter()
        self.answers: list = []

    def _count(self, name: str) -> None:
        self.counters[name] += 1

    def ask(self, asked: PlacementRequest, polls: bool = False):
        """Send a placement request; return the latest answer to it."""
        self.scheduler.ask(asked, self.engine, self.now, polls)
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
            asked.workspace,
        )


@dataclass
class _Running:
    """A granted generation of a PoolLoad with the times at which its stages end."""

    asked: PlacementRequest
    grant: PlacementGrant
    prefill_s: float
    decode_began: float
    ends_at: float
    output: int


class PoolLoad:
    """Plays random requests to a scheduler whose replicas have given speeds.

    Replicas prefill one prompt after the other at 33,000 tokens per second times their
    speed; a generation decodes a token in 4 ms over its replica's speed. Reports come
    every second and at the end, as those of daemons do. ``noise`` is the share of the
    prefills and generations that take 2.5 times as long.
    """

    PREFILL_TOKENS_PER_S = 33_000.0
    DECODE_S_PER_TOKEN = 0.004
    STEP_S = 0.02

    def __init__(self, speeds: dict[str, float], seed: int, noise: float = 0.0):
        self._speeds = speeds
        self._noise = noise
        self._rng = random.Random(seed)
        self._noise_rng = random.Random(seed + 1)
        prefill = sum(name.startswith("e") for name in speeds)
        self.pool = Pool(prefill, len(speeds) - prefill)
        self._free_at = dict.fromkeys(speeds, 0.0)
        self._running: dict[str, _Running] = {}
        self._asked: dict[str, tuple[PlacementRequest, float, int]] = {}
        self.grants: list[PlacementGrant] = []
        self.first_token_s: list[float] = []
        self.refused = 0

    def play(self, seconds: float, per_s: float) -> "PoolLoad":
        """Play a load of so many requests per second on average."""
        pool = self.pool
        until = pool.now + seconds
        next_at = pool.now
        next_report = pool.now + 1.0
        while pool.now < until:
            while next_at <= pool.now:
                self._ask()
                next_at += self._rng.expovariate(per_s)
            self._end_finished()
            if pool.now >= next_report:
                self._report()
                next_report += 1.0
            pool.now += self.STEP_S
            pool.scheduler.process_queue(pool.now)
            self._collect()
        return self

    def late_share(self, target_s: float) -> float:
        """Return the share of requests refused or with a late first token."""
        late = self.refused + sum(item > target_s for item in self.first_token_s)
        return late / (self.refused + len(self.first_token_s))

    def first_token_percentile(self, percent: int) -> float:
        """Return a percentile of the time to the first token."""
        ordered = sorted(self.first_token_s)
        return ordered[percent * len(ordered) // 100]

    def _ask(self) -> None:
        name = f"q-{len(self._asked)}"
        prompt = round(3200 * self._rng.lognormvariate(0.0, 0.4))
        output = round(600 * self._rng.lognormvariate(0.0, 0.4))
        asked = request(name, prompt_tokens=prompt, output_tokens=output)
        self._asked[name] = asked, self.pool.now, output
        self.pool.scheduler.ask(asked, ENGINE, self.pool.now, polls=False)
        self._collect()

    def _collect(self) -> None:
        for answer in self.pool.scheduler.pop_answers():
            if isinstance(answer, PlacementGrant):
                self._start(answer)
            elif isinstance(answer, PlacementRefusal):
                self.refused += 1

    def _start(self, grant: PlacementGrant) -> None:
        asked, asked_at, output = self._asked[grant.id]
        now = self.pool.now
        where = grant.prefill or grant.decode
        factor = 1.0 if grant.prefill else 0.5
        speed = factor * self._speeds[where] * self.PREFILL_TOKENS_PER_S
        speed /= self._slowdown()
        ends = max(now, self._free_at[where]) + asked.prompt_tokens / speed
        self._free_at[where] = ends
        decode_s = output * self.DECODE_S_PER_TOKEN / self._speeds[grant.decode]
        decode_s *= self._slowdown()
        self.grants.append(grant)
        self.first_token_s.append(ends - asked_at)
        self._running[grant.id] = _Running(
            asked, grant, ends - now, ends, ends + decode_s, output
        )

    def _slowdown(self) -> float:
        return 2.5 if self._noise_rng.random() < self._noise else 1.0

    def _usage(self, item: _Running) -> LeaseUsage:
        now = self.pool.now
        decoded_s = min(max(0.0, now - item.decode_began), self._decode_s(item))
        whole_s = self._decode_s(item)
        produced = round(item.output * decoded_s / whole_s)
        return LeaseUsage(
            item.grant.id,
            item.grant.decode,
            item.asked.prompt_tokens,
            item.asked.output_tokens,
            produced,
            decoded_s,
            item.prefill_s if now >= item.decode_began else 0.0,
        )

    @staticmethod
    def _decode_s(item: _Running) -> float:
        return item.ends_at - item.decode_began

    def _report(self) -> None:
        usages = tuple(self._usage(item) for item in self._running.values())
        renewal = LeaseRenewal(SERVICE, 0, usages)
        self.pool.scheduler.renew(renewal, self.pool.now)

    def _end_finished(self) -> None:
        now = self.pool.now
        for item in [item for item in self._running.values() if item.ends_at <= now]:
            del self._running[item.grant.id]
            content = item.asked.content
            end = LeaseEnd(
                SERVICE, 0, content, self._usage(item), LeaseOutcome.FINISHED
            )
            self.pool.scheduler.end(end, now)
            self._collect()


# Speeds of the played replicas, and the time to the first event beside the prefill.
DECODE_S_PER_TOKEN = 0.0042
PREFILL_TOKENS_PER_S = 33_000
EVENT_OVERHEAD_S = 0.08


@dataclass(frozen=True)
class CallerClass:
    """Callers of one workspace and route; ``per_s`` is their rate at a time.

    They send each refused request again ``retries`` times, after the time that the
    refusal names if ``patient``, else at once.
    """

    name: str
    per_s: Callable[[float], float]
    workspace: str = ""
    weight: float = 1.0
    priority: int = 1
    target_s: float = 0.9
    workspace_priority: int | None = None
    retries: int = 0
    patient: bool = True
    output_spread: float = 0.7


@dataclass
class Served:
    """What the callers of a class got; ``waits_s`` are those of refused requests."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    tokens: int = 0
    waits_s: list[float] = field(default_factory=list)

    @property
    def on_time_fraction(self) -> float:
        """Requests that got their first event in time."""
        return self.on_time / max(1, self.asked)

    @property
    def served_fraction(self) -> float:
        """Requests that were served, in time or late."""
        return (self.on_time + self.late) / max(1, self.asked)


@dataclass
class _Sent:
    caller: CallerClass
    request: PlacementRequest
    output: int
    first_at: float
    asked_at: float
    retries: int


class LoadedPool:
    """Plays callers on a scheduler and its replicas, in steps of 10 ms."""

    STEP_S = 0.01

    def __init__(self, pool: Pool, callers: list[CallerClass], seed: int):
        self.pool = pool
        self.callers = callers
        self.served = {caller.name: Served() for caller in callers}
        self._rng = random.Random(seed)
        self._number = 0
        self._sent: dict[str, _Sent] = {}
        self._running: dict[str, tuple[float, _Sent, PlacementGrant]] = {}
        self._again: list[tuple[float, _Sent]] = []
        self._renew_at = pool.now

    def play(self, seconds: float) -> None:
        """Play the callers for some seconds, beginning at time 0 of their rates."""
        begin = self.pool.now
        while self.pool.now < begin + seconds:
            self.pool.now += self.STEP_S
            self._end_generations()
            for caller in self.callers:
                rate = caller.per_s(self.pool.now - begin)
                for _ in range(self._poisson(rate * self.STEP_S)):
                    self._send_new(caller)
            self._send_again()
            self._renew()
            self.pool.scheduler.process_queue(self.pool.now)
            self.pool.collect()
            self._handle_answers()

    def total(self) -> Served:
        """Return the sums over all callers."""
        items = self.served.values()
        return Served(*(sum(getattr(item, name) for item in items) for name in _COUNTS))

    def _poisson(self, mean: float) -> int:
        count, product = 0, self._rng.random()
        while product > math.exp(-mean):
            count += 1
            product *= self._rng.random()
        return count

    def _lognormal(self, mean: float, spread: float) -> int:
        sigma = math.sqrt(math.log1p(spread * spread))
        return max(1, round(mean * math.exp(self._rng.gauss(-(sigma**2) / 2, sigma))))

    def _send_new(self, caller: CallerClass) -> None:
        prompt = min(12_000, self._lognormal(3200, 0.5))
        output = min(4000, self._lognormal(800, caller.output_spread))
        content = f"c-{self._number}"
        asked = request(
            "",
            content=content,
            prompt_tokens=prompt,
            output_tokens=self._lognormal(output, 0.3),
            priority=caller.priority,
            target_s=caller.target_s,
            workspace=caller.workspace,
            weight=caller.weight,
            workspace_priority=caller.workspace_priority,
        )
        now = self.pool.now
        self.served[caller.name].asked += 1
        self._send(_Sent(caller, asked, output, now, now, caller.retries))

    def _send(self, sent: _Sent) -> None:
        self._number += 1
        name = f"q{self._number}"
        sent.request = replace(sent.request, id=name)
        sent.asked_at = self.pool.now
        self._sent[name] = sent
        self.pool.scheduler.ask(sent.request, self.pool.engine, self.pool.now, False)
        self.pool.collect()
        self._handle_answers()

    def _send_again(self) -> None:
        due = [sent for at, sent in self._again if at <= self.pool.now]
        self._again = [item for item in self._again if item[0] > self.pool.now]
        for sent in due:
            sent.retries -= 1
            self._send(sent)

    def _handle_answers(self) -> None:
        answers, self.pool.answers = self.pool.answers, []
        for answer in answers:
            if isinstance(answer, PlacementGrant):
                self._begin(self._sent.pop(answer.id), answer)
            elif isinstance(answer, PlacementRefusal):
                self._refuse(self._sent.pop(answer.id), answer)

    def _begin(self, sent: _Sent, grant: PlacementGrant) -> None:
        served = self.served[sent.caller.name]
        prefill_s = sent.request.prompt_tokens / PREFILL_TOKENS_PER_S
        first_s = self.pool.now - sent.first_at + prefill_s + EVENT_OVERHEAD_S
        if first_s <= sent.caller.target_s:
            served.on_time += 1
        else:
            served.late += 1
        served.tokens += sent.request.prompt_tokens + sent.output
        end_at = self.pool.now + prefill_s + sent.output * DECODE_S_PER_TOKEN
        self._running[grant.id] = end_at, sent, grant

    def _refuse(self, sent: _Sent, refusal: PlacementRefusal) -> None:
        now = self.pool.now
        served = self.served[sent.caller.name]
        served.waits_s.append(now - sent.asked_at)
        if not sent.retries:
            served.refused += 1
            return
        wait_s = refusal.retry_after_s if sent.caller.patient else 0.05
        self._again.append((now + wait_s, sent))

    def _end_generations(self) -> None:
        now = self.pool.now
        for name, (end_at, sent, grant) in list(self._running.items()):
            if end_at <= now:
                del self._running[name]
                self.pool.end(sent.request, grant, produced=sent.output)
                self._handle_answers()

    def _renew(self) -> None:
        if self.pool.now < self._renew_at:
            return
        self._renew_at = self.pool.now + 1.0
        for end_at, sent, grant in self._running.values():
            left = round((end_at - self.pool.now) / DECODE_S_PER_TOKEN)
            produced = max(0, min(sent.output, sent.output - left))
            usage = self.pool.usage(sent.request, grant, produced)
            renewal = LeaseRenewal(SERVICE, 0, (usage,))
            self.pool.scheduler.renew(renewal, self.pool.now)


_COUNTS = ("asked", "on_time", "late", "refused", "tokens")
