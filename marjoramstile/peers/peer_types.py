"""Messages between daemons, as thriftpy2's classes.

Written by ``make generate`` from peer.thrift; change that file, not this one.
"""

from thriftpy2.thrift import TPayload, TType


class WireReport(TPayload):
    """See Report in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "vm", False),
        2: (TType.STRING, "incarnation", False),
        3: (TType.I64, "counter", False),
        4: (TType.I32, "state", False),
    }
    default_spec = [
        ("vm", None),
        ("incarnation", None),
        ("counter", None),
        ("state", None),
    ]


class WireStrike(TPayload):
    """See Strike in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "content", False),
        2: (TType.STRING, "endpoint", False),
    }
    default_spec = [
        ("content", None),
        ("endpoint", None),
    ]


class WireTableVersion(TPayload):
    """See TableVersion in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "table", False),
        2: (TType.I64, "after", False),
        3: (TType.I64, "era", False),
    }
    default_spec = [
        ("table", None),
        ("after", None),
        ("era", None),
    ]


class WireProbe(TPayload):
    """See Probe in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "vm", False),
        2: (TType.STRING, "incarnation", False),
        3: (TType.LIST, "reports", (TType.STRUCT, WireReport), False),
        4: (TType.LIST, "strikes", (TType.STRUCT, WireStrike), False),
        5: (TType.STRING, "blocklist", False),
        6: (TType.LIST, "positions", (TType.STRUCT, WireTableVersion), False),
        7: (TType.I32, "links", False),
    }
    default_spec = [
        ("vm", None),
        ("incarnation", None),
        ("reports", None),
        ("strikes", None),
        ("blocklist", None),
        ("positions", None),
        ("links", None),
    ]


class WireAsk(TPayload):
    """See Ask in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "request_id", False),
        2: (TType.STRING, "engine", False),
        3: (TType.STRING, "holder", False),
        4: (TType.STRING, "holder_vm", False),
        5: (TType.I32, "pieces", False),
        6: (TType.STRING, "service_class", False),
        7: (TType.STRING, "workspace", False),
        8: (TType.I32, "share", False),
        9: (TType.DOUBLE, "ready_in_s", False),
        10: (TType.DOUBLE, "max_wait_s", False),
        11: (TType.BOOL, "suspect", False),
    }
    default_spec = [
        ("request_id", None),
        ("engine", None),
        ("holder", None),
        ("holder_vm", None),
        ("pieces", None),
        ("service_class", None),
        ("workspace", None),
        ("share", None),
        ("ready_in_s", None),
        ("max_wait_s", None),
        ("suspect", None),
    ]


class WireSlotAnswer(TPayload):
    """See SlotAnswer in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I32, "outcome", False),
        2: (TType.DOUBLE, "expected_s", False),
        3: (TType.I32, "used_slots", False),
        4: (TType.I32, "used_pieces", False),
        5: (TType.I32, "queued", False),
        6: (TType.DOUBLE, "hold_s", False),
    }
    default_spec = [
        ("outcome", None),
        ("expected_s", None),
        ("used_slots", None),
        ("used_pieces", None),
        ("queued", None),
        ("hold_s", None),
    ]


class WirePrefillAsk(TPayload):
    """See PrefillAsk in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "engine", False),
        2: (TType.I64, "tokens", False),
        3: (TType.STRING, "service_class", False),
        4: (TType.DOUBLE, "max_wait_s", False),
    }
    default_spec = [
        ("engine", None),
        ("tokens", None),
        ("service_class", None),
        ("max_wait_s", None),
    ]


class WirePrefillAnswer(TPayload):
    """See PrefillAnswer in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.BOOL, "accepted", False),
        2: (TType.DOUBLE, "start_in_s", False),
        3: (TType.I64, "backlog_tokens", False),
        4: (TType.DOUBLE, "tokens_per_s", False),
    }
    default_spec = [
        ("accepted", None),
        ("start_in_s", None),
        ("backlog_tokens", None),
        ("tokens_per_s", None),
    ]


class WireProposal(TPayload):
    """See Proposal in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "change_id", False),
        2: (TType.I64, "version", False),
        3: (TType.STRING, "base_id", False),
        4: (TType.STRING, "edits", False),
    }
    default_spec = [
        ("change_id", None),
        ("version", None),
        ("base_id", None),
        ("edits", None),
    ]


class WireFreshness(TPayload):
    """See Freshness in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.I64, "version", False),
        2: (TType.STRING, "in_force_id", False),
        3: (TType.BOOL, "removed", False),
        4: (TType.BOOL, "confirmed", False),
    }
    default_spec = [
        ("version", None),
        ("in_force_id", None),
        ("removed", None),
        ("confirmed", None),
    ]


class WireMirrorRow(TPayload):
    """See MirrorRow in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "key", False),
        2: (TType.I64, "version", False),
        3: (TType.BINARY, "value", False),
        4: (TType.BOOL, "deleted", False),
    }
    default_spec = [
        ("key", None),
        ("version", None),
        ("value", None),
        ("deleted", None),
    ]


class WireMirrorChanges(TPayload):
    """See MirrorChanges in peer.thrift."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.LIST, "rows", (TType.STRUCT, WireMirrorRow), False),
        2: (TType.I64, "version", False),
        3: (TType.BOOL, "complete", False),
        4: (TType.DOUBLE, "age_s", False),
        5: (TType.BOOL, "withheld", False),
        6: (TType.I64, "era", False),
    }
    default_spec = [
        ("rows", None),
        ("version", None),
        ("complete", None),
        ("age_s", None),
        ("withheld", None),
        ("era", None),
    ]


