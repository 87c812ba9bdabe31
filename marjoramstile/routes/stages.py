"""How many replicas of a language service should prefill.

A pure decision: enough prefill replicas to keep all decode memory busy, no more.
"""

from dataclasses import dataclass

# Weight of the newest generation in the means.
MEAN_WEIGHT = 0.05
# Prefill capacity wanted, as a share of what decode memory can take in: below the
# least a replica is moved to prefill, above the most one is moved to decode.
PREFILL_SHARE_MIN = 0.85
PREFILL_SHARE_MAX = 1.05


@dataclass(frozen=True)
class GenerationProfile:
    """Means of recent generations; the defaults serve until some have ended.

    ``kv_tokens`` is the memory of a running generation, averaged over its run.
    """

    prompt_tokens: float = 3200.0
    kv_tokens: float = 3600.0
    decode_s: float = 3.5
    prefill_tokens_per_s: float = 33_000.0

    def with_decode(
        self, prompt: int, output: int, decode_s: float
    ) -> "GenerationProfile":
        """Return the means with one more finished generation."""
        return GenerationProfile(
            _mean(self.prompt_tokens, prompt),
            _mean(self.kv_tokens, prompt + output / 2),
            _mean(self.decode_s, decode_s),
            self.prefill_tokens_per_s,
        )

    def decode_rate(self, replicas: int, kv_tokens: int) -> float:
        """Return the generations a second that fill the memory of the replicas."""
        return replicas * kv_tokens / (self.kv_tokens * self.decode_s)

    def prefill_rate(self, replicas: int) -> float:
        """Return the prompts a second that the replicas can prefill."""
        return replicas * self.prefill_tokens_per_s / self.prompt_tokens


def _mean(mean: float, value: float) -> float:
    return mean + MEAN_WEIGHT * (value - mean)


def wanted_prefill_count(
    profile: GenerationProfile, prefill: int, decode: int, kv_tokens: int
) -> int:
    """Return how many of the replicas should prefill; the present split if it will do.

    At least one replica stays in each stage if there are two.
    """
    total = prefill + decode
    if total < 2:
        return prefill
    least = _least_count(profile, total, kv_tokens, PREFILL_SHARE_MIN)
    most = _least_count(profile, total, kv_tokens, PREFILL_SHARE_MAX)
    return min(max(prefill, least), most)


def _least_count(
    profile: GenerationProfile, total: int, kv_tokens: int, share: float
) -> int:
    """Return the least number of prefill replicas with ``share`` of what is needed."""
    for count in range(1, total - 1):
        needed = share * profile.decode_rate(total - count, kv_tokens)
        if profile.prefill_rate(count) >= needed:
            return count
    return total - 1
