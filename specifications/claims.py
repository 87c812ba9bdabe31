"""Specification of the claim protocol (marjoramstile/ledger).

Two attempts, each on its own daemon, try to run one call. The store holds one row;
writes are conditional on its version, may take effect at any later time, and their
answers may be lost. A daemon may crash, or stall between any two of its steps. The
search is exhaustive up to ``WRITES_LIMIT`` writes that took effect.
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
REPORTED_DONE = "reported_done"
REPORTED_NOT_RUN = "reported_not_run"
REPORTED_UNKNOWN = "reported_unknown"
CRASHED = "crashed"

ATTEMPTS = 2
WRITES_LIMIT = 8


@dataclass(frozen=True)
class Row:
    """The claim's row: its state, the number of the owning daemon, and its version."""

    state: str = ABSENT
    owner: int = -1
    version: int = 0


@dataclass(frozen=True)
class Pending:
    """A conditional write that was sent and hasn't reached the store yet."""

    owner: int
    state: str
    version: int


@dataclass(frozen=True)
class Daemon:
    """A daemon: its phase and the row version that its next write expects.

    ``sent`` is set once the daemon has sent the call to the endpoint.
    """

    phase: str = IDLE
    version: int = 0
    sent: bool = False


@dataclass(frozen=True)
class State:
    """The row, the pending writes, the daemons, and how often the call was sent."""

    row: Row = Row()
    pending: tuple[Pending, ...] = ()
    daemons: tuple[Daemon, ...] = (Daemon(),) * ATTEMPTS
    runs: int = 0


@dataclass(frozen=True)
class Variant:
    """Switches that seed bugs into the protocol.

    ``claim_unconditionally``: a claim doesn't check the version. ``release_sent``: a
    claim is released although its call was sent. ``no_tombstone``: a claim whose write
    got no answer is abandoned without a release that makes the late write conflict.
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


def _pending_writes(state: State, variant: Variant) -> Iterable[Step]:
    """A pending write takes effect or conflicts, at any time after it was sent."""
    for pending in state.pending:
        rest = tuple(item for item in state.pending if item != pending)
        applied = replace(state, pending=rest)
        unconditional = variant.claim_unconditionally and pending.state == CLAIMED
        if state.row.version == pending.version or unconditional:
            if state.row.version < WRITES_LIMIT:
                version = state.row.version + 1
                row = Row(pending.state, pending.owner, version)
                yield f"effect_{pending}", replace(applied, row=row)
        else:
            yield f"conflict_{pending}", applied


def _daemon_steps(state: State, number: int, variant: Variant) -> Iterable[Step]:
    daemon = state.daemons[number]
    handler = _STEPS.get(daemon.phase)
    if handler is not None:
        yield from handler(state, number, daemon, variant)
    if daemon.phase not in (
        CRASHED,
        IDLE,
        REPORTED_DONE,
        REPORTED_NOT_RUN,
        REPORTED_UNKNOWN,
    ):
        crashed = replace(daemon, phase=CRASHED)
        yield f"crash_{number}", _with_daemon(state, number, crashed)


def _from_idle(state, number, daemon, variant) -> Iterable[Step]:
    """Read the row; claim it if it is free, else report its state to the caller."""
    row = state.row
    if row.state in (ABSENT, RELEASED):
        ready = _with_daemon(state, number, replace(daemon, version=row.version))
        yield f"claim_{number}", _send_write(ready, number, CLAIMED, CLAIMING)
    elif row.state == DONE:
        reported = replace(daemon, phase=REPORTED_DONE)
        yield f"answered_{number}", _with_daemon(state, number, reported)
    else:
        reported = replace(daemon, phase=REPORTED_UNKNOWN)
        yield f"unknown_{number}", _with_daemon(state, number, reported)


def _from_claiming(state, number, daemon, variant) -> Iterable[Step]:
    """Read the row back: continue if the daemon's own claim took effect, or give up."""
    row = state.row
    ours = row.owner == number and row.state == CLAIMED
    if ours:
        permitted = replace(daemon, phase=PERMITTED, version=row.version)
        yield f"permitted_{number}", _with_daemon(state, number, permitted)
    elif row.state == DONE:
        reported = replace(daemon, phase=REPORTED_DONE)
        yield f"answered_{number}", _with_daemon(state, number, reported)
    elif row.state == CLAIMED:
        reported = replace(daemon, phase=REPORTED_UNKNOWN)
        yield f"unknown_{number}", _with_daemon(state, number, reported)
    if variant.no_tombstone:
        reported = replace(daemon, phase=REPORTED_NOT_RUN)
        yield f"give_up_{number}", _with_daemon(state, number, reported)
    else:
        giving_up = replace(daemon, phase=RELEASING)
        yield f"give_up_{number}", _with_daemon(state, number, giving_up)


