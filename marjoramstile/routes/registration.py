"""Writes this daemon's rows, also again after the store was restored from a copy."""

import asyncio
import random
from collections.abc import Callable, Mapping

from marjoramstile.logs import get_logger
from marjoramstile.membership.nodes import NODES_TABLE, NodeEntry
from marjoramstile.mirrors.mirror import TableMirror
from marjoramstile.ports.feeds import era_of
from marjoramstile.ports.tables import Write
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.order_ports import OrderStore
from marjoramstile.routes.settings import RouterSettings
from marjoramstile.utils import BackgroundTasks

RETRY_S = 0.3
# Time over which daemons spread their writes after a restore.
WRITE_AGAIN_SPREAD_S = 1.0

logger = get_logger(__name__)


class Registration:
    """Keeps this daemon's row, and what it has stored, in the store."""

    def __init__(
        self,
        settings: RouterSettings,
        incarnation: str,
        store: OrderStore,
        mirrors: Mapping[str, TableMirror],
        metrics: Metrics,
        tasks: BackgroundTasks,
        rng: random.Random,
    ):
        """``mirrors`` are all of this daemon's, by table."""
        self._settings = settings
        self._incarnation = incarnation
        self._store = store
        self._mirrors = mirrors
        self._metrics = metrics
        self._tasks = tasks
        self._rng = rng
        self._era: int | None = None
        self._on_restored: list[Callable[[], None]] = []

    def on_restored(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when what it has stored may be lost."""
        self._on_restored.append(listener)

    async def register(self) -> None:
        """Write this daemon's row, retrying until the store accepts it."""
        settings = self._settings
        entry = NodeEntry(
            host=settings.ip,
            front=str(settings.listeners.front),
            data_centre=settings.data_centre,
            region=settings.region,
            incarnation=self._incarnation,
        )
        write = Write(NODES_TABLE, settings.vm, entry.to_value())
        while (answer := await self._store.transact([], [write])).is_err():
            logger.warning("not_registered", reason=answer.unwrap_err().message)
            await asyncio.sleep(RETRY_S)
        logger.info("registered", vm=settings.vm)

    def check_era(self) -> None:
        """Write rows again if a mirror has entered a new era; called periodically."""
        loaded = [mirror for mirror in self._mirrors.values() if mirror.loaded]
        if not loaded:
            return
        era, former = max(era_of(mirror.version) for mirror in loaded), self._era
        self._era = era
        if former is not None and era > former:
            self._metrics.count("store_restored", "")
            self._tasks.start(self._write_again(era), "write rows again")

    async def _write_again(self, era: int) -> None:
        """Write what the copy may lack, not all daemons at the same moment."""
        await asyncio.sleep(self._rng.uniform(0.0, WRITE_AGAIN_SPREAD_S))
        for listener in self._on_restored:
            listener()
        nodes = self._mirrors[NODES_TABLE]
        if era_of(nodes.version) < era or not nodes.confirms(self._settings.vm):
            logger.info("registers_again", era=era)
            await self.register()
