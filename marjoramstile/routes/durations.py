"""How long a request will probably take, from what was observed of others."""

from collections.abc import Callable

from marjoramstile.pools.statistics import GenerationProfile
from marjoramstile.routes.requests import RoutedRequest
from marjoramstile.routes.table import EngineTraits

# Weight of the newest sample in the moving average of a route's durations.
DURATION_WEIGHT = 0.1
MIN_SAMPLES = 8
ROUTES_MAX = 1024


class RouteDurations:
    """Moving averages of the durations of calls, by route."""

    def __init__(self):
        self._means: dict[str, tuple[int, float]] = {}

    def observe(self, route: str, took_s: float) -> None:
        """Add the duration of an answered call."""
        samples, mean_s = self._means.pop(route, (0, took_s))
        mean_s += DURATION_WEIGHT * (took_s - mean_s)
        self._means[route] = (samples + 1, mean_s)
        if len(self._means) > ROUTES_MAX:
            del self._means[next(iter(self._means))]

    def mean_s(self, route: str) -> float | None:
        """Return a route's mean duration; None if there are too few samples."""
        samples, mean_s = self._means.get(route, (0, 0.0))
        return mean_s if samples >= MIN_SAMPLES else None


class DurationForecast:
    """Expects durations of generations by their size, and of calls by their route.

    ``profile_of`` returns the averages of a service's pool, if they are known.
    """

    def __init__(
        self,
        profile_of: Callable[[str], GenerationProfile | None],
        engine_of: Callable[[str], EngineTraits | None],
    ):
        self._profile_of = profile_of
        self._engine_of = engine_of
        self._calls = RouteDurations()

    def observe(self, request: RoutedRequest, took_s: float) -> None:
        """Add an answered request."""
        if not self._is_generation(request):
            self._calls.observe(request.route.name, took_s)

    def expected_s(self, request: RoutedRequest) -> float | None:
        """Return the expected duration without any wait; None if it isn't known."""
        if not self._is_generation(request):
            return self._calls.mean_s(request.route.name)
        profile = self._profile_of(request.service)
        if profile is None:
            return None
        prefill_s = request.size.prompt / profile.prefill_tokens_per_s
        return prefill_s + self._output_left(request) * profile.decode_s_per_token

    def _is_generation(self, request: RoutedRequest) -> bool:
        return request.size is not None and self._engine_of(request.service) is not None

    def _output_left(self, request: RoutedRequest) -> int:
        """Return the expected tokens that the caller doesn't have yet."""
        received = (request.resume_after or 0) * self._engine_of(request.service).stride
        return max(0, request.size.expected_output - received)
