"""Reservations of one decode engine's slots and memory, without I/O or clock.

The daemon that owns an engine grants each slot to one request at a time. The grant
is advisory: while views differ an engine may have two owners that grant the same
slots, and then the engine itself queues the excess.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramstile.configuration.documents import ServiceClass
from marjoramstile.slots.headroom import Headroom

START_LIMIT_S = 5.0
INITIAL_HOLD_S = 5.0
HOLD_WEIGHT = 0.1


@dataclass(frozen=True)
class Ask:
    """A request for one slot and ``pieces`` of memory of an engine.

    ``holder`` is the incarnation of the asking daemon on ``holder_vm``. The slot is
    needed in ``ready_in_s``; the request may wait ``max_wait_s`` for it. At most
    one ``suspect`` (a request suspected of crashing engines) holds a slot at a time.
    """

    request_id: str
    engine: str
    holder: str
    holder_vm: str
    pieces: int
    service_class: ServiceClass
    workspace: str
    share: int = 1
    ready_in_s: float = 0.0
    max_wait_s: float = 0.0
    suspect: bool = False


@dataclass(frozen=True)
class Granted:
    """The slot is reserved for the request."""

    ask: Ask


@dataclass(frozen=True)
class Waiting:
    """The request is queued; the owner sends the grant once a slot is free."""

    expected_s: float


@dataclass(frozen=True)
class Refused:
    """No slot is expected in time; a retry makes sense after ``expected_s``."""

    expected_s: float


@dataclass(frozen=True)
class WorkItem:
    """Work reported by an engine: the daemon that sent it and the memory it holds."""

    request_id: str
    incarnation: str
    pieces: int


@dataclass(frozen=True)
class _Reservation:
    ask: Ask
    granted_at: float
    seen_on_engine: bool = False


@dataclass(frozen=True)
class _QueuedAsk:
    ask: Ask
    asked_at: float


class SlotOwner:
    """Grants the slots and the memory pieces of one engine and queues the excess."""

    def __init__(self, slots: int, pieces: int, queue_length: int):
        self._slots = slots
        self._pieces = pieces
        self._queue_length = queue_length
        self._held: dict[str, _Reservation] = {}
        self._queue: dict[str, _QueuedAsk] = {}
        self._unreserved_work: dict[str, WorkItem] = {}
        self._hold_s = INITIAL_HOLD_S
        self._headroom = Headroom(slots)

    @property
    def used_slots(self) -> int:
        """Slots granted, or occupied by work without a reservation."""
        return len(self._held) + len(self._unreserved_work)

    @property
    def used_pieces(self) -> int:
        """Pieces granted, or occupied by work without a reservation."""
        held = sum(reservation.ask.pieces for reservation in self._held.values())
        return held + sum(item.pieces for item in self._unreserved_work.values())

    @property
    def queued(self) -> int:
        """Requests waiting for a slot."""
        return len(self._queue)

    @property
    def hold_s(self) -> float:
        """Moving average of how long a request holds its slot, in seconds."""
        return self._hold_s

    def ask(self, ask: Ask, now: float) -> Granted | Waiting | Refused:
        """Grant, queue or refuse a slot; idempotent for the same request id."""
        if ask.request_id in self._held:
            return Granted(ask)
        self._queue.setdefault(ask.request_id, _QueuedAsk(ask, now))
        self._headroom.observe(self._in_time_held(), now)
        for granted in self._grant_ready(now):
            if granted.ask.request_id == ask.request_id:
                return granted
        if ask.service_class == ServiceClass.IN_TIME:
            self._headroom.observe_shortage()
        expected_s = self._expected_wait_s(ask.request_id)
        if expected_s > ask.max_wait_s or len(self._queue) > self._queue_length:
            del self._queue[ask.request_id]
            return Refused(expected_s)
        return Waiting(expected_s)

    def release(self, request_id: str, now: float) -> list[Granted]:
        """Free a request's slot or queue entry; return the grants that this allows."""
        self._queue.pop(request_id, None)
        self._headroom.observe(self._in_time_held(), now)
        reservation = self._held.pop(request_id, None)
        if reservation is not None:
            self._observe_hold(now - reservation.granted_at)
        self._unreserved_work.pop(request_id, None)
        return self._grant_ready(now)

    def sync(self, work: Iterable[WorkItem], now: float) -> list[Granted]:
        """Reconcile with the work that the engine reports; return new grants.

        Work without a reservation counts as used. A reservation expires once its
        work has disappeared from the engine, or if it hasn't started within
        ``START_LIMIT_S`` of when it was needed. Queued asks expire after their
        ``max_wait_s``.
        """
        reported = {item.request_id: item for item in work}
        self._unreserved_work = {
            request_id: item
            for request_id, item in reported.items()
            if request_id not in self._held
        }
        self._held = {
            request_id: _Reservation(
                reservation.ask,
                reservation.granted_at,
                reservation.seen_on_engine or request_id in reported,
            )
            for request_id, reservation in self._held.items()
            if request_id in reported or not _has_expired(reservation, now)
        }
        self._queue = {
            request_id: queued_ask
            for request_id, queued_ask in self._queue.items()
            if now - queued_ask.asked_at <= queued_ask.ask.max_wait_s
        }
        return self._grant_ready(now)

    def drop_holder(self, incarnation: str, now: float) -> list[Granted]:
        """Drop the slots and queued asks of a dead daemon; return new grants."""
        for table in (self._held, self._queue):
            for request_id, entry in list(table.items()):
                if entry.ask.holder == incarnation:
                    del table[request_id]
        return self._grant_ready(now)

    def holders(self) -> frozenset[str]:
        """Return the incarnations of the daemons that hold slots or are queued."""
        entries = [*self._held.values(), *self._queue.values()]
        return frozenset(entry.ask.holder for entry in entries)

    def _grant_ready(self, now: float) -> list[Granted]:
        """Grant queued requests in order until one doesn't fit.

        A suspect request is skipped while another suspect holds a slot.
        """
        granted = []
        for queued_ask in self._ordered_queue():
            ask = queued_ask.ask
            if ask.suspect and self._holds_suspect():
                continue
            if not self._fits(ask):
                break
            del self._queue[ask.request_id]
            self._held[ask.request_id] = _Reservation(ask, now)
            granted.append(Granted(ask))
        return granted

    def _fits(self, ask: Ask) -> bool:
        """Return whether a request fits, a late one with headroom for work in time."""
        reserved_headroom = 0
        if ask.service_class == ServiceClass.LATE:
            reserved_headroom = self._headroom.headroom_slots(self._in_time_held())
        enough_slots = self.used_slots + reserved_headroom < self._slots
        return (
            enough_slots
            and self.used_pieces + ask.pieces + reserved_headroom <= self._pieces
        )

    def _in_time_held(self) -> int:
        return sum(
            reservation.ask.service_class == ServiceClass.IN_TIME
            for reservation in self._held.values()
        )

    def _holds_suspect(self) -> bool:
        return any(reservation.ask.suspect for reservation in self._held.values())

    def _ordered_queue(self) -> list[_QueuedAsk]:
        """Order by class, then slots held per workspace share, then time of asking."""
        if len(self._queue) <= 1:
            return list(self._queue.values())
        running = Counter(
            reservation.ask.workspace for reservation in self._held.values()
        )

        def order(queued_ask: _QueuedAsk) -> tuple[bool, float, float]:
            ask = queued_ask.ask
            late = ask.service_class == ServiceClass.LATE
            return late, running[ask.workspace] / ask.share, queued_ask.asked_at

        return sorted(self._queue.values(), key=order)

    def _expected_wait_s(self, request_id: str) -> float:
        order = [queued_ask.ask.request_id for queued_ask in self._ordered_queue()]
        position = order.index(request_id) + 1
        return position * self._hold_s / self._slots

    def _observe_hold(self, held_s: float) -> None:
        self._hold_s += HOLD_WEIGHT * (held_s - self._hold_s)


def _has_expired(reservation: _Reservation, now: float) -> bool:
    if reservation.seen_on_engine:
        return True
    limit_s = reservation.ask.ready_in_s + START_LIMIT_S
    return now - reservation.granted_at > limit_s
