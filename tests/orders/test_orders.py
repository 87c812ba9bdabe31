"""Tests of orders to engines with fencing tokens."""

import asyncio

import pytest

from bench.harness import running_harness
from marjoramstile.endpoints.engines import EngineOrder
from marjoramstile.results import ResultCode

URL = "http://10.0.9.1:80"
ENGINE = "decode-1"


async def order(node, argument: str):
    """Order the engine to load a model."""
    return await node.orders.order(ENGINE, "load_model", argument)


async def test_an_order_is_executed_with_the_next_fencing_token():
    async with running_harness(daemons=2) as harness:
        for number, argument in enumerate(("a", "b"), start=1):
            given = (await order(harness.nodes[f"vm-{number}"], argument)).unwrap()
            assert given.fencing == number
            assert given.confirmed
        assert harness.engines.engines[URL].ordered == {"load_model": "b"}


async def test_concurrent_orders_get_distinct_fencing_tokens_or_are_refused():
    async with running_harness(daemons=3) as harness:
        answers = await asyncio.gather(
            *(order(node, name) for name, node in harness.nodes.items())
        )
        numbers = [a.unwrap().fencing for a in answers if a.is_ok()]
        assert len(numbers) == len(set(numbers)) >= 1
        refused = [a.unwrap_err().code for a in answers if a.is_err()]
        assert set(refused) <= {ResultCode.CHANGE_LOST_RACE}


async def test_an_engine_that_checks_fencing_refuses_an_outdated_order():
    async with running_harness(daemons=1) as harness:
        (await order(harness.nodes["vm-1"], "a")).unwrap()
        (await order(harness.nodes["vm-1"], "b")).unwrap()
        late = await harness.engines.order(URL, EngineOrder(1, "load_model", "a"))
        assert late.is_err()
        assert harness.engines.engines[URL].ordered == {"load_model": "b"}


async def test_an_engine_without_fencing_is_sent_the_desired_order_again():
    async with running_harness(daemons=3) as harness:
        engine = harness.engines.engines[URL]
        engine.checks_fencing = False
        (await order(harness.nodes["vm-1"], "a")).unwrap()
        (await order(harness.nodes["vm-2"], "b")).unwrap()
        await harness.engines.order(URL, EngineOrder(1, "load_model", "a"))
        assert engine.ordered == {"load_model": "a"}
        await asyncio.sleep(25)
        assert engine.ordered == {"load_model": "b"}


async def test_an_engine_that_was_down_is_sent_its_order_after_its_restart():
    async with running_harness(daemons=2) as harness:
        engine = harness.engines.engines[URL]
        engine.crash()
        given = (await order(harness.nodes["vm-1"], "a")).unwrap()
        assert not given.confirmed
        engine.restart()
        await asyncio.sleep(25)
        assert engine.ordered == {"load_model": "a"}


@pytest.mark.parametrize("lost", [1, 2])
async def test_a_lost_answer_to_the_write_is_resolved_by_its_write_token(lost):
    async with running_harness(daemons=1) as harness:
        harness.platform.lose_answers = lost
        given = (await order(harness.nodes["vm-1"], "a")).unwrap()
        assert given.fencing == 1


async def test_without_the_store_an_order_is_refused():
    async with running_harness(daemons=1) as harness:
        harness.platform.outage = True
        failure = (await order(harness.nodes["vm-1"], "a")).unwrap_err()
        assert failure.code == ResultCode.STORE_UNAVAILABLE
        assert harness.engines.engines[URL].ordered == {}
