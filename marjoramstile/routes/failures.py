"""Records failures of replicas in the daemon's local state."""

from marjoramstile.logs import get_logger
from marjoramstile.routes.balancing import Balancer
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.replicas import ReplicaDirectory
from marjoramstile.routes.requests import (
    MisdirectedError,
    NoDescriptorError,
    OutdatedChoiceError,
    ReplicaError,
    RoutedRequest,
)
from marjoramstile.utils import loop_time

logger = get_logger(__name__)


class FailureRecorder:
    """Records failed requests in the replica directory and the balancer."""

    def __init__(self, directory: ReplicaDirectory, balancer: Balancer):
        self._directory = directory
        self._balancer = balancer

    def record(
        self, replica: Replica, request: RoutedRequest, error: ReplicaError
    ) -> None:
        """Record that a replica gave no usable answer to a request.

        One that was not sent to, as it takes no more requests or as this process can
        open no more connections, has not failed.
        """
        if isinstance(error, OutdatedChoiceError):
            logger.info("choice_outdated", request=request.id, replica=replica.id)
            return
        if isinstance(error, NoDescriptorError):
            logger.warning("no_descriptor", request=request.id, replica=replica.id)
            return
        if isinstance(error, MisdirectedError):
            self._directory.record_misdirected(replica)
        else:
            self._balancer.stats(replica).record_failure(loop_time())
        logger.info(
            "replica_failed",
            request=request.id,
            replica=replica.id,
            reason=f"{type(error).__name__}: {error}",
        )
