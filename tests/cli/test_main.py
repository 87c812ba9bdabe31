"""Tests of the operators' tool."""

import pytest
from typer.testing import CliRunner

from marjoramstile.cli.main import FAILED_EXIT, UNREACHABLE_EXIT, USAGE_EXIT, app
from marjoramstile.cli.plots import plot_burn
from marjoramstile.cli.tables import format_rows
from tests.test_settings import VALID_SETTINGS

RUNNER = CliRunner()
COMMANDS = (
    "version",
    "check",
    "run",
    "fleet",
    "block",
    "unblock",
    "apply",
    "configuration",
    "check-configuration",
    "burn",
)


@pytest.mark.parametrize("command", COMMANDS)
def test_every_command_has_help(command):
    done = RUNNER.invoke(app, [command, "--help"])
    assert done.exit_code == 0
    assert "Usage" in done.output


def test_check_names_file_line_and_key(tmp_path):
    settings = tmp_path / "vm.yaml"
    settings.write_text(VALID_SETTINGS)
    assert RUNNER.invoke(app, ["check", str(settings)]).exit_code == 0
    settings.write_text(VALID_SETTINGS.replace("port: 8100", "port: none"))
    done = RUNNER.invoke(app, ["check", str(settings)])
    assert done.exit_code == FAILED_EXIT
    assert f"{settings}: line 3: listeners.callers.port" in done.output


def test_wrong_usage_has_its_own_exit_code():
    assert RUNNER.invoke(app, ["run"]).exit_code == USAGE_EXIT
    assert RUNNER.invoke(app, ["nonsense"]).exit_code == USAGE_EXIT


def test_an_unreachable_daemon_has_its_own_exit_code():
    arguments = ["run", "show daemons", "--daemon=127.0.0.1:1"]
    assert RUNNER.invoke(app, arguments).exit_code == UNREACHABLE_EXIT


def test_rows_become_a_table():
    assert format_rows([]) == "(no rows)"
    assert format_rows([{"a": 1}, {"b": 2}]).splitlines()[0].split() == ["a", "b"]


def test_the_burn_plot_is_written(tmp_path):
    row = {"service": "s", "service_class": "late", "window": "5m", "burn_rate": 0.5}
    path = tmp_path / "burn.png"
    plot_burn([row], path)
    assert path.read_bytes().startswith(b"\x89PNG")
