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
# Pauses before a task that must last is started again, the first and the longest.
RESTART_MIN_S = 0.05
RESTART_MAX_S = 1.0

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

    def __init__(self, on_failure: Callable[[str], None] = lambda name: None):
        """``on_failure`` is called with the name of each task that fails."""
        self._on_failure = on_failure
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

    def start_retried(
        self, action: Callable[[], Awaitable[None]], name: str
    ) -> asyncio.Future:
        """Run ``action`` in the background; start it again until it doesn't fail.

        Tasks that go on until they are cancelled are started so, too.
        """
        return self.start(self._run_until_done(action, name), name)

    async def _run_until_done(
        self, action: Callable[[], Awaitable[None]], name: str
    ) -> None:
        pause_s = RESTART_MIN_S
        while True:
            started = loop_time()
            try:
                await action()
                return
            except Exception as error:
                self._record_failure("background_task_restarted", name, repr(error))
            if loop_time() - started > RESTART_MAX_S:
                pause_s = RESTART_MIN_S
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RESTART_MAX_S)

    def _handle_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._record_failure(
                "background_task_failed", task.get_name(), repr(task.exception())
            )

    def _record_failure(self, event: str, name: str, error: str) -> None:
        logger.error(event, task=name, error=error)
        self._on_failure(name)

    async def close(self) -> None:
        """Cancel all tasks and wait for them to end."""
        self._closed = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
