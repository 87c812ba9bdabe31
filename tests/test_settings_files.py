"""Tests of settings files that can't be read."""

import pytest

from marjoramstile.platform.settings import load_platform_settings
from marjoramstile.settings import load_settings
from marjoramstile.settings_files import SETTINGS_MAX_BYTES

LOADERS = [load_platform_settings, load_settings]
CONTENTS = {
    "empty": b"",
    "half written": b"{nodeName: vm",
    "wrong encoding": b"nodeName: \xff\xfe",
    "null bytes": b"nodeName: \x00",
    "too deep": b"[" * 20_000,
    "no such date": b"nodeName: 2026-13-45",
    "tag without value": b"nodeName: !!bool perhaps",
    "timestamp without value": b"nodeName: !!timestamp never",
    "refers to itself": b"&a {node: *a, nodeName: *a}",
    "unhashable key": b"{[1]: 2}",
    "too long": b"#" * (SETTINGS_MAX_BYTES + 1),
}
VALID = """
{nodeName: vm-1, ip: 10.0.0.1, zone: a, region: r, internalPorts: [1, 2],
 listen: {front: "10.0.0.1:3", readyAddress: "10.0.0.1:4", directory: "10.0.0.1:5"},
 platform: {address: "10.0.0.2:6"},
 bounds: {graceS: 5, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 5},
 limits: {memoryMb: 128}}
"""


@pytest.mark.parametrize("load", LOADERS)
@pytest.mark.parametrize("content", CONTENTS.values(), ids=CONTENTS)
def test_a_file_that_is_no_settings_is_an_error_and_raises_nothing(
    tmp_path, load, content
):
    path = tmp_path / "settings.yaml"
    path.write_bytes(content)
    assert load(path).is_err()


@pytest.mark.parametrize("load", LOADERS)
@pytest.mark.parametrize("name", ["none", "", "a\x00b"])
def test_a_file_that_can_not_be_opened_is_an_error(tmp_path, load, name):
    assert load(tmp_path / name).is_err()


@pytest.mark.parametrize(
    ("field", "change"),
    [
        ("internalPorts", ("[1, 2]", "[.inf, 2]")),
        ("internalPorts", ("[1, 2]", "{a: 1}")),
        ("limits.memoryMb", ("128", ".inf")),
        ("limits.memoryMb", ("128", ".nan")),
        ("limits.memoryMb", ("128", "[]")),
    ],
)
def test_a_value_without_a_number_is_named(tmp_path, field, change):
    path = tmp_path / "settings.yaml"
    path.write_text(VALID)
    assert load_platform_settings(path).is_ok()
    path.write_text(VALID.replace(*change))
    assert load_platform_settings(path).unwrap_err().path == field
