"""Shares of file descriptors."""

from dataclasses import asdict

import pytest

from marjoramstile.descriptors import (
    DESCRIPTORS_MAX,
    FILES,
    FILES_SHARE,
    DescriptorShares,
)


@pytest.mark.parametrize("descriptors", [64, 256, 1024, 4100, 20_000, DESCRIPTORS_MAX])
def test_a_fifth_of_the_sockets_and_a_backlog_stay_free(descriptors):
    shares = asdict(DescriptorShares.of(descriptors))
    backlog = shares.pop("backlog")
    sockets = descriptors - min(FILES, int(FILES_SHARE * descriptors))
    free = sockets - sum(shares.values())
    assert free >= 0.2 * sockets
    assert free >= backlog
    assert all(shares.values())
