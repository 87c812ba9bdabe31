"""Small helpers shared by several packages."""

import asyncio
import contextlib
import hashlib
import hmac
import secrets
from collections.abc import Awaitable, Callable, Coroutine, Iterable

from marjoramstile.logs import get_logger

TOKEN_BYTES = 12
MILLISECONDS_PER_S = 1000

logger = get_logger(__name__)


def loop_time() -> float:
    """Return the running loop's time in seconds, which tests pause and advance."""
    return asyncio.get_running_loop().time()


def new_token() -> str:
    """Return a random identifier that no other process will produce."""
    return secrets.token_hex(TOKEN_BYTES)


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of ``secret`` in hexadecimal, the form that is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


def matches_any(secret: str, hashes: Iterable[str]) -> bool:
    """Return whether ``secret`` has one of ``hashes``, in time independent of which."""
    digest = hash_secret(secret)
    matched = False
    for candidate in hashes:
        matched = hmac.compare_digest(digest, candidate) or matched
    return matched


def content_fingerprint(*parts: str | bytes) -> str:
    """Return a digest of ``parts`` alone, the same whoever sent them."""
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


def rendezvous_owner(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest rendezvous weight for ``key``."""
    return max(nodes, key=lambda node: rendezvous_weight(key, node), default=None)


def rendezvous_weight(key: str, node: str) -> bytes:
    """Return the weight of ``node`` for ``key``, the same on every daemon."""
    return hashlib.blake2b(f"{key}|{node}".encode(), digest_size=8).digest()


def stable_percent(key: str) -> float:
    """Map ``key`` to a fixed number in [0, 100)."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64 * 100


async def run_every(
    period_s: float, action: Callable[[], Awaitable[None]], name: str
) -> None:
    """Run ``action`` every ``period_s`` seconds until cancelled; log its errors."""
    while True:
        try:
            await action()
        except Exception as error:
            logger.error("periodic_task_failed", task=name, error=repr(error))
        await asyncio.sleep(period_s)


class BackgroundTasks:
    """Owns background tasks and cancels them on ``close``."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()
        self._closed = False

    def start(self, coroutine: Coroutine, name: str) -> asyncio.Future:
        """Run ``coroutine`` in the background; log an error that it raises.

        After ``close``, return a cancelled future and start nothing.
        """
        if self._closed:
            coroutine.close()
            cancelled_future = asyncio.get_running_loop().create_future()
            cancelled_future.cancel()
            return cancelled_future
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)
        return task

    def _handle_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                "background_task_failed",
                task=task.get_name(),
                error=repr(task.exception()),
            )

    async def close(self) -> None:
        """Cancel all tasks and wait for them to end."""
        self._closed = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
