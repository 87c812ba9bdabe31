"""Fleets of the soak: their logs survive faults, and are kept for violations."""

import contextlib
import socket
from collections import Counter, defaultdict
from collections.abc import Iterator

from demo.fleet import FIRST_NETWORK, NETWORKS, own_network
from demo.published_fleet import STORE_PORT, PublishedFleet
from soak.proxy import LinkProxy

LINK_PORT = 7400


def free_network() -> int:
    """Return a network on which no other run has a store, this process's own first."""
    for offset in range(NETWORKS):
        network = FIRST_NETWORK + (own_network() - FIRST_NETWORK + offset) % NETWORKS
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((f"127.{network}.9.1", STORE_PORT))
            return network
    raise RuntimeError("other runs use all networks")


class LoggedFleet(PublishedFleet):
    """A fleet whose replicas' runs are read from their logs."""

    def runs_by_id(self) -> Counter[str]:
        """Count runs by request id from the replicas' logs, which survive a kill."""
        return Counter(request_id for _, request_id in self._runs())

    def replicas_by_id(self) -> dict[str, set[str]]:
        """Return the replicas that each request ran on, by request id."""
        replicas: dict[str, set[str]] = defaultdict(set)
        for replica, request_id in self._runs():
            replicas[request_id].add(replica)
        return replicas

    def _runs(self) -> Iterator[tuple[str, str]]:
        """Return replica and request id of each run."""
        for log in self._directory.glob("*.log"):
            for line in log.read_text(errors="replace").splitlines():
                if line.startswith("run "):
                    yield log.stem, line.split()[1]

    def keep_logs(self) -> None:
        """Move the logs to a directory that is not removed, and print its path."""
        kept = self._directory.with_name(self._directory.name + "-kept")
        self._directory.rename(kept)
        self._directory.mkdir()
        print(f"logs kept in {kept}")


class SoakFleet(LoggedFleet):
    """A fleet whose daemons reach the store through proxies that inject faults."""

    def __init__(self, network: int, daemons: int):
        super().__init__(network)
        self.links: dict[int, LinkProxy] = {}
        self._daemons = daemons
        self._stack = contextlib.AsyncExitStack()

    async def start(self, **counts: int) -> None:
        """Start the proxies, then everything else."""
        for number in range(1, self._daemons + 1):
            link = LinkProxy(self.store)
            await link.start(self.vm_host(number), LINK_PORT)
            self._stack.push_async_callback(link.close)
            self.links[number] = link
        await super().start(**counts)

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()
        await super().__aexit__(*error)

    def _settings(self, number: int) -> dict:
        settings = super()._settings(number)
        return {
            **settings,
            "platform": {"address": f"{self.vm_host(number)}:{LINK_PORT}"},
        }
