"""Translation of the platform's rows, headers and settings to marjoramstile's types."""

import json

import pytest
import yaml
from hypothesis import given, strategies as st

from marjoramstile.descriptors import DESCRIPTORS_MAX, process_descriptors
from marjoramstile.platform import headers as platform_headers
from marjoramstile.platform.documents import (
    MalformedRowError,
    decode_replica,
    decode_routing_table,
)
from marjoramstile.platform.settings import load_platform_settings
from marjoramstile.quotas.windows import QuotaBounds
from marjoramstile.routes.replica_types import ReplicaState, Stage
from marjoramstile.routes.requests import GenerationSize
from marjoramstile.routes.table import RouteKind

SERVER = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "coldRemainingMs": 0,
    "stage": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1700000000000,
}
ROUTE = {
    "name": "r1",
    "host": "H.example",
    "prefix": "/p/",
    "kind": "stream",
    "timeoutMs": 14000,
    "targetLatencyMs": 900,
    "priority": 1,
    "service": "s",
    "maxAttempts": 2,
    "sessionAffinity": True,
    "resumable": True,
    "gapTargetMs": 300,
}
CONFIG = {
    "version": 7,
    "routes": [
        ROUTE,
        {
            **ROUTE,
            "name": "r2",
            "prefix": "/p/q/",
            "kind": "later_kind",
            "trafficSplit": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
        },
    ],
    "services": [{"name": "s", "engine": {"slots": 24, "kvTokens": 33466}}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}
SETTINGS = {
    "nodeName": "front-a-1",
    "ip": "10.1.0.35",
    "zone": "a",
    "region": "r",
    "listen": {
        "front": "10.1.0.35:8144",
        "readyAddress": "10.1.0.35:8140",
        "directory": "10.1.0.35:8143",
    },
    "internalPorts": [7660, 7675],
    "heartbeatMs": 1200,
    "bounds": {
        "graceS": 8,
        "retryBudgetRatio": 0.2,
        "budgetWindowS": 10,
        "budgetSlack": 54,
        "leaseMs": 3000,
    },
    "platform": {"address": "10.200.1.7:8142"},
    "aFieldOfTheFuture": 1,
}


def as_bytes(document) -> bytes:
    """Return a document as the value of a row."""
    return json.dumps(document).encode()


def test_replica_row_is_decoded():
    replica = decode_replica("i-1", as_bytes(SERVER))
    assert (replica.address, replica.stage) == ("10.0.0.9:8080", Stage.DECODE)
    assert (replica.state, replica.started_at_ms) == (ReplicaState.READY, 1700000000000)


@pytest.mark.parametrize(
    "change",
    [
        {"service": 5},
        {"state": "resting"},
        {"address": "nowhere"},
        {"slots": None},
        {"zone": None, "address": 7},
        {"born": "yesterday"},
        {"stage": "dessert"},
    ],
)
def test_malformed_replica_row_is_rejected(change):
    with pytest.raises(MalformedRowError):
        decode_replica("i-1", as_bytes({**SERVER, **change}))


@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_rejected_as_replica(value):
    with pytest.raises(MalformedRowError):
        decode_replica("i-1", value)


def test_longest_prefix_wins():
    table = decode_routing_table(as_bytes(CONFIG))
    assert table.match("h.example", "/p/x").name == "r1"
    assert table.match("h.example", "/p/q/x").name == "r2"
    assert table.match("h.example", "/p") is None
    assert table.match("other", "/p/x") is None


def test_unknown_route_kind_is_non_idempotent():
    table = decode_routing_table(as_bytes(CONFIG))
    assert table.match("h.example", "/p/q/").kind == RouteKind.NON_IDEMPOTENT
    assert [share.weight for share in table.routes[1].shares] == [90, 10]


@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_rejected_as_configuration(value):
    with pytest.raises(MalformedRowError):
        decode_routing_table(value)


ROUTER_HEADERS = (
    "X-Kv-Hold",
    "X-Pin-Ms",
    "X-Kv-Backup",
    "X-Kv-Source",
    "X-Stage",
    "X-Expect-Instance",
    "X-Expect-Version",
    "X-Request-Priority",
    "Kv-Fetch",
)


@pytest.mark.parametrize("name", ROUTER_HEADERS)
def test_router_headers_sent_by_callers_are_dropped(name):
    forged = ((name.upper(), "x"), (name.lower(), "y"), ("X-Model", "m"))
    assert platform_headers.forwarded_request_headers(forged) == (("X-Model", "m"),)


def test_hop_by_hop_headers_are_dropped_and_others_keep_their_order():
    sent = (
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("X-B", "2"),
        ("X-B", "3"),
        ("Transfer-Encoding", "chunked"),
        ("Last-Event-Id", "4"),
    )
    forwarded = (("X-B", "2"), ("X-B", "3"), ("Last-Event-Id", "4"))
    assert platform_headers.forwarded_request_headers(sent) == forwarded


def test_generation_headers_round_trip():
    size = GenerationSize(prompt=3200, max_output=900, expected_output=700)
    headers = platform_headers.generation_headers("q1", size)
    assert platform_headers.first_value(headers, platform_headers.REQUEST_ID) == "q1"
    assert platform_headers.generation_size(headers) == size


def test_generation_size_is_read_from_headers():
    sent = (("X-Token-Count", "1460,80"), ("X-Length-Hint", "60"))
    assert platform_headers.generation_size(sent) == GenerationSize(1460, 80, 60)
    assert platform_headers.generation_size((("X-Token-Count", "many"),)) is None


@pytest.mark.parametrize(
    ("sent", "parts"),
    [
        ("5c1e07a2:800,91BD3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (" a1:1 , b2:2,c3:3", ("a1", "b2")),
        ("a1:1,a1:1,c3:3", ("a1",)),
        ("a1:1", ()),
        ("", ()),
        (None, ()),
        ("a1:1,,c3:3", ()),
        ("a 1:1,c3:3", ()),
        ("f" * 65 + ":1,c3:3", ()),
        (",".join(f"{n:x}:1" for n in range(200)), tuple(f"{n:x}" for n in range(64))),
    ],
)
def test_shared_parts_are_all_but_the_last(sent, parts):
    headers = () if sent is None else (("X-Prefix-Hash", sent),)
    assert platform_headers.shared_parts(headers) == parts


@pytest.mark.parametrize(
    ("sent", "resumed"),
    [
        ("9c41d07be2a35f68", "9c41d07be2a35f68"),
        (" 9c41 ", "9c41"),
        ("", None),
        (None, None),
        ("x" * 129, None),
        ("a\x01b", None),
    ],
)
def test_the_id_of_a_resumed_stream_is_read(sent, resumed):
    headers = () if sent is None else (("Resumes", sent),)
    assert platform_headers.resumed_id(headers) == resumed


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        ("stream", True, True),
        ("stream", False, False),
        ("idempotent", False, True),
        ("non_idempotent", True, False),
        ("later_kind", True, False),
    ],
)
def test_a_request_that_may_run_once_is_repeated_on_a_resumable_route(
    kind, resumable, repeatable
):
    """Only streams are resumed; an unknown kind's requests must not be retried."""
    item = {**ROUTE, "kind": kind, "resumable": resumable}
    table = decode_routing_table(as_bytes({**CONFIG, "routes": [item]}))
    assert table.routes[0].repeatable == repeatable


