"""Detects requests that crash the replicas which run them.

When a replica stalls or resets the connection while it runs a request, it is probed at
once; if it accepts no connection, the request's content gets a strike. Daemons exchange
strikes in their probes, since the caller may retry the request at any daemon.
"""

from marjoramstile.admission.quarantine import Quarantine
from marjoramstile.logs import get_logger
from marjoramstile.routes.ports import ReplicaClient
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.requests import RoutedRequest
from marjoramstile.utils import BackgroundTasks

# Replicas that a content may crash before its requests are refused.
STRIKES_MAX = 3
RETRY_AFTER_S = 3.0

logger = get_logger(__name__)


class CrashDetector:
    """Adds strikes to contents that crash replicas; checks which are blocked."""

    def __init__(
        self, quarantine: Quarantine, client: ReplicaClient, tasks: BackgroundTasks
    ):
        self._quarantine = quarantine
        self._client = client
        self._tasks = tasks

    def is_blocked(self, request: RoutedRequest) -> bool:
        """Return whether a request must not run any more."""
        if self._quarantine.is_empty:
            return False
        return self._quarantine.is_blocked(request.content, STRIKES_MAX)

    def check_for_crash(self, request: RoutedRequest, replica: Replica) -> None:
        """Check in the background whether a replica that lost a request has crashed."""
        self._tasks.start(self._strike_if_crashed(request, replica), "look for a crash")

    async def _strike_if_crashed(
        self, request: RoutedRequest, replica: Replica
    ) -> None:
        if await self._client.accepts_connections(replica):
            return
        incarnation = f"{replica.id}/{replica.started_at_ms}"
        if self._quarantine.strike(request.content, incarnation):
            logger.warning(
                "replica_crashed_under", request=request.id, replica=replica.id
            )

    def clear_strikes(self, request: RoutedRequest) -> None:
        """Clear the strikes of a content that a replica has completed."""
        if not self._quarantine.is_empty:
            self._quarantine.clear(request.content)
