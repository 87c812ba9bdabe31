"""Endpoint VMs that the platform lists as leaving."""

from collections.abc import Iterable
from urllib.parse import urlsplit

from marjoramstile.ports.vms import ListedState, ListedVM, VMRole


class LeavingHosts:
    """IP addresses of endpoint VMs that must get no new work."""

    def __init__(self):
        self._hosts: frozenset[str] = frozenset()

    def update(self, listed: Iterable[ListedVM]) -> None:
        """Replace the hosts by those that the platform's list marks as leaving."""
        self._hosts = frozenset(
            vm.host
            for vm in listed
            if vm.role == VMRole.ENDPOINT and vm.state == ListedState.LEAVING
        )

    def includes(self, url: str) -> bool:
        """Return whether the endpoint at ``url`` is leaving."""
        return bool(self._hosts) and urlsplit(url).hostname in self._hosts
