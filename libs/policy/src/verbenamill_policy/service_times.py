"""How long requests take at an upstream, as moving averages."""

from math import erf, exp, log, sqrt

from verbenamill_model.typing import RouteName

#: Least weight of the newest request.
WEIGHT = 0.1
#: After this long, half of what was measured before is forgotten, in seconds.
#: An upstream that was slow gets few requests. By number alone it would take
#: some 20 of them to show that it has recovered, and until then its owner
#: refuses and the others avoid it; one or two a second are enough so.
HALVES = 1.0
#: The same for the spread, which a single long time would move too far.
_SPREAD_WEIGHT = 0.03
#: Assumed before the first request of a route, as a part of its latency
#: objective. Operators set an objective at three to four times the usual
#: service time. A fixed time in its place would let a daemon that has just
#: started admit several times too much long work.
PRIOR_SHARE = 0.3
#: Mean of all routes while nothing is known, in seconds.
FIRST = 0.05
#: Spread of a route's times (standard deviation of their logarithm) while
#: nothing is known: a factor of about two either way.
FIRST_SPREAD = 0.6
#: Bounds of the spread; a few equal times do not make the next one certain.
_LEAST_SPREAD = 0.3
_MOST_SPREAD = 1.2
#: Routes told apart; the others count together.
MAX_ROUTES = 64


class _Route:
    """Mean time of one route, and the variance of its logarithm."""

    __slots__ = ('mean', 'variance', '_at')

    def __init__(self, took: float, now: float) -> None:
        self.mean = took
        self.variance = FIRST_SPREAD**2
        self._at = now

    def add(self, took: float, now: float, half_life: float) -> None:
        median = self.mean * exp(-self.variance / 2)
        deviation = log(max(took, 0.001) / max(median, 0.001))
        self.variance += _SPREAD_WEIGHT * (deviation**2 - self.variance)
        self.variance = min(self.variance, _MOST_SPREAD**2)
        forgotten = 1 - pow(2, -max(now - self._at, 0) / half_life)
        self.mean += max(WEIGHT, forgotten) * (took - self.mean)
        self._at = now


class ServiceTimes:
    """Service time of each route and of all, in seconds.

    :param half_life: after this long, half of a mean is forgotten, in seconds.
    """

    def __init__(self, *, half_life: float = HALVES) -> None:
        self._halves = half_life
        self._routes: dict[RouteName, _Route] = {}
        self._mean: float | None = None

    @property
    def mean(self) -> float:
        """Mean over all routes."""
        return FIRST if self._mean is None else self._mean

    def expect(self, route: RouteName, *, objective: float = 0) -> float:
        """Expected time of a request.

        :param objective: latency objective of the route in seconds, from
            which a route that was never seen is judged; 0 if not known, and
            below where only what is left of it is known, and that is over.
        """
        known = self._routes.get(route)
        if known is not None:
            return known.mean
        return PRIOR_SHARE * objective if objective > 0 else self.mean

    def log_deviation(self, route: RouteName) -> float:
        """Standard deviation of the logarithm of a route's times."""
        known = self._routes.get(route)
        if known is None:
            return FIRST_SPREAD
        return max(sqrt(known.variance), _LEAST_SPREAD)

    def add(self, route: RouteName, took: float, now: float) -> None:
        """Count a request that was answered.

        :param now: on the monotonic clock, in seconds.
        """
        known = self._routes.get(route)
        if known is not None:
            known.add(took, now, self._halves)
        elif len(self._routes) < MAX_ROUTES:
            self._routes[route] = _Route(took, now)
        before = took if self._mean is None else self._mean
        self._mean = before + WEIGHT * (took - before)


def chance(mean: float, log_deviation: float, left: float) -> float:
    """Probability that a time of some mean and spread is at most ``left``.

    Service times are taken as log-normal: most are short, and a few are
    several times longer.
    """
    if left <= 0:
        return 0
    median = max(mean, 0.001) * exp(-log_deviation * log_deviation / 2)
    return (1 + erf(log(left / median) / (log_deviation * sqrt(2)))) / 2
