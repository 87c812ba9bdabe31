"""Datagrams to schedulers: valid ones pass, malformed ones are logged and ignored."""

import json
from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from marjoramstile.crashes.blocklist import BlockEntry
from marjoramstile.crashes.messages import (
    BeginAnswer,
    BeginCount,
    BeginQuery,
    BlockUpdate,
    CrashReport,
)
from marjoramstile.limits.messages import (
    LimitedReplica,
    LimitReport,
    PermitAnswer,
    PermitRequest,
    PermitUse,
)
from marjoramstile.peers.pool_datagrams import (
    PoolProtocol,
    decode_message,
    encode_message,
)
from marjoramstile.pools.messages import (
    LeaseEnd,
    LeaseOutcome,
    LeaseRenewal,
    LeaseUsage,
    PlacementCancel,
    PlacementGrant,
    PlacementQueued,
    PlacementRefusal,
    ProfileUpdate,
    SpeedUpdate,
    Urgency,
)
from marjoramstile.pools.speeds import ReplicaSpeed
from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.quotas.messages import (
    OwnerRole,
    QuotaAnswer,
    QuotaBackup,
    QuotaReport,
    QuotaRequest,
    Sender,
    SpenderState,
    WorkspaceUse,
)
from marjoramstile.routes.requests import RefusalReason
from marjoramstile.streams.messages import (
    StreamBegun,
    VersionAnswer,
    VersionQuery,
)
from marjoramstile.workspaces.table import QuotaUnit
from tests.pools.support import request
from tests.support import captured_logs

