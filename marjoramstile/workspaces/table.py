"""The workspaces of one version of the configuration, found by their callers' keys."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from marjoramstile.logs import get_logger
from marjoramstile.workspaces.keys import bearer_key, key_digest, logged_digest

logger = get_logger(__name__)


class QuotaUnit(StrEnum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True)
class Quota:
    """Units that a workspace's requests may use, over all VMs.

    At most ``rate_per_s`` units a second, and ``burst`` units beyond that.
    ``plain_tokens`` are what a request without a stated size counts in tokens.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit
    plain_tokens: int


@dataclass(frozen=True)
class Workspace:
    """A workspace; ``priority`` (0 is the highest) goes before a route's.

    ``quota`` is None if its requests are not limited.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True)
class WorkspaceKeys:
    """A workspace and the digests of its keys, as configured."""

    workspace: Workspace
    digests: tuple[str, ...]


class WorkspaceTable:
    """All workspaces of a configuration, by name and by the digests of their keys.

    A key that several workspaces name belongs to none of them.
    """

    def __init__(self, configured: Iterable[WorkspaceKeys]):
        self._by_name: dict[str, Workspace] = {}
        self._by_digest: dict[str, Workspace] = {}
        ambiguous: set[str] = set()
        for item in configured:
            self._by_name[item.workspace.name] = item.workspace
            if not item.digests:
                logger.warning("workspace_without_keys", workspace=item.workspace.name)
            for digest in item.digests:
                known = self._by_digest.setdefault(digest, item.workspace)
                if known.name != item.workspace.name:
                    ambiguous.add(digest)
        for digest in ambiguous:
            del self._by_digest[digest]
            logger.error("key_of_several_workspaces", key=logged_digest(digest))

    def __len__(self) -> int:
        return len(self._by_name)

    @property
    def all(self) -> tuple[Workspace, ...]:
        """All workspaces, in the order of the configuration."""
        return tuple(self._by_name.values())

    def get(self, name: str) -> Workspace | None:
        """Return a workspace by its name."""
        return self._by_name.get(name)

    def authenticate(self, credentials: tuple[str, ...]) -> Workspace | None:
        """Return the workspace of the key in a request's credentials, if there is one.

        The look-up of a digest takes the same time whatever a wrong key has in common
        with a right one.
        """
        key = bearer_key(credentials)
        return None if key is None else self._by_digest.get(key_digest(key))
