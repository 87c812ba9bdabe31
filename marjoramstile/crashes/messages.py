"""Messages between daemons about crashes, as datagrams.

Lost ones are tolerated: reports and queries are sent twice, and daemons compare their
blocklists with each probe.
"""

from dataclasses import dataclass

from marjoramstile.crashes.blocklist import BlockEntry


@dataclass(frozen=True)
class CrashReport:
    """A replica crashed ``age_s`` ago under a request that had not begun.

    ``content`` and ``parts`` are the request's keys.
    """

    service: str
    replica: str
    started_at_ms: int
    age_s: float
    content: str
    parts: tuple[str, ...]


@dataclass(frozen=True)
class BeginQuery:
    """Asks a daemon for the begins of keys; begins.ANY_KEY stands for all requests."""

    id: str
    service: str
    keys: tuple[str, ...]


@dataclass(frozen=True)
class BeginCount:
    """Recent begins of one key, and the time since the last one was sent."""

    key: str
    recent: int
    age_s: float


@dataclass(frozen=True)
class BeginAnswer:
    """The begins that the daemon on ``vm`` knows of; keys without any are left out."""

    id: str
    vm: str
    counts: tuple[BeginCount, ...]


@dataclass(frozen=True)
class BlockUpdate:
    """Entries of the sender's blocklist.

    ``digest`` is that of the whole list if these are all of its entries, else empty.
    """

    entries: tuple[BlockEntry, ...]
    digest: str = ""


CrashMessage = CrashReport | BeginQuery | BeginAnswer | BlockUpdate
