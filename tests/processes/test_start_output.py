"""Daemons of both kinds that start without some of their standard descriptors."""

import asyncio

import pytest
from aiohttp import ClientError, ClientSession

from demo.fleet import CALLERS_PORT
from demo.published_fleet import READY_PORT
from tests.processes.starting import KINDS, StartedDaemon, vm_host

pytestmark = pytest.mark.asyncio(loop_scope="function")
PORTS = {"router": READY_PORT, "marjoramstiled": CALLERS_PORT}


@pytest.fixture(params=KINDS)
def daemon(request, tmp_path):
    """A daemon that is not started yet."""
    daemon = StartedDaemon(request.param, tmp_path)
    yield daemon
    daemon.kill()


async def wait_for_answer(daemon: StartedDaemon) -> None:
    """Wait until a daemon responds to any request."""
    url = f"http://{vm_host()}:{PORTS[daemon.kind]}/"
    async with asyncio.timeout(10.0), ClientSession() as session:
        while True:
            assert daemon.process.poll() is None, daemon.output
            try:
                async with session.get(url):
                    return
            except (ClientError, OSError):
                await asyncio.sleep(0.05)


@pytest.mark.parametrize("closed", [">&-", "2>&-", ">&- 2>&-", "<&- >&- 2>&-"])
async def test_a_daemon_serves_without_standard_descriptors(daemon, closed):
    daemon.start(closed)
    await wait_for_answer(daemon)
    daemon.process.terminate()
    assert await daemon.wait_exit() == 0


async def test_log_lines_go_to_the_descriptor_that_is_open(daemon):
    logs_to = daemon.launch.logs_to
    other = {"stdout": "stderr", "stderr": "stdout"}[logs_to]
    daemon.start({"stdout": ">&-", "stderr": "2>&-"}[logs_to])
    await daemon.wait_for_event("daemon_started")
    assert "event=daemon_started " in daemon.output_of(other)


async def test_settings_that_are_wrong_are_told_without_standard_error(daemon):
    daemon.settings_file.write_text("listen: 3\n")
    daemon.start("2>&-")
    assert await daemon.wait_exit() == 78
    assert "event=settings_invalid " in daemon.output
