"""Rows of the orders table: the holder of each service's orders, moves in progress."""

import math
from dataclasses import asdict, dataclass, fields

from marjoramstile.json_fields import (
    NUMBER_MAX,
    JSONObject,
    MalformedJSONError,
    parse_object,
)
from marjoramstile.logs import get_logger
from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.ports.feeds import ERA_MAX, StoredRow
from marjoramstile.routes.replica_types import Stage

ORDERS_TABLE = "marjoramstile-orders"

logger = get_logger(__name__)


class UnreadableOrdersError(Exception):
    """A row of the orders table can't be decoded."""


@dataclass(frozen=True)
class StageMove:
    """A replica that was ordered into a stage; the move expires at ``until_s``."""

    replica: str
    stage: Stage
    until_s: float


@dataclass(frozen=True)
class OrdersRow:
    """A service's last order, written by the incarnation ``holder`` at ``at_s``.

    Times are seconds of the store's clock, in its ``era``. ``moves`` are those in
    progress, the one just ordered included. ``profile`` holds the pool's averages at
    that time.
    """

    holder: str
    at_s: float
    moves: tuple[StageMove, ...]
    profile: GenerationProfile | None = None
    era: int = 0

    def to_value(self) -> dict[str, object]:
        """Return the row's value."""
        return asdict(self)

    def moves_at(self, now_s: float) -> tuple[StageMove, ...]:
        """Return the moves that have not expired; none if the clock has gone back."""
        if now_s < self.at_s:
            return ()
        return tuple(move for move in self.moves if move.until_s > now_s)


NO_ORDERS = OrdersRow("", -math.inf, ())


def orders_of(row: StoredRow | None) -> OrdersRow:
    """Return a decoded row; NO_ORDERS if it is missing, deleted or unreadable."""
    if row is None or row.value is None:
        return NO_ORDERS
    try:
        return decode_orders(row.value)
    except UnreadableOrdersError as error:
        logger.warning("orders_row_unreadable", row=row.key, reason=str(error))
        return NO_ORDERS


def decode_orders(value: bytes) -> OrdersRow:
    """Decode a row's value; raises UnreadableOrdersError."""
    try:
        body = parse_object(value)
        moves = tuple(_decode_move(item) for item in body.objects("moves"))
        return OrdersRow(
            body.text("holder"),
            _time_s(body, "at_s"),
            moves,
            _decode_profile(body.object("profile", None)),
            body.integer("era", maximum=ERA_MAX, default=0),
        )
    except ValueError as error:
        raise UnreadableOrdersError(str(error)) from error


def _decode_move(body: JSONObject) -> StageMove:
    stage = Stage(body.text("stage"))
    return StageMove(body.text("replica"), stage, _time_s(body, "until_s"))


def _time_s(body: JSONObject, name: str) -> float:
    return float(body.number(name, minimum=-NUMBER_MAX))


def _decode_profile(body: JSONObject | None) -> GenerationProfile | None:
    if body is None:
        return None
    values = [body.number(field.name) for field in fields(GenerationProfile)]
    if not all(values):
        raise MalformedJSONError("a value of the profile is 0")
    return GenerationProfile(*values)
