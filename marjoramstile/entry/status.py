"""Handlers of the daemons' addresses and of a request's status by its key."""

import asyncio
import base64
from dataclasses import asdict
from typing import Any
from urllib.parse import unquote

from sanic import HTTPResponse, Request, json

from marjoramstile.entry.access import AccessControl
from marjoramstile.entry.addresses import choose_addresses
from marjoramstile.entry.web import failure_response
from marjoramstile.ledger.claims import Claim, ClaimState, claim_key
from marjoramstile.ledger.ledger import Ledger
from marjoramstile.membership.view import View
from marjoramstile.peers.peer_client import PeerClient
from marjoramstile.requests.calls import CallRunner
from marjoramstile.requests.recent import RecentRequests, RequestState
from marjoramstile.results import Failure, Ran, ResultCode
from marjoramstile.settings import Settings

STATUS_RETRY_AFTER_S = 2.0


class AddressHandler:
    """Serves ``GET /v1/addresses``."""

    def __init__(self, access: AccessControl, view: View, settings: Settings):
        self._access = access
        self._view = view
        self._settings = settings

    async def handle(self, request: Request) -> HTTPResponse:
        """Return the addresses that a caller should use and how long to cache them."""
        caller = self._access.authenticate(request)
        node = self._settings.node
        answer = choose_addresses(
            self._view.peers,
            request.args.get("data_centre", node.data_centre),
            request.args.get("region", node.region),
            caller.workspace_name + request.ip,
            self._settings.listeners.callers.port,
            self._settings.timing.address_ttl_s,
        )
        return json(asdict(answer))


class StatusHandler:
    """Serves ``GET /v1/requests/KEY``."""

    def __init__(
        self,
        access: AccessControl,
        ledger: Ledger,
        calls: CallRunner,
        recent: RecentRequests,
        view: View,
        peer_client: PeerClient,
    ):
        self._access = access
        self._ledger = ledger
        self._calls = calls
        self._recent = recent
        self._view = view
        self._peer_client = peer_client

    async def handle(self, request: Request, key: str) -> HTTPResponse:
        """Return the state of the workspace's request with an idempotency key.

        This daemon's recent completions are searched first, then the ledger of
        calls, then the recent completions of the other daemons.
        """
        caller = self._access.authenticate(request)
        key = unquote(key)
        workspace = caller.workspace_name
        recent = self.recent_status(workspace, key)
        if recent is not None:
            return json(recent)
        found = await self._ledger.find(claim_key(workspace, key))
        if found.is_ok() and found.unwrap() is not None:
            return json(self._claim_status(found.unwrap()))
        peer_status = await self._ask_peers(workspace, key)
        if peer_status is not None:
            return json(peer_status)
        if found.is_err():
            message = "the record of calls can't be read now"
            return failure_response(
                Failure(
                    ResultCode.STORE_UNAVAILABLE,
                    message,
                    ran=Ran.UNKNOWN,
                    retry_after_s=STATUS_RETRY_AFTER_S,
                )
            )
        message = "no request of this workspace has this key"
        return failure_response(Failure(ResultCode.UNKNOWN_REQUEST, message))

    def recent_status(self, workspace: str, key: str) -> dict[str, Any] | None:
        """Return the status of one of this daemon's recent completions, or None."""
        entry = self._recent.get(workspace, key)
        if entry is None:
            return None
        return {
            "state": entry.state,
            "request_id": entry.request_id,
            "text": entry.text if entry.state == RequestState.DONE else None,
        }

    def _claim_status(self, claim: Claim) -> dict[str, Any]:
        claim = self._ledger.unwritten(claim.token) or claim
        if claim.state == ClaimState.RELEASED:
            return {"state": RequestState.NOT_RUN}
        if claim.answer is None:
            failure = self._calls.pending_failure(claim)
            running = failure.code == ResultCode.IN_PROGRESS
            state = RequestState.RUNNING if running else RequestState.UNKNOWN
            return {"state": state, "retry_after_s": failure.retry_after_s}
        body = base64.b64decode(claim.answer.body).decode(errors="replace")
        return {
            "state": RequestState.DONE,
            "status": claim.answer.status,
            "body": body,
        }

    async def _ask_peers(self, workspace: str, key: str) -> dict[str, Any] | None:
        question = {"kind": "request_status", "workspace": workspace, "key": key}
        answers = await asyncio.gather(
            *(
                self._peer_client.query(peer, question)
                for peer in self._view.others
                if peer.serving
            )
        )
        return next((answer for answer in answers if answer), None)
