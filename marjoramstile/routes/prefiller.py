"""Prefills prompts, with a retry at another replica if one fails."""

from marjoramstile.crashes.detector import CrashDetector
from marjoramstile.limits.client import PermitClient
from marjoramstile.logs import get_logger
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.budget import WindowedRetryBudget
from marjoramstile.routes.failures import FailureRecorder
from marjoramstile.routes.links import ReplicaLinks
from marjoramstile.routes.loads import PrefillLoads
from marjoramstile.routes.ports import ReplicaClient
from marjoramstile.routes.replica_types import Replica, Stage
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.requests import (
    AnswerLostError,
    KVHandle,
    OutdatedChoiceError,
    RefusalReason,
    ReplicaError,
    RequestRefusedError,
    RoutedRequest,
)
from marjoramstile.utils import loop_time

RETRY_AFTER_S = 1.0
# Least time left before the deadline for which a prefill is worthwhile.
MIN_ATTEMPT_S = 0.05
# Replicas that one attempt may try; more would use up the retry budget of others.
TRIES_MAX = 2

logger = get_logger(__name__)


class Prefiller:
    """Chooses prefill replicas and counts the prompt tokens in flight at each."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        client: ReplicaClient,
        balancer: Balancer,
        budget: WindowedRetryBudget,
        loads: PrefillLoads,
        permits: PermitClient,
        crashes: CrashDetector,
        links: ReplicaLinks,
    ):
        self._directory = directory
        self._client = client
        self._balancer = balancer
        self._budget = budget
        self._loads = loads
        self._permits = permits
        self._crashes = crashes
        self._links = links
        self._failures = FailureRecorder(directory, balancer)

    async def prefill(
        self,
        request: RoutedRequest,
        avoid: frozenset[str],
        preferred: str,
        near: str,
        is_retry: bool,
    ) -> KVHandle | None:
        """Return the prefilled KV cache; None if the decode replica should prefill.

        ``preferred`` is the replica that the scheduler chose, and for which it has a
        permit if the replica names a limit; ``near`` is the data centre of the decode
        replica. ``is_retry`` means that the prompt was sent to a prefill replica
        before: then the prefill is skipped unless the retry budget allows it. It is
        also skipped if no prefill replica is usable.
        Raises RequestRefusedError when tries, time or the retry budget are used up.
        """
        if is_retry and not self._budget.try_consume(request.service, loop_time()):
            return None
        tried: set[str] = set()
        while True:
            replica = await self._choose(request, avoid | tried, preferred, near)
            if replica is None:
                return None
            self._check_may_try(request, len(tried))
            self._crashes.check_again(request)
            tried.add(replica.id)
            suspect = self._crashes.is_suspect(request)
            try:
                return await self._prefill_at(replica, request)
            except OutdatedChoiceError as error:
                self._failures.record(replica, request, error)
                tried.discard(replica.id)
                avoid |= {replica.id}
            except ReplicaError as error:
                self._failures.record(replica, request, error)
                if self._links.lost:
                    raise RequestRefusedError(
                        RefusalReason.NO_REPLICA, RETRY_AFTER_S
                    ) from error
                if isinstance(error, AnswerLostError):
                    self._crashes.check_for_crash(request, replica)
                    if suspect:
                        raise RequestRefusedError(
                            RefusalReason.QUARANTINED, RETRY_AFTER_S
                        ) from error

    async def _choose(
        self, request: RoutedRequest, avoid: frozenset[str], preferred: str, near: str
    ) -> Replica | None:
        replicas = self._directory.usable(request.service, Stage.PREFILL)
        allowed = [replica for replica in replicas if replica.id not in avoid]
        for replica in allowed:
            if replica.id == preferred:
                return replica
        while allowed:
            replica = self._balancer.choose_by_tokens(
                allowed, self._loads, near, loop_time()
            )
            if (await self._permits.acquire(replica, request.id)).granted:
                return replica
            allowed.remove(replica)
        return None

    def _check_may_try(self, request: RoutedRequest, tries: int) -> None:
        """Raise unless the request may be sent to one more replica."""
        now = loop_time()
        if tries >= TRIES_MAX:
            raise RequestRefusedError(RefusalReason.SHED, RETRY_AFTER_S)
        if now > request.deadline - MIN_ATTEMPT_S:
            raise RequestRefusedError(RefusalReason.TIMED_OUT, RETRY_AFTER_S)
        if tries > 0 and not self._budget.try_consume(request.service, now):
            raise RequestRefusedError(RefusalReason.BUDGET, RETRY_AFTER_S)

    async def _prefill_at(self, replica: Replica, request: RoutedRequest) -> KVHandle:
        started = loop_time()
        with self._loads.counted(replica.id, request.size.prompt):
            left_s = request.deadline - started
            async with self._links.interrupt_when_lost():
                handle = await self._client.prefill(replica, request, left_s)
        logger.info(
            "prefilled",
            request=request.id,
            replica=replica.id,
            tokens=request.size.prompt,
            handle=handle.id,
            took_s=round(loop_time() - started, 4),
        )
        return handle

    async def release_kv_cache(self, handle: KVHandle) -> None:
        """Release a KV cache that will not be fetched."""
        try:
            await self._client.release_handle(handle)
        except ReplicaError as error:
            logger.info("handle_not_freed", handle=handle.id, reason=repr(error))
