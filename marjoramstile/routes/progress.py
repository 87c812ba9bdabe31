"""The state of one generation over its attempts."""

from dataclasses import dataclass

from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.requests import (
    KVHandle,
    OutdatedChoiceError,
    ReplicaError,
)


@dataclass(frozen=True)
class PrefilledPrompt:
    """A KV cache that a prefill replica keeps until loop time ``expires_at``."""

    handle: KVHandle
    expires_at: float


@dataclass
class Progress:
    """What the caller of one stream has received, and the attempts made for it.

    ``events`` counts all of them, ``replica_events`` those of the last replica alone,
    to which the request was sent at ``sent_at``. ``version`` is the software version
    that began the stream, ``origin`` the replica, if it began here; None before.
    ``runs`` counts the decode replicas that may have run the request, ``prefills`` the
    attempts that requested a prefill. ``prefilled`` is a KV cache that no decode
    replica was asked to fetch yet.
    """

    last_event: int | None
    started: bool = False
    events: int = 0
    replica_events: int = 0
    sent_at: float = 0.0
    version: str | None = None
    origin: Replica | None = None
    runs: int = 0
    prefills: int = 0
    prefilled: PrefilledPrompt | None = None


class SendFailedError(Exception):
    """A decode replica failed; ``ran`` is set if it may have run the request."""

    def __init__(self, replica: Replica, error: ReplicaError, ran: bool):
        super().__init__(str(error))
        self.replica = replica
        self.error = error
        self.ran = ran

    @property
    def is_outdated(self) -> bool:
        """Whether nothing was sent, as the replica takes no more requests."""
        return isinstance(self.error, OutdatedChoiceError)
