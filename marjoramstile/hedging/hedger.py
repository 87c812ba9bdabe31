"""What one daemon has learned of each plain service, and may spend on hedges."""

from collections import Counter
from dataclasses import dataclass, field

from marjoramstile.hedging.decision import (
    DELAY_MIN_S,
    HedgeRefusal,
    may_ever_hedge,
    tail_quantile,
)
from marjoramstile.hedging.latencies import LatencyTail
from marjoramstile.hedging.share import HedgeShare
from marjoramstile.logs import get_logger
from marjoramstile.reports.metrics import Metrics
from marjoramstile.routes.budget import WindowedRetryBudget
from marjoramstile.routes.requests import RoutedRequest
from marjoramstile.routes.table import RouteKind

MEDIAN = 0.5
# Services that are remembered; configurations come and go.
SERVICES_MAX = 256

logger = get_logger(__name__)


@dataclass
class ServiceHedging:
    """One service's latencies, share and counts."""

    share: HedgeShare
    tail: LatencyTail = field(default_factory=LatencyTail)
    requests: int = 0
    sent: int = 0
    won: int = 0
    refused: Counter[HedgeRefusal] = field(default_factory=Counter)


class Hedger:
    """Learns latencies, tells when a request is to be hedged, and counts hedges.

    Without a share (0) it learns nothing and costs nothing.
    """

    def __init__(self, max_share: float, budget: WindowedRetryBudget, metrics: Metrics):
        """``max_share`` is that of each service's idempotent requests."""
        self._max_share = max_share
        self._quantile = tail_quantile(max_share)
        self._budget = budget
        self._metrics = metrics
        self._services: dict[str, ServiceHedging] = {}

    @property
    def services(self) -> dict[str, ServiceHedging]:
        """What is known, by service."""
        return self._services

    def _may_hedge(self, request: RoutedRequest, runs: int) -> bool:
        route = request.route
        idempotent = route.kind == RouteKind.IDEMPOTENT
        return self._max_share > 0 and may_ever_hedge(
            idempotent, request.is_carried, runs, route.max_attempts
        )

    def _service(self, name: str) -> ServiceHedging:
        if name not in self._services:
            if len(self._services) >= SERVICES_MAX:
                del self._services[next(iter(self._services))]
            self._services[name] = ServiceHedging(HedgeShare(self._max_share))
        return self._services[name]

    def record_request(self, request: RoutedRequest) -> None:
        """Record a caller's request, of which a share may be hedged."""
        if self._may_hedge(request, runs=0):
            service = self._service(request.service)
            service.requests += 1
            service.share.record_request()

    def delay_s(self, request: RoutedRequest, runs: int) -> float | None:
        """Return how long a request waits before it is hedged.

        None if it is not to be: ``runs`` replicas may have run it before.
        """
        if not self._may_hedge(request, runs):
            return None
        return self.tail_s(request.service)

    def tail_s(self, service: str) -> float | None:
        """Return the latency beyond which a service's answers are slow, if known."""
        known = self._services.get(service)
        tail_s = None if known is None else known.tail.quantile(self._quantile)
        return None if tail_s is None else max(DELAY_MIN_S, tail_s)

    def usual_s(self, service: str) -> float:
        """Return the median latency of a service; 0 if it is not known."""
        known = self._services.get(service)
        return (known.tail.quantile(MEDIAN) if known else None) or 0.0

    def record_latency(self, request: RoutedRequest, latency_s: float) -> None:
        """Record the latency of an answer."""
        if self._may_hedge(request, runs=0):
            self._service(request.service).tail.record(latency_s)

    def record_unanswered(self, request: RoutedRequest, waited_s: float) -> bool:
        """Record that an answer would have taken longer than ``waited_s``.

        Returns whether that is beyond the tail. Only then it is counted, as the least
        that the answer would have taken: without those that hedges have cut off, the
        tail would become shorter with each hedge.
        """
        tail_s = self.tail_s(request.service)
        if tail_s is None or waited_s < tail_s:
            return False
        self.record_latency(request, waited_s)
        return True

    def try_consume(self, service: str, now: float) -> HedgeRefusal | None:
        """Take one hedge out of both budgets, or return which of them is spent."""
        known = self._service(service)
        if not known.share.allows_one:
            return HedgeRefusal.SHARE
        if not self._budget.try_consume(service, now):
            return HedgeRefusal.BUDGET
        known.share.consume()
        return None

    def record_sent(
        self, request: RoutedRequest, first: str, second: str, waited_s: float
    ) -> None:
        """Record that a request was sent to a second replica."""
        self._service(request.service).sent += 1
        self._metrics.count("hedges_sent", request.service)
        logger.info(
            "hedge_sent",
            request=request.id,
            first=first,
            replica=second,
            waited_s=round(waited_s, 4),
        )

    def record_refused(self, request: RoutedRequest, reason: HedgeRefusal) -> None:
        """Record that a request that waits beyond the tail is not hedged."""
        self._service(request.service).refused[reason] += 1
        logger.info("hedge_refused", request=request.id, reason=str(reason))

    def record_ended(self, request: RoutedRequest, winner: str, won: bool) -> None:
        """Record which replica answered a hedged request; ``won`` if the second."""
        service = self._service(request.service)
        service.share.record_ended(won)
        if won:
            service.won += 1
            self._metrics.count("hedges_won", request.service)
        logger.info("hedge_ended", request=request.id, replica=winner, won=won)
