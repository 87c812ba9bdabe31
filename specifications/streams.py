"""Specification of continued streams (marjoramstile/streams).

Replicas of two software versions come and go; callers' attempts begin streams at the
versions in the list. Their versions are recorded in the daemons' memory, unless the
messages are lost, and later in the store, as are the versions that serve. All daemons
may be killed at any time; then they know the list and read the store. A caller may
take up a stream that has begun; the daemons decide at which version it goes on, or
refuse. Once the life of all streams is over, versions that left are forgotten.

Assumed: a version that has begun streams does not leave before the store's row names
it; the row is written within a quarter of a second of the version's appearance. An id
is used for a second stream only if the first one was recorded, and then not all daemons
are killed before the store has that the id is ambiguous. Streams don't depend on each
other, so one is enough.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from minicheck import Protocol

VERSIONS = (1, 2)
ATTEMPTS = 1
NONE = 0
AMBIGUOUS = -1
KILLS_MAX = 2
CHANGES_MAX = 4


@dataclass(frozen=True)
class Stream:
    """A stream by the attempt's id: where it was begun, and where it is recorded.

    ``begun`` are the versions that began a stream with this id, the last one last.
    """

    begun: tuple[int, ...] = ()
    memory: int = NONE
    stored: int = NONE


@dataclass(frozen=True)
class State:
    """The list of versions, what daemons and the store know, and the streams.

    ``seen`` are versions that daemons know to have left lately. ``row`` are those that
    the store has as present, ``row_gone`` as gone; None before it was written.
    """

    listed: frozenset[int] = frozenset({1})
    seen: frozenset[int] = frozenset()
    loaded: bool = True
    knows_past: bool = True
    row: frozenset[int] | None = None
    row_gone: frozenset[int] = frozenset()
    streams: tuple[Stream, ...] = (Stream(),) * ATTEMPTS
    kills: int = 0
    changes: int = 0
    joined: bool = False
    forgot_stored: bool = False


@dataclass(frozen=True)
class Variant:
    """Switches that seed bugs.

    ``version_from_list``: after a restart the list alone tells which version served.
    ``guess_the_one_left``: where one version is left, it is taken for the only one.
    ``overwrite_reused_id``: a second stream with an id replaces the first one.
    ``forget_gone_versions``: the store's row names only the versions present.
    """

    version_from_list: bool = False
    guess_the_one_left: bool = False
    overwrite_reused_id: bool = False
    forget_gone_versions: bool = False


def _with_stream(state: State, number: int, stream: Stream, **changes) -> State:
    streams = list(state.streams)
    streams[number] = stream
    return replace(state, streams=tuple(streams), **changes)


def _merge(known: int, version: int, variant: Variant) -> int:
    """Return what is recorded after one more record."""
    if known in (NONE, version) or variant.overwrite_reused_id:
        return version
    return AMBIGUOUS


def _begin(state: State, number: int, variant: Variant) -> Iterable[State]:
    """A stream begins at a listed version; its record arrives, or is lost."""
    stream = state.streams[number]
    recorded = stream.memory not in (NONE, AMBIGUOUS)
    if len(stream.begun) == 2 or (stream.begun and not recorded):
        return
    for version in state.listed:
        begun = replace(stream, begun=(*stream.begun, version))
        memory = _merge(stream.memory, version, variant)
        yield _with_stream(state, number, replace(begun, memory=memory))
        if not stream.begun:
            yield _with_stream(state, number, begun)


def _store_stream(state: State, number: int) -> Iterable[State]:
    """Daemons store a stream while two versions are about."""
    stream = state.streams[number]
    mixed = len(state.listed | state.seen) > 1
    if mixed and state.loaded and stream.memory not in (NONE, stream.stored):
        yield _with_stream(state, number, replace(stream, stored=stream.memory))


def _store_versions(state: State, variant: Variant) -> Iterable[State]:
    if not state.loaded or state.row == state.listed:
        return
    gone = (state.row or frozenset()) | state.row_gone | state.seen
    gone = frozenset() if variant.forget_gone_versions else gone - state.listed
    yield replace(state, row=state.listed, row_gone=gone)


def _change_list(state: State) -> Iterable[State]:
    """A version appears, or leaves; the store is the first to know."""
    if state.changes >= CHANGES_MAX:
        return
    for version in VERSIONS:
        if version not in state.listed:
            yield replace(
                state, listed=state.listed | {version}, changes=state.changes + 1
            )
        elif len(state.listed) > 1 and _may_leave(state, version):
            yield replace(
                state,
                listed=state.listed - {version},
                seen=state.seen | {version},
                changes=state.changes + 1,
            )


def _may_leave(state: State, version: int) -> bool:
    began = any(version in stream.begun for stream in state.streams)
    named = state.row is not None and version in state.row | state.row_gone
    return named or not began


def _kill_all(state: State) -> Iterable[State]:
    unsafe = any(item.memory == AMBIGUOUS != item.stored for item in state.streams)
    if state.kills < KILLS_MAX and not unsafe:
        streams = tuple(replace(stream, memory=NONE) for stream in state.streams)
        yield replace(
            state,
            streams=streams,
            seen=frozenset(),
            loaded=False,
            knows_past=False,
            kills=state.kills + 1,
        )


def _load(state: State, variant: Variant) -> Iterable[State]:
    """Daemons read the store after a start."""
    if state.loaded:
        return
    streams = tuple(
        replace(item, memory=_merge(item.memory, item.stored, variant))
        if item.stored != NONE
        else item
        for item in state.streams
    )
    row = state.row or frozenset()
    yield replace(
        state,
        streams=streams,
        seen=(state.seen | row | state.row_gone) - state.listed,
        loaded=True,
        knows_past=state.knows_past or state.row is not None,
    )


def _end_streams(state: State) -> Iterable[State]:
    """The life of all streams is over: what left before doesn't matter any more."""
    if state.loaded and any(stream.begun for stream in state.streams):
        row_gone = frozenset() if state.row == state.listed else state.row_gone
        yield replace(
            state,
            streams=(Stream(),) * ATTEMPTS,
            seen=frozenset(),
            row_gone=row_gone,
            knows_past=True,
        )


