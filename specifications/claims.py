"""Specification of the claim protocol (marjoramstile/ledger).

Two attempts, each on a daemon of its own, try to run one call. The store holds one
row; writes are conditional on its version, may take effect at any later time, and
their answers may be lost. A daemon may crash, or be paused between any two of its
steps. The search is exhaustive up to ``WRITES_LIMIT`` effective writes of the row.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from minicheck import Protocol

ABSENT = "absent"
CLAIMED = "claimed"
DONE = "done"
RELEASED = "released"

IDLE = "idle"
CLAIMING = "claiming"
PERMITTED = "permitted"
RUNNING = "running"
RECORDING = "recording"
RELEASING = "releasing"
TOLD_DONE = "told_done"
TOLD_NOT_RUN = "told_not_run"
TOLD_UNKNOWN = "told_unknown"
CRASHED = "crashed"

ATTEMPTS = 2
WRITES_LIMIT = 8


@dataclass(frozen=True)
class Row:
    """The claim's row: state, number of its owner and version."""

    state: str = ABSENT
    owner: int = -1
    version: int = 0


@dataclass(frozen=True)
class Pending:
    """A conditional write that is still on its way to the store."""

    owner: int
    state: str
    version: int


@dataclass(frozen=True)
class Daemon:
    """A daemon: its phase and the row version that its next write needs."""

    phase: str = IDLE
    version: int = 0
    sent: bool = False


@dataclass(frozen=True)
class State:
    """The whole system."""

    row: Row = Row()
    pending: tuple[Pending, ...] = ()
    daemons: tuple[Daemon, ...] = (Daemon(),) * ATTEMPTS
    runs: int = 0


@dataclass(frozen=True)
class Variant:
    """Switches that seed bugs into the protocol.

    ``claim_unconditionally``: a claim doesn't check the version. ``release_sent``: a
    claim may be released though it was sent. ``no_tombstone``: a claim without an
    answer is given up without blocking its late write.
    """

    claim_unconditionally: bool = False
    release_sent: bool = False
    no_tombstone: bool = False


Step = tuple[str, State]


def _with_daemon(state: State, number: int, daemon: Daemon, **changes) -> State:
    daemons = list(state.daemons)
    daemons[number] = daemon
    return replace(state, daemons=tuple(daemons), **changes)


def _send_write(state: State, number: int, target: str, phase: str) -> State:
    daemon = state.daemons[number]
    pending = Pending(number, target, daemon.version)
    queue = tuple(sorted({*state.pending, pending}, key=repr))
    return _with_daemon(state, number, replace(daemon, phase=phase), pending=queue)


def _effects(state: State, variant: Variant) -> Iterable[Step]:
    """A write reaches the store, at any time after it was sent."""
    for pending in state.pending:
        rest = tuple(item for item in state.pending if item != pending)
        landed = replace(state, pending=rest)
        free = variant.claim_unconditionally and pending.state == CLAIMED
        if state.row.version == pending.version or free:
            if state.row.version < WRITES_LIMIT:
                version = state.row.version + 1
                row = Row(pending.state, pending.owner, version)
                yield f"effect_{pending}", replace(landed, row=row)
        else:
            yield f"conflict_{pending}", landed


def _daemon_steps(state: State, number: int, variant: Variant) -> Iterable[Step]:
    daemon = state.daemons[number]
    handler = _STEPS.get(daemon.phase)
    if handler is not None:
        yield from handler(state, number, daemon, variant)
    if daemon.phase not in (CRASHED, IDLE, TOLD_DONE, TOLD_NOT_RUN, TOLD_UNKNOWN):
        crashed = replace(daemon, phase=CRASHED)
        yield f"crash_{number}", _with_daemon(state, number, crashed)


def _from_idle(state, number, daemon, variant) -> Iterable[Step]:
    """Read the row; claim it if it is free, else tell the caller."""
    row = state.row
    if row.state in (ABSENT, RELEASED):
        ready = _with_daemon(state, number, replace(daemon, version=row.version))
        yield f"claim_{number}", _send_write(ready, number, CLAIMED, CLAIMING)
    elif row.state == DONE:
        told = replace(daemon, phase=TOLD_DONE)
        yield f"answered_{number}", _with_daemon(state, number, told)
    else:
        told = replace(daemon, phase=TOLD_UNKNOWN)
        yield f"unknown_{number}", _with_daemon(state, number, told)


