"""How many replicas of a language service should prefill.

A pure decision: the split that serves the most generations, as long as the gain over
the present one is worth the move.
"""

from dataclasses import dataclass

# Weight of the newest generation in the means.
MEAN_WEIGHT = 0.05
# Part of the prefill speed that a decode replica adds by prefilling some prompts.
DECODE_PREFILL_SHARE = 0.02
# A decode replica prefills at half the speed.
OWN_PREFILL_FACTOR = 2.0
# Gain in throughput for which a replica is moved: a move costs some seconds of it.
GAIN_MIN = 1.12


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

    def own_prefill_s(self) -> float:
        """Return the time for which a prompt stalls a decode replica."""
        return OWN_PREFILL_FACTOR * self.prompt_tokens / self.prefill_tokens_per_s

    def prefill_rate(self, replicas: float) -> float:
        """Return the prompts a second that the replicas can prefill."""
        return replicas * self.prefill_tokens_per_s / self.prompt_tokens


def _mean(mean: float, value: float) -> float:
    return mean + MEAN_WEIGHT * (value - mean)


def wanted_prefill_count(
    profile: GenerationProfile, prefill: int, decode: int, kv_tokens: int
) -> int:
    """Return how many of the replicas should prefill; the present split if it will do.

    Without any, decode replicas prefill; without decode replicas nothing is served.
    """
    total = prefill + decode
    if total == 0:
        return 0
    rates = {
        count: _throughput(profile, count, total - count, kv_tokens)
        for count in range(total + 1)
    }
    best = max(rates, key=rates.get)
    return best if rates[best] >= GAIN_MIN * rates[prefill] else prefill


def _throughput(
    profile: GenerationProfile, prefill: int, decode: int, kv_tokens: int
) -> float:
    """Return the generations a second that a split can serve."""
    if decode == 0:
        return 0.0
    decoded = profile.decode_rate(decode, kv_tokens)
    if prefill == 0:
        return decoded / (1 + profile.own_prefill_s() * decoded / decode)
    helped = prefill + DECODE_PREFILL_SHARE * decode
    return min(profile.prefill_rate(helped), decoded)
