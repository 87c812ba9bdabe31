"""Load digests as datagrams: one way, lost without harm, renewed soon."""

import asyncio
import random
from collections.abc import Callable

from thriftpy2.thrift import TException
from thriftpy2.utils import deserialize, serialize

from marjoramstile.logs import get_logger
from marjoramstile.membership.view import Peer, View
from marjoramstile.peers.frames import IDL
from marjoramstile.routes.loads import (
    RENEW_S,
    FleetLoads,
    LoadDigest,
    ReplicaLoad,
)
from marjoramstile.utils import loop_time

# Datagrams that one daemon sends in a second, whatever the number of daemons.
DATAGRAMS_PER_S = 100
SHORTEST_PAUSE_S = 0.04

logger = get_logger(__name__)


class DigestProtocol(asyncio.DatagramProtocol):
    """Hands the digests that arrive to ``hear``."""

    def __init__(self, hear: Callable[[LoadDigest, float], None]):
        self._hear = hear

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take one digest."""
        try:
            digest = digest_from_wire(deserialize(IDL.LoadDigest(), data))
        except (TException, ValueError, TypeError, EOFError, AttributeError) as error:
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
            if peers and (due or self._loads.changed):
                self._send(peers)
            await asyncio.sleep(
                max(SHORTEST_PAUSE_S, min(len(peers) / DATAGRAMS_PER_S, RENEW_S))
            )

    def _send(self, peers: list[Peer]) -> None:
        self._sent_at = loop_time()
        data = serialize(digest_to_wire(self._loads.digest()))
        most = round(DATAGRAMS_PER_S * RENEW_S)
        for peer in self._rng.sample(peers, min(most, len(peers))):
            self._transport.sendto(data, (peer.vm.host, self._port))


def digest_to_wire(digest: LoadDigest):
    """Return the thrift form of a digest."""
    return IDL.LoadDigest(
        vm=digest.vm,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        replicas=[
            IDL.ReplicaLoad(
                id=replica_id,
                requests=load.requests,
                kv_tokens=load.kv_tokens,
                prefill_tokens=load.prefill_tokens,
            )
            for replica_id, load in digest.replicas.items()
        ],
        waiting=dict(digest.waiting),
    )


def digest_from_wire(wire) -> LoadDigest:
    """Return the digest that ``wire`` holds; TypeError if a part is missing."""
    if None in (wire.vm, wire.incarnation, wire.sequence, wire.replicas):
        raise TypeError("a part of the digest is missing")
    return LoadDigest(
        vm=wire.vm,
        incarnation=wire.incarnation,
        sequence=wire.sequence,
        replicas={
            item.id: ReplicaLoad(item.requests, item.kv_tokens, item.prefill_tokens)
            for item in wire.replicas
        },
        waiting=wire.waiting or {},
    )
