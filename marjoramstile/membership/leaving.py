"""Endpoint VMs that the platform lists as leaving."""

from collections.abc import Iterable
from urllib.parse import urlsplit

from marjoramstile.ports.vms import ListedState, ListedVM, VMRole


class LeavingHosts:
    """IP numbers of endpoint VMs that must get nothing new."""

    def __init__(self):
        self._hosts: frozenset[str] = frozenset()

    def update(self, listed: Iterable[ListedVM]) -> None:
        """Take the platform's list."""
        self._hosts = frozenset(
            vm.host
            for vm in listed
            if vm.role == VMRole.ENDPOINT and vm.state == ListedState.LEAVING
        )

    def includes(self, url: str) -> bool:
        """Tell whether the endpoint at ``url`` is leaving."""
        return bool(self._hosts) and urlsplit(url).hostname in self._hosts
