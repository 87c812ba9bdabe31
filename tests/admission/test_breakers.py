"""Tests of circuit breakers and retry budgets."""

from marjoramstile.admission.breakers import (
    OPEN_AFTER_FAILURES,
    OPEN_FIRST_S,
    CircuitBreakers,
)
from marjoramstile.admission.retries import BUDGET_MAX, REFILL_PER_S, RetryBudget


def test_a_breaker_opens_after_several_failures_and_for_longer_each_time():
    breakers = CircuitBreakers()
    for _ in range(OPEN_AFTER_FAILURES - 1):
        breakers.record_failure("e", 0.0)
        assert not breakers.is_open("e", 0.0)
    breakers.record_failure("e", 0.0)
    assert breakers.is_open("e", 0.0)
    assert not breakers.is_open("e", OPEN_FIRST_S)
    breakers.record_failure("e", OPEN_FIRST_S)
    assert breakers.is_open("e", 2.5 * OPEN_FIRST_S)
    breakers.record_success("e")
    assert not breakers.is_open("e", 2.5 * OPEN_FIRST_S)


def test_a_lost_endpoint_opens_its_breaker_at_once():
    breakers = CircuitBreakers()
    breakers.record_loss("e", 0.0)
    assert breakers.is_open("e", 0.0)
    assert not breakers.is_open("e", OPEN_FIRST_S)


def test_retries_are_a_share_of_the_requests():
    budget = RetryBudget()
    for _ in range(1000):
        budget.record_request(10.0)
    assert budget.balance == BUDGET_MAX
    assert sum(budget.try_consume(0.0) for _ in range(100)) == BUDGET_MAX
    for _ in range(100):
        budget.record_request(10.0)
    assert sum(budget.try_consume(0.0) for _ in range(100)) in (9, 10)


def test_the_budget_refills_slowly_without_requests():
    budget = RetryBudget()
    while budget.try_consume(0.0):
        pass
    assert not budget.try_consume(1.0)
    assert budget.try_consume(1.0 + 1 / REFILL_PER_S)
