"""Who goes before whom while a pool's capacity is short: shares and reserves.

Designed for the flood of one workspace and for bursts of a less urgent class. It is
without effect while all requests are of one class and name no workspace.
"""

from collections import Counter
from collections.abc import Callable
from functools import cached_property

from marjoramstile.logs import get_logger
from marjoramstile.pools.decisions import PoolSnapshot
from marjoramstile.pools.leases import LeaseTable
from marjoramstile.pools.messages import PlacementRequest, Urgency
from marjoramstile.pools.reserve import (
    Arrival,
    ClassArrivals,
    ExpectedArrivals,
    PriorityClass,
    cap_of_reserve,
    ends_s,
    leaves_places,
    places_needed,
)
from marjoramstile.pools.served import ServedRatios
from marjoramstile.pools.shares import Standing, WorkspaceShare, WorkspaceShares
from marjoramstile.pools.statistics import PoolStatistics
from marjoramstile.pools.waiting import RequestQueue, WaitingRequest

# Length from which the shares are computed at most once a period, and that period: for
# 300 queued requests they take about a millisecond.
LONG_QUEUE = 32
SHARES_PERIOD_S = 0.1
# Shortest time between two log lines about the same workspace or class.
LOG_PERIOD_S = 5.0
# Names of which the time of the last line is kept.
MAX_LOGGED = 256

logger = get_logger(__name__)


class Reserve:
    """Room to leave for more urgent classes, at the time of one pool snapshot."""

    def __init__(
        self,
        pool: PoolSnapshot,
        statistics: PoolStatistics,
        expected: Callable[[PriorityClass], ExpectedArrivals | None],
    ):
        """``expected`` returns the arrivals for which a class must leave room."""
        self._pool = pool
        self._statistics = statistics
        self._expected = expected
        self._places: dict[PriorityClass, int] = {}

    @cached_property
    def _ends_s(self) -> list[float]:
        return ends_s(self._pool, self._statistics.decode_s_per_token)

    def places(self, request: PlacementRequest) -> int:
        """Return how many typical urgent generations a request must leave room for."""
        key = request.priority_class
        if request.resumed:
            return 0
        if key not in self._places:
            expected = self._expected(key)
            self._places[key] = 0 if expected is None else self._compute(expected)
        return self._places[key]

    def _compute(self, expected: ExpectedArrivals) -> int:
        needed = places_needed(expected, self._ends_s)
        return needed and min(needed, cap_of_reserve(self._pool, expected.typical))

    def allows(self, waiting: WaitingRequest) -> bool:
        """Return whether a request may be placed now."""
        places = self.places(waiting.request)
        if not places:
            return True
        typical = self._expected(waiting.request.priority_class).typical
        return leaves_places(self._pool, waiting.generation, typical, places)


