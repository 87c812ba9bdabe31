"""Messages between daemons about quotas, as datagrams.

Each message of a daemon holds its whole state with a workspace, so that a lost one is
made up for by the next.
"""

from dataclasses import dataclass
from enum import StrEnum

from marjoramstile.workspaces.table import QuotaUnit


class OwnerRole(StrEnum):
    """What a daemon that was asked is for a workspace, in its own view.

    A new owner does not know yet what was used before.
    """

    OWNER = "owner"
    NEW_OWNER = "new_owner"
    DEPUTY = "deputy"
    NONE = "none"

    @property
    def grants(self) -> bool:
        """Whether it is an owner."""
        return self in (OwnerRole.OWNER, OwnerRole.NEW_OWNER)

    @property
    def is_settled(self) -> bool:
        """Whether it neither took over lately nor is about to."""
        return self == OwnerRole.OWNER


@dataclass(frozen=True)
class SpenderState:
    """A daemon's state with a workspace.

    ``spent`` is the total since its start, ``held`` are units that it may spend without
    asking, and ``recent`` what it has spent in the last window.
    """

    workspace: str
    unit: QuotaUnit
    spent: float
    held: float
    recent: float


@dataclass(frozen=True)
class Sender:
    """The daemon that sends a message, and the number of the message."""

    vm: str
    incarnation: str
    number: int


@dataclass(frozen=True)
class QuotaRequest:
    """Asks for units of a workspace.

    ``need`` is for requests that wait, the smallest of which counts ``first``.
    ``ahead`` is how many units the sender wants to hold besides. ``units`` and
    ``margin`` are the allowance that it knows. A deputy has ``relayed`` the request.
    """

    sender: Sender
    state: SpenderState
    units: float
    margin: float
    need: float
    first: float
    ahead: float
    relayed: bool = False


@dataclass(frozen=True)
class QuotaAnswer:
    """Grants units to the daemon on ``vm``: of those needed, and ahead.

    ``wait_s`` is the time until one more smallest request fits, ``used`` what all
    daemons have used in the window.
    """

    vm: str
    number: int
    role: OwnerRole
    granted: float
    ahead: float
    wait_s: float
    used: float


@dataclass(frozen=True)
class QuotaReport:
    """Tells an owner the state of a daemon with some of its workspaces."""

    sender: Sender
    states: tuple[SpenderState, ...]


@dataclass(frozen=True)
class WorkspaceUse:
    """What all daemons have used of a workspace's quota in the window."""

    workspace: str
    unit: QuotaUnit
    used: float


@dataclass(frozen=True)
class QuotaBackup:
    """Tells a daemon that may be the owner soon what was used of some workspaces."""

    vm: str
    uses: tuple[WorkspaceUse, ...]


QuotaMessage = QuotaRequest | QuotaAnswer | QuotaReport | QuotaBackup
