"""Straight lines through measured figures."""

from collections.abc import Sequence

from msgspec import Struct


class Line(Struct, frozen=True, kw_only=True):
    """``fixed + slope * size``, by least squares."""

    fixed: float
    slope: float

    def at(self, size: float) -> float:
        """Value at a size, never below 0."""
        return max(self.fixed + self.slope * size, 0)


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line; a single point gives a constant.

    :param points: pairs of size and value.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return Line(fixed=mean_y, slope=0)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Line(fixed=mean_y - slope * mean_x, slope=slope)
