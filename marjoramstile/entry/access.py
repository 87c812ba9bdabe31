"""Authentication of callers and authorisation of services."""

from dataclasses import dataclass

from sanic import Request

from marjoramstile.configuration.documents import Configuration, Workspace
from marjoramstile.configuration.keeper import ConfigurationKeeper
from marjoramstile.entry.web import bearer_token
from marjoramstile.results import Failure, RequestFailedError, ResultCode
from marjoramstile.utils import hash_secret


@dataclass(frozen=True)
class Caller:
    """An authenticated caller and the configuration for its whole request."""

    workspace_name: str
    workspace: Workspace
    configuration: Configuration


class AccessControl:
    """Authenticates callers by the hash of their keys.

    The index of key hashes is rebuilt when the configuration changes.
    """

    def __init__(self, keeper: ConfigurationKeeper):
        self._keeper = keeper
        self._indexed: Configuration | None = None
        self._names_by_hash: dict[str, str] = {}

    def authenticate(self, request: Request) -> Caller:
        """Return the caller of a request.

        Raises ``RequestFailedError`` for a missing or unknown key, and while this
        daemon has no configuration.
        """
        token = bearer_token(request)
        if not self._keeper.state.loaded:
            raise RequestFailedError(self._keeper.refusal("", ""))
        configuration = self._keeper.configuration
        name = self._index(configuration).get(hash_secret(token))
        if name is None:
            message = "the key belongs to no workspace"
            raise RequestFailedError(Failure(ResultCode.UNAUTHENTICATED, message))
        return Caller(name, configuration.workspaces[name], configuration)

    def _index(self, configuration: Configuration) -> dict[str, str]:
        if self._indexed is not configuration:
            self._names_by_hash = {
                key_hash: name
                for name, workspace in configuration.workspaces.items()
                for key_hash in workspace.key_hashes
            }
            self._indexed = configuration
        return self._names_by_hash

    def check_service(self, caller: Caller, service: str) -> None:
        """Raise ``RequestFailedError`` unless the caller may use ``service`` now.

        Services are also refused while this daemon's configuration is out of date or
        a change that affects them is being settled.
        """
        configuration = caller.configuration
        known = (
            service in configuration.language_services
            or service in configuration.plain_services
        )
        if not known:
            message = f"there is no service {service}"
            raise RequestFailedError(Failure(ResultCode.UNKNOWN_SERVICE, message))
        if service not in caller.workspace.services:
            message = f"the workspace may not use {service}"
            raise RequestFailedError(Failure(ResultCode.NOT_ALLOWED, message))
        refusal = self._keeper.refusal(service, caller.workspace_name)
        if refusal is not None:
            raise RequestFailedError(refusal)
