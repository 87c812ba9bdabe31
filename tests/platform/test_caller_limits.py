"""Limits of callers' requests in the operator's configuration."""

import json

import pytest

from demo.published_fleet import configuration
from marjoramstile.platform.documents import MalformedRowError, decode_routing_table
from marjoramstile.routes.table import EntryLimits


def decode(limits: dict) -> EntryLimits:
    """Return the limits of a configuration."""
    document = {**configuration(1), "limits": limits}
    return decode_routing_table(json.dumps(document).encode()).limits


def test_limits_other_than_of_the_body_are_ignored():
    stated = {
        "maxHeaderBytes": 1000,
        "maxBodyBytes": 2000,
        "headerTimeoutMs": 1500,
        "idleTimeoutMs": 2500,
    }
    assert decode(stated) == EntryLimits(2000, 1000, 1.5, 2.5)


def test_configuration_without_the_new_limits_is_refused():
    assert decode({"maxBodyBytes": 2000}) == EntryLimits(2000, 16_384, 3.0, 15.0)


@pytest.mark.parametrize("name", ["maxHeaderBytes", "headerTimeoutMs", "idleTimeoutMs"])
@pytest.mark.parametrize("value", ["many", -1, [], 1e300])
def test_unreadable_limit_is_taken(name, value):
    with pytest.raises(MalformedRowError):
        decode({"maxBodyBytes": 2000, name: value})
