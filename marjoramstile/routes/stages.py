"""Chooses how many replicas of a language service should prefill.

Pure functions: the split with the highest throughput is chosen if its gain over the
current one is worth a move.
"""

from marjoramstile.pools.decisions import LOCAL_PREFILL_FACTOR
from marjoramstile.pools.statistics import GenerationProfile

# Share of a prefill replica's speed that a decode replica adds by prefilling some
# prompts.
DECODE_PREFILL_SHARE = 0.02
# Smallest ratio of the best throughput to the current one for which replicas are
# moved: a move costs some seconds of a replica's throughput.
GAIN_MIN = 1.12


def decode_rate(profile: GenerationProfile, replicas: int, kv_tokens: int) -> float:
    """Return the generations per second that fill the KV memory of the replicas."""
    return replicas * kv_tokens / (profile.kv_tokens * profile.decode_s)


def local_prefill_s(profile: GenerationProfile) -> float:
    """Return the time for which prefilling a prompt stalls a decode replica."""
    return LOCAL_PREFILL_FACTOR * profile.prompt_tokens / profile.prefill_tokens_per_s


def prefill_rate(profile: GenerationProfile, replicas: float) -> float:
    """Return the prompts per second that the replicas can prefill."""
    return replicas * profile.prefill_tokens_per_s / profile.prompt_tokens


def wanted_prefill_count(
    profile: GenerationProfile, prefill: int, decode: int, kv_tokens: int
) -> int:
    """Return how many of the replicas should prefill.

    The current number is kept unless another gains by GAIN_MIN. Without prefill
    replicas the decode replicas prefill; without decode replicas nothing is served.
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
    """Return the generations per second that a split can serve."""
    if decode == 0:
        return 0.0
    decoded = decode_rate(profile, decode, kv_tokens)
    if prefill == 0:
        return decoded / (1 + local_prefill_s(profile) * decoded / decode)
    effective_prefill = prefill + DECODE_PREFILL_SHARE * decode
    return min(prefill_rate(profile, effective_prefill), decoded)
