"""Replicas known to this daemon, and whether they may receive new requests."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import StrEnum

from marjoramstile.logs import get_logger
from marjoramstile.routes.notices import PauseState, ReplicaNotices
from marjoramstile.routes.replica_types import Replica, ReplicaState, Stage

# Time after the store is regained in which missing replicas may write their row again.
MISSING_GRACE_S = 2.0

logger = get_logger(__name__)


class Standing(StrEnum):
    """Whether a daemon sends new requests to a replica, and if not, why.

    The row of a ``missing`` replica expired while the store was unreachable; it is
    still used. A ``leaving`` replica has announced this in a response, a ``paused`` one
    has asked for a pause.
    """

    USED = "used"
    DRAINING = "draining"
    LEAVING = "leaving"
    PAUSED = "paused"
    MOVING = "moving"
    MISDIRECTED = "misdirected"
    MISSING = "missing"


USABLE = frozenset({Standing.USED, Standing.MISSING})
# Standings in which a replica takes requests for which it holds a place: a move into
# another stage waits for them.
TAKES_HELD = USABLE | {Standing.MOVING}
# Standings in which an engine counts in the split of its service.
COUNTED_IN_SPLIT = USABLE | {Standing.MOVING, Standing.PAUSED}
NOT_ACCEPTING = frozenset({PauseState.PAUSED, PauseState.TRYING})


@dataclass(frozen=True)
class ExpectedMove:
    """The stage that a replica was ordered into; expires at loop time ``until``."""

    stage: Stage
    until: float


class ReplicaDirectory:
    """Replicas by id, from their rows in the store and this daemon's observations.

    Usable replicas are looked up several times per request and rarely change: their
    lists are cached until the next change.
    """

    def __init__(self, notices: ReplicaNotices | None = None):
        """``notices`` are what replicas have announced in their responses."""
        self._notices = notices or ReplicaNotices()
        self._notices.subscribe(self._invalidate_usable)
        self._replicas: dict[str, Replica] = {}
        self._missing_until: dict[str, float] = {}
        self._misdirected: dict[str, tuple[int, Stage | None]] = {}
        self._moves: dict[str, ExpectedMove] = {}
        self._changed_at: dict[str, float] = {}
        self._usable: dict[tuple[str, Stage | None], list[Replica]] = {}
        self._on_ended: Callable[[Replica, Replica | None], None] = lambda *_: None

    def on_ended(self, listener: Callable[[Replica, Replica | None], None]) -> None:
        """Call ``listener`` with each incarnation that ends, and the next one, if any.

        A change of the software's version counts as an end.
        """
        self._on_ended = listener

    def _invalidate_usable(self) -> None:
        self._usable.clear()

    def put(self, replica: Replica, now: float = 0.0) -> None:
        """Add or update a replica from its row at loop time ``now``.

        An incarnation that was draining stays so: its row may be that of an older copy
        of the store.
        """
        known = self._replicas.get(replica.id)
        if _has_stopped_draining(known, replica):
            logger.warning("replica_stays_draining", replica=replica.id)
            replica = replace(replica, state=ReplicaState.DRAINING)
        self._replicas[replica.id] = replica
        self._missing_until.pop(replica.id, None)
        self._end_move(known, replica)
        if known is not None and known.stage != replica.stage:
            self._misdirected.pop(replica.id, None)
        if known != replica:
            self._changed_at[replica.id] = now
            self._usable.clear()
        if known is not None and known.started_at_ms != replica.started_at_ms:
            self._notices.forget_pause(known)
        if known is not None and not known.is_same_process(replica):
            self._on_ended(known, replica)
        if known is None or known.started_at_ms != replica.started_at_ms:
            logger.info(
                "replica_appeared",
                replica=replica.id,
                service=replica.service,
                stage=replica.stage,
            )
        elif known.state != replica.state or known.stage != replica.stage:
            logger.info(
                "replica_changed",
                replica=replica.id,
                state=replica.state,
                stage=replica.stage,
            )

    def _end_move(self, known: Replica | None, replica: Replica) -> None:
        """Drop a move that is complete, or that a restart has ended."""
        move = self._moves.get(replica.id)
        restarted = known is not None and known.started_at_ms != replica.started_at_ms
        if move is not None and (restarted or replica.stage == move.stage):
            del self._moves[replica.id]

    def record_move(self, replica_id: str, stage: Stage, until: float) -> None:
        """Record an order into a stage; the replica is not used until it is done."""
        replica = self._replicas.get(replica_id)
        if replica is not None and replica.stage != stage:
            if replica_id not in self._moves:
                logger.info("replica_moves", replica=replica_id, stage=stage)
            self._moves[replica_id] = ExpectedMove(stage, until)
            self._usable.clear()

    def forget_move(self, replica_id: str) -> None:
        """Drop a move that the replica refused, or that has expired."""
        self._moves.pop(replica_id, None)
        self._usable.clear()

    def remove(self, replica_id: str, keep_until: float, now: float) -> None:
        """Drop a replica whose row was deleted.

        A ready one is kept as missing until ``keep_until``: its row may have expired
        while the store was unreachable, and may be written again.
        """
        replica = self._replicas.get(replica_id)
        if replica is None:
            return
        if keep_until > now and replica.state == ReplicaState.READY:
            self._missing_until[replica_id] = keep_until
            return
        del self._replicas[replica_id]
        self._on_ended(replica, None)
        self._usable.clear()
        self._moves.pop(replica_id, None)
        self._changed_at.pop(replica_id, None)
        self._misdirected.pop(replica_id, None)
        logger.info("replica_gone", replica=replica_id, service=replica.service)

    def expire(self, now: float) -> None:
        """Expire missing replicas, moves that did not complete, and pauses."""
        self._notices.expire(now)
        for replica_id, move in list(self._moves.items()):
            if now >= move.until:
                self.forget_move(replica_id)
                logger.warning("replica_not_moved", replica=replica_id)
        for replica_id, until in list(self._missing_until.items()):
            if now >= until:
                del self._missing_until[replica_id]
                self.remove(replica_id, now, now)

    def record_misdirected(self, replica: Replica) -> None:
        """Record a 421: another replica, or one in another stage, has answered.

        ``replica`` is not used until its row shows a new incarnation or stage.
        """
        self._misdirected[replica.id] = _incarnation_and_stage(replica)
        self._usable.clear()
        logger.warning("replica_misdirected", replica=replica.id, stage=replica.stage)

    def changed_at(self, replica_id: str) -> float:
        """Return the loop time at which a replica's row last changed."""
        return self._changed_at[replica_id]

    def standing(self, replica: Replica) -> Standing:
        """Return a known replica's standing: the first reason not to use it, if any."""
        if replica.state != ReplicaState.READY:
            return Standing.DRAINING
        if self._notices.is_leaving(replica):
            return Standing.LEAVING
        if self._misdirected.get(replica.id) == _incarnation_and_stage(replica):
            return Standing.MISDIRECTED
        if replica.id in self._moves:
            return Standing.MOVING
        if self._notices.pause_state(replica) in NOT_ACCEPTING:
            return Standing.PAUSED
        if replica.id in self._missing_until:
            return Standing.MISSING
        return Standing.USED

    def takes(self, chosen: Replica, holds_place: bool = False) -> bool:
        """Return whether a replica that was chosen before still takes a request.

        ``chosen`` is as it was then; what is known of it now decides. ``holds_place``
        means that the replica holds a place for the request.
        """
        known = self._replicas.get(chosen.id)
        if known is None or not known.is_same_process(chosen):
            return False
        if (known.service, known.stage) != (chosen.service, chosen.stage):
            return False
        return self.standing(known) in (TAKES_HELD if holds_place else USABLE)

    def get(self, replica_id: str) -> Replica | None:
        """Return a replica by id."""
        return self._replicas.get(replica_id)

    def usable(self, service: str, stage: Stage | None = None) -> list[Replica]:
        """Return replicas of a service that may receive new requests."""
        group = (service, stage)
        if group not in self._usable:
            self._usable[group] = [
                replica
                for replica in self._replicas.values()
                if replica.service == service
                and replica.stage == stage
                and self.standing(replica) in USABLE
            ]
        return list(self._usable[group])

    def has_paused(self, service: str) -> bool:
        """Return whether a replica of a plain service has asked for a pause.

        It counts until a request after the pause was answered.
        """
        return any(
            replica.service == service
            and replica.stage is None
            and self._notices.pause_state(replica) != PauseState.NONE
            for replica in self._replicas.values()
        )

    def pause_left_s(
        self, service: str, stage: Stage | None, now: float
    ) -> float | None:
        """Return the seconds until the first pause within a group ends.

        None unless replicas of the group are paused and none is usable.
        """
        if self.usable(service, stage):
            return None
        waits = [
            self._notices.pause_left_s(replica, now)
            for replica in self._replicas.values()
            if (replica.service, replica.stage) == (service, stage)
            and self.standing(replica) == Standing.PAUSED
        ]
        return min(waits, default=None)

    def expected_stages(self, service: str) -> list[tuple[Replica, Stage]]:
        """Return a service's engines with their stages after the moves in progress."""
        return [
            (replica, self._expected_stage(replica))
            for replica in self._replicas.values()
            if replica.service == service
            and replica.stage is not None
            and self.standing(replica) in COUNTED_IN_SPLIT
        ]

    def _expected_stage(self, replica: Replica) -> Stage:
        move = self._moves.get(replica.id)
        return replica.stage if move is None else move.stage

    @property
    def all(self) -> Iterable[Replica]:
        """All known replicas."""
        return self._replicas.values()


def _has_stopped_draining(known: Replica | None, replica: Replica) -> bool:
    return (
        known is not None
        and known.started_at_ms == replica.started_at_ms
        and known.state == ReplicaState.DRAINING
        and replica.state != ReplicaState.DRAINING
    )


def _incarnation_and_stage(replica: Replica) -> tuple[int, Stage | None]:
    """Return the part of a replica's row that a 421 shows to be wrong."""
    return replica.started_at_ms, replica.stage
