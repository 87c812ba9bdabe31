"""Types that describe a replica."""

from dataclasses import dataclass
from enum import StrEnum


class ReplicaState(StrEnum):
    """State that a replica reports for itself."""

    READY = "ready"
    DRAINING = "draining"


class Stage(StrEnum):
    """The part of a generation that a replica runs."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True)
class Replica:
    """One incarnation of a replica.

    ``started_at_ms`` is its start in Unix milliseconds and distinguishes incarnations
    with the same id. ``stage`` is None for plain services. ``version`` is that of its
    software, empty if it names none; versions have no order.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    state: ReplicaState
    started_at_ms: int
    stage: Stage | None = None
    version: str = ""

    def is_same_process(self, other: "Replica") -> bool:
        """Return whether another row describes the same process of a replica."""
        own = (self.id, self.started_at_ms, self.version)
        return own == (other.id, other.started_at_ms, other.version)

    @property
    def address(self) -> str:
        """The replica's ``host:port``."""
        return f"{self.host}:{self.port}"
