"""Linear fit of measurements at several sizes."""

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Slope:
    """Measurements along one axis and the least-squares line through them.

    Attributes:
        name: Name of the measured quantity.
        axis: Quantity that the sizes count.
        unit: Unit of the values.
        sizes: Sizes at which it was measured.
        values: Measured value at each size.
        target_size: Size that the users expect in two years.
    """

    name: str
    axis: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    target_size: float

    @property
    def line(self) -> tuple[float, float]:
        """Gradient and intercept of the least-squares line."""
        gradient, intercept = np.polyfit(self.sizes, self.values, 1)
        return float(gradient), float(intercept)

    @property
    def residual(self) -> float:
        """Largest distance of a value from the line, as a part of the largest value."""
        distances = [
            abs(value - self.at(size))
            for size, value in zip(self.sizes, self.values, strict=True)
        ]
        return max(distances) / max(max(map(abs, self.values)), 1e-12)

    @property
    def at_target(self) -> float:
        """Value of the line at the target size."""
        return self.at(self.target_size)

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        gradient, intercept = self.line
        return gradient * size + intercept
