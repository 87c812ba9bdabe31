"""Specification of orders to replicas (marjoramstile/routes/orders.py).

Two daemons want to order one replica, which checks no fencing tokens. Each reads the
service's row, writes it on the condition of the version read, and gives its order with
the version of its write as token. Writes may take effect late and lose their answers; a
daemon may stand still between its write and its order; an order may arrive at any time
until it expires with its sender's window. Time is counted in leases.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from minicheck import Protocol

DAEMONS = 2
# The row must be this old before another daemon may write it, in leases.
TAKEOVER_AGE = 2
LAST_TIME = 4
ARRIVALS_MAX = 2
WRITES_MAX = 4

IDLE = "idle"
WRITING = "writing"
PERMITTED = "permitted"
SENT = "sent"
STOPPED = "stopped"


@dataclass(frozen=True)
class Daemon:
    """A daemon: its phase, the version and time that it read, and its token."""

    phase: str = IDLE
    version: int = 0
    read_at: int = 0
    token: int = 0


@dataclass(frozen=True)
class Arrival:
    """An order that a replica has received."""

    holder: int
    token: int
    at: int


@dataclass(frozen=True)
class State:
    """The row, the daemons, and the orders in the sequence of their arrival."""

    now: int = 0
    version: int = 0
    written_at: int = -TAKEOVER_AGE
    writer: int = -1
    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMONS
    arrivals: tuple[Arrival, ...] = ()


@dataclass(frozen=True)
class Variant:
    """Switches that seed bugs.

    ``write_unconditionally``: the write doesn't check the version. ``no_age``: another
    daemon may write at once. ``send_late``: a daemon that stood still sends its order
    all the same.
    """

    write_unconditionally: bool = False
    no_age: bool = False
    send_late: bool = False


def _with(state: State, number: int, daemon: Daemon, **changes) -> State:
    daemons = list(state.daemons)
    daemons[number] = daemon
    return replace(state, daemons=tuple(daemons), **changes)


def _read(state: State, number: int, variant: Variant) -> Iterable[State]:
    if state.version >= WRITES_MAX:
        return
    old_enough = state.now - state.written_at >= TAKEOVER_AGE
    if old_enough or state.writer == number or variant.no_age:
        daemon = Daemon(WRITING, state.version, state.now)
        yield _with(state, number, daemon)


def _write(state: State, number: int, variant: Variant) -> Iterable[State]:
    """The write takes effect, or fails; its answer arrives, or is lost."""
    daemon = state.daemons[number]
    matches = daemon.version == state.version or variant.write_unconditionally
    if not matches:
        yield _with(state, number, Daemon(STOPPED))
        return
    token = state.version + 1
    if variant.write_unconditionally:
        token = daemon.version + 1
    written = {"version": max(token, state.version), "written_at": daemon.read_at}
    written["writer"] = number
    yield _with(state, number, replace(daemon, phase=PERMITTED, token=token), **written)
    yield _with(state, number, Daemon(STOPPED), **written)


def _send(state: State, number: int, variant: Variant) -> Iterable[State]:
    """The order arrives within the window after the reading, or is withheld."""
    daemon = state.daemons[number]
    if state.now == daemon.read_at or variant.send_late:
        arrival = Arrival(number, daemon.token, state.now)
        yield _with(
            state,
            number,
            Daemon(SENT),
            arrivals=(*state.arrivals, arrival),
        )
    else:
        yield _with(state, number, Daemon(STOPPED))


_STEPS = {IDLE: _read, WRITING: _write, PERMITTED: _send, SENT: _read, STOPPED: _read}


def _transitions(variant: Variant) -> Callable[[tuple], list]:
    def transitions(fields: tuple) -> list:
        (state,) = fields
        following = []
        if state.now < LAST_TIME:
            following.append(("time", replace(state, now=state.now + 1)))
        if len(state.arrivals) < ARRIVALS_MAX:
            for number, daemon in enumerate(state.daemons):
                for after in _STEPS[daemon.phase](state, number, variant):
                    following.append((f"{daemon.phase} {number}", after))
        return [(label, (after,)) for label, after in following]

    return transitions


def _tokens_grow(fields: dict) -> bool:
    """No order arrives with a token that is not above those before it."""
    tokens = [arrival.token for arrival in fields["state"].arrivals]
    return tokens == sorted(set(tokens))


def _no_turns(fields: dict) -> bool:
    """Orders of two holders are more than a lease apart."""
    arrivals = fields["state"].arrivals
    return all(
        first.holder == second.holder or second.at - first.at > 1
        for first, second in zip(arrivals, arrivals[1:], strict=False)
    )


def order_protocol(variant: Variant = Variant()) -> Protocol:  # noqa: B008
    """Return the specification, with the seeded bugs of ``variant``."""
    return Protocol(
        name="orders",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=_transitions(variant),
        invariants={"tokens_grow": _tokens_grow, "holders_take_no_turns": _no_turns},
    )