def _from_permitted(state, number, daemon, variant) -> Iterable[Step]:
    """Send the call, or fail in a way that proves that the endpoint did not run it."""
    running = replace(daemon, phase=RUNNING, sent=True)
    sent = _with_daemon(state, number, running, runs=state.runs + 1)
    yield f"send_{number}", sent
    refused = replace(daemon, phase=RELEASING)
    yield f"refused_{number}", _with_daemon(state, number, refused)


def _from_running(state, number, daemon, variant) -> Iterable[Step]:
    """Receive the endpoint's answer, or lose it."""
    recording = replace(daemon, phase=RECORDING)
    yield f"answer_{number}", _with_daemon(state, number, recording)
    reported = replace(
        daemon, phase=RELEASING if variant.release_sent else REPORTED_UNKNOWN
    )
    yield f"answer_lost_{number}", _with_daemon(state, number, reported)


def _from_recording(state, number, daemon, variant) -> Iterable[Step]:
    """Write the answer again until the row shows it."""
    if state.row.state == DONE and state.row.owner == number:
        reported = replace(daemon, phase=REPORTED_DONE)
        yield f"recorded_{number}", _with_daemon(state, number, reported)
    elif state.row.owner == number:
        yield f"record_{number}", _send_write(state, number, DONE, RECORDING)


def _from_releasing(state, number, daemon, variant) -> Iterable[Step]:
    """Write a release over the daemon's own claim, or over an absent or released row.

    Over an absent or released row the release is a tombstone: it changes the version,
    so that the daemon's pending claim conflicts.
    """
    row = state.row
    if row.owner == number and row.state == RELEASED:
        reported = replace(daemon, phase=REPORTED_NOT_RUN)
        yield f"released_{number}", _with_daemon(state, number, reported)
    elif row.owner == number or row.state in (ABSENT, RELEASED):
        ready = _with_daemon(state, number, replace(daemon, version=row.version))
        yield f"release_{number}", _send_write(ready, number, RELEASED, RELEASING)
    else:
        reported = replace(daemon, phase=REPORTED_NOT_RUN)
        yield f"moot_{number}", _with_daemon(state, number, reported)


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
        steps = list(_pending_writes(state, variant))
        for number in range(len(state.daemons)):
            steps += _daemon_steps(state, number, variant)
        return [(label, (following,)) for label, following in steps]

    return transitions


def _runs_at_most_once(fields: dict) -> bool:
    return fields["state"].runs <= 1


def _not_run_means_not_sent(fields: dict) -> bool:
    """A daemon that reported "not run" has not sent the call."""
    return all(
        not daemon.sent
        for daemon in fields["state"].daemons
        if daemon.phase == REPORTED_NOT_RUN
    )


def _not_run_leaves_no_claim(fields: dict) -> bool:
    """After "not run", the daemon's claim is not in the row and no write can set it."""
    state = fields["state"]
    for number, daemon in enumerate(state.daemons):
        if daemon.phase != REPORTED_NOT_RUN:
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
    """Return the specification, with the seeded bugs that ``variant`` switches on."""
    return Protocol(
        name="claims",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=_transitions(variant),
        invariants={
            "runs_at_most_once": _runs_at_most_once,
            "not_run_means_not_sent": _not_run_means_not_sent,
            "not_run_leaves_no_claim": _not_run_leaves_no_claim,
        },
    )
