"""Specification of configuration changes (marjoramstile/configuration).

One change from version 0 to 1 among three members; member 0 coordinates. Messages may
be lost, late, repeated and reordered: what was sent once can be delivered at any
later time, or never. A member may stop at any time, may lose its lease at any time,
and may rejoin. The coordinator may crash between any two steps; its commit may take
effect late. The passing of time is modelled by what it permits: a lease granted
before the removal of its member has lapsed when the coordinator's wait ends.
A member that can't read the store asks its peers at one instant.
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
    """A member: version in force, promise given, lease, step of settling."""

    version: int = 0
    prepared: bool = False
    lease: int = LEASE
    saw_unstaged: bool = False


class State(NamedTuple):
    """Store, members, coordinator, and the messages that were ever sent."""

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

    ``no_lease_wait``: the coordinator doesn't outwait removed members' leases.
    ``no_majority``: it commits with any number of prepared members.
    ``forget_promise``: a member forgets its promise without asking the store.
    ``read_current_first``: a member settles by reading in the wrong order.
    """

    no_lease_wait: bool = False
    no_majority: bool = False
    forget_promise: bool = False
    read_current_first: bool = False


Step = tuple[str, State]


def _set(state: State, number: int, **changes) -> State:
    members = list(state.members)
    members[number] = members[number]._replace(**changes)
    return state._replace(members=tuple(members))


def _install(state: State, number: int) -> State:
    return _set(state, number, version=1, prepared=False, saw_unstaged=False)


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
        yield from _learn_commit(state)


def _decide(state: State, variant: Variant) -> Iterable[Step]:
    """Take an answer, or stop waiting for the silent members."""
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


def _learn_commit(state: State) -> Iterable[Step]:
    """Learn the outcome by writing again and reading."""
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
        yield f"prepare_{number}", _set(state, number, prepared=True)
    if state.outcome_sent == "committed" and member.prepared:
        yield f"told_committed_{number}", _install(state, number)
    if state.outcome_sent == "aborted" and member.prepared:
        yield f"told_aborted_{number}", _set(state, number, prepared=False)


def _leases(state: State, number: int) -> Iterable[Step]:
    member = state.members[number]
    if member.lease != NO_LEASE:
        yield f"lapse_{number}", _set(state, number, lease=NO_LEASE)
    if not state.rows[number]:
        yield from _rejoin(state, number)
    elif member.version == state.current:
        yield f"confirm_{number}", _set(state, number, lease=LEASE)
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
        joined = _set(joined, number, prepared=True)
    yield f"rejoin_{number}", _set(joined, number, lease=LEASE)


def _ask_peers(state: State, number: int) -> Iterable[Step]:
    member = state.members[number]
    for helper in MEMBERS:
        if helper == number:
            continue
        other = state.members[helper]
        known = max(other.version, int(other.prepared))
        own = max(member.version, int(member.prepared))
        standing = standing_from_peers(own, len(MEMBERS), [PeerFreshness(known)])
        if standing == Standing.STORE_DOWN:
            lease = LEASE if state.rows[number] else LEASE_AFTER_REMOVAL
            yield f"ask_{number}_{helper}", _set(state, number, lease=lease)


def _settle(state: State, number: int, variant: Variant) -> Iterable[Step]:
    """Read the staged row, then the version in force, and keep or drop the promise."""
    member = state.members[number]
    if not member.prepared:
        return
    if variant.forget_promise:
        yield f"forget_{number}", _set(state, number, prepared=False)
    first, second = not state.staged, state.current == 0
    if variant.read_current_first:
        first, second = second, first
    if not member.saw_unstaged:
        if first:
            yield f"read_first_{number}", _set(state, number, saw_unstaged=True)
    elif second:
        dropped = _set(state, number, prepared=False, saw_unstaged=False)
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
            steps += _settle(state, number, variant)
        return [(label, (following,)) for label, following in steps]

    return transitions


def _in_force_everywhere(fields: dict) -> bool:
    """After the commit nobody serves the old version without a promise to fence."""
    state = fields["state"]
    if state.current == 0:
        return True
    return all(
        member.version == 1 or member.prepared or member.lease == NO_LEASE
        for member in state.members
    )


def _outcome_is_true(fields: dict) -> bool:
    """What the operator was told is what the store holds."""
    state = fields["state"]
    if state.phase == ACCEPTED:
        return state.current == 1
    if state.phase == REFUSED:
        return state.current == 0 and not (state.commit_pending and state.staged)
    return True


def _nothing_uncommitted_in_force(fields: dict) -> bool:
    """No member has a version in force that the store doesn't have."""
    state = fields["state"]
    return all(member.version <= state.current for member in state.members)


def change_protocol(variant: Variant = Variant()) -> Protocol:  # noqa: B008
    """Return the specification, with the seeded bugs of ``variant``."""
    return Protocol(
        name="changes",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=_transitions(variant),
        invariants={
            "in_force_everywhere": _in_force_everywhere,
            "outcome_is_true": _outcome_is_true,
            "nothing_uncommitted_in_force": _nothing_uncommitted_in_force,
        },
    )