class Precedence:
    """The shares of workspaces and the arrivals of classes in one shard of a pool."""

    def __init__(self, leases: LeaseTable, queue: RequestQueue):
        self._leases = leases
        self._queue = queue
        self._shares = WorkspaceShares()
        self._arrivals = ClassArrivals()
        self._served = ServedRatios()
        self._next_shares = 0.0
        self._logged_at: dict[object, float] = {}

    @property
    def applies(self) -> bool:
        """Whether requests differ in class or name workspaces."""
        return self._shares.in_use or self._arrivals.differ

    def observe_asked(
        self, request: PlacementRequest, output_tokens: int, wait_s: float, now: float
    ) -> None:
        """Add a new request that may wait for ``wait_s``."""
        key = request.priority_class
        arrival = Arrival(key, request.prompt_tokens, output_tokens, wait_s)
        self._arrivals.observe(arrival, now)
        self._shares.observe_request(request)

    def observe_granted(self, waiting: WaitingRequest, now: float) -> None:
        """Add a grant."""
        request = waiting.request
        if request.retried or request.resumed:
            return
        self._observe_decided(waiting, now)
        self._served.observe_granted(request.priority_class, now)
        self._shares.observe_granted(request.workspace, now)

    def observe_refused(self, waiting: WaitingRequest, now: float) -> None:
        """Add a refusal."""
        if not waiting.request.retried:
            self._observe_decided(waiting, now)

    def _observe_decided(self, waiting: WaitingRequest, now: float) -> None:
        """Add a decision, unless it is on a request that was refused before."""
        if waiting.urgency == Urgency.ON_TIME:
            self._served.observe_asked(waiting.request.priority_class, now)
            self._shares.observe_decided(waiting.request.workspace, now)

    def standing(self, workspace: str) -> Standing:
        """Return how a workspace stands to its share."""
        return self._shares.standing(workspace)

    def update(self, now: float) -> None:
        """Compute the shares and sort the queue by them, a long one once a period."""
        self._arrivals.forget_old(now)
        if not self._shares.in_use:
            return
        if len(self._queue) < LONG_QUEUE or now >= self._next_shares:
            self.compute_shares(now)

    def compute_shares(self, now: float) -> None:
        """Compute the shares and sort the queue by them."""
        self._next_shares = now + SHARES_PERIOD_S
        held = self._leases.workspace_tokens
        self._shares.update(held, self._queue.workspace_tokens)
        self._log_over(self._queue.rerank(self._shares.standing), now)

    def rerank(self, workspace: str, now: float) -> None:
        """Sort the queue after a grant to a workspace, at unchanged shares."""
        if self._shares.in_use:
            newly_over = self._queue.rerank(self._shares.standing, {workspace})
            self._log_over(newly_over, now)

    def _log_over(self, workspaces: set[str], now: float) -> None:
        for name in workspaces:
            if self._may_log(name, now):
                logger.info(
                    "workspace_over_share",
                    workspace=name,
                    held_tokens=self._leases.workspace_tokens.get(name, 0),
                    share_tokens=round(self._shares.share_tokens(name) or 0),
                    queued=len(self._queue),
                )

    def reserve(self, pool: PoolSnapshot, statistics: PoolStatistics) -> Reserve:
        """Return the room to leave for more urgent classes now."""
        return Reserve(pool, statistics, self.expected_before)

    def expected_before(self, key: PriorityClass) -> ExpectedArrivals | None:
        """Return the arrivals for which a class must leave room.

        None for a class that is served about a quarter as often as all, or less.
        """
        if not self._arrivals.differ or self._served.is_starved(key):
            return None
        return self._arrivals.before(key)

    def inflow_before(self, waiting: WaitingRequest) -> ExpectedArrivals | None:
        """Return the expected arrivals that go ahead of a queued request."""
        if waiting.urgency != Urgency.ON_TIME or not self._arrivals.differ:
            return None
        if waiting.rank.standing == Standing.STARVED:
            return None
        return self._arrivals.before(waiting.request.priority_class)

    def log_held_back(self, waiting: WaitingRequest, places: int, now: float) -> None:
        """Log that a class leaves room, at most once a period."""
        key = waiting.request.priority_class
        if self._may_log(key, now):
            logger.info(
                "place_held_back",
                place=waiting.request.id,
                service=waiting.request.service,
                workspace_priority=key[0],
                priority=key[1],
                places=places,
                queued=len(self._queue),
            )

    def rows(self) -> list[WorkspaceShare]:
        """Return the workspaces that hold memory or have queued requests."""
        if not self._shares.in_use:
            return []
        held = self._leases.workspace_tokens
        self._shares.update(held, self._queue.workspace_tokens)
        return self._shares.rows(
            Counter(item.request.workspace for item in self._queue)
        )

    def _may_log(self, name: object, now: float) -> bool:
        if now - self._logged_at.get(name, -LOG_PERIOD_S) < LOG_PERIOD_S:
            return False
        if len(self._logged_at) >= MAX_LOGGED:
            self._logged_at.clear()
        self._logged_at[name] = now
        return True
