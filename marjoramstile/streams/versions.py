"""The software versions that serve a service, or did so lately."""

from dataclasses import asdict, dataclass

from marjoramstile.json_fields import MalformedJSONError, parse_object
from marjoramstile.logs import get_logger
from marjoramstile.ports.feeds import StoredRow
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.replicas import ReplicaDirectory

logger = get_logger(__name__)


@dataclass(frozen=True)
class StoredVersions:
    """A service's versions in the store: those present, and those that went lately."""

    present: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()

    def to_value(self) -> dict[str, object]:
        """Return the row's value."""
        return asdict(self)

    def changed_to(self, present: set[str]) -> "StoredVersions":
        """Return the versions after a change of those present."""
        gone = {*self.present, *self.gone} - present
        return StoredVersions(tuple(sorted(present)), tuple(sorted(gone)))


def decode_versions(row: StoredRow) -> StoredVersions | None:
    """Return a row's versions; None if it was deleted or is malformed."""
    if row.value is None:
        return None
    try:
        body = parse_object(row.value)
        return StoredVersions(body.texts("present"), body.texts("gone"))
    except MalformedJSONError as error:
        logger.warning("versions_row_unreadable", row=row.key, reason=str(error))
        return None


class VersionHistory:
    """Versions by service: those in the list of replicas, and those that were."""

    def __init__(self, directory: ReplicaDirectory):
        self._directory = directory
        self._seen_until: dict[tuple[str, str], float] = {}
        self._began_at: float | None = None
        self._loaded: set[str] = set()

    def begin(self, now: float) -> None:
        """Record that the list of replicas has been read for the first time."""
        if self._began_at is None:
            self._began_at = now

    def record_gone(self, replica: Replica, now: float) -> None:
        """Record that a replica has left the list, or has another version now."""
        if replica.stage is not None:
            self._seen_until[replica.service, replica.version] = now

    def load(self, service: str, stored: StoredVersions, now: float) -> None:
        """Take over what the store knows of the time before this daemon's start."""
        self._loaded.add(service)
        for version in (*stored.present, *stored.gone):
            self._seen_until[service, version] = now

    def present(self, service: str) -> set[str]:
        """Return the versions of a service's engines in the list."""
        return {
            replica.version
            for replica in self._directory.all
            if replica.service == service and replica.stage is not None
        }

    def seen_since(self, service: str, since: float) -> set[str]:
        """Return the versions that served at a loop time or later, as far as known."""
        gone = {
            version
            for (name, version), until in self._seen_until.items()
            if name == service and until >= since
        }
        return self.present(service) | gone

    def is_complete_since(self, service: str, since: float) -> bool:
        """Return whether no version that served from a loop time on is missing."""
        if service in self._loaded:
            return True
        return self._began_at is not None and self._began_at <= since
