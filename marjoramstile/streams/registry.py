"""The software versions that began streams, as one daemon knows them."""

from collections import OrderedDict
from dataclasses import dataclass

from marjoramstile.utils import content_fingerprint

KEY_CHARACTERS = 12
STREAMS_KEPT = 16_384
# Stands for the version of a stream for which several were recorded.
AMBIGUOUS = ""


def stream_key(service: str, attempt_id: str, content: str) -> str:
    """Return the key of the stream that a caller's attempt began.

    It holds the attempt's content too: an attempt of another caller, or on another
    route, that names the same id has another key.
    """
    return content_fingerprint(service, attempt_id, content)[:KEY_CHARACTERS]


@dataclass(frozen=True)
class RecordedStream:
    """A stream's version, recorded at loop time ``at``."""

    version: str
    at: float


class StreamRegistry:
    """Versions by the key of a stream; the oldest ones are dropped."""

    def __init__(self):
        self._streams: OrderedDict[str, RecordedStream] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._streams)

    def record(self, stream: str, version: str, now: float) -> bool:
        """Record a stream's version; return whether that is new.

        If another one is known, the attempt's id was used twice, or a version was
        mistaken: the stream then has none.
        """
        known = self._streams.get(stream)
        if known is not None:
            if known.version == version:
                return False
            version = AMBIGUOUS
        self._streams[stream] = RecordedStream(version, now)
        if len(self._streams) > STREAMS_KEPT:
            self._streams.popitem(last=False)
        return True

    def version(self, stream: str) -> str | None:
        """Return a stream's version, AMBIGUOUS, or None if it is not known."""
        known = self._streams.get(stream)
        return None if known is None else known.version

    def since(self, at: float) -> dict[str, str]:
        """Return the versions of the streams recorded from a loop time on."""
        return {
            stream: known.version
            for stream, known in self._streams.items()
            if known.at >= at
        }
