"""How long an answer will be, by its caller's estimate and the pool's answers so far.

Estimates are often far off: an answer's expected length lies between the estimate and
the usual length. How near to which is a regression between their logarithms, which
starts half-way and follows the answers that have ended.
"""

import math
from dataclasses import dataclass

# Part of an estimate's deviation that is believed before answers have ended, and the
# number of answers for which that counts.
PRIOR_SLOPE = 0.5
PRIOR_ANSWERS = 20.0
# Variances of logarithms that count for as many.
PRIOR_HINT_VARIANCE = 0.5
PRIOR_RESIDUAL_VARIANCE = 0.15


@dataclass(frozen=True)
class HintFit:
    """The regression: means of both logarithms, slope, and variance of the rest."""

    mean_hint: float
    mean_answer: float
    slope: float
    residual_variance: float


class HintModel:
    """Sums over estimates that came and over answers that ended."""

    def __init__(self):
        self._arrivals = 0
        self._arrived_hints = 0.0
        self._answers = 0
        self._hints = 0.0
        self._lengths = 0.0
        self._hints_squared = 0.0
        self._lengths_squared = 0.0
        self._products = 0.0

    def observe_arrival(self, hint: int) -> None:
        """Count an estimate, in tokens."""
        self._arrivals += 1
        self._arrived_hints += math.log(max(1, hint))

    def observe_finished(self, hint: int, tokens: int) -> None:
        """Count an answer of ``tokens`` that was estimated at ``hint``."""
        x = math.log(max(1, hint))
        y = math.log(max(1, tokens))
        self._answers += 1
        self._hints += x
        self._lengths += y
        self._hints_squared += x * x
        self._lengths_squared += y * y
        self._products += x * y

    def expected_tokens(self, hint: int) -> float:
        """Return the mean length of answers that are estimated at ``hint``."""
        if self._arrivals == 0:
            return float(hint)
        fit = self._fit()
        logarithm = fit.mean_answer + fit.slope * (
            math.log(max(1, hint)) - fit.mean_hint
        )
        return math.exp(logarithm + fit.residual_variance / 2)

    @property
    def spread(self) -> float:
        """Standard deviation of an answer's length, in parts of what is expected."""
        if self._arrivals == 0:
            return math.sqrt(math.expm1(PRIOR_RESIDUAL_VARIANCE))
        return math.sqrt(math.expm1(self._fit().residual_variance))

    def _fit(self) -> HintFit:
        """Return the regression; the prior is a cloud around the usual estimate."""
        typical = self._arrived_hints / self._arrivals
        weight = self._answers + PRIOR_ANSWERS
        mean_hint = (self._hints + PRIOR_ANSWERS * typical) / weight
        mean_answer = (self._lengths + PRIOR_ANSWERS * typical) / weight
        prior_xx = PRIOR_ANSWERS * (PRIOR_HINT_VARIANCE + typical * typical)
        prior_xy = PRIOR_ANSWERS * (
            PRIOR_SLOPE * PRIOR_HINT_VARIANCE + typical * typical
        )
        prior_yy = PRIOR_ANSWERS * (
            PRIOR_SLOPE**2 * PRIOR_HINT_VARIANCE
            + PRIOR_RESIDUAL_VARIANCE
            + typical * typical
        )
        variance = (self._hints_squared + prior_xx) / weight - mean_hint**2
        covariance = (self._products + prior_xy) / weight - mean_hint * mean_answer
        spread = (self._lengths_squared + prior_yy) / weight - mean_answer**2
        slope = covariance / variance
        return HintFit(
            mean_hint, mean_answer, slope, max(0.0, spread - slope * covariance)
        )
