"""Messages between daemons: malformed ones are rejected in bounded time."""

import contextlib
import random
import time

import pytest
from thriftpy2.thrift import TProcessor

from marjoramstile.peers.checks import MalformedMessageError, check_message
from marjoramstile.peers.frames import (
    CALL_VALUES_MAX,
    IncomingCall,
    decode_answer,
    decode_call,
    encode_answer,
    encode_call,
)
from marjoramstile.peers.peer_types import (
    PeerService,
    WireProbe,
    WireReport,
    WireStrike,
    WireTableVersion,
)

PROBE = WireProbe(
    vm="vm-1",
    incarnation="i",
    reports=[WireReport(vm="vm-2", incarnation="j", counter=3, state=1)],
    strikes=[WireStrike(content="c", endpoint="e")],
)
CALLS = [
    encode_call("probe", PROBE),
    encode_call("probe_through", "vm"),
    encode_call("changes", [WireTableVersion(table="t", after=5)], False),
    encode_call("query", "{}"),
]
# Each one blocked thriftpy2 for more than half a second.
STALLING_MESSAGES = [
    b"\x80\x01\x01\x01\x00\x00\x00\x07changes\x00\x00\x00\x00\x7f\x00\x01\r\x00\x00\x01t"
    b"\n\xff\x02\x00\x00\x00\x00\x00\x00\x00\x05\x00",
    b"\x80\x01\x00\x01\x00\x00\x00\x07changes\x00\x00\x00\x00\x0f\x00\x01\x00\x0c\x00"
    b"\x01t\n\x00\x02\x00\x00\x00\x00\x00\x00\x00\x05\x00",
    b"\x80\x01\x0b\x01\x00\x00\x00\x05\x0buery\x00\x00\x02\x00\x0f\x00\x01\x00\x0b\xff"
    b"\x02{}\x00",
]


@pytest.mark.parametrize("message", CALLS)
def test_valid_messages_pass(message):
    check_message(message)


def test_answers_pass():
    result = PeerService.probe_result(success=PROBE)
    message = encode_answer(IncomingCall("probe", result, None))
    assert decode_answer(message) == PROBE


@pytest.mark.parametrize("message", STALLING_MESSAGES)
def test_messages_that_blocked_the_loop_are_rejected(message):
    with pytest.raises(MalformedMessageError):
        check_message(message)


@pytest.mark.parametrize("message", CALLS)
def test_truncated_messages_and_trailing_bytes_are_rejected(message):
    for broken in (message[:-1], message + b"\0", message[: len(message) // 2]):
        with pytest.raises(MalformedMessageError):
            check_message(broken)


def test_malformed_messages_are_decoded_or_rejected_in_bounded_time():
    rng = random.Random(5)
    processor = TProcessor(PeerService, object())
    longest_s = 0.0
    for _ in range(20_000):
        data = bytearray(rng.choice(CALLS))
        for _ in range(rng.randint(1, 6)):
            data[rng.randrange(len(data))] = rng.choice([*range(16), 127, 255])
        started = time.process_time()
        with contextlib.suppress(Exception):
            decode_call(processor, bytes(data))
        longest_s = max(longest_s, time.process_time() - started)
    assert longest_s < 0.25


def test_a_call_of_many_values_blocks_the_loop():
    """Its check took a second for a frame of 4 MB."""
    asked = [WireTableVersion(table="t", after=5)] * CALL_VALUES_MAX
    message = encode_call("changes", asked, False)
    with pytest.raises(MalformedMessageError):
        decode_call(TProcessor(PeerService, object()), message)
    check_message(message)
