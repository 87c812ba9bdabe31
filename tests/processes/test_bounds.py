"""Restrictions on the daemon's process, and its exit on invalid settings."""

import subprocess
import sys
from pathlib import Path

import pytest

from marjoramstile.exit_codes import BAD_SETTINGS_EXIT
from marjoramstile.loops import io_uring_descriptors
from tests.processes.clients import completion_body, stream, whole_text

pytestmark = pytest.mark.asyncio(loop_scope="module")


async def test_a_serving_daemon_uses_no_forbidden_resources(fleet):
    """It has no child process, io_uring instance, shared memory or second thread."""
    body = completion_body()
    assert await stream(fleet, 1, body) == whole_text(body)
    process = Path("/proc") / str(fleet.get("vm-1").process.pid)
    children = (process / "task" / process.name / "children").read_text()
    assert children == ""
    assert io_uring_descriptors(str(process / "fd")) == []
    maps = (process / "maps").read_text()
    assert "/dev/shm" not in maps
    assert "/SYSV" not in maps
    assert "/dev/zero" not in maps
    assert len(list((process / "task").iterdir())) == 1


async def test_invalid_settings_end_the_daemon_with_an_error_for_each_line(tmp_path):
    settings = tmp_path / "bad.yaml"
    settings.write_text("node: {name: vm-1}\nlisteners: 3\n")
    done = subprocess.run(
        [sys.executable, "-m", "marjoramstile.daemon", f"--settings={settings}"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == BAD_SETTINGS_EXIT
    assert "line 1: node.data_centre: Field required" in done.stderr
    assert "line 2: listeners" in done.stderr
    assert "Traceback" not in done.stderr


async def test_a_missing_settings_file_ends_the_daemon_with_its_path(tmp_path):
    done = subprocess.run(
        [sys.executable, "-m", "marjoramstile.daemon", "--settings=/nowhere"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == BAD_SETTINGS_EXIT
    assert "/nowhere" in done.stderr
