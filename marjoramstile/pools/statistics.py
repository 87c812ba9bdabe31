"""Statistics of a pool's generations, from its requests and how they are served.

Sums decay exponentially, so that the averages follow a change of the load. Until there
are observations, weak priors are used that few observations outweigh.
"""

import math
from dataclasses import dataclass

HALF_LIFE_S = 20.0
# Prior speeds, used before any observation, and the tokens as which they count.
PRIOR_DECODE_S_PER_TOKEN = 0.004
PRIOR_DECODE_TOKENS = 50.0
PRIOR_PREFILL_TOKENS_PER_S = 30_000.0
PRIOR_PREFILL_TOKENS = 2_000.0
# Arrivals and decoded tokens after which decisions may be based on the statistics.
# A profile that replaces them has the same weight.
MIN_ARRIVALS = 8.0
MIN_DECODED_TOKENS = 500.0


_SUMS = (
    "_arrivals",
    "_prompt_tokens",
    "_output_tokens",
    "_decoded_tokens",
    "_decode_s",
    "_prefilled_tokens",
    "_prefill_s",
)


@dataclass(frozen=True)
class GenerationProfile:
    """Averages of a pool's generations.

    It is stored with the pool's orders, under the names of its fields, and sent to
    other daemons.
    """

    prompt_tokens: float
    output_tokens: float
    decode_s_per_token: float
    prefill_tokens_per_s: float

    @property
    def kv_tokens(self) -> float:
        """Memory of a running generation in tokens, averaged over its duration."""
        return self.prompt_tokens + self.output_tokens / 2

    @property
    def decode_s(self) -> float:
        """Seconds for which a generation decodes."""
        return self.output_tokens * self.decode_s_per_token


class PoolStatistics:
    """Exponentially decaying sums over the generations of one pool.

    Each scheduler owns one.
    """

    def __init__(self):
        self._at = 0.0
        self._arrivals = 0.0
        self._prompt_tokens = 0.0
        self._output_tokens = 0.0
        self._decoded_tokens = 0.0
        self._decode_s = 0.0
        self._prefilled_tokens = 0.0
        self._prefill_s = 0.0
        self._has_enough_data = False

    @property
    def has_enough_data(self) -> bool:
        """Whether there was enough data for decisions; once true, it stays true."""
        return self._has_enough_data

    @property
    def prefill_tokens_per_s(self) -> float:
        """Tokens that one prefill replica prefills per second."""
        tokens = self._prefilled_tokens + PRIOR_PREFILL_TOKENS
        prior_s = PRIOR_PREFILL_TOKENS / PRIOR_PREFILL_TOKENS_PER_S
        return tokens / (self._prefill_s + prior_s)

    @property
    def decode_s_per_token(self) -> float:
        """Seconds between two tokens of a generation."""
        tokens = self._decoded_tokens + PRIOR_DECODE_TOKENS
        prior_s = PRIOR_DECODE_TOKENS * PRIOR_DECODE_S_PER_TOKEN
        return (self._decode_s + prior_s) / tokens

    @property
    def decode_s(self) -> float:
        """Time for which a generation decodes; 0 before any request has arrived."""
        if not self._arrivals:
            return 0.0
        return self._output_tokens / self._arrivals * self.decode_s_per_token

    @property
    def typical(self) -> tuple[int, int]:
        """Average prompt and output, in tokens; 0 before any request has arrived."""
        if not self._arrivals:
            return 0, 0
        return (
            round(self._prompt_tokens / self._arrivals),
            round(self._output_tokens / self._arrivals),
        )

    def observe_arrival(self, prompt: int, output: int, now: float) -> None:
        """Add a request: the tokens of its prompt and of its expected output."""
        self._decay(now)
        self._arrivals += 1
        self._prompt_tokens += prompt
        self._output_tokens += output

    def observe_decode(self, tokens: int, seconds: float, now: float) -> None:
        """Add decoded tokens of one generation and the time that they took."""
        self._decay(now)
        self._decoded_tokens += tokens
        self._decode_s += seconds
        self._has_enough_data = self._has_enough_data or (
            self._arrivals >= MIN_ARRIVALS
            and self._decoded_tokens >= MIN_DECODED_TOKENS
        )

    def observe_prefill(self, tokens: float, seconds: float, now: float) -> None:
        """Add the tokens of a prompt that a replica prefilled, and the time it took."""
        self._decay(now)
        self._prefilled_tokens += tokens
        self._prefill_s += seconds

    def profile(self) -> GenerationProfile | None:
        """Return the averages; None while there are too few observations."""
        if not self.has_enough_data:
            return None
        return GenerationProfile(
            self._prompt_tokens / self._arrivals,
            self._output_tokens / self._arrivals,
            self.decode_s_per_token,
            self.prefill_tokens_per_s,
        )

    def adopt(self, profile: GenerationProfile, now: float) -> None:
        """Start from an earlier profile, unless there is enough data."""
        if not self.has_enough_data:
            self.replace(profile, now)

    def replace(self, profile: GenerationProfile, now: float) -> None:
        """Replace the statistics by the profile of another daemon."""
        for name in _SUMS:
            setattr(self, name, 0.0)
        self._decay(now)
        self._arrivals += MIN_ARRIVALS
        self._prompt_tokens += MIN_ARRIVALS * profile.prompt_tokens
        self._output_tokens += MIN_ARRIVALS * profile.output_tokens
        self._decoded_tokens += MIN_DECODED_TOKENS
        self._decode_s += MIN_DECODED_TOKENS * profile.decode_s_per_token
        prefilled = MIN_ARRIVALS * profile.prompt_tokens
        self._prefilled_tokens += prefilled
        self._prefill_s += prefilled / profile.prefill_tokens_per_s
        self._has_enough_data = True

    def _decay(self, now: float) -> None:
        factor = math.exp2(-max(0.0, now - self._at) / HALF_LIFE_S)
        self._at = max(self._at, now)
        for name in _SUMS:
            setattr(self, name, getattr(self, name) * factor)
