"""Shares of file descriptors."""

from dataclasses import asdict

import pytest

from marjoramstile.descriptors import (
    DESCRIPTORS_MAX,
    FILES,
    FILES_SHARE,
    DescriptorShares,
)
from marjoramstile.peers.connections import IDLE_CONNECTIONS_PER_PEER


@pytest.mark.parametrize("descriptors", [64, 256, 1024, 4100, 20_000, DESCRIPTORS_MAX])
def test_the_connections_of_a_backlog_can_be_accepted_when_all_shares_are_used(
    descriptors,
):
    shares = asdict(DescriptorShares.of(descriptors))
    backlog = shares.pop("backlog")
    kept = IDLE_CONNECTIONS_PER_PEER * shares.pop("peer_addresses")
    sockets = descriptors - min(FILES, int(FILES_SHARE * descriptors))
    free = sockets - sum(shares.values()) - kept
    assert free >= backlog
    assert all(shares.values())
