"""Tells lost engines from lost connections and notes what ran on lost ones."""

from collections.abc import Callable

from marjoramstile.admission.breakers import BreakerBoard
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
        breakers: BreakerBoard,
        announce: Callable[[str, str], None],
    ):
        self._engines = engines
        self._quarantine = quarantine
        self._breakers = breakers
        self._announce = announce
        self._instances: dict[str, str] = {}

    async def note_instance(self, engine: PlacedEngine) -> None:
        """Remember which process serves an engine; reads it the first time only."""
        if engine.name not in self._instances:
            await self._read_instance(engine)

    async def _read_instance(self, engine: PlacedEngine) -> str | None:
        load = await self._engines.load(engine.url)
        if load.is_err():
            return None
        instance = load.unwrap().instance
        self._instances[engine.name] = instance
        return instance

    async def observe_failure(
        self, engine: PlacedEngine, content: str, now: float
    ) -> None:
        """Look at an engine whose stream broke; strike ``content`` if it is lost."""
        before = self._instances.pop(engine.name, None)
        instance = await self._read_instance(engine)
        if instance is not None and instance == before:
            self._breakers.failed(engine.name, now)
            return
        self._breakers.lost(engine.name, now)
        logger.warning("engine_lost", engine=engine.name, content=content[:16])
        if self._quarantine.strike(content, engine.name):
            self._announce(content, engine.name)