def write(tmp_path, document) -> str:
    """Write a settings file and return its path."""
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(document))
    return str(path)


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    settings = load_platform_settings(write(tmp_path, SETTINGS)).unwrap()
    assert (settings.vm, settings.data_centre) == ("front-a-1", "a")
    assert str(settings.listeners.peers) == "10.1.0.35:7660"
    assert settings.bounds.lease_s == 3.0
    assert settings.listeners.completions is None


def test_completions_listener_is_read_when_configured(tmp_path):
    listen = {**SETTINGS["listen"], "completions": "10.1.0.35:8150"}
    path = write(tmp_path, {**SETTINGS, "listen": listen})
    settings = load_platform_settings(path).unwrap()
    assert str(settings.listeners.completions) == "10.1.0.35:8150"


@pytest.mark.parametrize(
    ("bounds", "quotas"),
    [
        ({}, QuotaBounds(8.0, 0.1, 0.0)),
        (
            {"quotaWindowS": 10, "quotaOverage": 0.05, "quotaSlack": 190000},
            QuotaBounds(10.0, 0.05, 190_000.0),
        ),
        (
            {"quotaWindowS": 0, "quotaOverage": -1, "quotaSlack": -5},
            QuotaBounds(8.0, 0.0, 0.0),
        ),
        (
            {"quotaWindowS": 1e12, "quotaOverage": 0, "quotaSlack": 1e300},
            QuotaBounds(8.0, 0.0, 1e15),
        ),
        ({"quotaWindowS": 1e-9}, QuotaBounds(0.5, 0.1, 0.0)),
    ],
    ids=["absent", "given", "below 0", "huge", "tiny window"],
)
def test_bounds_of_quotas_can_always_be_used(tmp_path, bounds, quotas):
    """A window of 0 would lock all callers out."""
    document = {**SETTINGS, "bounds": {**SETTINGS["bounds"], **bounds}}
    settings = load_platform_settings(write(tmp_path, document)).unwrap()
    assert settings.bounds.quotas == quotas


