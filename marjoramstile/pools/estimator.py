"""What the scheduler of a pool has learned from requests and from their leases."""

from marjoramstile.pools.hints import HintModel
from marjoramstile.pools.leases import Lease
from marjoramstile.pools.messages import LeaseUsage
from marjoramstile.pools.statistics import PoolStatistics

# Prefills slower than this part of the usual speed mostly had to wait for something
# else, and count for less.
SLOW_PREFILL_PART = 0.75
SLOW_PREFILL_WEIGHT = 0.1


class PoolKnowledge:
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

    def note_request(self, prompt_tokens: int, hint: int, now: float) -> None:
        """Count a request that was not here before."""
        self._hints.note_arrival(hint)
        self.statistics.note_arrival(prompt_tokens, self.expected_output(hint), now)

    def note_adopted(self, use: LeaseUsage, now: float) -> None:
        """Count a generation that another scheduler has placed."""
        self.note_request(use.prompt_tokens, use.output_tokens, now)
        self.statistics.note_decoded(use.produced_tokens, use.decode_s, now)

    def note_finished(self, use: LeaseUsage) -> None:
        """Compare an answer that has ended with its estimate."""
        self._hints.note_finished(use.output_tokens, use.produced_tokens)

    def note_use(self, lease: Lease, use: LeaseUsage, now: float) -> None:
        """Learn what a lease's daemon has seen since it last told of it."""
        tokens = use.produced_tokens - lease.produced_tokens
        seconds = use.decode_s - lease.decode_s
        if tokens > 0 and seconds > 0:
            self.statistics.note_decoded(tokens, seconds, now)
        if lease.prefill_pending and use.prefill_s > 0:
            lease.prefill_pending = False
            self._note_prefill(lease, use.prefill_s, now)

    def _note_prefill(self, lease: Lease, seconds: float, now: float) -> None:
        """Learn from a prefill; one that had to wait shows only a bound."""
        speed = lease.prompt_tokens / seconds
        usual = self.statistics.prefill_tokens_per_s
        if lease.prefilled_at_once or speed > usual:
            weight = 1.0 if speed > SLOW_PREFILL_PART * usual else SLOW_PREFILL_WEIGHT
            tokens = weight * lease.prompt_tokens
            self.statistics.note_prefilled(tokens, weight * seconds, now)
