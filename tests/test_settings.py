"""Tests of settings files."""

import pytest

from marjoramstile.settings import parse_settings

VALID_SETTINGS = """\
node: {name: vm-1, data_centre: gr-north-a, region: gr-north}
listeners:
  callers: {host: 10.0.0.1, port: 8100}
  operators: {host: 10.0.0.1, port: 8101}
  peers: {host: 10.0.0.1, port: 8102}
platform: {url: "http://10.0.9.1:7000"}
operator_token_hashes: ["HASH"]
""".replace("HASH", "0" * 64)


def test_valid_settings_are_completed_with_defaults():
    settings = parse_settings(VALID_SETTINGS).unwrap()
    assert settings.node.name == "vm-1"
    assert settings.timing.address_ttl_s == 5.0


@pytest.mark.parametrize(
    ("old", "new", "path", "line"),
    [
        ("port: 8101", "port: 81010", "listeners.operators.port", 4),
        ("host: 10.0.0.1, port: 8102", "host: vm1, port: 1", "listeners.peers.host", 5),
        ("platform:", "platfrom:", "platfrom", 6),
        ("node: {name: vm-1, ", "node: {", "node.name", 1),
        ('"0000', '"X000', "operator_token_hashes.0", 7),
    ],
)
def test_each_error_names_its_key_and_line(old, new, path, line):
    errors = parse_settings(VALID_SETTINGS.replace(old, new, 1)).unwrap_err()
    assert (path, line) in [(error.path, error.line) for error in errors]


@pytest.mark.parametrize("text", ["", "- a", "a: [", "\t"])
def test_a_document_that_is_not_a_mapping_is_refused(text):
    assert parse_settings(text).is_err()
