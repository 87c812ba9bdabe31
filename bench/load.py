"""Generates the requests of a scenario from a seed."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from bench.scenario import Lengths, Scenario, TrafficClass
from marjoramstile.requests.attempts import BYTES_PER_TOKEN


@dataclass(frozen=True)
class Arrival:
    """A request that arrives at ``at_s``."""

    number: int
    at_s: float
    service: str
    prompt_tokens: int
    output_tokens: int

    @property
    def prompt(self) -> str:
        """A unique prompt of ``prompt_tokens`` tokens."""
        return f"{self.number:08d}".ljust(self.prompt_tokens * BYTES_PER_TOKEN, "x")


def mean_length(lengths: Lengths) -> float:
    """Return the mean of a log-normal length, ignoring the cap at the maximum."""
    return lengths.median * math.exp(lengths.spread**2 / 2)


def capacity_per_s(scenario: Scenario) -> float:
    """Return the requests per second that the bottleneck kind of engine can serve.

    Decode engines are assumed to be full, when their steps are slowest.
    """
    total = sum(traffic.share for traffic in scenario.classes)
    output = sum(p.share * mean_length(p.output) for p in scenario.classes) / total
    prompt = sum(p.share * mean_length(p.prompt) for p in scenario.classes) / total
    engines = scenario.engines
    step_s = engines.step_s + engines.step_per_request_s * engines.slots
    decode = scenario.decodes * engines.slots / (output * step_s)
    prefill = scenario.prefills * engines.tokens_per_s / prompt
    return min(decode, prefill)


def arrivals(scenario: Scenario, rng: random.Random) -> Iterator[Arrival]:
    """Yield the requests of a scenario in the order of their arrival."""
    rate = scenario.load * capacity_per_s(scenario)
    at_s = 0.0
    number = 0
    shares = [traffic.share for traffic in scenario.classes]
    while True:
        at_s += rng.expovariate(rate)
        if at_s >= scenario.duration_s:
            return
        (traffic,) = rng.choices(scenario.classes, shares)
        yield _arrival(number, at_s, traffic, rng)
        number += 1


def _arrival(
    number: int, at_s: float, traffic: TrafficClass, rng: random.Random
) -> Arrival:
    return Arrival(
        number,
        at_s,
        traffic.service,
        _length(traffic.prompt, rng),
        _length(traffic.output, rng),
    )


def _length(lengths: Lengths, rng: random.Random) -> int:
    drawn = rng.lognormvariate(math.log(lengths.median), lengths.spread)
    return max(1, min(lengths.maximum, round(drawn)))
