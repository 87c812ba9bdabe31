"""Invalid input is refused with a result code, and the daemon keeps serving."""

import asyncio
import struct

import pytest

from demo.fleet import OTHER_KEY, START_LIMIT_S
from marjoramstile.results import ResultCode
from tests.processes.clients import HEADERS, call, completion_body, stream, whole_text

pytestmark = pytest.mark.asyncio(loop_scope="module")
COMPLETIONS = "/v1/completions"


async def assert_serving(fleet):
    """Check that the daemon still answers a completion."""
    body = completion_body(4)
    assert await stream(fleet, 1, body) == whole_text(body)


@pytest.mark.parametrize(
    ("options", "status", "code"),
    [
        ({"data": b"x" * 2_000_000}, 413, ResultCode.BODY_TOO_LARGE),
        ({"data": b"{broken"}, 400, ResultCode.BAD_BODY),
        ({"data": b"[1]"}, 400, ResultCode.BAD_BODY),
        ({"json": completion_body(max_tokens=0)}, 400, ResultCode.BAD_BODY),
        ({"json": completion_body(max_tokens="5")}, 400, ResultCode.BAD_BODY),
        ({"json": completion_body(prompt="")}, 400, ResultCode.BAD_BODY),
        ({"json": completion_body(model="nobody")}, 404, ResultCode.UNKNOWN_SERVICE),
        (
            {"json": completion_body(model="pagkos-app")},
            404,
            ResultCode.UNKNOWN_SERVICE,
        ),
    ],
)
async def test_an_invalid_completion_request_is_refused_without_running(
    fleet, options, status, code
):
    answer = await call(fleet, 1, "POST", COMPLETIONS, **options)
    assert answer.status == status
    assert answer.body["error"]["code"] == code
    assert answer.body["error"]["ran"] == "not run"
    await assert_serving(fleet)


@pytest.mark.parametrize(
    ("method", "path", "status", "code"),
    [
        ("GET", "/nowhere", 404, ResultCode.UNKNOWN_PATH),
        ("GET", COMPLETIONS, 405, ResultCode.UNKNOWN_PATH),
        ("GET", "/v1/requests/none", 404, ResultCode.UNKNOWN_REQUEST),
        ("GET", "/v1/services/nobody/x", 404, ResultCode.UNKNOWN_SERVICE),
        ("POST", "/v1/services/pagkos-app/x", 400, ResultCode.KEY_REQUIRED),
    ],
)
async def test_an_unknown_path_service_or_request_is_refused(
    fleet, method, path, status, code
):
    answer = await call(fleet, 1, method, path)
    assert answer.body["error"]["code"] == code
    assert answer.status in (status, 404)


async def test_a_caller_needs_a_known_key_and_access_to_the_service(fleet):
    for headers in ({}, {"Authorization": "Basic x"}, {"Authorization": "Bearer x"}):
        answer = await call(fleet, 1, "GET", "/v1/addresses", headers=headers)
        assert answer.status == 401
        assert answer.body["error"]["code"] == ResultCode.UNAUTHENTICATED
    other = {"Authorization": f"Bearer {OTHER_KEY}"}
    answer = await call(
        fleet, 1, "POST", COMPLETIONS, headers=other, json=completion_body()
    )
    assert answer.status == 403
    assert answer.body["error"]["code"] == ResultCode.NOT_ALLOWED


async def test_an_operator_needs_a_token_and_a_callers_key_is_refused(fleet):
    url = f"http://{fleet.operators_address(1)}/v1/configuration"
    for headers in ({}, HEADERS):
        async with fleet.session.get(url, headers=headers) as response:
            assert response.status == 401


async def test_a_request_body_that_stalls_times_out(fleet):
    host, port = fleet.callers_url(1)[len("http://") :].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"
    )
    answer = await asyncio.wait_for(reader.read(), START_LIMIT_S)
    assert b"408" in answer.split(b"\r\n", 1)[0]
    assert str(int(ResultCode.BODY_TIMEOUT)).encode() in answer
    writer.close()
    await assert_serving(fleet)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack("!i", -5),
        struct.pack("!i", 2**31 - 1),
        struct.pack("!i", 8) + b"\x80\x01\x00\x01\xff\xff\xff\xff",
        struct.pack("!i", 12) + b"not a struct",
    ],
)
async def test_an_invalid_peer_frame_closes_only_its_connection(fleet, data):
    host, port = fleet.peers_address(1)
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(data)
    writer.write_eof()
    assert await asyncio.wait_for(reader.read(), START_LIMIT_S) == b""
    writer.close()
    await assert_serving(fleet)


async def test_keys_and_tokens_are_never_logged(fleet):
    await assert_serving(fleet)
    await fleet.state(1, "show daemons")
    await fleet.state(1, 'set workspace extra keys=["a-new-secret"] services=[]')
    log = fleet.get("vm-1").log.read_text()
    assert "completion_ended" in log
    for secret in ("karamanlis-key", OTHER_KEY, "operator-token", "a-new-secret"):
        assert secret not in log
