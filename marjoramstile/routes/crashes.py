"""Finds requests that crash the replicas which run them.

A replica that went silent or reset a connection under a request is asked at once; if
it takes no connection, the request's content gets a strike. Strikes travel with the
daemons' probes, as the same request may come again to any of them.
"""

from marjoramstile.admission.quarantine import Quarantine
from marjoramstile.logs import get_logger
from marjoramstile.routes.ports import ReplicaClient
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.requests import RoutedRequest
from marjoramstile.utils import TaskGroupOwner

# Replicas that a content may crash before it is refused.
STRIKES_MAX = 3
RETRY_AFTER_S = 3.0

logger = get_logger(__name__)


class CrashDetector:
    """Strikes contents whose replica is gone, and tells which are refused."""

    def __init__(
        self, quarantine: Quarantine, client: ReplicaClient, tasks: TaskGroupOwner
    ):
        self._quarantine = quarantine
        self._client = client
        self._tasks = tasks

    def is_blocked(self, request: RoutedRequest) -> bool:
        """Tell whether a request must not run any more."""
        if self._quarantine.is_empty:
            return False
        return self._quarantine.is_blocked(request.content, STRIKES_MAX)

    def check_for_crash(self, request: RoutedRequest, replica: Replica) -> None:
        """Look whether a replica that lost a request has crashed."""
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
        """Forget the strikes of a content that a replica has run to its end."""
        if not self._quarantine.is_empty:
            self._quarantine.clear(request.content)
