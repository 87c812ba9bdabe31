"""Polls the engines' own load reports, for policies that reserve nothing at owners."""

import asyncio

from marjoramstile.configuration.keeper import ConfigurationKeeper
from marjoramstile.endpoints.engines import EngineClient
from marjoramstile.routing.policies import reserves
from marjoramstile.slots.hints import HintTable
from marjoramstile.utils import loop_time

ASSUMED_HOLD_S = 5.0


class LoadReports:
    """Polls every engine of the services whose policy relies on load reports.

    Each daemon polls each engine, so the cost grows with daemons times engines; the
    reservation policy needs no polling.
    """

    def __init__(
        self, keeper: ConfigurationKeeper, engines: EngineClient, hints: HintTable
    ):
        self._keeper = keeper
        self._engines = engines
        self._hints = hints

    async def step(self) -> None:
        """Poll all engines concerned and record their load; run periodically."""
        await asyncio.gather(*(self._poll(name) for name in self._polled_engines()))

    def _polled_engines(self) -> set[str]:
        configuration = self._keeper.configuration
        return {
            endpoint
            for service in configuration.language_services.values()
            if not reserves(service.policy)
            for pool in (service.prefill_pool, service.decode_pool)
            for endpoint in configuration.pools[pool].endpoints
        }

    async def _poll(self, name: str) -> None:
        endpoint = self._keeper.configuration.endpoints[name]
        answer = await self._engines.load(endpoint.url)
        if answer.is_err():
            return
        load = answer.unwrap()
        now = loop_time()
        self._hints.record_slots(
            name, load.running, load.used_pieces, 0, ASSUMED_HOLD_S, now
        )
        self._hints.record_prefill(name, load.queued_tokens, load.tokens_per_s, now)
