"""Predicts the length of an output from its caller's estimate (hint) and past outputs.

Estimates are often far off, so that the expected length lies between the estimate and
the typical length. A linear regression of the logarithm of the length on that of the
estimate gives the weights; it starts half-way between both and adapts to the outputs
that have finished.
"""

import math
from dataclasses import dataclass

# Slope of the regression before any output has finished, and the number of outputs as
# which this prior counts.
PRIOR_SLOPE = 0.5
PRIOR_OUTPUTS = 20.0
# Prior variances of the logarithms: of the estimates, and of the lengths around the
# regression line. They have the same weight.
PRIOR_HINT_VARIANCE = 0.5
PRIOR_RESIDUAL_VARIANCE = 0.15


@dataclass(frozen=True)
class HintFit:
    """A fitted regression: means of both logarithms, slope, and residual variance."""

    mean_hint: float
    mean_length: float
    slope: float
    residual_variance: float


class HintModel:
    """Regression from the estimates of requests and the lengths of finished outputs."""

    def __init__(self):
        self._arrivals = 0
        self._arrived_hints = 0.0
        self._outputs = 0
        self._hints = 0.0
        self._lengths = 0.0
        self._hints_squared = 0.0
        self._lengths_squared = 0.0
        self._products = 0.0

    def observe_arrival(self, hint: int) -> None:
        """Add the estimate of a new request, in tokens."""
        self._arrivals += 1
        self._arrived_hints += math.log(max(1, hint))

    def observe_finished(self, hint: int, tokens: int) -> None:
        """Add a finished output of ``tokens`` that was estimated at ``hint``."""
        x = math.log(max(1, hint))
        y = math.log(max(1, tokens))
        self._outputs += 1
        self._hints += x
        self._lengths += y
        self._hints_squared += x * x
        self._lengths_squared += y * y
        self._products += x * y

    def expected_tokens(self, hint: int) -> float:
        """Return the expected length of outputs estimated at ``hint``, in tokens."""
        if self._arrivals == 0:
            return float(hint)
        fit = self._fit()
        logarithm = fit.mean_length + fit.slope * (
            math.log(max(1, hint)) - fit.mean_hint
        )
        return math.exp(logarithm + fit.residual_variance / 2)

    @property
    def spread(self) -> float:
        """Standard deviation of an output's length relative to its expected length."""
        if self._arrivals == 0:
            return math.sqrt(math.expm1(PRIOR_RESIDUAL_VARIANCE))
        return math.sqrt(math.expm1(self._fit().residual_variance))

    def _fit(self) -> HintFit:
        """Return the regression; the prior is centred on the mean of the estimates."""
        typical = self._arrived_hints / self._arrivals
        weight = self._outputs + PRIOR_OUTPUTS
        mean_hint = (self._hints + PRIOR_OUTPUTS * typical) / weight
        mean_length = (self._lengths + PRIOR_OUTPUTS * typical) / weight
        prior_xx = PRIOR_OUTPUTS * (PRIOR_HINT_VARIANCE + typical * typical)
        prior_xy = PRIOR_OUTPUTS * (
            PRIOR_SLOPE * PRIOR_HINT_VARIANCE + typical * typical
        )
        prior_yy = PRIOR_OUTPUTS * (
            PRIOR_SLOPE**2 * PRIOR_HINT_VARIANCE
            + PRIOR_RESIDUAL_VARIANCE
            + typical * typical
        )
        hint_variance = (self._hints_squared + prior_xx) / weight - mean_hint**2
        covariance = (self._products + prior_xy) / weight - mean_hint * mean_length
        length_variance = (self._lengths_squared + prior_yy) / weight - mean_length**2
        slope = covariance / hint_variance
        return HintFit(
            mean_hint,
            mean_length,
            slope,
            max(0.0, length_variance - slope * covariance),
        )
