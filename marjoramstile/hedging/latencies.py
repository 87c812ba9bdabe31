"""The tail of a service's latencies, learned from its recent answers."""

import math

# Bins grow by this factor: a quantile is at most 10% too high.
BIN_GROWTH = 1.1
LOWEST_S = 0.001
# Up to about 100 s, above all timeouts of plain calls.
BINS = 122
# Answers after which the weight of one has halved. Counted in answers and not in
# seconds: a VM may get less than one call a second of a service.
HALF_LIFE_ANSWERS = 256
# Weight at which all weights are scaled down, far below the largest float.
WEIGHT_MAX = 1e12
# Answers beyond a quantile that must have been seen for it to be known.
TAIL_ANSWERS_MIN = 2.0

_GROWTH_PER_ANSWER = math.exp2(1 / HALF_LIFE_ANSWERS)


class LatencyTail:
    """A histogram of latencies with logarithmic bins that forgets exponentially."""

    def __init__(self):
        self._bins = [0.0] * BINS
        self._total = 0.0
        self._weight = 1.0

    @property
    def answers(self) -> float:
        """Answers that are remembered; older ones count less."""
        return self._total / self._weight

    def record(self, latency_s: float) -> None:
        """Add the latency of an answer."""
        self._weight *= _GROWTH_PER_ANSWER
        self._bins[_bin(latency_s)] += self._weight
        self._total += self._weight
        if self._weight > WEIGHT_MAX:
            self._scale_down()

    def quantile(self, share: float) -> float | None:
        """Return the latency below which ``share`` of the answers were, in seconds.

        None while too few answers beyond it were seen.
        """
        beyond = (1 - share) * self._total
        if beyond < TAIL_ANSWERS_MIN * self._weight:
            return None
        seen = 0.0
        for number in range(BINS - 1, -1, -1):
            seen += self._bins[number]
            if seen >= beyond:
                return LOWEST_S * BIN_GROWTH ** (number + 1)
        return None

    def _scale_down(self) -> None:
        self._bins = [weight / self._weight for weight in self._bins]
        self._total /= self._weight
        self._weight = 1.0


def _bin(latency_s: float) -> int:
    if latency_s <= LOWEST_S:
        return 0
    return min(BINS - 1, int(math.log(latency_s / LOWEST_S) / math.log(BIN_GROWTH)))
