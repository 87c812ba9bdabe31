"""Signals to daemons of both kinds while they start and while they end."""

import asyncio
import signal
import time

import pytest

from tests.processes.starting import KINDS, StartedDaemon

pytestmark = pytest.mark.asyncio(loop_scope="function")
# Times after the handlers are installed, from the first import to the running loop.
MOMENTS_S = (0.0, 0.05, 0.2, 0.5, 1.0)
STOPS = (signal.SIGTERM, signal.SIGINT)
SERIES = (
    signal.SIGHUP,
    signal.SIGHUP,
    signal.SIGTERM,
    signal.SIGHUP,
    signal.SIGTERM,
)
STOP_LIMIT_S = 2.0


@pytest.fixture(params=KINDS)
def daemon(request, tmp_path):
    """A daemon that is not started yet."""
    daemon = StartedDaemon(request.param, tmp_path)
    yield daemon
    daemon.kill()


async def test_signals_are_handled_before_the_daemon_is_loaded(daemon):
    daemon.start()
    while not daemon.handles_signals:
        assert not daemon.has_loaded
        await asyncio.sleep(0.001)
    assert not daemon.has_loaded


@pytest.mark.parametrize("moment_s", MOMENTS_S)
async def test_a_sighup_while_starting_does_not_end_the_daemon(daemon, moment_s):
    daemon.start()
    await daemon.wait_for_handlers()
    await asyncio.sleep(moment_s)
    daemon.process.send_signal(signal.SIGHUP)
    await daemon.wait_for_event("settings_reloaded")
    await daemon.wait_for_event("daemon_started")
    assert "valid=true" in daemon.output


@pytest.mark.parametrize("moment_s", MOMENTS_S)
@pytest.mark.parametrize("number", STOPS)
async def test_a_stop_while_starting_is_a_planned_one(daemon, number, moment_s):
    daemon.start()
    await daemon.wait_for_handlers()
    await asyncio.sleep(moment_s)
    loaded = "event=daemon_started " in daemon.output
    stopped_at = time.monotonic()
    daemon.process.send_signal(number)
    assert await daemon.wait_exit() == 0, daemon.output
    if "event=daemon_started " not in daemon.output:
        assert time.monotonic() < stopped_at + STOP_LIMIT_S
        assert "event=daemon_stopped_while_starting " in daemon.output
        assert not loaded
    assert "Traceback" not in daemon.output


@pytest.mark.parametrize("moment_s", MOMENTS_S)
async def test_signals_in_series_while_starting_end_in_a_planned_stop(daemon, moment_s):
    daemon.start()
    await daemon.wait_for_handlers()
    await asyncio.sleep(moment_s)
    for number in SERIES:
        daemon.process.send_signal(number)
        await asyncio.sleep(0.01)
    assert await daemon.wait_exit() == 0, daemon.output
    assert "Traceback" not in daemon.output


@pytest.mark.parametrize("number", [signal.SIGHUP, *STOPS])
async def test_signals_until_the_process_is_gone_keep_the_exit_code(daemon, number):
    daemon.start()
    await daemon.wait_for_event("daemon_started")
    daemon.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(20.0):
        while daemon.process.poll() is None:
            daemon.process.send_signal(number)
            await asyncio.sleep(0.001)
    assert daemon.process.returncode == 0, daemon.output
