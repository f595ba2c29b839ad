"""Regression of the logarithm of run times on that of their estimates."""

from dataclasses import dataclass
from typing import NamedTuple

MEMORY = 60.0  # weight after which an observation counts 1/e
# Strength of the assumed slope: as of four observations with the usual spread of
# run times (a standard deviation of 0.5 in logarithms).
SLOPE_STRENGTH = 4 * 0.5**2
CLIP = 1.2  # an outlier counts as if it were off by a factor of 3.3
MIN_WEIGHT_TO_CLIP = 5.0  # before, the expectation may be wrong itself


class Line(NamedTuple):
    """Expected logarithm of the run time by that of the estimate.

    Attributes:
        offset: Its value where the estimate is 1 s.
        slope: Weight of the estimate, 0 to 1.
    """

    offset: float
    slope: float

    def at(self, x: float) -> float:
        """Return the expected logarithm of the run time."""
        return self.offset + self.slope * x


ESTIMATE_ITSELF = Line(0.0, 1.0)


@dataclass(slots=True)
class Regression:
    """Weighted moments of estimates and run times in logarithms; old ones fade.

    Attributes:
        weight: Total weight of the observations.
        mean_x: Mean logarithm of the estimates.
        mean_y: Mean logarithm of the run times.
        square_x: Weighted sum of squares of the estimates around their mean.
        product: Weighted sum of products of both around their means.
    """

    weight: float = 0.0
    mean_x: float = 0.0
    mean_y: float = 0.0
    square_x: float = 0.0
    product: float = 0.0

    def add(self, x: float, y: float, weight: float) -> None:
        """Add an observation.

        Args:
            x: Logarithm of the estimate.
            y: Logarithm of the run time.
            weight: Weight of the observation.
        """
        kept = max(0.0, 1 - weight / MEMORY)
        self.weight = kept * self.weight + weight
        part = weight / self.weight
        off_x, off_y = x - self.mean_x, y - self.mean_y
        self.mean_x += part * off_x
        self.mean_y += part * off_y
        self.square_x = kept * self.square_x + weight * off_x * (x - self.mean_x)
        self.product = kept * self.product + weight * off_x * (y - self.mean_y)

    def line(self, prior: Line, strength: float) -> Line:
        """Return the regression line, pulled towards a prior one.

        Args:
            prior: Line to use without observations.
            strength: Weight of the prior in the level, in observations; the slope
                is pulled in proportion.
        """
        slope_strength = SLOPE_STRENGTH * strength
        slope = (self.product + slope_strength * prior.slope) / (
            self.square_x + slope_strength
        )
        slope = min(1.0, max(0.0, slope))
        level = self.weight * self.mean_y + strength * prior.at(self.mean_x)
        level /= self.weight + strength
        return Line(level - slope * self.mean_x, slope)

    def clipped(self, residual: float) -> float:
        """Return a residual, limited if there are enough observations to judge it."""
        if self.weight < MIN_WEIGHT_TO_CLIP:
            return residual
        return min(CLIP, max(-CLIP, residual))
