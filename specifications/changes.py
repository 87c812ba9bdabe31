"""Specification of configuration changes (marjoramstile/configuration).

One change from version 0 to 1 among three members; member 0 coordinates. Messages may
be lost, delayed, duplicated and reordered: a message that was sent once can be
delivered at any later time, or never. A member may stop at any time, may lose its
lease at any time, and may rejoin. The coordinator may crash between any two steps; its
commit may take effect late. Time isn't modelled by a clock but by what it permits: a
lease granted before the removal of its member has expired when the coordinator's wait
ends. A member that can't read the store asks its peers in one atomic step.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from minicheck import Protocol

from marjoramstile.configuration.freshness import (
    PeerFreshness,
    Standing,
    may_commit,
    standing_from_peers,
)

MEMBERS = (0, 1, 2)

NO_LEASE = 0
LEASE = 1
LEASE_AFTER_REMOVAL = 2

IDLE = "idle"
STAGED = "staged"
WAITING = "waiting"
COMMITTING = "committing"
ACCEPTED = "accepted"
REFUSED = "refused"
CRASHED = "crashed"


class Member(NamedTuple):
    """One member of the fleet.

    It holds the version in force, whether it has prepared the change, its lease, and
    whether it has already read that no change is staged while it resolves its prepared
    change.
    """

    version: int = 0
    prepared: bool = False
    lease: int = LEASE
    saw_unstaged: bool = False


class State(NamedTuple):
    """The store, the members, the coordinator, and all messages sent so far."""

    current: int = 0
    staged: bool = False
    rows: tuple[bool, ...] = (True,) * len(MEMBERS)
    members: tuple[Member, ...] = (Member(),) * len(MEMBERS)
    phase: str = IDLE
    prepare_sent: bool = False
    answered: frozenset[int] = frozenset()
    removed: frozenset[int] = frozenset()
    commit_pending: bool = False
    outcome_sent: str = ""


class Variant(NamedTuple):
    """Switches that seed bugs into the protocol.

    ``no_lease_wait``: the coordinator doesn't wait until the leases of removed members
    have expired. ``no_majority``: it commits with any number of prepared members.
    ``drop_prepared``: a member drops its prepared change without reading the store.
    ``read_current_first``: a member reads the version in force before the staged row.
    """

    no_lease_wait: bool = False
    no_majority: bool = False
    drop_prepared: bool = False
    read_current_first: bool = False


Step = tuple[str, State]


def _with_member(state: State, number: int, **changes) -> State:
    members = list(state.members)
    members[number] = members[number]._replace(**changes)
    return state._replace(members=tuple(members))


def _install(state: State, number: int) -> State:
    return _with_member(state, number, version=1, prepared=False, saw_unstaged=False)


def _coordinator(state: State, variant: Variant) -> Iterable[Step]:
    if state.phase in (ACCEPTED, REFUSED, CRASHED):
        return
    if state.phase == IDLE:
        yield "stage", state._replace(staged=True, phase=STAGED, prepare_sent=True)
        return
    yield "crash", state._replace(phase=CRASHED)
    if state.phase == STAGED:
        yield from _decide(state, variant)
    elif state.phase == WAITING:
        yield from _end_wait(state, variant)
    elif state.phase == COMMITTING:
        yield from _resolve_commit(state)


def _decide(state: State, variant: Variant) -> Iterable[Step]:
    """Accept an answer, or stop waiting for the members that haven't answered."""
    for number in MEMBERS:
        if state.members[number].prepared and number not in state.answered:
            answered = state.answered | {number}
            yield f"answer_{number}", state._replace(answered=answered)
    enough = may_commit(len(state.answered), len(MEMBERS)) or variant.no_majority
    silent = frozenset(MEMBERS) - state.answered
    if enough:
        rows = tuple(
            present and number not in silent
            for number, present in enumerate(state.rows)
        )
        yield "remove_silent", state._replace(rows=rows, removed=silent, phase=WAITING)
    refused = state._replace(staged=False, phase=REFUSED, outcome_sent="aborted")
    yield "refuse", refused


def _end_wait(state: State, variant: Variant) -> Iterable[Step]:
    leases = [state.members[number].lease for number in state.removed]
    if LEASE not in leases or variant.no_lease_wait:
        yield "send_commit", state._replace(phase=COMMITTING, commit_pending=True)


def _resolve_commit(state: State) -> Iterable[Step]:
    """Find out from the store whether the commit took effect."""
    if state.current == 1:
        yield "accept", state._replace(phase=ACCEPTED, outcome_sent="committed")
    elif not state.staged:
        refused = state._replace(phase=REFUSED, outcome_sent="aborted")
        yield "refuse_late", refused


