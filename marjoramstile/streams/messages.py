"""Messages between daemons about the versions of streams, as datagrams.

A lost one costs at most that a stream can't be taken up.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class StreamBegun:
    """A replica of a software version has begun a stream; see registry.stream_key."""

    service: str
    stream: str
    version: str


@dataclass(frozen=True)
class VersionQuery:
    """Asks a keeper which version began a stream."""

    id: str
    service: str
    stream: str


@dataclass(frozen=True)
class VersionAnswer:
    """What the daemon on ``vm`` knows: the stream's version, None if not that.

    ``versions`` are all that it has seen serve the service lately.
    """

    id: str
    vm: str
    version: str | None
    versions: tuple[str, ...]


StreamMessage = StreamBegun | VersionQuery | VersionAnswer
