"""Executes operators' statements on one daemon."""

import json
from collections.abc import Sequence
from dataclasses import asdict
from typing import Any

from result import Err, Ok, Result

from marjoramstile.configuration.coordinator import Accepted, ChangeCoordinator
from marjoramstile.configuration.documents import parse_configuration
from marjoramstile.configuration.edits import edits_between
from marjoramstile.entry.status import StatusHandler
from marjoramstile.language.edits import to_edits
from marjoramstile.language.parser import closest_match, parse_statements
from marjoramstile.language.rows import select
from marjoramstile.language.statements import (
    OrderEngine,
    Show,
    Statement,
    StatementError,
)
from marjoramstile.language.subjects import SUBJECTS, Sources
from marjoramstile.orders.sender import OrderSender
from marjoramstile.peers.peer_client import PeerClient
from marjoramstile.results import Failure, ResultCode

StatementResult = Result[dict[str, Any], Failure]


class StatementExecutor:
    """Executes queries, engine orders and configuration changes."""

    def __init__(
        self,
        sources: Sources,
        peer_client: PeerClient,
        coordinator: ChangeCoordinator,
        orders: OrderSender,
        status: StatusHandler,
    ):
        self._sources = sources
        self._peer_client = peer_client
        self._coordinator = coordinator
        self._orders = orders
        self._status = status

    async def run(self, text: str, operator: str) -> StatementResult:
        """Run ``text``: one query, one order, or statements that form one change."""
        parsed = parse_statements(text)
        if parsed.is_err():
            return Err(_bad_statement(parsed.unwrap_err()))
        statements = parsed.unwrap()
        if len(statements) == 1 and isinstance(statements[0], Show):
            return await self._show(statements[0])
        if len(statements) == 1 and isinstance(statements[0], OrderEngine):
            return await self._order(statements[0])
        return await self._change(statements, operator)

    async def _show(self, show: Show) -> StatementResult:
        subject = SUBJECTS.get(show.subject)
        if subject is None:
            suggestion = closest_match(show.subject, tuple(SUBJECTS))
            error = StatementError(f"unknown subject {show.subject}", 6, suggestion)
            return Err(_bad_statement(error))
        rows = subject.source(self._sources)
        silent: list[str] = []
        if subject.on_all_daemons:
            query = {"kind": "rows", "subject": show.subject}
            others = await self._peer_client.query_rows(
                self._sources.view.others, query
            )
            rows = subject.join(rows + others.rows)
            silent = others.silent
        selected = select(rows, show)
        if selected.is_err():
            return Err(_bad_statement(selected.unwrap_err()))
        return Ok({"rows": selected.unwrap(), "silent": silent})

    async def _order(self, statement: OrderEngine) -> StatementResult:
        ordered = await self._orders.order(
            statement.endpoint, statement.action, statement.argument
        )
        return ordered.map(asdict)

    async def _change(
        self, statements: Sequence[Statement], operator: str
    ) -> StatementResult:
        edits = to_edits(statements, self._sources.keeper.configuration)
        if edits.is_err():
            return Err(_bad_statement(edits.unwrap_err()))
        accepted = await self._coordinator.change(edits.unwrap(), operator)
        return accepted.map(_accepted_body)

    async def apply(self, document: Any, operator: str) -> StatementResult:
        """Replace the whole configuration with ``document``."""
        parsed = parse_configuration(document)
        if parsed.is_err():
            message = "; ".join(parsed.unwrap_err())
            return Err(Failure(ResultCode.BAD_CONFIGURATION, message))
        state = self._sources.keeper.state
        edits = edits_between(state.configuration, parsed.unwrap())
        if not edits:
            return Ok({"version": state.version, "members": 0})
        accepted = await self._coordinator.change(edits, operator)
        return accepted.map(_accepted_body)

    def configuration(self) -> dict[str, Any]:
        """Return the version in force on this daemon and its document."""
        state = self._sources.keeper.state
        document = json.loads(state.configuration.to_json())
        return {"version": state.version, "document": document}

    def answer_peer(self, query: dict[str, Any]) -> Any:
        """Answer a query from another daemon."""
        if query["kind"] == "rows":
            return SUBJECTS[query["subject"]].source(self._sources)
        return self._status.recent_status(query["workspace"], query["key"])


def _accepted_body(accepted: Accepted) -> dict[str, Any]:
    return {"version": accepted.version, "members": accepted.member_count}


def _bad_statement(error: StatementError) -> Failure:
    return Failure(ResultCode.BAD_STATEMENT, str(error))