def _decide(state: State, stream: Stream, variant: Variant) -> int:
    """Return the version at which a stream goes on; NONE if it is refused."""
    if stream.memory == AMBIGUOUS:
        return NONE
    if stream.memory != NONE:
        return stream.memory
    lately = state.listed | state.seen
    if variant.guess_the_one_left:
        lately = state.listed
    knows_past = state.knows_past or variant.version_from_list
    if len(lately) == 1 and knows_past:
        (version,) = lately
        return version
    return NONE


def _take_up(state: State, number: int, variant: Variant) -> Iterable[State]:
    """A caller takes up the last stream that it began with an id."""
    stream = state.streams[number]
    if not stream.begun or (not state.loaded and not variant.version_from_list):
        return
    version = _decide(state, stream, variant)
    # A caller may have events of any stream that it began with the id.
    joined = version != NONE and set(stream.begun) != {version}
    known = stream.stored not in (NONE, AMBIGUOUS) and len(set(stream.begun)) == 1
    yield replace(
        state,
        joined=state.joined or joined,
        forgot_stored=state.forgot_stored or (known and version != stream.stored),
    )


def _transitions(variant: Variant) -> Callable[[tuple], list]:
    def transitions(fields: tuple) -> list:
        (state,) = fields
        following = [
            *(("list", after) for after in _change_list(state)),
            *(("versions", after) for after in _store_versions(state, variant)),
            *(("kill", after) for after in _kill_all(state)),
            *(("load", after) for after in _load(state, variant)),
            *(("end", after) for after in _end_streams(state)),
        ]
        for number in range(ATTEMPTS):
            following += [
                *(("begin", after) for after in _begin(state, number, variant)),
                *(("store", after) for after in _store_stream(state, number)),
                *(("take up", after) for after in _take_up(state, number, variant)),
            ]
        return [(label, (after,)) for label, after in following]

    return transitions


def _streams_are_not_joined(fields: dict) -> bool:
    """No stream goes on at another version than the one that began it."""
    return not fields["state"].joined


def _stored_streams_are_known(fields: dict) -> bool:
    """A stream that is stored goes on, whatever was killed."""
    return not fields["state"].forgot_stored


def stream_protocol(variant: Variant = Variant()) -> Protocol:  # noqa: B008
    """Return the specification, with the seeded bugs that ``variant`` switches on."""
    return Protocol(
        name="streams",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=_transitions(variant),
        invariants={
            "streams_are_not_joined": _streams_are_not_joined,
            "stored_streams_are_known": _stored_streams_are_known,
        },
    )
