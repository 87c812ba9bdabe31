"""Tests of what ends a daemon's process and what doesn't."""

import asyncio
import signal

import pytest

from marjoramstile.exit_codes import BAD_SETTINGS_EXIT, FAILED_EXIT, PLANNED_STOP_EXIT
from marjoramstile.listeners import UnusableAddressError
from marjoramstile.process import complete_unless, report_loop_errors, run_loop
from marjoramstile.process_signals import HANDLED_SIGNALS, DaemonSignals
from tests.support import captured_logs


def run(coroutine) -> tuple[int, str]:
    """Run a coroutine as a daemon; return the exit code and the log."""
    handlers = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
    loop = asyncio.new_event_loop()
    try:
        with captured_logs() as stream:
            code = run_loop(loop, coroutine, DaemonSignals(2))
        ignored = {signal.getsignal(number) for number in HANDLED_SIGNALS}
        assert ignored == {signal.SIG_IGN}
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
        loop.close()
    return code, stream.getvalue()


def test_an_error_at_the_top_is_logged_and_has_an_exit_code():
    async def serve():
        raise KeyError("lost")

    code, log = run(serve())
    assert code == FAILED_EXIT
    assert "level=error event=daemon_failed" in log
    assert "in serve" in log


def test_an_unusable_address_has_an_exit_code_of_its_own():
    async def serve():
        raise UnusableAddressError("front", "10.0.0.1:80", "denied")

    code, log = run(serve())
    assert code == BAD_SETTINGS_EXIT
    assert "event=address_unusable" in log


def test_an_error_in_a_callback_of_the_loop_is_logged_and_counted():
    counted = []

    async def serve():
        report_loop_errors(counted.append)
        asyncio.get_running_loop().call_soon(int, "no number")
        await asyncio.sleep(0.01)

    code, log = run(serve())
    assert code == PLANNED_STOP_EXIT
    assert counted == ["ValueError"]
    assert "level=error event=loop_error" in log


async def test_a_step_is_cancelled_when_a_stop_is_requested():
    stopping = asyncio.Event()
    step = asyncio.ensure_future(asyncio.sleep(3600.0))
    asyncio.get_running_loop().call_later(1.0, stopping.set)
    assert not await complete_unless(stopping, step)
    assert step.cancelled()


async def test_a_step_that_completes_is_told_and_its_error_raised():
    assert await complete_unless(asyncio.Event(), asyncio.sleep(1.0))

    async def fail():
        raise ValueError("lost")

    with pytest.raises(ValueError, match="lost"):
        await complete_unless(asyncio.Event(), fail())