@pytest.mark.parametrize(
    ("limits", "descriptors"),
    [
        ({}, process_descriptors()),
        ({"limits": {"memoryMb": 128}}, process_descriptors()),
        ({"limits": {"maxFds": 300}}, 300),
        ({"limits": {"maxFds": 2 * DESCRIPTORS_MAX}}, process_descriptors()),
    ],
    ids=["no limits", "other limits", "limited", "more than the system allows"],
)
def test_descriptors_are_those_of_the_settings_and_the_system(
    tmp_path, limits, descriptors
):
    path = write(tmp_path, {**SETTINGS, **limits})
    assert load_platform_settings(path).unwrap().descriptors == descriptors


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"ip": None}, "ip"),
        ({"listen": None}, "listen"),
        ({"listen": {**SETTINGS["listen"], "front": "here"}}, "listen.front"),
        ({"listen": {**SETTINGS["listen"], "completions": 8}}, "listen.completions"),
        ({"bounds": {**SETTINGS["bounds"], "graceS": "long"}}, "bounds.graceS"),
        (
            {"bounds": {**SETTINGS["bounds"], "quotaWindowS": "long"}},
            "bounds.quotaWindowS",
        ),
        ({"internalPorts": [7660]}, "internalPorts"),
        ({"internalPorts": [7660, 99999]}, "internalPorts"),
        ({"platform": {}}, "platform.address"),
        ({"limits": {"maxFds": "many"}}, "limits.maxFds"),
        ({"limits": {"maxFds": 0}}, "limits.maxFds"),
        ({"hedging": None}, "hedging"),
        ({"hedging": {"maxShare": "some"}}, "hedging.maxShare"),
        ({"hedging": {"maxShare": True}}, "hedging.maxShare"),
        ({"hedging": {"maxShare": -0.1}}, "hedging.maxShare"),
        ({"hedging": {"maxShare": 1.1}}, "hedging.maxShare"),
        ({"hedging": {"maxShare": float("nan")}}, "hedging.maxShare"),
        ({"hedging": {"maxShare": float("inf")}}, "hedging.maxShare"),
    ],
)
def test_invalid_setting_is_reported_with_its_path(tmp_path, change, path):
    loaded = load_platform_settings(write(tmp_path, {**SETTINGS, **change}))
    assert loaded.unwrap_err().path == path


@pytest.mark.parametrize(
    ("hedging", "max_share"),
    [({}, 0.0), ({"hedging": {}}, 0.0), ({"hedging": {"maxShare": 0.05}}, 0.05)],
)
def test_hedging_is_on_without_a_share_or_off_with_one(tmp_path, hedging, max_share):
    path = write(tmp_path, {**SETTINGS, **hedging})
    assert load_platform_settings(path).unwrap().hedge_max_share == max_share


def test_missing_or_invalid_settings_file_is_an_error(tmp_path):
    assert load_platform_settings(tmp_path / "none").is_err()
    broken = tmp_path / "broken"
    broken.write_text("a: [")
    assert load_platform_settings(broken).is_err()
