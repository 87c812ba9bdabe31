"""Datagrams of unknown addresses are read up to a rate, all those of known VMs."""

import asyncio
from types import SimpleNamespace

import pytest

from marjoramstile.membership.view import View
from marjoramstile.peers.datagram_sources import (
    UNKNOWN_BURST_BYTES,
    UNKNOWN_BYTES_PER_S,
    DatagramSources,
)
from marjoramstile.ports.vms import ListedState, ListedVM
from tests.support import captured_logs

SIZE = 1000
OWN = ListedVM("vm-1", "10.0.0.1", "dc", "region", ListedState.LIVE)
VIEWED = ListedVM("vm-2", "10.0.0.2", "dc", "region", ListedState.LIVE)
LISTED_HOST = "10.0.0.3"


class Sources:
    """Sources of a daemon that knows some VMs, and what it counted."""

    def __init__(self):
        self.view = View(OWN, "incarnation")
        self.view.merge_list([OWN, VIEWED], 0.0)
        self.entries = {"vm-3": SimpleNamespace(host=LISTED_HOST)}
        self.refused = 0
        self.sources = DatagramSources(
            self.view, lambda: self.entries, self._count_refused
        )

    def _count_refused(self, name: str, kind: str) -> None:
        assert name == "datagrams_refused"
        self.refused += 1

    def admitted(self, host: str, count: int) -> int:
        """Return how many of ``count`` datagrams from an address are read."""
        return sum(self.sources.admits(host, SIZE) for _ in range(count))


@pytest.mark.parametrize("host", [OWN.host, VIEWED.host, LISTED_HOST])
async def test_datagrams_of_a_known_vm_are_refused(host):
    """The view follows the rows of VMs with a delay."""
    sources = Sources()
    sources.admitted("10.9.9.9", 1000)
    assert sources.admitted(host, 10_000) == 10_000


async def test_datagrams_of_unknown_addresses_have_no_bound():
    sources = Sources()
    with captured_logs() as logs:
        first = sum(sources.admitted(f"10.9.9.{i}", 100) for i in range(100))
    assert first == UNKNOWN_BURST_BYTES // SIZE
    assert sources.refused == 10_000 - first
    assert logs.getvalue().count("datagrams_of_unknown_sources") == 1
    await asyncio.sleep(0.5)
    again = sources.admitted("10.9.9.9", 10_000)
    assert again == pytest.approx(0.5 * UNKNOWN_BYTES_PER_S / SIZE, abs=1)


async def test_a_vm_whose_row_is_new_stays_unknown():
    sources = Sources()
    sources.admitted("10.0.0.4", 1000)
    assert sources.admitted("10.0.0.4", 10) == 0
    sources.entries = {"vm-4": SimpleNamespace(host="10.0.0.4")}
    assert sources.admitted("10.0.0.4", 10) == 10
