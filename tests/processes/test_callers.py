"""Answers of running daemons to callers' requests."""

import pytest

from demo.fleet import OTHER_KEY
from marjoramstile.results import ResultCode
from tests.processes.clients import HEADERS, call, completion_body, whole_text

pytestmark = pytest.mark.asyncio(loop_scope="module")
BOOKINGS = "/v1/services/pagkos-app/bookings"


async def test_a_request_status_is_visible_only_to_its_own_workspace(fleet):
    headers = {**HEADERS, "Idempotency-Key": "own"}
    booked = await call(fleet, 1, "POST", BOOKINGS, headers=headers, json={"slot": 1})
    assert booked.status == 200

    async def recorded() -> bool:
        answer = await call(fleet, 2, "GET", "/v1/requests/own")
        return answer.body["state"] == "done"

    await fleet.wait_until(recorded)
    other = {"Authorization": f"Bearer {OTHER_KEY}"}
    answer = await call(fleet, 2, "GET", "/v1/requests/own", headers=other)
    assert answer.body["error"]["code"] == ResultCode.UNKNOWN_REQUEST


async def test_a_completion_with_a_key_is_recorded_once_for_all_daemons(fleet):
    body = completion_body()
    headers = {**HEADERS, "Idempotency-Key": "essay-1"}
    path = "/v1/completions"
    first = await call(fleet, 1, "POST", path, headers=headers, json=body)
    again = await call(fleet, 1, "POST", path, headers=headers, json=body)
    assert first.body["choices"] == again.body["choices"]
    status = await call(fleet, 3, "GET", "/v1/requests/essay-1")
    assert status.body["state"] == "done"
    assert status.body["text"] == whole_text(body)
    other = completion_body(prompt="something else")
    reused = await call(fleet, 1, "POST", path, headers=headers, json=other)
    assert reused.body["error"]["code"] == ResultCode.KEY_REUSED


async def test_a_refusal_has_a_retry_after_and_states_that_nothing_ran(fleet):
    await fleet.control(fleet.platform_url, outage=True)
    headers = {**HEADERS, "Idempotency-Key": "refused"}
    answer = await call(fleet, 1, "POST", BOOKINGS, headers=headers, json={})
    await fleet.control(fleet.platform_url, outage=False)
    assert answer.status == 503
    assert int(answer.headers["Retry-After"]) >= 1
    assert answer.body["error"]["code"] == ResultCode.STORE_UNAVAILABLE
    assert answer.body["error"]["ran"] == "not run"
    counted = await fleet.control(fleet.service_url(1))
    assert "refused" not in counted["executions"]


async def test_an_idempotent_call_needs_no_key(fleet):
    answer = await call(fleet, 1, "GET", "/v1/services/pagkos-app/status?slot=1")
    assert answer.status == 200
    assert answer.body["path"] == "/status"
    assert answer.body["workspace"] == "karamanlis"


async def test_addresses_have_a_ttl_and_start_with_the_callers_data_centre(fleet):
    answer = await call(fleet, 1, "GET", "/v1/addresses?data_centre=gr-north-c")
    assert answer.body["ttl_s"] == 1.0
    first = answer.body["addresses"][0]
    assert f"http://{first}" == fleet.callers_url(3)
    assert len(answer.body["addresses"]) == 3
