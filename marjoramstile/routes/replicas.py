"""Replicas known to this daemon and whether they may get new requests."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from marjoramstile.logs import get_logger

RETURN_WAIT_S = 2.0

logger = get_logger(__name__)


class ReplicaState(StrEnum):
    """State that a replica reports of itself."""

    READY = "ready"
    DRAINING = "draining"


class Stage(StrEnum):
    """Which part of a generation a replica runs."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class Replica:
    """One incarnation of a replica.

    ``born_ms`` is the Unix millisecond of its start and tells incarnations with
    the same id apart. ``stage`` is None for plain services.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    state: ReplicaState
    born_ms: int
    stage: Stage | None = None

    @property
    def address(self) -> str:
        """The replica's ``host:port``."""
        return f"{self.host}:{self.port}"


class ReplicaDirectory:
    """Replicas by id, as their rows in the store say, with local evidence on top."""

    def __init__(self):
        self._replicas: dict[str, Replica] = {}
        self._missing_until: dict[str, float] = {}
        self._misdirected: dict[str, tuple[int, Stage | None]] = {}

    def put(self, replica: Replica) -> None:
        """Take a replica's row."""
        known = self._replicas.get(replica.id)
        self._replicas[replica.id] = replica
        self._missing_until.pop(replica.id, None)
        if known is None or known.born_ms != replica.born_ms:
            logger.info(
                "replica_appeared",
                replica=replica.id,
                service=replica.service,
                stage=replica.stage,
            )
        elif known.state != replica.state or known.stage != replica.stage:
            logger.info(
                "replica_changed",
                replica=replica.id,
                state=replica.state,
                stage=replica.stage,
            )

    def remove(self, replica_id: str, keep_until: float, now: float) -> None:
        """Drop a replica whose row is gone.

        A row that lapsed while the store was away may come back until ``keep_until``.
        """
        replica = self._replicas.get(replica_id)
        if replica is None:
            return
        if keep_until > now and replica.state == ReplicaState.READY:
            self._missing_until[replica_id] = keep_until
            return
        del self._replicas[replica_id]
        self._misdirected.pop(replica_id, None)
        logger.info("replica_gone", replica=replica_id, service=replica.service)

    def expire(self, now: float) -> None:
        """Drop replicas that stayed missing for too long."""
        for replica_id, until in list(self._missing_until.items()):
            if now >= until:
                del self._missing_until[replica_id]
                self.remove(replica_id, now, now)

    def note_misdirected(self, replica: Replica) -> None:
        """Note that another replica, or one of another stage, has answered.

        ``replica`` is left out until its row tells of a new start or another stage.
        """
        self._misdirected[replica.id] = _incarnation_and_stage(replica)
        logger.warning("replica_misdirected", replica=replica.id, stage=replica.stage)

    def get(self, replica_id: str) -> Replica | None:
        """Return a replica by id."""
        return self._replicas.get(replica_id)

    def usable(self, service: str, stage: Stage | None = None) -> list[Replica]:
        """Return replicas of a service that may get new requests."""
        return [
            replica
            for replica in self._replicas.values()
            if replica.service == service
            and replica.state == ReplicaState.READY
            and replica.stage == stage
            and self._misdirected.get(replica.id) != _incarnation_and_stage(replica)
        ]

    @property
    def all(self) -> Iterable[Replica]:
        """All replicas known."""
        return self._replicas.values()


def _incarnation_and_stage(replica: Replica) -> tuple[int, Stage | None]:
    """Return what a 421 of the replica says is wrong in its row."""
    return replica.born_ms, replica.stage
