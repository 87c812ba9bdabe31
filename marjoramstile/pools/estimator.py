"""What the scheduler of a pool has learned from requests and from their leases."""

from marjoramstile.pools.hints import HintModel
from marjoramstile.pools.leases import Lease
from marjoramstile.pools.messages import LeaseUsage
from marjoramstile.pools.statistics import PoolStatistics

# Prefills slower than this part of the usual speed mostly had to wait for something
# else, and count for less.
SLOW_PREFILL_RATIO = 0.75
SLOW_PREFILL_WEIGHT = 0.1


class PoolEstimator:
    """Means of a pool and what callers' estimates are worth there."""

    def __init__(self):
        self.statistics = PoolStatistics()
        self._hints = HintModel()

    @property
    def spread(self) -> float:
        """Standard deviation of an answer's length, in parts of what is expected."""
        return self._hints.spread

    def expected_output(self, hint: int) -> int:
        """Return the tokens expected of an answer that its caller estimates."""
        return round(self._hints.expected_tokens(hint))

    def prefill_s(self, prompt_tokens: int) -> float:
        """Return the time in which a replica prefills a prompt."""
        return prompt_tokens / self.statistics.prefill_tokens_per_s

    def observe_request(self, prompt_tokens: int, hint: int, now: float) -> None:
        """Count a request that was not here before."""
        self._hints.observe_arrival(hint)
        self.statistics.observe_arrival(prompt_tokens, self.expected_output(hint), now)

    def observe_adopted(self, usage: LeaseUsage, now: float) -> None:
        """Count a generation that another scheduler has placed."""
        self.observe_request(usage.prompt_tokens, usage.output_tokens, now)
        self.statistics.observe_decode(usage.produced_tokens, usage.decode_s, now)

    def observe_finished(self, usage: LeaseUsage) -> None:
        """Compare an answer that has ended with its estimate."""
        self._hints.observe_finished(usage.output_tokens, usage.produced_tokens)

    def observe_usage(self, lease: Lease, usage: LeaseUsage, now: float) -> None:
        """Learn what a lease's daemon has seen since it last told of it."""
        tokens = usage.produced_tokens - lease.produced_tokens
        seconds = usage.decode_s - lease.decode_s
        if tokens > 0 and seconds > 0:
            self.statistics.observe_decode(tokens, seconds, now)
        if lease.prefill_pending and usage.prefill_s > 0:
            lease.prefill_pending = False
            self._observe_prefill(lease, usage.prefill_s, now)

    def _observe_prefill(self, lease: Lease, seconds: float, now: float) -> None:
        """Learn from a prefill; one that had to wait shows only a bound."""
        speed = lease.prompt_tokens / seconds
        typical = self.statistics.prefill_tokens_per_s
        if lease.prefill_started_at_once or speed > typical:
            weight = (
                1.0 if speed > SLOW_PREFILL_RATIO * typical else SLOW_PREFILL_WEIGHT
            )
            tokens = weight * lease.prompt_tokens
            self.statistics.observe_prefill(tokens, weight * seconds, now)
