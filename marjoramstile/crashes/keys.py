"""Keys of a request by which crashes are compared: its content and its shared parts."""

from dataclasses import dataclass

from marjoramstile.routes.requests import RoutedRequest
from marjoramstile.utils import content_fingerprint

KEY_CHARACTERS = 16
# Parts of a prompt that a request is compared by.
PARTS_MAX = 64
_PART = "part/"
_CONTENT = "content/"


@dataclass(frozen=True)
class RequestKeys:
    """Keys of one request: its whole content, and its shared parts in order."""

    content: str
    parts: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """All keys, from the one that most requests share to the rarest."""
        return (*self.parts, self.content)


def keys_of(request: RoutedRequest) -> RequestKeys:
    """Return a request's keys."""
    return RequestKeys(
        _CONTENT + request.content[:KEY_CHARACTERS],
        tuple(part_key(part) for part in request.shared_parts),
    )


def part_key(part: str) -> str:
    """Return the key of a prompt's part; long ids are hashed."""
    if len(part) > KEY_CHARACTERS:
        part = content_fingerprint(part)[:KEY_CHARACTERS]
    return _PART + part


def are_keys(request: RequestKeys) -> bool:
    """Return whether what another daemon has sent can be the keys of a request."""
    return len(request.parts) <= PARTS_MAX and all(map(is_key, request.all))


def is_part(key: str) -> bool:
    """Return whether a key is that of a prompt's part."""
    return key.startswith(_PART)


def is_key(text: object) -> bool:
    """Return whether a text that an operator has sent is a key."""
    if not isinstance(text, str) or not text.startswith((_PART, _CONTENT)):
        return False
    name = text.partition("/")[2]
    return 0 < len(name) <= KEY_CHARACTERS and name.isalnum()
