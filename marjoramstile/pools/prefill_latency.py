"""Learns the part of a prefill's duration in which its replica is free again.

The load it answers: more prompts than the prefill replicas seem able to take. An engine
may need some time to hand over a prompt's KV cache and prefill the next prompt
meanwhile. That time delays each prompt, but leaves the replica its whole speed.
"""

import math

from marjoramstile.pools.statistics import HALF_LIFE_S

# Prefills from which the latency is told.
MIN_PREFILLS = 16.0
# Shorter latencies are those of the network and of the event loop.
LATENCY_MIN_S = 0.03
# Largest part of the mean duration that can be latency; more means that the durations
# don't depend on the prompts, as those of replicas in trouble.
LATENCY_SHARE_MAX = 0.6
# Standard deviation of the prompts relative to their mean below which a latency can't
# be told from a low speed.
PROMPT_SPREAD_MIN = 0.15

# Ratio to the mean speed beyond which a prefill tells of its replica's trouble only.
OUTLIER_RATIO = 2.0

_SUMS = ("_weight", "_tokens", "_seconds", "_squares", "_products")


class PrefillLatency:
    """A decaying linear regression of durations on prompt tokens; its intercept."""

    def __init__(self):
        self._at = 0.0
        self._weight = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._squares = 0.0
        self._products = 0.0
        self._latency_s = 0.0

    @property
    def latency_s(self) -> float:
        """Time of a prefill that doesn't depend on its prompt; 0 if hardly any."""
        return self._latency_s

    def observe(self, tokens: float, seconds: float, now: float) -> None:
        """Add the duration of a prefill that no other one has delayed.

        ``tokens`` are those of its prompt, over the speed of its replica relative to
        the pool: fast ones get longer prompts, which would look like a latency.
        """
        if tokens <= 0 or seconds <= 0:
            return
        if self._weight >= MIN_PREFILLS and self._is_outlier(tokens, seconds):
            return
        factor = math.exp2(-max(0.0, now - self._at) / HALF_LIFE_S)
        self._at = max(self._at, now)
        for name in _SUMS:
            setattr(self, name, getattr(self, name) * factor)
        self._weight += 1.0
        self._tokens += tokens
        self._seconds += seconds
        self._squares += tokens * tokens
        self._products += tokens * seconds
        self._latency_s = self._intercept()

    def _is_outlier(self, tokens: float, seconds: float) -> bool:
        """Return whether a prefill took far longer or shorter than the mean one."""
        mean_speed = self._tokens / self._seconds
        return not 1 / OUTLIER_RATIO < tokens / seconds / mean_speed < OUTLIER_RATIO

    def _intercept(self) -> float:
        if self._weight < MIN_PREFILLS:
            return 0.0
        mean = self._tokens / self._weight
        mean_s = self._seconds / self._weight
        variance = self._squares / self._weight - mean * mean
        if variance <= (PROMPT_SPREAD_MIN * mean) ** 2:
            return 0.0
        slope = (self._products / self._weight - mean * mean_s) / variance
        latency_s = min(mean_s - slope * mean, LATENCY_SHARE_MAX * mean_s)
        return latency_s if latency_s >= LATENCY_MIN_S else 0.0
