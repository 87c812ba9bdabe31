"""Expected durations of requests."""

from dataclasses import replace

import pytest

from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.routes.durations import MIN_SAMPLES, DurationForecast
from marjoramstile.routes.table import RouteKind
from tests.routes.support import ENGINE, LLM, SIZE, request, route

PROFILE = GenerationProfile(3200.0, 781.0, 0.01, 32_000.0)
STREAM = route(RouteKind.STREAM)
CALL = route(RouteKind.NON_IDEMPOTENT)


def forecast(profile: GenerationProfile | None) -> DurationForecast:
    """Return a forecast with the averages of one pool."""
    return DurationForecast(
        lambda service: profile,
        lambda service: ENGINE if service == LLM else None,
    )


async def test_generation_is_expected_to_take_its_prompt_and_hint():
    known = forecast(PROFILE)
    assert known.expected_s(request("q", STREAM)) == pytest.approx(0.1 + 7.81)
    short = replace(SIZE, expected_output=100)
    assert known.expected_s(request("q", STREAM, size=short)) == pytest.approx(1.1)


async def test_what_the_caller_has_of_a_stream_is_not_counted():
    known = forecast(PROFILE)
    half = request("q", STREAM, resume_after=35)
    assert known.expected_s(half) == pytest.approx(0.1 + (781 - 35 * 11) * 0.01)
    whole = request("q", STREAM, resume_after=71)
    assert known.expected_s(whole) == pytest.approx(0.1)


async def test_nothing_is_expected_of_an_unknown_pool_or_route():
    unknown = forecast(None)
    assert unknown.expected_s(request("q", STREAM)) is None
    assert unknown.expected_s(request("q", CALL)) is None


async def test_call_is_expected_to_take_as_long_as_others_of_its_route():
    known = forecast(None)
    for _ in range(MIN_SAMPLES):
        known.observe(request("q", CALL), 0.5)
    assert known.expected_s(request("q", CALL)) == pytest.approx(0.5)
    other = replace(CALL, name="other")
    assert known.expected_s(request("q", other)) is None
