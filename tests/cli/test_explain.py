"""Tests of ``explain``, which joins the lines about a request from several logs."""

import pytest
from typer.testing import CliRunner

from marjoramstile.cli.main import app

FIRST = """\
 1.2 vm-1 ts=10.100 level=info event=replica_failed logger=m request=q1 replica=r
 1.3 vm-1 ts=10.300 level=info event=request_ended logger=m request=q10 outcome=200
"""
SECOND = """\
ts=10.200 level=warning event=request_ended logger=m request=q1 outcome=refused
"""


@pytest.fixture
def logs(tmp_path):
    """Write two daemons' logs."""
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(FIRST)
    second.write_text(SECOND)
    return [str(first), str(second)]


def test_lines_of_all_daemons_come_in_order(logs):
    result = CliRunner().invoke(app, ["explain", "q1", *logs])
    lines = result.stdout.splitlines()
    assert result.exit_code == 0
    assert [line.split()[1] for line in lines] == ["vm-1", "b.log"]
    assert "q10" not in result.stdout


def test_scheduler_lines_about_a_placement_are_found(tmp_path):
    own, scheduler = tmp_path / "own.log", tmp_path / "scheduler.log"
    own.write_text(
        "ts=10.2 level=info event=no_place logger=m request=q1 place=ab-7 asked=vm-3\n"
        "ts=10.3 level=info event=request_ended request=q1 outcome=refused\n"
    )
    scheduler.write_text(
        "ts=10.1 level=info event=place_refused logger=m place=ab-7 queued=9\n"
        "ts=10.1 level=info event=place_refused logger=m place=ab-70 queued=8\n"
    )
    result = CliRunner().invoke(app, ["explain", "q1", str(own), str(scheduler)])
    assert "queued=9" in result.stdout
    assert "queued=8" not in result.stdout


def test_a_missing_end_is_reported(logs):
    result = CliRunner().invoke(app, ["explain", "q1", logs[0]])
    assert "missing: no end" in result.output


def test_an_unknown_request_is_reported(logs):
    result = CliRunner().invoke(app, ["explain", "q9", *logs])
    assert result.exit_code == 1
    assert "missing: no line" in result.output
