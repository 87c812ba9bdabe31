"""Rows of other writers: decoders return a sound value or their typed error."""

import math

import pytest
from hypothesis import given, settings, strategies as st

from marjoramstile.platform.documents import (
    MalformedRowError,
    configuration_version,
    decode_replica,
    decode_routing_table,
)
from marjoramstile.routes.replica_types import Replica
from marjoramstile.routes.table import RoutingTable
from tests.odd_values import ODD, paths, with_odd_value
from tests.platform.test_translation import CONFIG, ROUTE, SERVER, as_bytes

ENGINE = {"slots": 24, "kvTokens": 33466, "holdMs": 2000.0, "switchS": 6, "stride": 11}
FULL_CONFIG = {**CONFIG, "services": [{"name": "s", "engine": ENGINE}]}
# Fields that the rows of plain services, or of older replicas, don't have.
OPTIONAL = ("stage", "models", "born")


def check_replica(replica: Replica) -> None:
    """Check that each field of a replica holds what its type says."""
    assert isinstance(replica.service, str)
    assert isinstance(replica.version, str)
    assert isinstance(replica.data_centre, str)
    assert 0 < replica.port <= 65_535
    assert replica.host == "10.0.0.9"
    assert type(replica.slots) is int
    assert replica.slots >= 0
    assert type(replica.started_at_ms) is int


def check_table(table: RoutingTable) -> None:
    """Check that each number of a routing table is finite and not negative."""
    assert type(table.version) is int
    assert 0 <= table.limits.body_max_bytes < math.inf
    assert 0 <= table.longest_timeout_s < math.inf
    for route in table.routes:
        assert isinstance(route.host + route.prefix + route.name, str)
        assert 0 <= route.target_latency_s < math.inf
        assert type(route.max_attempts) is int
        assert type(route.priority) is int
        assert any(share.weight > 0 for share in route.shares)
        assert all(0 <= share.weight < math.inf for share in route.shares)
    for service in table.services.values():
        if service.engine is not None:
            assert type(service.engine.slots) is int
            assert type(service.engine.stride) is int
            assert 0 <= service.engine.hold_max_s < math.inf


@settings(max_examples=600)
@given(st.sampled_from(paths(SERVER)), ODD)
def test_any_value_in_a_replicas_row_ends_in_a_replica_or_a_typed_error(path, odd):
    """Another error ended the following of replicas for good, on all daemons."""
    try:
        replica = decode_replica("i-1", with_odd_value(SERVER, path, odd))
    except MalformedRowError:
        return
    check_replica(replica)


@settings(max_examples=1_200)
@given(st.sampled_from(paths(FULL_CONFIG)), ODD)
def test_any_value_in_a_configuration_ends_in_a_table_or_a_typed_error(path, odd):
    """Another error ended the following of the configuration for good."""
    value = with_odd_value(FULL_CONFIG, path, odd)
    version = configuration_version(value)
    try:
        table = decode_routing_table(value)
    except MalformedRowError:
        assert version is None
        return
    check_table(table)
    assert table.version == version


@pytest.mark.parametrize("name", [name for name in SERVER if name not in OPTIONAL])
def test_a_row_without_a_field_that_replicas_write_names_no_replica(name):
    row = {key: value for key, value in SERVER.items() if key != name}
    with pytest.raises(MalformedRowError):
        decode_replica("i-1", as_bytes(row))


def test_a_split_without_weight_is_no_configuration():
    """Such a route raised an error with each request."""
    parts = [{"service": "s", "weight": 0}, {"service": "t", "weight": 0}]
    route = {**ROUTE, "trafficSplit": parts}
    with pytest.raises(MalformedRowError):
        decode_routing_table(as_bytes({**CONFIG, "routes": [route]}))
