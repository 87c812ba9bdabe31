"""What both daemons' processes have in common: logs, the loop, and how they end."""

import asyncio
import sys
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import Any

from marjoramstile.exit_codes import (
    BAD_SETTINGS_EXIT,
    FAILED_EXIT,
    PLANNED_STOP_EXIT,
)
from marjoramstile.listeners import UnusableAddressError
from marjoramstile.logs import get_logger
from marjoramstile.process_signals import DaemonSignals

logger = get_logger(__name__)


def print_error(message: str) -> None:
    """Print a message for whoever started the daemon, if there is still a reader."""
    try:
        print(message, file=sys.stderr, flush=True)
    except (OSError, ValueError) as error:
        logger.warning("message_not_printed", message=message, reason=str(error))


def run_loop(
    loop: asyncio.AbstractEventLoop, serve: Coroutine, signals: DaemonSignals
) -> int:
    """Run the daemon until it has stopped; return its exit code."""
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(serve)
    except UnusableAddressError as error:
        logger.error("address_unusable", reason=str(error))
        print_error(f"marjoramstile: {error}")
        return BAD_SETTINGS_EXIT
    except Exception as error:
        logger.error(
            "daemon_failed", error=repr(error), traceback=traceback.format_exc()
        )
        return FAILED_EXIT
    finally:
        signals.ignore()
    return PLANNED_STOP_EXIT


def deliver_signals(
    signals: DaemonSignals, stop: Callable[[], None], reload: Callable[[], None]
) -> None:
    """Call ``stop`` and ``reload`` in the running loop when a signal is received."""
    loop = asyncio.get_running_loop()
    signals.deliver(
        partial(loop.call_soon_threadsafe, stop),
        partial(loop.call_soon_threadsafe, reload),
    )


def report_loop_errors(count: Callable[[str], None]) -> None:
    """Log errors that reach the running loop, and count them by their exception."""

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        logger.error(
            "loop_error", message=context.get("message", ""), error=repr(error)
        )
        count(type(error).__name__)

    asyncio.get_running_loop().set_exception_handler(handle)


async def complete_unless(stopping: asyncio.Event, step: Awaitable[None]) -> bool:
    """Return whether ``step`` completed; cancel it as soon as ``stopping`` is set."""
    running = asyncio.ensure_future(step)
    stopped = asyncio.ensure_future(stopping.wait())
    try:
        await asyncio.wait((running, stopped), return_when=asyncio.FIRST_COMPLETED)
    finally:
        stopped.cancel()
    if stopping.is_set():
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return False
    running.result()
    return True
