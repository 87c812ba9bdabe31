"""Messages about pools, limits, crashes, streams and quotas, as UDP datagrams.

Lost datagrams are tolerated: requests are repeated and leases renewed. The format is
JSON, as thrift's parsers may never return on malformed input.
"""

import asyncio
import types
import typing
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from enum import Enum

import orjson

from marjoramstile.crashes.blocklist import BlockEntry
from marjoramstile.crashes.coordinator import CrashCoordinator
from marjoramstile.crashes.messages import (
    BeginAnswer,
    BeginCount,
    BeginQuery,
    BlockUpdate,
    CrashMessage,
    CrashReport,
)
from marjoramstile.limits.client import PermitClient
from marjoramstile.limits.coordinator import LimitCoordinator
from marjoramstile.limits.messages import (
    LimitedReplica,
    LimitMessage,
    LimitReport,
    PermitAnswer,
    PermitRequest,
    PermitUse,
)
from marjoramstile.log_summaries import EventSummary
from marjoramstile.logs import get_logger
from marjoramstile.membership.view import Peer
from marjoramstile.peers.datagram_sources import DatagramSources
from marjoramstile.pools.client import PoolClient
from marjoramstile.pools.host import SchedulerHost
from marjoramstile.pools.messages import (
    OPTIONAL,
    LeaseEnd,
    LeaseRenewal,
    LeaseUsage,
    PlacementCancel,
    PlacementGrant,
    PlacementQueued,
    PlacementRefusal,
    PlacementRequest,
    PollLater,
    PoolMessage,
    ProfileUpdate,
    SpeedUpdate,
)
from marjoramstile.pools.speeds import ReplicaSpeed
from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.quotas.client import QuotaClient
from marjoramstile.quotas.messages import (
    QuotaAnswer,
    QuotaBackup,
    QuotaMessage,
    QuotaReport,
    QuotaRequest,
    Sender,
    SpenderState,
    WorkspaceUse,
)
from marjoramstile.quotas.owner import QuotaOwner
from marjoramstile.streams.keeper import StreamKeeper
from marjoramstile.streams.messages import (
    StreamBegun,
    StreamMessage,
    VersionAnswer,
    VersionQuery,
)

_KINDS = {
    "ask": PlacementRequest,
    "cancel": PlacementCancel,
    "renew": LeaseRenewal,
    "end": LeaseEnd,
    "means": ProfileUpdate,
    "speeds": SpeedUpdate,
    "grant": PlacementGrant,
    "queued": PlacementQueued,
    "poll-later": PollLater,
    "refusal": PlacementRefusal,
    "permit": PermitRequest,
    "permitted": PermitAnswer,
    "permit-used": PermitUse,
    "limit": LimitReport,
    "crash": CrashReport,
    "begins?": BeginQuery,
    "begins": BeginAnswer,
    "blocked": BlockUpdate,
    "stream": StreamBegun,
    "version?": VersionQuery,
    "version": VersionAnswer,
    "units?": QuotaRequest,
    "units": QuotaAnswer,
    "spent": QuotaReport,
    "used": QuotaBackup,
}
_KIND_NAMES = {kind: name for name, kind in _KINDS.items()}
_ANSWERS = (PlacementGrant, PlacementQueued, PollLater, PlacementRefusal)
_LIMIT_MESSAGES = (PermitRequest, PermitUse, LimitReport)
_CRASH_MESSAGES = (CrashReport, BeginQuery, BeginAnswer, BlockUpdate)
_STREAM_MESSAGES = (StreamBegun, VersionQuery, VersionAnswer)
_QUOTA_MESSAGES = (QuotaRequest, QuotaReport, QuotaBackup)
Message = PoolMessage | LimitMessage | CrashMessage | StreamMessage | QuotaMessage
_PARTS = (
    LeaseUsage,
    GenerationProfile,
    ReplicaSpeed,
    LimitedReplica,
    BeginCount,
    BlockEntry,
    Sender,
    SpenderState,
    WorkspaceUse,
)
_FIELD_TYPES = {
    kind: typing.get_type_hints(kind) for kind in (*_KINDS.values(), *_PARTS)
}
_OPTIONAL_DEFAULTS = {
    kind: [item.default for item in fields(kind) if OPTIONAL in item.metadata]
    for kind in _FIELD_TYPES
}
# Longest text in a message, in characters; names and ids are shorter.
TEXT_MAX = 1024
_MALFORMED = (ValueError, TypeError, KeyError, IndexError)

logger = get_logger(__name__)


def encode_message(message: Message) -> bytes:
    """Return a message as a JSON list: its kind, then the values of its fields."""
    return orjson.dumps(
        [_KIND_NAMES[type(message)], *_encode_fields(message)],
        option=orjson.OPT_PASSTHROUGH_DATACLASS,
    )


def _encode_fields(item: object) -> list:
    """Return the values of the fields, without optional ones at the end if default."""
    values = [_encode_value(getattr(item, field.name)) for field in fields(item)]
    for default in reversed(_OPTIONAL_DEFAULTS[type(item)]):
        if values[-1] != default:
            break
        values.pop()
    return values


