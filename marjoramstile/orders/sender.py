"""Sends orders to engines, each with a fencing token from the table service.

The row ``orders/ENDPOINT`` holds the last fencing token and the desired order. An
engine that checks fencing tokens refuses an outdated order. One that doesn't may
execute it late; therefore its owner compares the settings that the engine reports with
the desired order, and sends that order again if they differ.
"""

from dataclasses import dataclass

from result import Err, Ok, Result

from marjoramstile.configuration.documents import Configuration, EndpointKind
from marjoramstile.configuration.keeper import ConfigurationKeeper
from marjoramstile.endpoints.engines import EngineClient, EngineOrder
from marjoramstile.logs import get_logger
from marjoramstile.ports.tables import (
    Committed,
    Condition,
    Row,
    StoreError,
    TableService,
    Write,
)
from marjoramstile.results import Failure, Ran, ResultCode
from marjoramstile.slots.directory import OwnerDirectory
from marjoramstile.utils import new_token

ORDERS_TABLE = "orders"
STORE_RETRY_AFTER_S = 2.0

logger = get_logger(__name__)


@dataclass(frozen=True)
class OrderReceipt:
    """The order's fencing token, and whether the engine has confirmed the order."""

    endpoint: str
    fencing: int
    confirmed: bool


class OrderSender:
    """Sends orders, and sends the latest again to engines that deviate from them."""

    def __init__(
        self,
        tables: TableService,
        engines: EngineClient,
        keeper: ConfigurationKeeper,
        directory: OwnerDirectory,
    ):
        self._tables = tables
        self._engines = engines
        self._keeper = keeper
        self._directory = directory

    @property
    def _configuration(self) -> Configuration:
        return self._keeper.configuration

    async def order(
        self, endpoint: str, action: str, argument: str
    ) -> Result[OrderReceipt, Failure]:
        """Assign the next fencing token to an order, then send it to the engine."""
        known = self._configuration.endpoints.get(endpoint)
        if known is None or known.kind == EndpointKind.PLAIN:
            message = f"{endpoint} is not an engine"
            return Err(Failure(ResultCode.BAD_STATEMENT, message))
        assigned = await self._assign_fencing(endpoint, action, argument)
        if assigned.is_err():
            return Err(assigned.unwrap_err())
        order = assigned.unwrap()
        answer = await self._engines.order(known.url, order)
        if answer.is_err():
            logger.warning(
                "order_unconfirmed", endpoint=endpoint, fencing=order.fencing
            )
        return Ok(OrderReceipt(endpoint, order.fencing, answer.is_ok()))

    async def _assign_fencing(
        self, endpoint: str, action: str, argument: str
    ) -> Result[EngineOrder, Failure]:
        """Write the desired order with the next fencing token; one writer wins."""
        read = await self._tables.read(ORDERS_TABLE, endpoint)
        if read.is_err():
            return Err(_store_down())
        row = read.unwrap()
        fencing = row.value["fencing"] + 1 if row.value else 1
        write_token = new_token()
        value = {
            "fencing": fencing,
            "action": action,
            "argument": argument,
            "token": write_token,
        }
        written = await self._tables.transact(
            [Condition(ORDERS_TABLE, endpoint, row.version)],
            [Write(ORDERS_TABLE, endpoint, value)],
        )
        if written.is_err():
            read = await self._tables.read(ORDERS_TABLE, endpoint)
            return _resolve_lost_answer(
                read, write_token, EngineOrder(fencing, action, argument)
            )
        if not isinstance(written.unwrap(), Committed):
            message = f"another order to {endpoint} was first"
            return Err(Failure(ResultCode.CHANGE_LOST_RACE, message))
        return Ok(EngineOrder(fencing, action, argument))

    async def step(self) -> None:
        """Send desired orders again to owned engines that deviate; run periodically."""
        for name, endpoint in self._configuration.endpoints.items():
            if endpoint.kind == EndpointKind.PLAIN:
                continue
            if not self._directory.is_own(name, endpoint.data_centre):
                continue
            read = await self._tables.read(ORDERS_TABLE, name)
            if read.is_ok() and read.unwrap().value is not None:
                await self._reassert(endpoint.url, read.unwrap())

    async def _reassert(self, url: str, row: Row) -> None:
        load = await self._engines.load(url)
        if load.is_err():
            return
        value = row.value
        if load.unwrap().settings.get(value["action"]) == value["argument"]:
            return
        order = EngineOrder(value["fencing"], value["action"], value["argument"])
        answer = await self._engines.order(url, order)
        logger.info("order_given_again", endpoint=row.key, confirmed=answer.is_ok())


def _resolve_lost_answer(
    read: Result[Row, StoreError], write_token: str, order: EngineOrder
) -> Result[EngineOrder, Failure]:
    """Find out by the row's write token whether the write took effect."""
    if read.is_err():
        return Err(_store_down(Ran.UNKNOWN))
    value = read.unwrap().value
    if value is not None and value["token"] == write_token:
        return Ok(order)
    return Err(_store_down())


def _store_down(ran: Ran = Ran.NO) -> Failure:
    return Failure(
        ResultCode.STORE_UNAVAILABLE,
        "orders can't be numbered now",
        ran=ran,
        retry_after_s=STORE_RETRY_AFTER_S,
    )
