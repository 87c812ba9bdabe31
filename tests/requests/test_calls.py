"""Tests of calls that may be retried, and of what failures report."""

import pytest

from bench.harness import running_harness
from marjoramstile.endpoints.errors import EndpointProblem
from marjoramstile.entry.web import to_failure
from marjoramstile.results import Ran, ResultCode
from tests.support import booking, run_call

LOST = EndpointProblem.LOST
UNREACHABLE = EndpointProblem.UNREACHABLE


@pytest.mark.parametrize(
    ("faults", "code", "ran"),
    [
        ([UNREACHABLE, UNREACHABLE], ResultCode.TARGET_UNREACHABLE, Ran.NO),
        ([LOST, UNREACHABLE], ResultCode.ENDPOINT_FAILED, Ran.UNKNOWN),
        ([UNREACHABLE, LOST], ResultCode.ENDPOINT_FAILED, Ran.UNKNOWN),
    ],
)
async def test_a_call_is_reported_not_run_only_if_no_attempt_can_have_run(
    faults, code, ran
):
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        harness.plain.faults.extend(faults)
        failure = (await run_call(node, booking(node, "", method="GET"))).unwrap_err()
        assert (failure.code, failure.ran) == (code, ran)


@pytest.mark.parametrize("fault", [LOST, UNREACHABLE])
async def test_a_call_that_may_be_retried_is_sent_to_another_endpoint(fault):
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        harness.plain.faults.append(fault)
        assert (await run_call(node, booking(node, "", method="GET"))).is_ok()


def test_an_internal_error_is_not_reported_as_not_run():
    assert to_failure(ValueError()).ran == Ran.UNKNOWN
