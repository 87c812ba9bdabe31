"""Routing policies, which rank the prefill and decode engines for a request."""

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

from marjoramstile.routing.snapshots import Demand, EngineView

HINT_HORIZON_S = 10.0

Ranked = list[EngineView]


class Policy:
    """Base class; ``reserves`` states whether engines are reserved before use."""

    reserves = False

    def __init__(self, rng: random.Random):
        self._rng = rng

    def rank_prefill(self, engines: Sequence[EngineView], demand: Demand) -> Ranked:
        """Return the prefill engines to try, best first."""
        raise NotImplementedError

    def rank_decode(self, engines: Sequence[EngineView], demand: Demand) -> Ranked:
        """Return the decode engines to try, best first."""
        raise NotImplementedError

    def _shuffled(self, engines: Sequence[EngineView], demand: Demand) -> Ranked:
        """Return the engines that aren't excluded, in random order."""
        eligible = [engine for engine in engines if engine.name not in demand.excluded]
        self._rng.shuffle(eligible)
        return eligible


PolicyClass = TypeVar("PolicyClass", bound=type[Policy])
_POLICIES: dict[str, type[Policy]] = {}


def policy(name: str) -> Callable[[PolicyClass], PolicyClass]:
    """Register a policy class under ``name``."""

    def register(policy_class: PolicyClass) -> PolicyClass:
        _POLICIES[name] = policy_class
        return policy_class

    return register


def create_policy(name: str, rng: random.Random) -> Policy:
    """Return a new policy of the registered ``name``."""
    return _POLICIES[name](rng)


def reserves(name: str) -> bool:
    """Return whether a policy reserves engines at their owners."""
    return _POLICIES[name].reserves


def policy_names() -> tuple[str, ...]:
    """Return the names of all policies."""
    return tuple(sorted(_POLICIES))


@policy("random")
class RandomPolicy(Policy):
    """Picks an engine at random."""

    def rank_prefill(self, engines: Sequence[EngineView], demand: Demand) -> Ranked:
        """Return the prefill engines in random order."""
        return self._shuffled(engines, demand)

    def rank_decode(self, engines: Sequence[EngineView], demand: Demand) -> Ranked:
        """Return the decode engines in random order."""
        return self._shuffled(engines, demand)


@policy("least_load")
class LeastLoadPolicy(Policy):
    """Picks the engine with the least reported load, regardless of the report's age."""

    def rank_prefill(self, engines: Sequence[EngineView], demand: Demand) -> Ranked:
        """Return the prefill engines by reported backlog."""
        ranked = self._shuffled(engines, demand)
        return sorted(ranked, key=lambda engine: engine.backlog_tokens)

    def rank_decode(self, engines: Sequence[EngineView], demand: Demand) -> Ranked:
        """Return the decode engines by reported slots in use and queued requests."""
        ranked = self._shuffled(engines, demand)
        return sorted(ranked, key=lambda engine: engine.used_slots + engine.queued)


@policy("reservation")
class ReservationPolicy(Policy):
    """Ranks by estimated delay; the engines' owners decide by reservation.

    The weight of an engine's free slots decreases with the age of the report, so that
    daemons with stale reports spread their requests instead of herding.
    """

    reserves = True

    def rank_prefill(self, engines: Sequence[EngineView], demand: Demand) -> Ranked:
        """Return the prefill engines by estimated time until the prefill ends."""
        ranked = self._shuffled(engines, demand)
        return sorted(ranked, key=lambda engine: prefill_delay_s(engine, demand))

    def rank_decode(self, engines: Sequence[EngineView], demand: Demand) -> Ranked:
        """Return the decode engines by estimated wait, then by free slots."""
        ranked = [
            engine
            for engine in self._shuffled(engines, demand)
            if engine.pieces >= demand.pieces
        ]
        return sorted(ranked, key=lambda engine: self._decode_key(engine, demand))

    def _decode_key(self, engine: EngineView, demand: Demand) -> tuple[float, float]:
        wait_s = decode_wait_s(engine, demand) + engine.distance_s
        weight = max(0.0, 1.0 - engine.age_s / HINT_HORIZON_S)
        return wait_s, -weight * engine.free_slots / engine.slots


def prefill_delay_s(engine: EngineView, demand: Demand) -> float:
    """Return the estimated seconds until a prefill requested now ends."""
    tokens = max(1, demand.prompt_tokens - engine.cached_tokens)
    work = engine.backlog_tokens + tokens
    return work / engine.tokens_per_s + engine.distance_s


def decode_wait_s(engine: EngineView, demand: Demand) -> float:
    """Return the estimated seconds that a request waits for its memory and slot."""
    if engine.free_slots > 0 and engine.free_pieces >= demand.pieces:
        return 0.0 if engine.queued == 0 else engine.hold_s / engine.slots
    return (engine.queued + 1) * engine.hold_s / engine.slots