def _encode_value(value: object) -> object:
    if is_dataclass(value):
        return _encode_fields(value)
    if isinstance(value, tuple):
        return [_encode_value(item) for item in value]
    if isinstance(value, Enum):
        return value.value
    return value


def decode_message(data: bytes) -> Message:
    """Return the message that ``data`` holds; raise one of ``_MALFORMED`` if none."""
    kind, *values = orjson.loads(data)
    return _decode_fields(_KINDS[kind], values)


def _decode_fields(kind: type, values: list) -> object:
    """Return a message or a part of one; optional fields at the end may be missing."""
    field_types = _FIELD_TYPES[kind]
    required = len(field_types) - len(_OPTIONAL_DEFAULTS[kind])
    if not isinstance(values, list) or not (
        required <= len(values) <= len(field_types)
    ):
        raise ValueError(f"values do not match the fields of {kind.__name__}")
    pairs = zip(field_types.values(), values, strict=False)
    return kind(*(_decode_value(field_type, value) for field_type, value in pairs))


def _decode_value(field_type: object, value: object) -> object:
    if is_dataclass(field_type):
        return _decode_fields(field_type, value)
    if isinstance(field_type, types.UnionType):
        inner = [item for item in typing.get_args(field_type) if item is not type(None)]
        return None if value is None else _decode_value(inner[0], value)
    if typing.get_origin(field_type) is tuple:
        if not isinstance(value, list):
            raise TypeError(f"{value!r} is not a list")
        return tuple(
            _decode_value(typing.get_args(field_type)[0], item) for item in value
        )
    if issubclass(field_type, Enum):
        return field_type(value)
    if field_type is float and type(value) is int:
        return float(value)
    if type(value) is not field_type:
        raise TypeError(f"{value!r} is not of type {field_type.__name__}")
    if field_type is str and len(value) > TEXT_MAX:
        raise ValueError(f"a text has {len(value)} characters")
    return value


class PoolProtocol(asyncio.DatagramProtocol):
    """Passes other daemons' requests and answers to this daemon's roles."""

    def __init__(
        self,
        host: SchedulerHost,
        client: PoolClient,
        coordinator: LimitCoordinator,
        permits: PermitClient,
        crashes: CrashCoordinator,
        streams: StreamKeeper,
        quotas: QuotaClient,
        quota_owner: QuotaOwner,
        sources: DatagramSources,
        on_unreadable: Callable[[str, str], None] = lambda name, kind: None,
    ):
        """``sources`` admits datagrams by their senders.

        ``on_unreadable`` gets a counter's name, and the kind of the error.
        """
        self._sources = sources
        self._on_unreadable = on_unreadable
        self._unreadable = EventSummary(logger, "datagram_unreadable")
        self._host = host
        self._client = client
        self._crashes = crashes
        self._streams = streams
        self._quotas = quotas
        self._quota_owner = quota_owner
        self._coordinator = coordinator
        self._permits = permits
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport for answers."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode one message and pass it on; log and ignore malformed ones."""
        if not self._sources.admits(address[0], len(data)):
            return
        try:
            message = decode_message(data)
        except _MALFORMED as error:
            kind = type(error).__name__
            self._on_unreadable("datagrams_unreadable", kind)
            self._unreadable.count({"error": kind}, peer=address, detail=str(error))
            return
        try:
            self._handle(message, address)
        except Exception as error:
            logger.error("datagram_not_handled", peer=address, error=repr(error))

    def _handle(self, message: Message, address: tuple[str, int]) -> None:
        def reply(answer: Message) -> None:
            self._transport.sendto(encode_message(answer), address)

        if isinstance(message, _ANSWERS):
            self._client.handle_answer(message, reply)
        elif isinstance(message, PermitAnswer):
            self._permits.handle_answer(message)
        elif isinstance(message, _LIMIT_MESSAGES):
            self._coordinator.handle_message(message, reply)
        elif isinstance(message, _CRASH_MESSAGES):
            self._crashes.handle_message(message, reply)
        elif isinstance(message, _STREAM_MESSAGES):
            self._streams.handle_message(message, reply)
        elif isinstance(message, QuotaAnswer):
            self._quotas.handle_answer(message)
        elif isinstance(message, _QUOTA_MESSAGES):
            self._quota_owner.handle_message(message, reply)
        else:
            self._host.handle_message(message, reply)

    def error_received(self, error: Exception) -> None:
        """Log an error of the network; senders repeat lost messages."""
        logger.debug("datagram_not_delivered", reason=repr(error))


class DatagramSender:
    """Sends messages to the daemons of other VMs."""

    def __init__(self, port: int):
        self._port = port
        self._transport: asyncio.DatagramTransport | None = None

    def connect(self, transport: asyncio.DatagramTransport) -> None:
        """Set the transport; messages before that are dropped."""
        self._transport = transport

    def send(self, peer: Peer, message: Message) -> None:
        """Send a message to the daemon on a peer's VM."""
        if self._transport is not None:
            self._transport.sendto(encode_message(message), (peer.vm.host, self._port))
