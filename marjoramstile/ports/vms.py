"""The platform's lagging list of live and leaving VMs."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from marjoramstile.ports.tables import StoreError


class ListedState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VMRole(StrEnum):
    """What runs on a VM: a daemon, or an endpoint."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


@dataclass(frozen=True)
class ListedVM:
    """One entry of the list; ``host`` is the VM's IP address."""

    name: str
    host: str
    data_centre: str
    region: str
    state: ListedState
    role: VMRole = VMRole.ENTRY


class VMList(Protocol):
    """Interface that marjoramstile needs from the platform's VM list."""

    async def list_vms(self) -> Result[tuple[ListedVM, ...], StoreError]:
        """Return the VMs that the platform lists now."""


class HTTPVMList:
    """Client of the platform's VM list."""

    def __init__(self, session: ClientSession, url: str, timeout_s: float):
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = ClientTimeout(total=timeout_s)

    async def list_vms(self) -> Result[tuple[ListedVM, ...], StoreError]:
        """Return the VMs that the platform lists now."""
        try:
            async with self._session.get(
                self._url + "/vms", timeout=self._timeout
            ) as response:
                if response.status != 200:
                    return Err(StoreError(f"status {response.status}"))
                body = await response.json()
        except (TimeoutError, ClientError, ValueError) as error:
            return Err(StoreError(repr(error)))
        return Ok(tuple(_to_vm(entry) for entry in body["vms"]))


def _to_vm(entry: dict[str, str]) -> ListedVM:
    return ListedVM(
        name=entry["name"],
        host=entry["host"],
        data_centre=entry["data_centre"],
        region=entry["region"],
        state=ListedState(entry["state"]),
        role=VMRole(entry.get("role", VMRole.ENTRY)),
    )
