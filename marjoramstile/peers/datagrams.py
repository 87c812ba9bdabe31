"""Load digests as datagrams: one way, lost without harm, renewed soon.

What a daemon sends is bounded in bytes a second. The more daemons and work there are,
the fewer of the others hear each digest; reservations at the replicas stay exact.
"""

import asyncio
import random
from collections.abc import Callable

import orjson

from marjoramstile.logs import get_logger
from marjoramstile.membership.view import Peer, View
from marjoramstile.routes.loads import (
    RENEW_S,
    FleetLoads,
    LoadDigest,
    ReplicaLoad,
)
from marjoramstile.utils import loop_time

# Most of what control may send, docs/CAPACITY.md.
BYTES_PER_S = 16_000
SHORTEST_PAUSE_S = 0.04
_MALFORMED = (ValueError, TypeError, KeyError, AttributeError)

logger = get_logger(__name__)


class DigestProtocol(asyncio.DatagramProtocol):
    """Hands the digests that arrive to ``hear``."""

    def __init__(self, hear: Callable[[LoadDigest, float], None]):
        self._hear = hear

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take one digest."""
        try:
            digest = decode_digest(data)
        except _MALFORMED as error:
            logger.warning("digest_unreadable", peer=address, reason=repr(error))
            return
        self._hear(digest, loop_time())

    def error_received(self, error: Exception) -> None:
        """Note what the network reports; the next digest makes up for it."""
        logger.debug("digest_not_delivered", reason=repr(error))


class DigestSender:
    """Sends own digests to the other daemons at a bounded rate."""

    def __init__(
        self,
        loads: FleetLoads,
        view: View,
        transport: asyncio.DatagramTransport,
        port: int,
        rng: random.Random,
    ):
        self._loads = loads
        self._view = view
        self._transport = transport
        self._port = port
        self._rng = rng
        self._sent_at = float("-inf")

    async def run(self) -> None:
        """Send a digest after changes and now and then, until cancelled."""
        while True:
            peers = [peer for peer in self._view.others if peer.serving]
            due = loop_time() - self._sent_at >= RENEW_S
            pause_s = SHORTEST_PAUSE_S
            if peers and (due or self._loads.changed):
                pause_s = max(pause_s, self.send(peers) / BYTES_PER_S)
            await asyncio.sleep(pause_s)

    def send(self, peers: list[Peer]) -> int:
        """Send a digest to as many peers as half a second allows; return the bytes."""
        self._sent_at = loop_time()
        data = encode_digest(self._loads.digest())
        most = max(1, int(BYTES_PER_S * RENEW_S / len(data)))
        chosen = self._rng.sample(peers, min(most, len(peers)))
        for peer in chosen:
            self._transport.sendto(data, (peer.vm.host, self._port))
        return len(data) * len(chosen)


def encode_digest(digest: LoadDigest) -> bytes:
    """Return a digest as JSON: thrift's parsers may not return on broken input."""
    return orjson.dumps(
        {
            "vm": digest.vm,
            "incarnation": digest.incarnation,
            "sequence": digest.sequence,
            "replicas": {
                replica_id: [load.requests, load.kv_tokens, load.prefill_tokens]
                for replica_id, load in digest.replicas.items()
            },
            "waiting": dict(digest.waiting),
        }
    )


def decode_digest(data: bytes) -> LoadDigest:
    """Return the digest that ``data`` holds; ValueError or TypeError if it is none."""
    body = orjson.loads(data)
    replicas = {
        replica_id: ReplicaLoad(*(_number(value) for value in values))
        for replica_id, values in body["replicas"].items()
    }
    return LoadDigest(
        vm=str(body["vm"]),
        incarnation=str(body["incarnation"]),
        sequence=_number(body["sequence"]),
        replicas=replicas,
        waiting={key: _number(count) for key, count in body["waiting"].items()},
    )


def _number(value: object) -> int:
    if not isinstance(value, int):
        raise TypeError(f"{value!r} is no number")
    return value
