"""Placement of completions: ranks engines by policy, reserves them at their owners."""

import random
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from marjoramstile.admission.breakers import CircuitBreakers
from marjoramstile.configuration.documents import (
    Configuration,
    LanguageService,
    ServiceClass,
)
from marjoramstile.results import Failure, ResultCode
from marjoramstile.routing.policies import Policy, create_policy
from marjoramstile.routing.snapshots import Demand, EngineView
from marjoramstile.slots.broker import SlotBroker
from marjoramstile.slots.hints import HintTable
from marjoramstile.slots.reservations import Ask, Granted
from marjoramstile.utils import loop_time

DECODE_TRIES = 2
PREFILL_TRIES = 2
MIN_RETRY_AFTER_S = 0.2
NO_ENDPOINT_RETRY_AFTER_S = 2.0


@dataclass(frozen=True)
class PlacedEngine:
    """An engine chosen for a request."""

    name: str
    url: str


class Placer:
    """Finds a decode slot and a prefill engine for a request."""

    def __init__(
        self,
        broker: SlotBroker,
        hints: HintTable,
        breakers: CircuitBreakers,
        rng: random.Random,
    ):
        self._broker = broker
        self._hints = hints
        self._breakers = breakers
        self._rng = rng
        self._policies: dict[str, Policy] = {}

    def _policy(self, name: str) -> Policy:
        if name not in self._policies:
            self._policies[name] = create_policy(name, self._rng)
        return self._policies[name]

    def _views(
        self, configuration: Configuration, pool: str, now: float
    ) -> list[EngineView]:
        return [
            view
            for view in self._hints.views(configuration, pool, now)
            if not self._breakers.is_open(view.name, now)
        ]

    async def place_decode(
        self,
        configuration: Configuration,
        service: LanguageService,
        demand: Demand,
        ask: Ask,
    ) -> Result[PlacedEngine, Failure]:
        """Reserve a decode slot; sets ``ask.engine`` for each attempt.

        All attempts together wait no longer than ``ask.max_wait_s``.
        """
        now = loop_time()
        deadline = now + ask.max_wait_s
        policy = self._policy(service.policy)
        views = self._views(configuration, service.decode_pool, now)
        ranked = policy.rank_decode(views, demand)
        if not ranked:
            return Err(_no_endpoint("decode"))
        if not policy.reserves:
            return Ok(_placed(configuration, ranked[0].name))
        shortest_wait_s = float("inf")
        for view in ranked[:DECODE_TRIES]:
            wait_s = max(0.0, deadline - loop_time())
            answer = await self._broker.reserve(
                configuration, replace(ask, engine=view.name, max_wait_s=wait_s)
            )
            if isinstance(answer, Granted):
                return Ok(_placed(configuration, view.name))
            if answer is not None:
                shortest_wait_s = min(shortest_wait_s, answer.expected_s)
        if shortest_wait_s == float("inf"):
            return Err(_no_endpoint("decode"))
        return Err(self._overloaded("decode slots", shortest_wait_s))

    async def place_prefill(
        self,
        configuration: Configuration,
        service: LanguageService,
        demand: Demand,
        max_wait_s: float,
    ) -> Result[PlacedEngine, Failure]:
        """Find a prefill engine that can start within ``max_wait_s``."""
        policy = self._policy(service.policy)
        views = self._views(configuration, service.prefill_pool, loop_time())
        ranked = policy.rank_prefill(views, demand)
        if not ranked:
            return Err(_no_endpoint("prefill"))
        if not policy.reserves:
            return Ok(_placed(configuration, ranked[0].name))
        shortest_wait_s = float("inf")
        for view in ranked[:PREFILL_TRIES]:
            answer = await self._broker.ask_prefill(
                configuration,
                view.name,
                demand.prompt_tokens,
                service.service_class,
                max_wait_s,
            )
            if answer is None or answer.accepted:
                return Ok(_placed(configuration, view.name))
            shortest_wait_s = min(shortest_wait_s, answer.start_in_s)
        return Err(self._overloaded("prefill", shortest_wait_s))

    async def release(self, request_id: str) -> None:
        """Release the request's decode slot."""
        await self._broker.release(request_id)

    def _overloaded(self, resource: str, expected_s: float) -> Failure:
        """Return a refusal; its retry time is randomised so that callers don't herd."""
        retry_after_s = max(MIN_RETRY_AFTER_S, expected_s) * self._rng.uniform(1, 1.5)
        return Failure(
            ResultCode.OVERLOADED,
            f"no {resource} free in time",
            retry_after_s=retry_after_s,
        )


def slot_wait_limit_s(
    service: LanguageService, expected_prefill_s: float, resumed: bool
) -> float:
    """Return how long a request may wait for a slot.

    Work in time must still meet its TTFT target; late work and answers that have
    begun may wait up to ``late_limit_s`` so that they can be completed.
    """
    if service.service_class == ServiceClass.LATE or resumed:
        return service.late_limit_s
    return max(0.0, service.ttft_target_s - expected_prefill_s)


def _placed(configuration: Configuration, name: str) -> PlacedEngine:
    return PlacedEngine(name, configuration.endpoints[name].url)


def _no_endpoint(kind: str) -> Failure:
    return Failure(
        ResultCode.NO_ENDPOINT,
        f"no {kind} engine can be used now",
        retry_after_s=NO_ENDPOINT_RETRY_AFTER_S,
    )
