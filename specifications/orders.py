"""Specification of orders to replicas (marjoramstile/routes/orders.py).

Two daemons send orders to one replica, which doesn't check fencing tokens. Each daemon
reads the service's row, writes it conditional on the version it read, and sends its
order with the version of its write as fencing token. Writes may take effect late and
their answers may be lost; a daemon may stall between its write and its order; an order
may arrive at any time until its sender's window ends. Time is counted in leases.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from minicheck import Protocol

DAEMONS = 2
# Age, in leases, that the row must have before another daemon may write it.
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
    """A daemon: its phase, the version and time of its read, and its fencing token."""

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
    """The time, the row, the daemons, and the orders in their order of arrival."""

    now: int = 0
    version: int = 0
    written_at: int = -TAKEOVER_AGE
    writer: int = -1
    daemons: tuple[Daemon, ...] = (Daemon(),) * DAEMONS
    arrivals: tuple[Arrival, ...] = ()


@dataclass(frozen=True)
class Variant:
    """Switches that seed bugs.

    ``write_unconditionally``: the write doesn't check the version.
    ``no_takeover_age``: another daemon may write the row however recent it is.
    ``send_late``: a daemon that stalled after its write sends its order nevertheless.
    """

    write_unconditionally: bool = False
    no_takeover_age: bool = False
    send_late: bool = False


def _with_daemon(state: State, number: int, daemon: Daemon, **changes) -> State:
    daemons = list(state.daemons)
    daemons[number] = daemon
    return replace(state, daemons=tuple(daemons), **changes)


def _read(state: State, number: int, variant: Variant) -> Iterable[State]:
    if state.version >= WRITES_MAX:
        return
    old_enough = state.now - state.written_at >= TAKEOVER_AGE
    if old_enough or state.writer == number or variant.no_takeover_age:
        daemon = Daemon(WRITING, state.version, state.now)
        yield _with_daemon(state, number, daemon)


def _write(state: State, number: int, variant: Variant) -> Iterable[State]:
    """The write takes effect or conflicts; its answer arrives or is lost."""
    daemon = state.daemons[number]
    matches = daemon.version == state.version or variant.write_unconditionally
    if not matches:
        yield _with_daemon(state, number, Daemon(STOPPED))
        return
    token = state.version + 1
    if variant.write_unconditionally:
        token = daemon.version + 1
    written = {"version": max(token, state.version), "written_at": daemon.read_at}
    written["writer"] = number
    yield _with_daemon(
        state, number, replace(daemon, phase=PERMITTED, token=token), **written
    )
    yield _with_daemon(state, number, Daemon(STOPPED), **written)


def _send(state: State, number: int, variant: Variant) -> Iterable[State]:
    """The order arrives within the window after the read, or isn't sent."""
    daemon = state.daemons[number]
    if state.now == daemon.read_at or variant.send_late:
        arrival = Arrival(number, daemon.token, state.now)
        yield _with_daemon(
            state,
            number,
            Daemon(SENT),
            arrivals=(*state.arrivals, arrival),
        )
    else:
        yield _with_daemon(state, number, Daemon(STOPPED))


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


def _tokens_increase(fields: dict) -> bool:
    """Each order arrives with a higher fencing token than those before it."""
    tokens = [arrival.token for arrival in fields["state"].arrivals]
    return tokens == sorted(set(tokens))


def _holders_do_not_alternate(fields: dict) -> bool:
    """Successive orders of different holders arrive more than one lease apart."""
    arrivals = fields["state"].arrivals
    return all(
        first.holder == second.holder or second.at - first.at > 1
        for first, second in zip(arrivals, arrivals[1:], strict=False)
    )


def order_protocol(variant: Variant = Variant()) -> Protocol:  # noqa: B008
    """Return the specification, with the seeded bugs that ``variant`` switches on."""
    return Protocol(
        name="orders",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=_transitions(variant),
        invariants={
            "tokens_increase": _tokens_increase,
            "holders_do_not_alternate": _holders_do_not_alternate,
        },
    )
