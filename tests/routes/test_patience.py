"""Callers that come back are told from those that come for the first time."""

import pytest

from marjoramstile.routes.patience import VALUES_KEPT, PatienceBook


def test_a_usual_value_means_a_new_caller():
    book = PatienceBook()
    assert [book.age_s("r", 14.0) for _ in range(5)] == [0.0] * 5


def test_what_is_left_of_a_usual_value_tells_the_age():
    book = PatienceBook()
    for _ in range(3):
        book.age_s("r", 14.0)
    assert book.age_s("r", 9.5) == 4.5


def test_callers_with_less_patience_are_new_once_their_value_is_usual():
    book = PatienceBook()
    for _ in range(10):
        book.age_s("r", 14.0)
    ages = [book.age_s("r", 5.0) for _ in range(4)]
    assert ages == [9.0, 9.0, 0.0, 0.0]


def test_before_any_value_is_usual_the_greatest_counts():
    """After a restart of all daemons the first to come are those who come back."""
    book = PatienceBook()
    assert book.age_s("r", 14.0) == 0.0
    assert book.age_s("r", 11.8) == pytest.approx(2.2)


def test_a_timeout_of_the_route_plays_no_part():
    """A route whose timeout is above the callers' patience made all of them late."""
    book = PatienceBook()
    assert book.age_s("r", 14.0) == 0.0


def test_memory_is_bounded():
    book = PatienceBook()
    for _ in range(3):
        book.age_s("r", 20.0)
    for value in range(5 * VALUES_KEPT):
        book.age_s("r", value / 1000)
    assert len(book._counts["r"]) <= VALUES_KEPT
    assert book.age_s("r", 19.0) == 1.0
