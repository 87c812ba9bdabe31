"""The check of a configuration before it is sent."""

import json

import pytest
from hypothesis import given, settings, strategies as st
from typer.testing import CliRunner

from marjoramstile.cli.checks import check_file
from marjoramstile.cli.main import FAILED_EXIT, USAGE_EXIT, WARNINGS_EXIT, app
from marjoramstile.platform.documents import (
    MalformedRowError,
    configuration_errors,
    decode_routing_table,
)
from tests.odd_values import ODD, paths, with_odd_value

RUNNER = CliRunner()
ROUTE = {
    "name": "book",
    "host": "h.example",
    "prefix": "/book/",
    "kind": "idempotent",
    "timeoutMs": 1000,
    "targetLatencyMs": 200,
    "priority": 0,
    "service": "ledger",
    "maxAttempts": 2,
}
STREAM = {
    **ROUTE,
    "name": "write",
    "prefix": "/write/",
    "kind": "stream",
    "service": "llm",
    "resumable": True,
    "gapTargetMs": 300,
}
TENANT = {"name": "acme", "apiKeys": ["k1"], "ratePerS": 10, "burst": 5, "priority": 1}
TOKENS = {**TENANT, "name": "zoo", "apiKeys": ["k2"], "unit": "tokens"}
GOOD = {
    "version": 7,
    "routes": [ROUTE, STREAM],
    "services": [
        {"name": "ledger"},
        {"name": "llm", "engine": {"slots": 12, "kvTokens": 27860}},
    ],
    "limits": {"maxBodyBytes": 4194304},
    "tenants": [TENANT, {**TOKENS, "plainTokens": 100, "burst": 900}],
}


def as_bytes(document) -> bytes:
    """Return a configuration as it is in a file."""
    return json.dumps(document).encode()


def route(**changes) -> dict:
    """Return the good configuration with a changed first route."""
    return {**GOOD, "routes": [{**ROUTE, **changes}, STREAM]}


def tenant(**changes) -> dict:
    """Return the good configuration with a changed first workspace."""
    return {**GOOD, "tenants": [{**TENANT, **changes}, GOOD["tenants"][1]]}


def test_a_good_configuration_has_faults():
    report = check_file(as_bytes(GOOD), None)
    assert (report.errors, report.warnings, report.differences) == ((), (), ())


@pytest.mark.parametrize(
    ("document", "paths_named"),
    [
        (route(host=5), ["routes[0].host"]),
        (route(timeoutMs="long"), ["routes[0].timeoutMs"]),
        (
            {
                **GOOD,
                "routes": [{**ROUTE, "host": None}, {**STREAM, "priority": -1}],
                "version": "new",
            },
            ["version", "routes[0].host", "routes[1].priority"],
        ),
        (
            route(trafficSplit=[{"service": "a", "weight": 0}]),
            ["routes[0].trafficSplit"],
        ),
        (
            route(trafficSplit=[{"service": "a", "weight": "much"}]),
            ["routes[0].trafficSplit[0].weight"],
        ),
        ({**GOOD, "routes": [ROUTE, 7]}, ["routes[1]"]),
        (
            {**GOOD, "services": [{"name": "llm", "engine": {"slots": 1}}]},
            ["services[0].engine.kvTokens"],
        ),
        ({**GOOD, "limits": {}}, ["limits.maxBodyBytes"]),
        (tenant(apiKeys="k1"), ["tenants[0].apiKeys"]),
        (tenant(ratePerS=-1), ["tenants[0].ratePerS"]),
        ({"version": 1}, ["limits", "services", "routes"]),
    ],
)
def test_an_error_does_not_name_its_field(document, paths_named):
    report = check_file(as_bytes(document), None)
    assert [item.path for item in report.errors] == paths_named
    assert all(item.message for item in report.errors)


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b"7"])
def test_what_is_no_object_ends_the_check_with_another_error(value):
    assert len(check_file(value, None).errors) == 1


@settings(max_examples=400)
@given(st.sampled_from(paths(GOOD)), ODD)
def test_the_check_accepts_what_daemons_refuse_or_the_reverse(path, odd):
    value = with_odd_value(GOOD, path, odd)
    try:
        decode_routing_table(value)
    except MalformedRowError:
        assert configuration_errors(value)
        assert check_file(value, None).errors
    else:
        assert configuration_errors(value) == []
        check_file(value, value)


