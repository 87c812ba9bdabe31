"""Specification of a store that comes back from an older copy (platform/store.py).

Two daemons write one row on the condition that it is the row that they read; the
version of each write is a fencing token. The store may be restored from its last copy
at any time, also between a read and the write that was decided on it: a new era begins,
and numbers are given out again. Each row bears the mark of its write. A mirror receives
answers of the store late, doubled, in any order, or never.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from minicheck import Protocol

DAEMONS = 2
ERAS_MAX = 2
WRITES_MAX = 3


@dataclass(frozen=True)
class Row:
    """The row: the number of its write and the write's mark, 0 before the first."""

    number: int = 0
    mark: int = 0


@dataclass(frozen=True)
class Answer:
    """What the store has said of itself at one moment."""

    era: int = 0
    number: int = 0
    mark: int = 0


@dataclass(frozen=True)
class State:
    """The store, its last copy, what daemons have read, answers, and the mirror.

    ``token`` is the last fencing token. The flags record violations.
    """

    era: int = 0
    number: int = 0
    row: Row = Row()
    copied: tuple[int, Row] = (0, Row())
    writes: int = 0
    reads: tuple[Row | None, ...] = (None,) * DAEMONS
    token: tuple[int, int] = (0, 0)
    answers: frozenset[Answer] = frozenset()
    mirror: Answer = Answer()
    token_went_back: bool = False
    wrote_over_another_row: bool = False
    missed_the_newest: bool = False


@dataclass(frozen=True)
class Variant:
    """Switches that seed bugs.

    ``mirror_ignores_era``: the mirror compares numbers alone. ``token_without_era``:
    the number alone is the fencing token. ``condition_without_mark``: a write checks
    the row's number alone.
    """

    mirror_ignores_era: bool = False
    token_without_era: bool = False
    condition_without_mark: bool = False


def _restore(state: State) -> Iterable[State]:
    yield replace(state, copied=(state.number, state.row))
    if state.era < ERAS_MAX:
        number, row = state.copied
        yield replace(state, era=state.era + 1, number=number, row=row)


def _read(state: State, daemon: int) -> Iterable[State]:
    reads = list(state.reads)
    reads[daemon] = state.row
    answer = Answer(state.era, state.number, state.row.mark)
    yield replace(state, reads=tuple(reads), answers=state.answers | {answer})


def _write(state: State, daemon: int, variant: Variant) -> Iterable[State]:
    read = state.reads[daemon]
    if read is None or state.writes == WRITES_MAX:
        return
    reads = list(state.reads)
    reads[daemon] = None
    done = replace(state, reads=tuple(reads))
    same_mark = read.mark == state.row.mark or variant.condition_without_mark
    if read.number != state.row.number or not same_mark:
        yield done
        return
    number = state.number + 1
    token = (0 if variant.token_without_era else state.era, number)
    yield replace(
        done,
        number=number,
        row=Row(number, state.writes + 1),
        writes=state.writes + 1,
        token=token,
        token_went_back=state.token_went_back or token <= state.token,
        wrote_over_another_row=state.wrote_over_another_row
        or read.mark != state.row.mark,
    )


def _deliver(state: State, answer: Answer, variant: Variant) -> State:
    known = state.mirror
    if variant.mirror_ignores_era:
        newer = answer.number >= known.number
    else:
        newer = (answer.era, answer.number) >= (known.era, known.number)
    mirror = answer if newer else known
    present = Answer(state.era, state.number, state.row.mark)
    missed = answer == present and mirror != present
    return replace(
        state, mirror=mirror, missed_the_newest=state.missed_the_newest or missed
    )


def _transitions(variant: Variant) -> Callable[[tuple], list]:
    def transitions(fields: tuple) -> list:
        (state,) = fields
        following = [("store", after) for after in _restore(state)]
        for daemon in range(DAEMONS):
            following += [(f"read {daemon}", after) for after in _read(state, daemon)]
            written = _write(state, daemon, variant)
            following += [(f"write {daemon}", after) for after in written]
        following += [
            ("deliver", _deliver(state, answer, variant)) for answer in state.answers
        ]
        return [(label, (after,)) for label, after in following]

    return transitions


def _tokens_increase(fields: dict) -> bool:
    """Each fencing token is higher than those given out before it."""
    return not fields["state"].token_went_back


def _decided_on_the_row_replaced(fields: dict) -> bool:
    """Each write replaces the row that its daemon has read."""
    return not fields["state"].wrote_over_another_row


def _the_newest_answer_is_taken(fields: dict) -> bool:
    """The mirror takes an answer that tells of the store's present state."""
    return not fields["state"].missed_the_newest


def restore_protocol(variant: Variant = Variant()) -> Protocol:  # noqa: B008
    """Return the specification, with the seeded bugs that ``variant`` switches on."""
    return Protocol(
        name="restores",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=_transitions(variant),
        invariants={
            "tokens_increase": _tokens_increase,
            "decided_on_the_row_replaced": _decided_on_the_row_replaced,
            "the_newest_answer_is_taken": _the_newest_answer_is_taken,
        },
    )