def _from_claiming(state, number, daemon, variant) -> Iterable[Step]:
    """Read the row back: go on with the own claim, or give up."""
    row = state.row
    ours = row.owner == number and row.state == CLAIMED
    if ours:
        permitted = replace(daemon, phase=PERMITTED, version=row.version)
        yield f"permitted_{number}", _with_daemon(state, number, permitted)
    elif row.state == DONE:
        told = replace(daemon, phase=TOLD_DONE)
        yield f"answered_{number}", _with_daemon(state, number, told)
    elif row.state == CLAIMED:
        told = replace(daemon, phase=TOLD_UNKNOWN)
        yield f"unknown_{number}", _with_daemon(state, number, told)
    if variant.no_tombstone:
        told = replace(daemon, phase=TOLD_NOT_RUN)
        yield f"give_up_{number}", _with_daemon(state, number, told)
    else:
        giving_up = replace(daemon, phase=RELEASING)
        yield f"give_up_{number}", _with_daemon(state, number, giving_up)


def _from_permitted(state, number, daemon, variant) -> Iterable[Step]:
    """Send the call, or find that the endpoint surely did not run it."""
    running = replace(daemon, phase=RUNNING, sent=True)
    sent = _with_daemon(state, number, running, runs=state.runs + 1)
    yield f"send_{number}", sent
    refused = replace(daemon, phase=RELEASING)
    yield f"refused_{number}", _with_daemon(state, number, refused)


def _from_running(state, number, daemon, variant) -> Iterable[Step]:
    """Get the endpoint's answer, or lose it."""
    recording = replace(daemon, phase=RECORDING)
    yield f"answer_{number}", _with_daemon(state, number, recording)
    told = replace(daemon, phase=RELEASING if variant.release_sent else TOLD_UNKNOWN)
    yield f"answer_lost_{number}", _with_daemon(state, number, told)


def _from_recording(state, number, daemon, variant) -> Iterable[Step]:
    """Write the answer until it is confirmed."""
    if state.row.state == DONE and state.row.owner == number:
        told = replace(daemon, phase=TOLD_DONE)
        yield f"recorded_{number}", _with_daemon(state, number, told)
    elif state.row.owner == number:
        yield f"record_{number}", _send_write(state, number, DONE, RECORDING)


def _from_releasing(state, number, daemon, variant) -> Iterable[Step]:
    """Write the release over the own claim, or over an absent or released row."""
    row = state.row
    if row.owner == number and row.state == RELEASED:
        told = replace(daemon, phase=TOLD_NOT_RUN)
        yield f"released_{number}", _with_daemon(state, number, told)
    elif row.owner == number or row.state in (ABSENT, RELEASED):
        ready = _with_daemon(state, number, replace(daemon, version=row.version))
        yield f"release_{number}", _send_write(ready, number, RELEASED, RELEASING)
    else:
        told = replace(daemon, phase=TOLD_NOT_RUN)
        yield f"moot_{number}", _with_daemon(state, number, told)


_STEPS: dict[str, Callable] = {
    IDLE: _from_idle,
    CLAIMING: _from_claiming,
    PERMITTED: _from_permitted,
    RUNNING: _from_running,
    RECORDING: _from_recording,
    RELEASING: _from_releasing,
}


def _transitions(variant: Variant) -> Callable[[tuple], list]:
    def transitions(fields: tuple) -> list:
        (state,) = fields
        steps = list(_effects(state, variant))
        for number in range(len(state.daemons)):
            steps += _daemon_steps(state, number, variant)
        return [(label, (following,)) for label, following in steps]

    return transitions


def _runs_at_most_once(fields: dict) -> bool:
    return fields["state"].runs <= 1


def _not_run_is_true(fields: dict) -> bool:
    """A daemon that told "not run" has not sent the call."""
    return all(
        not daemon.sent
        for daemon in fields["state"].daemons
        if daemon.phase == TOLD_NOT_RUN
    )


def _not_run_leaves_no_claim(fields: dict) -> bool:
    """After "not run" the daemon's claim neither stands nor can still appear."""
    state = fields["state"]
    for number, daemon in enumerate(state.daemons):
        if daemon.phase != TOLD_NOT_RUN:
            continue
        row = state.row
        if row.owner == number and row.state == CLAIMED:
            return False
        if any(
            pending.owner == number
            and pending.state == CLAIMED
            and pending.version == row.version
            for pending in state.pending
        ):
            return False
    return True


def claim_protocol(variant: Variant = Variant()) -> Protocol:  # noqa: B008
    """Return the specification, with the seeded bugs of ``variant``."""
    return Protocol(
        name="claims",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=_transitions(variant),
        invariants={
            "runs_at_most_once": _runs_at_most_once,
            "not_run_is_true": _not_run_is_true,
            "not_run_leaves_no_claim": _not_run_leaves_no_claim,
        },
    )
