"""State machine of one member in configuration changes, without I/O.

A member holds the configuration in force and at most one prepared successor.
Once it has prepared, it may serve what the change affects under the old version
only for ``FENCE_AFTER_S``; after that it refuses until it learns the outcome.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

from marjoramstile.configuration.documents import Configuration
from marjoramstile.configuration.edits import Edit, apply_edits
from marjoramstile.configuration.scopes import EVERYTHING, NOTHING, Scope, changed_scope

FENCE_AFTER_S = 9.0


@dataclass(frozen=True)
class Proposal:
    """A change that becomes ``version`` if it is committed after ``base_id``."""

    change_id: str
    version: int
    base_id: str
    edits: tuple[Edit, ...]


@dataclass(frozen=True)
class Prepared:
    """A proposal that this member has prepared.

    Until its outcome is known, requests in ``scope`` are refused from
    ``FENCE_AFTER_S`` after ``prepared_at`` on.
    """

    proposal: Proposal
    configuration: Configuration
    scope: Scope
    prepared_at: float


@dataclass(frozen=True)
class MemberState:
    """The configuration in force (``loaded`` once known) and the prepared one."""

    version: int = 0
    change_id: str = ""
    configuration: Configuration = Configuration()
    loaded: bool = False
    prepared: Prepared | None = None

    @property
    def highest_version(self) -> int:
        """The highest version that this member has prepared or put in force."""
        if self.prepared is None:
            return self.version
        return max(self.version, self.prepared.proposal.version)


class PrepareAnswer(StrEnum):
    """Answer of a member to a proposal."""

    PREPARED = "prepared"
    STALE = "stale"
    BUSY = "busy"
    INVALID = "invalid"


def prepare(
    state: MemberState, proposal: Proposal, now: float
) -> tuple[MemberState, PrepareAnswer]:
    """Prepare ``proposal`` if it directly follows the version in force."""
    if not state.loaded or proposal.base_id != state.change_id:
        return state, PrepareAnswer.STALE
    if state.prepared is not None:
        same = state.prepared.proposal.change_id == proposal.change_id
        return state, PrepareAnswer.PREPARED if same else PrepareAnswer.BUSY
    applied = apply_edits(state.configuration, proposal.edits)
    if applied.is_err():
        return state, PrepareAnswer.INVALID
    configuration = applied.unwrap()
    scope = changed_scope(state.configuration, configuration)
    prepared = Prepared(proposal, configuration, scope, now)
    return replace(state, prepared=prepared), PrepareAnswer.PREPARED


def commit_prepared(state: MemberState, change_id: str) -> MemberState:
    """Put the prepared configuration in force if it is ``change_id``."""
    prepared = state.prepared
    if prepared is None or prepared.proposal.change_id != change_id:
        return state
    return MemberState(
        version=prepared.proposal.version,
        change_id=change_id,
        configuration=prepared.configuration,
        loaded=True,
    )


def install(
    state: MemberState, version: int, change_id: str, configuration: Configuration
) -> MemberState:
    """Put a version read from the store in force if it is newer."""
    if state.loaded and version <= state.version:
        return state
    prepared = state.prepared
    if prepared is not None and prepared.proposal.version <= version:
        prepared = None
    return MemberState(version, change_id, configuration, True, prepared)


def abort(state: MemberState, change_id: str) -> MemberState:
    """Discard the prepared proposal if it is ``change_id``."""
    if state.prepared is None or state.prepared.proposal.change_id != change_id:
        return state
    return replace(state, prepared=None)


def fenced_scope(state: MemberState, now: float) -> Scope:
    """Return the scope of the requests that this member must refuse now."""
    if not state.loaded:
        return EVERYTHING
    if state.prepared is None or now - state.prepared.prepared_at < FENCE_AFTER_S:
        return NOTHING
    return state.prepared.scope