class ChangesArgs(TPayload):
    """The arguments of changes."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.LIST, "versions", (TType.STRUCT, WireTableVersion), False),
        2: (TType.BOOL, "whole", False),
    }
    default_spec = [
        ("versions", None),
        ("whole", None),
    ]


class ChangesResult(TPayload):
    """The result of changes."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.LIST, "success", (TType.STRUCT, WireMirrorChanges), False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class ProbeArgs(TPayload):
    """The arguments of probe."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRUCT, "message", WireProbe, False),
    }
    default_spec = [
        ("message", None),
    ]


class ProbeResult(TPayload):
    """The result of probe."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.STRUCT, "success", WireProbe, False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class ProbeThroughArgs(TPayload):
    """The arguments of probe_through."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "vm", False),
    }
    default_spec = [
        ("vm", None),
    ]


class ProbeThroughResult(TPayload):
    """The result of probe_through."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.BOOL, "success", False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class AskSlotArgs(TPayload):
    """The arguments of ask_slot."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRUCT, "ask", WireAsk, False),
    }
    default_spec = [
        ("ask", None),
    ]


class AskSlotResult(TPayload):
    """The result of ask_slot."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.STRUCT, "success", WireSlotAnswer, False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class ReleaseSlotArgs(TPayload):
    """The arguments of release_slot."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "engine", False),
        2: (TType.STRING, "request_id", False),
    }
    default_spec = [
        ("engine", None),
        ("request_id", None),
    ]


class ReleaseSlotResult(TPayload):
    """The result of release_slot."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.BOOL, "success", False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class GrantedArgs(TPayload):
    """The arguments of granted."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "request_id", False),
    }
    default_spec = [
        ("request_id", None),
    ]


class GrantedResult(TPayload):
    """The result of granted."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.BOOL, "success", False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class AskPrefillArgs(TPayload):
    """The arguments of ask_prefill."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRUCT, "ask", WirePrefillAsk, False),
    }
    default_spec = [
        ("ask", None),
    ]


class AskPrefillResult(TPayload):
    """The result of ask_prefill."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.STRUCT, "success", WirePrefillAnswer, False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class PrepareArgs(TPayload):
    """The arguments of prepare."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRUCT, "proposal", WireProposal, False),
    }
    default_spec = [
        ("proposal", None),
    ]


class PrepareResult(TPayload):
    """The result of prepare."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.STRING, "success", False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class FinishArgs(TPayload):
    """The arguments of finish."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "change_id", False),
        2: (TType.BOOL, "committed", False),
    }
    default_spec = [
        ("change_id", None),
        ("committed", None),
    ]


class FinishResult(TPayload):
    """The result of finish."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.BOOL, "success", False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class FreshnessArgs(TPayload):
    """The arguments of freshness."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "vm", False),
        2: (TType.STRING, "incarnation", False),
    }
    default_spec = [
        ("vm", None),
        ("incarnation", None),
    ]


class FreshnessResult(TPayload):
    """The result of freshness."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.STRUCT, "success", WireFreshness, False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class StrikeArgs(TPayload):
    """The arguments of strike."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRUCT, "strike", WireStrike, False),
    }
    default_spec = [
        ("strike", None),
    ]


class StrikeResult(TPayload):
    """The result of strike."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.BOOL, "success", False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class ClearArgs(TPayload):
    """The arguments of clear."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "content", False),
    }
    default_spec = [
        ("content", None),
    ]


class ClearResult(TPayload):
    """The result of clear."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.BOOL, "success", False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class QueryArgs(TPayload):
    """The arguments of query."""

    _ttype = TType.STRUCT
    thrift_spec = {
        1: (TType.STRING, "request", False),
    }
    default_spec = [
        ("request", None),
    ]


class QueryResult(TPayload):
    """The result of query."""

    _ttype = TType.STRUCT
    thrift_spec = {
        0: (TType.STRING, "success", False),
    }
    default_spec = [
        ("success", None),
    ]
    oneway = False


class PeerService:
    """The service that every daemon offers to its peers."""

    thrift_services = [
        "changes",
        "probe",
        "probe_through",
        "ask_slot",
        "release_slot",
        "granted",
        "ask_prefill",
        "prepare",
        "finish",
        "freshness",
        "strike",
        "clear",
        "query",
    ]
    changes_args = ChangesArgs
    changes_result = ChangesResult
    probe_args = ProbeArgs
    probe_result = ProbeResult
    probe_through_args = ProbeThroughArgs
    probe_through_result = ProbeThroughResult
    ask_slot_args = AskSlotArgs
    ask_slot_result = AskSlotResult
    release_slot_args = ReleaseSlotArgs
    release_slot_result = ReleaseSlotResult
    granted_args = GrantedArgs
    granted_result = GrantedResult
    ask_prefill_args = AskPrefillArgs
    ask_prefill_result = AskPrefillResult
    prepare_args = PrepareArgs
    prepare_result = PrepareResult
    finish_args = FinishArgs
    finish_result = FinishResult
    freshness_args = FreshnessArgs
    freshness_result = FreshnessResult
    strike_args = StrikeArgs
    strike_result = StrikeResult
    clear_args = ClearArgs
    clear_result = ClearResult
    query_args = QueryArgs
    query_result = QueryResult
