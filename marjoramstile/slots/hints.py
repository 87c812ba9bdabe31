"""The last known load of engines, from owners' replies and load reports."""

import random
from dataclasses import dataclass, replace

from marjoramstile.configuration.documents import Configuration
from marjoramstile.membership.leaving import LeavingHosts
from marjoramstile.routing.snapshots import EngineView

CANDIDATES_MAX = 8
# Assumed one-way latencies to an engine.
SAME_DATA_CENTRE_S = 0.0
OTHER_DATA_CENTRE_S = 0.0005


@dataclass(frozen=True)
class Hint:
    """The last load reported for an engine and when it was received."""

    view: EngineView
    at: float


class HintTable:
    """Keeps the last hint of each engine, from which routing policies choose."""

    def __init__(self, data_centre: str, leaving: LeavingHosts, rng: random.Random):
        self._data_centre = data_centre
        self._leaving = leaving
        self._rng = rng
        self._hints: dict[str, Hint] = {}

    def record_slots(
        self,
        engine: str,
        used_slots: int,
        used_pieces: int,
        queued: int,
        hold_s: float,
        now: float,
    ) -> None:
        """Record the reported load of a decode engine."""
        hint = self._hints.get(engine)
        view = hint.view if hint else EngineView(engine, 0, 0)
        view = replace(
            view,
            used_slots=used_slots,
            used_pieces=used_pieces,
            queued=queued,
            hold_s=hold_s,
        )
        self._hints[engine] = Hint(view, now)

    def record_prefill(
        self, engine: str, backlog_tokens: int, tokens_per_s: float, now: float
    ) -> None:
        """Record the reported load of a prefill engine."""
        hint = self._hints.get(engine)
        view = hint.view if hint else EngineView(engine, 0, 0)
        view = replace(view, backlog_tokens=backlog_tokens, tokens_per_s=tokens_per_s)
        self._hints[engine] = Hint(view, now)

    def views(
        self, configuration: Configuration, pool: str, now: float
    ) -> list[EngineView]:
        """Return views of a sample of the pool's engines, except leaving ones."""
        found = []
        for name in self._candidates(configuration, pool):
            endpoint = configuration.endpoints[name]
            near = endpoint.data_centre == self._data_centre
            hint = self._hints.get(name)
            view = hint.view if hint else EngineView(name, 0, 0)
            found.append(
                replace(
                    view,
                    slots=endpoint.slots,
                    pieces=endpoint.pieces,
                    distance_s=SAME_DATA_CENTRE_S if near else OTHER_DATA_CENTRE_S,
                    age_s=now - hint.at if hint else 0.0,
                    backlog_tokens=_estimated_backlog(view, hint, now),
                )
            )
        return found

    def _candidates(self, configuration: Configuration, pool: str) -> list[str]:
        """Sample at most ``CANDIDATES_MAX`` engines, this data centre's first."""
        near, far = [], []
        for name in configuration.pools[pool].endpoints:
            endpoint = configuration.endpoints[name]
            if endpoint.leaving or self._leaving.includes(endpoint.url):
                continue
            (near if endpoint.data_centre == self._data_centre else far).append(name)
        if len(near) > CANDIDATES_MAX:
            return self._rng.sample(near, CANDIDATES_MAX)
        remaining = min(len(far), CANDIDATES_MAX - len(near))
        return near + self._rng.sample(far, remaining)


def _estimated_backlog(view: EngineView, hint: Hint | None, now: float) -> int:
    """Return the reported backlog less what the engine can have processed since."""
    if hint is None:
        return 0
    done = (now - hint.at) * view.tokens_per_s
    return max(0, int(view.backlog_tokens - done))
