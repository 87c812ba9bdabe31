"""Messages to schedulers of pools and their answers, as datagrams.

A lost one is made up for: requests are asked again, leases renewed. JSON is used, as
thrift's parsers may not return on broken input.
"""

import asyncio
import types
import typing
from dataclasses import fields, is_dataclass
from enum import Enum

import orjson

from marjoramstile.logs import get_logger
from marjoramstile.membership.view import Peer
from marjoramstile.pools.client import PoolClient
from marjoramstile.pools.host import SchedulerHost
from marjoramstile.pools.messages import (
    LeaseEnd,
    LeaseRenewal,
    LeaseUsage,
    PlacementCancel,
    PlacementGrant,
    PlacementQueued,
    PlacementRefusal,
    PlacementRequest,
    PoolMessage,
    ProfileUpdate,
)
from marjoramstile.pools.statistics import GenerationProfile

_KINDS = {
    "ask": PlacementRequest,
    "cancel": PlacementCancel,
    "renew": LeaseRenewal,
    "end": LeaseEnd,
    "means": ProfileUpdate,
    "grant": PlacementGrant,
    "queued": PlacementQueued,
    "refusal": PlacementRefusal,
}
_NAMES = {kind: name for name, kind in _KINDS.items()}
_ANSWERS = (PlacementGrant, PlacementQueued, PlacementRefusal)
_HINTS = {
    kind: typing.get_type_hints(kind)
    for kind in (*_KINDS.values(), LeaseUsage, GenerationProfile)
}
_MALFORMED = (ValueError, TypeError, KeyError, IndexError)

logger = get_logger(__name__)


def encode_message(message: PoolMessage) -> bytes:
    """Return a message as a JSON list: its kind, then the values of its fields."""
    return orjson.dumps(
        [_NAMES[type(message)], *_values(message)],
        option=orjson.OPT_PASSTHROUGH_DATACLASS,
    )


def _values(item: object) -> list:
    return [_plain(getattr(item, field.name)) for field in fields(item)]


def _plain(value: object) -> object:
    if is_dataclass(value):
        return _values(value)
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    if isinstance(value, Enum):
        return value.value
    return value


def decode_message(data: bytes) -> PoolMessage:
    """Return the message that ``data`` holds; ValueError and its kin if it is none."""
    kind, *values = orjson.loads(data)
    return _build(_KINDS[kind], values)


def _build(kind: type, values: list) -> object:
    hints = _HINTS[kind]
    if not isinstance(values, list) or len(values) != len(hints):
        raise ValueError(f"not the fields of {kind.__name__}")
    parts = zip(hints.values(), values, strict=True)
    return kind(*(_value(hint, value) for hint, value in parts))


def _value(hint: object, value: object) -> object:
    if is_dataclass(hint):
        return _build(hint, value)
    if isinstance(hint, types.UnionType):
        inner = [item for item in typing.get_args(hint) if item is not type(None)]
        return None if value is None else _value(inner[0], value)
    if typing.get_origin(hint) is tuple:
        if not isinstance(value, list):
            raise TypeError(f"{value!r} is no list")
        return tuple(_value(typing.get_args(hint)[0], item) for item in value)
    if issubclass(hint, Enum):
        return hint(value)
    if hint is float and type(value) is int:
        return float(value)
    if type(value) is not hint:
        raise TypeError(f"{value!r} is no {hint.__name__}")
    return value


class PoolProtocol(asyncio.DatagramProtocol):
    """Hands requests to this daemon's schedulers and answers to its client."""

    def __init__(self, host: SchedulerHost, client: PoolClient):
        self._host = host
        self._client = client
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport for answers."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take one message."""
        try:
            message = decode_message(data)
        except _MALFORMED as error:
            logger.warning("datagram_unreadable", peer=address, reason=repr(error))
            return

        def reply(answer: PoolMessage) -> None:
            self._transport.sendto(encode_message(answer), address)

        if isinstance(message, _ANSWERS):
            self._client.handle_answer(message, reply)
        else:
            self._host.handle_message(message, reply)

    def error_received(self, error: Exception) -> None:
        """Note what the network reports; lost messages are made up for."""
        logger.debug("datagram_not_delivered", reason=repr(error))


class DatagramSender:
    """Sends messages to the schedulers of other VMs."""

    def __init__(self, port: int):
        self._port = port
        self._transport: asyncio.DatagramTransport | None = None

    def connect(self, transport: asyncio.DatagramTransport) -> None:
        """Use a transport that now exists; before that nothing is sent."""
        self._transport = transport

    def send(self, peer: Peer, message: PoolMessage) -> None:
        """Send one message."""
        if self._transport is not None:
            self._transport.sendto(encode_message(message), (peer.vm.host, self._port))