LIMITED = LimitedReplica("p0", 1_764_000_000_000, "ledger", 0)
ENTRY = BlockEntry("llm", "part/a", 2, True, 1, 5.5, ("d0",), "crashes")
LEASE_USAGE = LeaseUsage("q", "d0", 3200, 800, 44, 0.19, 0.096)
SENDER = Sender("vm-1", "0a1b2c", 7)
SPENDER = SpenderState("first", QuotaUnit.TOKENS, 51_200.0, 800.0, 12_800.0)
MESSAGES = [
    request("q", avoid=("d0", "d1")),
    request("q"),
    PlacementCancel("q", "llm", 0),
    PlacementGrant("q", "llm", 0, "d0", None, Urgency.LATE),
    PlacementGrant("q", "llm", 0, "d0", "e0", Urgency.ON_TIME),
    PlacementQueued("q"),
    PlacementRefusal("q", RefusalReason.NO_MEMORY, 1.5),
    LeaseRenewal("llm", 0, (LEASE_USAGE, LEASE_USAGE)),
    LeaseEnd("llm", 0, "c", LEASE_USAGE, LeaseOutcome.NO_ROOM),
    ProfileUpdate("llm", 0, GenerationProfile(3200.0, 800.0, 0.004, 33_000.0)),
    SpeedUpdate("llm", 1, (ReplicaSpeed("d0", 1_764_000_000_000, None, 0.55),)),
    PermitRequest("7", LIMITED, 1.7),
    PermitAnswer("7", True, 1.7, 0.0),
    PermitAnswer("7", False, None, 0.6),
    PermitUse(LIMITED, 1.7),
    LimitReport(LIMITED, 1.7),
    LimitReport(LIMITED, None),
    CrashReport("llm", "d0", 1_764_000_000_000, 0.2, "content/c", ("part/a", "part/b")),
    BeginQuery("q", "llm", ("part/a", "")),
    BeginAnswer("q", "vm-1", (BeginCount("part/a", 3, 0.2), BeginCount("", 9, 0.1))),
    BlockUpdate((ENTRY, ENTRY), "digest"),
    BlockUpdate(()),
    StreamBegun("llm", "0a1b2c3d4e5f", "v1.1"),
    VersionQuery("q", "llm", "0a1b2c3d4e5f"),
    VersionAnswer("q", "vm-1", "v1", ("v1", "v1.1")),
    VersionAnswer("q", "vm-1", None, ()),
    QuotaRequest(SENDER, SPENDER, 64_000.0, 3_200.0, 8_000.0, 3_900.0, 4_000.0, False),
    QuotaAnswer("vm-1", 7, OwnerRole.OWNER, 8_000.0, 100.5, 0.2, 44_000.0),
    QuotaReport(SENDER, (SPENDER, SPENDER)),
    QuotaBackup("vm-1", (WorkspaceUse("first", QuotaUnit.REQUESTS, 12.5),)),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_a_message_is_decoded_as_encoded(message):
    assert decode_message(encode_message(message)) == message


class AllSources:
    """Admits all datagrams."""

    def admits(self, host, size):
        """Admit one."""
        return True


def receive(data: bytes) -> list:
    """Pass bytes to the protocol; return the messages that it passes on."""
    received = []

    class Role:
        def handle_message(self, message, reply):
            received.append(message)

        def handle_answer(self, answer, send_reply=None):
            received.append(answer)

    roles = [Role() for _ in range(8)]
    PoolProtocol(*roles, AllSources()).datagram_received(data, ("10.0.0.1", 1))
    return received


@given(
    st.binary(max_size=80)
    | st.lists(
        st.sampled_from(
            [
                "ask",
                "grant",
                "renew",
                "end",
                "means",
                "speeds",
                "permit",
                "limit",
                "crash",
                "blocked",
                "stream",
                "units?",
                "units",
                "spent",
                "used",
            ]
        )
        | st.none()
        | st.integers()
        | st.floats(allow_nan=False)
        | st.lists(st.integers()),
        max_size=16,
    ).map(lambda body: json.dumps(body).encode())
)
def test_bytes_that_are_no_message_are_logged_and_ignored(data):
    with captured_logs() as logs:
        assert receive(data) == []
    assert "datagram_unreadable" in logs.getvalue()


@pytest.mark.parametrize("message", MESSAGES)
def test_a_truncated_message_is_ignored(message):
    data = encode_message(message)
    with captured_logs():
        assert receive(data[:-3]) == []
        assert receive(json.dumps(json.loads(data)[:-1]).encode()) == []
    assert receive(data) == [message]


TODAY = (
    b'["ask","q","llm",0,"c-q","a",3700,3200,800,1,0.9,0.0,14.0,false,false,[]]',
    b'["renew","llm",0,[["q","d0",3200,800,44,0.19,0.096]]]',
)


@pytest.mark.parametrize(
    ("message", "data"),
    [
        (request("q"), TODAY[0]),
        (LeaseRenewal("llm", 0, (LEASE_USAGE,)), TODAY[1]),
    ],
)
def test_a_message_without_workspace_is_sent_and_read_as_before_there_were_any(
    message, data
):
    """Daemons of the version before reject a message with more fields."""
    assert encode_message(message) == data
    assert decode_message(data) == message


@pytest.mark.parametrize(
    ("changes", "added"),
    [
        ({"workspace": "w"}, 1),
        ({"workspace": "w", "weight": 40.0}, 2),
        ({"workspace": "w", "workspace_priority": 0}, 3),
    ],
)
def test_optional_fields_are_sent_up_to_the_last_that_is_not_default(changes, added):
    message = request("q", **changes)
    data = encode_message(message)
    assert decode_message(data) == message
    assert len(json.loads(data)) == len(json.loads(TODAY[0])) + added


def test_the_workspace_of_a_lease_is_sent_to_the_next_scheduler():
    usage = replace(LEASE_USAGE, workspace="w")
    message = LeaseRenewal("llm", 0, (usage, LEASE_USAGE))
    assert decode_message(encode_message(message)) == message


def test_a_message_with_more_fields_than_known_is_ignored():
    values = json.loads(encode_message(request("q", workspace="w")))
    with captured_logs():
        assert receive(json.dumps([*values, 2.0, 1, "more"]).encode()) == []
        assert receive(json.dumps([*values, "heavy"]).encode()) == []