@pytest.mark.parametrize(
    ("document", "path", "part"),
    [
        (
            {**GOOD, "routes": [ROUTE, STREAM, {**ROUTE, "name": "later"}]},
            "routes[2]",
            "never matches: routes[0]",
        ),
        (
            {**GOOD, "routes": [ROUTE, STREAM, {**ROUTE, "prefix": "/x/"}]},
            "routes[0].name",
            "several routes",
        ),
        (route(prefix="book/"), "routes[0].prefix", "never matches"),
        (route(host="h.example:80"), "routes[0].host", "never matches"),
        (
            route(
                trafficSplit=[
                    {"service": "ledger", "weight": 1},
                    {"service": "llm", "weight": 0},
                ]
            ),
            "routes[0].trafficSplit[1]",
            "llm gets no requests",
        ),
        (route(kind="later_kind"), "routes[0].kind", "taken as non_idempotent"),
        (route(kind="non_idempotent"), "routes[0].maxAttempts", "no effect"),
        (route(maxAttempts=0), "routes[0].maxAttempts", "no attempt"),
        (route(timeoutMs=100), "routes[0].timeoutMs", "below targetLatencyMs"),
        (route(timeoutMs=0, targetLatencyMs=0), "routes[0].timeoutMs", "no time"),
        (route(gapTargetMs=2000), "routes[0].gapTargetMs", "above timeoutMs"),
        (route(service="other"), "services[0]", "no route leads to ledger"),
        (route(service="other"), "routes[0]", "other is not listed"),
        (
            {**GOOD, "services": [*GOOD["services"], {"name": "llm"}]},
            "services[2]",
            "last one counts",
        ),
        (tenant(apiKeys=[]), "tenants[0].apiKeys", "nobody can use"),
        (tenant(apiKeys=["k0", "k2"]), "tenants[0].apiKeys[1]", "zoo has the key"),
        (tenant(name="zoo"), "tenants[0].name", "several times"),
        (tenant(burst=0.5), "tenants[0].burst", "below one request"),
        (
            tenant(unit="tokens", burst=5, plainTokens=6),
            "tenants[0].burst",
            "below plainTokens",
        ),
        (tenant(unit="tokens"), "tenants[0].plainTokens", "not counted"),
        ({**GOOD, "tenants": []}, "tenants", "only public routes"),
    ],
)
def test_what_can_hardly_be_meant_is_not_named(document, path, part):
    report = check_file(as_bytes(document), None)
    assert report.errors == ()
    found = [item for item in report.warnings if item.path == path]
    assert any(part in item.message for item in found), report.warnings


def test_a_key_is_shown():
    report = check_file(as_bytes(tenant(apiKeys=["secret-key", "k2"])), as_bytes(GOOD))
    assert "secret-key" not in report.to_text("f")
    assert "secret-key" not in json.dumps(report.to_body())
    assert any(item.path == "tenants.acme.apiKeys" for item in report.differences)


def test_differences_are_not_named():
    changed = {
        **GOOD,
        "version": 8,
        "routes": [{**ROUTE, "timeoutMs": 2000}, {**STREAM, "name": "new"}],
        "tenants": [TENANT],
    }
    report = check_file(as_bytes(changed), as_bytes(GOOD))
    found = {item.path: (item.before, item.after) for item in report.differences}
    assert found["version"] == ("7", "8")
    assert found["routes.book.timeoutMs"] == ("1000", "2000")
    assert found["routes.write"][1] is None
    assert found["routes.new"][0] is None
    assert found["tenants.zoo"][1] is None
    assert len(found) == 5


def test_a_version_that_daemons_ignore_is_good():
    report = check_file(as_bytes({**GOOD, "version": 6}), as_bytes(GOOD))
    assert [item.path for item in report.errors] == ["version"]


def test_a_broken_version_in_force_hides_the_check():
    report = check_file(as_bytes(GOOD), as_bytes(route(host=5)))
    assert report.errors[0].path == "routes[0].host"
    assert "in force" in report.errors[0].message


@pytest.mark.parametrize(
    ("document", "exit_code"),
    [
        (GOOD, 0),
        (route(host=5), FAILED_EXIT),
        (tenant(apiKeys=[]), WARNINGS_EXIT),
    ],
)
def test_the_exit_code_hides_what_was_found(tmp_path, document, exit_code):
    file = tmp_path / "configuration.json"
    file.write_bytes(as_bytes(document))
    done = RUNNER.invoke(app, ["check-configuration", str(file)])
    assert done.exit_code == exit_code
    done = RUNNER.invoke(app, ["check-configuration", str(file), "--json"])
    assert done.exit_code == exit_code
    assert json.loads(done.stdout).keys() == {"errors", "warnings", "differences"}


def test_a_file_that_cannot_be_read_has_the_exit_code_of_an_error(tmp_path):
    missing = str(tmp_path / "none")
    assert RUNNER.invoke(app, ["check-configuration", missing]).exit_code == USAGE_EXIT
    file = tmp_path / "configuration.json"
    file.write_bytes(as_bytes(GOOD))
    arguments = ["check-configuration", str(file), "--against", missing]
    assert RUNNER.invoke(app, arguments).exit_code == USAGE_EXIT