def _store(state: State) -> Iterable[Step]:
    """A pending commit takes effect or conflicts, at any time."""
    if state.commit_pending:
        done = state._replace(commit_pending=False)
        if state.staged:
            done = done._replace(current=1, staged=False)
        yield "commit_reaches_store", done
    if state.staged:
        yield "withdraw_stuck", state._replace(staged=False)


def _messages(state: State, number: int) -> Iterable[Step]:
    member = state.members[number]
    if state.prepare_sent and member.version == 0 and not member.prepared:
        yield f"prepare_{number}", _with_member(state, number, prepared=True)
    if state.outcome_sent == "committed" and member.prepared:
        yield f"receive_committed_{number}", _install(state, number)
    if state.outcome_sent == "aborted" and member.prepared:
        yield f"receive_aborted_{number}", _with_member(state, number, prepared=False)


def _leases(state: State, number: int) -> Iterable[Step]:
    member = state.members[number]
    if member.lease != NO_LEASE:
        yield f"lapse_{number}", _with_member(state, number, lease=NO_LEASE)
    if not state.rows[number]:
        yield from _rejoin(state, number)
    elif member.version == state.current:
        yield f"confirm_{number}", _with_member(state, number, lease=LEASE)
    else:
        yield f"refresh_{number}", _install(state, number)
    yield from _ask_peers(state, number)


def _rejoin(state: State, number: int) -> Iterable[Step]:
    """Register, then read the staged change, then the version in force."""
    rows = tuple(present or other == number for other, present in enumerate(state.rows))
    joined = state._replace(rows=rows)
    if state.current == 1:
        joined = _install(joined, number)
    elif state.staged:
        joined = _with_member(joined, number, prepared=True)
    yield f"rejoin_{number}", _with_member(joined, number, lease=LEASE)


def _ask_peers(state: State, number: int) -> Iterable[Step]:
    member = state.members[number]
    for peer in MEMBERS:
        if peer == number:
            continue
        other = state.members[peer]
        known = max(other.version, int(other.prepared))
        own = max(member.version, int(member.prepared))
        standing = standing_from_peers(own, len(MEMBERS), [PeerFreshness(known)])
        if standing == Standing.STORE_DOWN:
            lease = LEASE if state.rows[number] else LEASE_AFTER_REMOVAL
            yield f"ask_{number}_{peer}", _with_member(state, number, lease=lease)


def _resolve_prepared(state: State, number: int, variant: Variant) -> Iterable[Step]:
    """Resolve a prepared change by reading the staged row, then the version in force.

    The change is dropped if neither holds it, and installed if it was committed.
    """
    member = state.members[number]
    if not member.prepared:
        return
    if variant.drop_prepared:
        yield f"drop_unread_{number}", _with_member(state, number, prepared=False)
    first, second = not state.staged, state.current == 0
    if variant.read_current_first:
        first, second = second, first
    if not member.saw_unstaged:
        if first:
            yield f"read_first_{number}", _with_member(state, number, saw_unstaged=True)
    elif second:
        dropped = _with_member(state, number, prepared=False, saw_unstaged=False)
        yield f"drop_{number}", dropped
    elif state.current == 1:
        yield f"install_{number}", _install(state, number)


def _transitions(variant: Variant) -> Callable[[tuple], list]:
    def transitions(fields: tuple) -> list:
        (state,) = fields
        steps = [*_coordinator(state, variant), *_store(state)]
        for number in MEMBERS:
            steps += _messages(state, number)
            steps += _leases(state, number)
            steps += _resolve_prepared(state, number, variant)
        return [(label, (following,)) for label, following in steps]

    return transitions


def _in_force_everywhere(fields: dict) -> bool:
    """After the commit, a member on the old version has prepared or has no lease.

    Without a lease it refuses all requests; while prepared it can refuse those that the
    change affects.
    """
    state = fields["state"]
    if state.current == 0:
        return True
    return all(
        member.version == 1 or member.prepared or member.lease == NO_LEASE
        for member in state.members
    )


def _outcome_matches_store(fields: dict) -> bool:
    """The outcome reported to the operator is final and is what the store holds."""
    state = fields["state"]
    if state.phase == ACCEPTED:
        return state.current == 1
    if state.phase == REFUSED:
        return state.current == 0 and not (state.commit_pending and state.staged)
    return True


def _only_committed_in_force(fields: dict) -> bool:
    """No member has a version in force that the store hasn't committed."""
    state = fields["state"]
    return all(member.version <= state.current for member in state.members)


def change_protocol(variant: Variant = Variant()) -> Protocol:  # noqa: B008
    """Return the specification, with the seeded bugs that ``variant`` switches on."""
    return Protocol(
        name="changes",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=_transitions(variant),
        invariants={
            "in_force_everywhere": _in_force_everywhere,
            "outcome_matches_store": _outcome_matches_store,
            "only_committed_in_force": _only_committed_in_force,
        },
    )
