"""Tells lost engines from lost connections and notes what ran on lost ones."""

from collections.abc import Callable

from marjoramstile.admission.breakers import CircuitBreakers
from marjoramstile.admission.quarantine import Quarantine
from marjoramstile.endpoints.engines import EngineClient
from marjoramstile.logs import get_logger
from marjoramstile.requests.placement import PlacedEngine

logger = get_logger(__name__)


class CrashObserver:
    """Strikes contents that were running on an engine when it was lost."""

    def __init__(
        self,
        engines: EngineClient,
        quarantine: Quarantine,
        breakers: CircuitBreakers,
        announce_strike: Callable[[str, str], None],
        announce_clear: Callable[[str], None],
    ):
        self._engines = engines
        self._quarantine = quarantine
        self._breakers = breakers
        self._announce_strike = announce_strike
        self._announce_clear = announce_clear
        self._instances: dict[str, str] = {}

    async def instance_of(self, engine: PlacedEngine) -> str | None:
        """Return which process serves an engine; reads it the first time only."""
        known = self._instances.get(engine.name)
        return known or await self._read_instance(engine)

    async def _read_instance(self, engine: PlacedEngine) -> str | None:
        load = await self._engines.load(engine.url)
        if load.is_err():
            self._instances.pop(engine.name, None)
            return None
        self._instances[engine.name] = load.unwrap().instance
        return load.unwrap().instance

    async def observe_failure(
        self, engine: PlacedEngine, instance: str | None, content: str, now: float
    ) -> None:
        """Look at an engine whose stream broke; strike ``content`` if it is lost.

        ``instance`` is the process that the content was given to.
        """
        present = await self._read_instance(engine)
        if instance is None or present == instance:
            self._breakers.failed(engine.name, now)
            return
        self._breakers.lost(engine.name, now)
        logger.warning("engine_lost", engine=engine.name, content=content[:16])
        lost = f"{engine.name}#{instance}"
        if self._quarantine.strike(content, lost):
            self._announce_strike(content, lost)

    def observe_success(self, engine: PlacedEngine, content: str) -> None:
        """Note an answer that came to its end."""
        self._breakers.succeeded(engine.name)
        self.observe_progress(content)

    def observe_progress(self, content: str) -> None:
        """Note that a content ran on where an engine was lost under it before.

        A request that crashes engines does so again when it is resumed there.
        """
        if self._quarantine.clear(content):
            self._announce_clear(content)
