"""Estimates that a pool's scheduler makes from past requests and their leases."""

from marjoramstile.pools.hints import HintModel
from marjoramstile.pools.leases import Lease
from marjoramstile.pools.messages import LeaseUsage
from marjoramstile.pools.prefill_latency import LATENCY_SHARE_MAX, PrefillLatency
from marjoramstile.pools.speeds import ReplicaSpeeds
from marjoramstile.pools.statistics import PoolStatistics
from marjoramstile.routes.replica_types import Stage

# Prefills slower than this fraction of the estimated speed mostly had to wait for
# something else, so they get a lower weight.
SLOW_PREFILL_RATIO = 0.75
SLOW_PREFILL_WEIGHT = 0.1
# Weight of the speed of a prefill that was queued behind others: how long it waited is
# only estimated.
QUEUED_PREFILL_WEIGHT = 0.5


class PoolEstimator:
    """Statistics of a pool's workload, speeds of replicas, a model of output lengths.

    The pool's scheduler owns it and reports requests and leases to it.
    """

    def __init__(self):
        self.statistics = PoolStatistics()
        self.speeds = ReplicaSpeeds()
        self._prefill_latency = PrefillLatency()
        self._hints = HintModel()

    @property
    def spread(self) -> float:
        """Standard deviation of an output's length relative to its expected length."""
        return self._hints.spread

    def expected_output(self, hint: int) -> int:
        """Return the expected tokens of an output that is estimated at ``hint``."""
        return round(self._hints.expected_tokens(hint))

    def prefill_s(self, prompt_tokens: int) -> float:
        """Return the estimated time for which a prompt occupies a prefill replica."""
        return prompt_tokens / self.statistics.prefill_tokens_per_s

    def prefill_duration_s(self, prompt_tokens: int) -> float:
        """Return the estimated time until a prompt is prefilled, without any wait."""
        return self._prefill_latency.latency_s + self.prefill_s(prompt_tokens)

    def observe_request(self, prompt_tokens: int, hint: int, now: float) -> None:
        """Add a new request."""
        self._hints.observe_arrival(hint)
        self.statistics.observe_arrival(prompt_tokens, self.expected_output(hint), now)

    def observe_adopted(self, usage: LeaseUsage, now: float) -> None:
        """Add a generation that another scheduler has placed."""
        self.observe_request(usage.prompt_tokens, usage.output_tokens, now)
        self.statistics.observe_decode(usage.produced_tokens, usage.decode_s, now)

    def observe_finished(self, usage: LeaseUsage) -> None:
        """Add a finished output and its estimate."""
        self._hints.observe_finished(usage.output_tokens, usage.produced_tokens)

    def observe_usage(self, lease: Lease, usage: LeaseUsage, now: float) -> None:
        """Add the progress of a lease since its daemon's previous report."""
        tokens = usage.produced_tokens - lease.produced_tokens
        seconds = usage.decode_s - lease.decode_s
        if tokens > 0 and seconds > 0:
            self.statistics.observe_decode(tokens, seconds, now)
            self._observe_decode_speed(lease, tokens, seconds, now)
        if lease.prefill_pending and usage.prefill_s > 0:
            lease.prefill_pending = False
            self._observe_prefill(lease, usage.prefill_s, now)

    def _observe_decode_speed(
        self, lease: Lease, tokens: int, seconds: float, now: float
    ) -> None:
        if lease.decode_started_at_ms and self.statistics.has_enough_data:
            expected_s = tokens * self.statistics.decode_s_per_token
            self.speeds.observe_decode(
                lease.decode,
                lease.decode_started_at_ms,
                tokens,
                seconds / expected_s,
                now,
            )

    def _observe_prefill(self, lease: Lease, seconds: float, now: float) -> None:
        """Add the speed of a prefill.

        One that was queued behind others only shows a lower bound of the speed: it is
        used only if that exceeds the present estimate. The latency of prefills does not
        count, as the replica prefills other prompts meanwhile.
        """
        if lease.prefill_started_at_once:
            self._prefill_latency.observe(
                lease.prompt_tokens / lease.prefill_speed, seconds, now
            )
        seconds -= min(self._prefill_latency.latency_s, LATENCY_SHARE_MAX * seconds)
        expected_s = lease.prefill_unit_s
        if expected_s > 0 and self.statistics.has_enough_data:
            self.speeds.observe(
                lease.grant.prefill,
                lease.prefill_started_at_ms,
                Stage.PREFILL,
                seconds / expected_s,
                now,
                1.0 if lease.prefill_started_at_once else QUEUED_PREFILL_WEIGHT,
            )
        speed = lease.prompt_tokens / seconds
        estimated = self.statistics.prefill_tokens_per_s
        if lease.prefill_started_at_once or speed > estimated:
            weight = (
                1.0
                if speed > SLOW_PREFILL_RATIO * lease.prefill_speed * estimated
                else SLOW_PREFILL_WEIGHT
            )
            tokens = weight * lease.prompt_tokens
            self.statistics.observe_prefill(tokens, weight * seconds, now)
