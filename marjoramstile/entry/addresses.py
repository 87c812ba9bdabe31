"""Selection of the daemons' addresses that a caller should use."""

from collections.abc import Iterable
from dataclasses import dataclass

from marjoramstile.membership.view import Peer
from marjoramstile.utils import content_fingerprint

ADDRESSES_MAX = 8


@dataclass(frozen=True)
class AddressAnswer:
    """Addresses in the order to try them; cacheable for ``ttl_s`` seconds."""

    addresses: tuple[str, ...]
    ttl_s: float


def choose_addresses(
    peers: Iterable[Peer],
    data_centre: str,
    region: str,
    caller: str,
    port: int,
    ttl_s: float,
) -> AddressAnswer:
    """Return serving daemons, those of the caller's data centre and region first.

    Within each group daemons are ordered by a hash with ``caller``. This spreads
    callers evenly, and only few of them move when a daemon leaves.
    """
    serving = [peer for peer in peers if peer.serving]

    def order(peer: Peer) -> tuple[bool, bool, str]:
        return (
            peer.vm.data_centre != data_centre,
            peer.vm.region != region,
            content_fingerprint(caller, peer.vm.name),
        )

    chosen = sorted(serving, key=order)[:ADDRESSES_MAX]
    return AddressAnswer(tuple(f"{peer.vm.host}:{port}" for peer in chosen), ttl_s)
