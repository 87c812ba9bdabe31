"""SIGHUP to daemons of both kinds whose settings file can't be read any more."""

import asyncio
import signal

import pytest

from tests.processes.starting import KINDS, StartedDaemon

pytestmark = pytest.mark.asyncio(loop_scope="function")
CONTENTS = {
    "missing": None,
    "half_written": b"{nodeName: vm",
    "empty": b"",
    "invalid": b"a: b: c",
    "wrong_encoding": b"nodeName: \xff\xfe",
    "too_deep": b"[" * 20_000,
    "no_such_date": b"nodeName: 2026-13-45",
    "tag_without_value": b"nodeName: !!bool perhaps",
    "too_long": b"#" * 1_000_000,
}


@pytest.mark.parametrize("kind", KINDS)
async def test_a_reload_that_fails_leaves_the_daemon_as_it_is(kind, tmp_path):
    daemon = StartedDaemon(kind, tmp_path)
    try:
        daemon.start()
        await daemon.wait_for_event("daemon_started")
        for count, content in enumerate(CONTENTS.values(), 1):
            replace_settings(daemon, content)
            daemon.process.send_signal(signal.SIGHUP)
            await daemon.wait_until(lambda count=count: failures(daemon) == count)
        daemon.write_settings()
        daemon.process.send_signal(signal.SIGHUP)
        await daemon.wait_until(lambda: "valid=true" in daemon.output)
        assert "Traceback" not in daemon.output
        await asyncio.sleep(0.1)
        daemon.process.terminate()
        assert await daemon.wait_exit() == 0
    finally:
        daemon.kill()


def replace_settings(daemon: StartedDaemon, content: bytes | None) -> None:
    """Write a settings file, or delete it."""
    daemon.settings_file.unlink(missing_ok=True)
    if content is not None:
        daemon.settings_file.write_bytes(content)


def failures(daemon: StartedDaemon) -> int:
    """Return how many failed reloads a daemon has logged with their reason."""
    lines = daemon.output.splitlines()
    return sum("valid=false reason=" in line for line in lines)
