"""Tests of calls that may be repeated."""

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
async def test_a_call_is_told_not_run_only_if_no_try_can_have_run(faults, code, ran):
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        harness.plain.faults.extend(faults)
        failure = (await run_call(node, booking(node, "", method="GET"))).unwrap_err()
        assert (failure.code, failure.ran) == (code, ran)


@pytest.mark.parametrize("fault", [LOST, UNREACHABLE])
async def test_a_call_that_may_be_repeated_is_sent_to_another_endpoint(fault):
    async with running_harness(daemons=1) as harness:
        node = harness.nodes["vm-1"]
        harness.plain.faults.append(fault)
        assert (await run_call(node, booking(node, "", method="GET"))).is_ok()


def test_a_failed_daemon_does_not_claim_that_nothing_ran():
    assert to_failure(ValueError()).ran == Ran.UNKNOWN
