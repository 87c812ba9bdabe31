"""Distinguishes lost engines from broken connections; records strikes of contents."""

from collections.abc import Callable

from marjoramstile.admission.breakers import CircuitBreakers
from marjoramstile.admission.quarantine import Quarantine
from marjoramstile.endpoints.engines import EngineClient
from marjoramstile.logs import get_logger
from marjoramstile.requests.placement import PlacedEngine

logger = get_logger(__name__)


class CrashObserver:
    """Records a strike against a content that an engine ran when it was lost.

    An engine is lost if its process was replaced or can't be reached any more.
    """

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
        """Return which process serves an engine; None if it can't be read.

        The instance is cached after the first read.
        """
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
        """Check an engine whose request failed; strike ``content`` if it is lost.

        ``instance`` is the process that the content was sent to.
        """
        present = await self._read_instance(engine)
        if instance is None or present == instance:
            self._breakers.record_failure(engine.name, now)
            return
        self._breakers.record_loss(engine.name, now)
        logger.warning("engine_lost", engine=engine.name, content=content[:16])
        lost = f"{engine.name}#{instance}"
        if self._quarantine.strike(content, lost):
            self._announce_strike(content, lost)

    def observe_success(self, engine: PlacedEngine, content: str) -> None:
        """Record an answer that was completed."""
        self._breakers.record_success(engine.name)
        self.observe_progress(content)

    def observe_progress(self, content: str) -> None:
        """Record that a content ran past the point where an engine was lost.

        A request that crashes engines would crash the next one at the same point when
        resumed, so this clears it of suspicion.
        """
        if self._quarantine.clear(content):
            self._announce_clear(content)
