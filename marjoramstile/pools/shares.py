"""Weighted fair shares of a pool's memory among the workspaces that want some of it.

Designed for the flood of one workspace: while capacity is short, the requests of
workspaces that hold more than their share wait behind those of the others.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from marjoramstile.pools.messages import PlacementRequest
from marjoramstile.pools.served import ServedRatios

# Workspaces whose weights are kept; the one that asked longest ago is forgotten.
MAX_WORKSPACES = 8192
# Sums of demands and of shares may differ by rounding.
ROUNDING = 1e-9


class Standing(IntEnum):
    """How a workspace stands to its share, in the order in which it is served."""

    STARVED = 0
    WITHIN_SHARE = 1
    OVER_SHARE = 2


@dataclass(frozen=True)
class WorkspaceShare:
    """A workspace that holds memory or has queued requests; sizes are in tokens.

    ``queued`` is the number of its queued requests. ``share_tokens`` is None while
    there is capacity for all. ``priority`` is None if the workspace has none.
    """

    workspace: str
    priority: int | None
    weight: float
    held_tokens: int
    queued: int
    queued_tokens: int
    share_tokens: float | None
    standing: Standing


@dataclass(frozen=True)
class _Known:
    weight: float
    priority: int | None


def fair_level(demands: Iterable[tuple[float, float]], capacity: float) -> float | None:
    """Return the share per unit of weight; None if all demands can be met.

    ``demands`` are pairs of a demand and its weight. Who demands less than the share
    leaves the rest of it to the others, by weight.
    """
    rest = capacity
    by_level = sorted((demand / weight, weight) for demand, weight in demands)
    weights = sum(weight for _, weight in by_level)
    for level, weight in by_level:
        weights = max(weight, weights)
        if level * weights > rest * (1 + ROUNDING):
            return rest / weights
        rest = max(0.0, rest - level * weight)
        weights -= weight
    return None


class WorkspaceShares:
    """Tells which workspaces hold more than their share; a scheduler owns it.

    Shares are those of the memory that all leases hold: what the pool can lease
    depends on the sizes of the generations. Requests without a workspace count as one
    workspace of average weight.
    """

    def __init__(self):
        self._known: OrderedDict[str, _Known] = OrderedDict()
        self._served = ServedRatios()
        self._held: Mapping[str, int] = {}
        self._queued: Mapping[str, int] = {}
        self._level: float | None = None
        self._default_weight = 1.0

    @property
    def in_use(self) -> bool:
        """Whether any request has named a workspace."""
        return bool(self._known)

    def observe_request(self, request: PlacementRequest) -> None:
        """Keep the weight and the priority of a request's workspace."""
        name = request.workspace
        if not name:
            return
        weight = request.weight
        if not (math.isfinite(weight) and weight > 0):
            weight = 1.0
        self._known[name] = _Known(weight, request.workspace_priority)
        self._known.move_to_end(name)
        if len(self._known) > MAX_WORKSPACES:
            self._known.popitem(last=False)

    def observe_decided(self, workspace: str, now: float) -> None:
        """Add a request that was granted or refused for the first time."""
        if self.in_use:
            self._served.observe_asked(workspace, now)

    def observe_granted(self, workspace: str, now: float) -> None:
        """Add a grant."""
        if self.in_use:
            self._served.observe_granted(workspace, now)

    def update(self, held: Mapping[str, int], queued: Mapping[str, int]) -> None:
        """Compute the shares from the tokens that workspaces hold and have queued.

        ``held`` may change later: standings follow it, at the same share.
        """
        self._held = held
        self._queued = queued
        active = {*held, *queued}
        default = self._mean_weight(active)
        self._level = fair_level(
            (
                (held.get(name, 0) + queued.get(name, 0), self._weight(name, default))
                for name in active
            ),
            sum(held.values()),
        )
        self._default_weight = default

    def _mean_weight(self, active: Iterable[str]) -> float:
        """Return the mean of the known weights of the active workspaces."""
        weights = [self._known[name].weight for name in active if name in self._known]
        return sum(weights) / len(weights) if weights else 1.0

    def _weight(self, workspace: str, default: float) -> float:
        known = self._known.get(workspace)
        return default if known is None else known.weight

    def share_tokens(self, workspace: str) -> float | None:
        """Return a workspace's share at the last update; None if all have room."""
        if self._level is None:
            return None
        return self._level * self._weight(workspace, self._default_weight)

    def standing(self, workspace: str) -> Standing:
        """Return how a workspace stands now."""
        share = self.share_tokens(workspace)
        if share is None:
            return Standing.WITHIN_SHARE
        if self._served.is_starved(workspace):
            return Standing.STARVED
        if self._held.get(workspace, 0) > share * (1 + ROUNDING):
            return Standing.OVER_SHARE
        return Standing.WITHIN_SHARE

    def rows(self, queued: Mapping[str, int]) -> list[WorkspaceShare]:
        """Return the workspaces that hold memory or had queued requests, by name.

        ``queued`` are the numbers of their queued requests.
        """
        names = sorted({*self._held, *self._queued})
        return [
            WorkspaceShare(
                name,
                self._known[name].priority if name in self._known else None,
                self._weight(name, self._default_weight),
                self._held.get(name, 0),
                queued.get(name, 0),
                self._queued.get(name, 0),
                self.share_tokens(name),
                self.standing(name),
            )
            for name in names
        ]
