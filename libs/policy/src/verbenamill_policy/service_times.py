"""Moving averages of the time that requests take at an upstream."""

from math import erf, exp, log, sqrt

from verbenamill_model.typing import RouteName

#: Minimum weight of the newest request in a mean.
MIN_WEIGHT = 0.1
#: Half-life of a route's mean, in seconds. An upstream that was slow gets few
#: requests. With a weight for each request alone, about 20 of them would be
#: needed to show that it has recovered; until then its owner refuses requests
#: and the other daemons avoid it. With the half-life, one or two requests a
#: second are enough.
HALF_LIFE = 1.0
#: Weight of the newest request in the variance, which a single long time
#: would otherwise change too much.
_VARIANCE_WEIGHT = 0.03
#: Service time assumed before the first request of a route, as a share of its
#: latency objective. Operators set an objective to three to four times the
#: usual service time. With a fixed time instead, a daemon that has just
#: started would admit several times too many long requests.
PRIOR_OBJECTIVE_SHARE = 0.3
#: Mean over all routes before the first request, in seconds.
INITIAL_MEAN = 0.05
#: Standard deviation of the logarithm of a route's times before the first
#: request: a factor of about two in both directions.
INITIAL_LOG_DEVIATION = 0.6
#: Bounds of this deviation. A few equal times do not make the next one
#: certain.
_MIN_LOG_DEVIATION = 0.3
_MAX_LOG_DEVIATION = 1.2
#: Maximum number of routes with separate averages.
MAX_ROUTES = 64


class _RouteTimes:
    """Mean time of one route, and the variance of its logarithm."""

    __slots__ = ('mean', 'variance', '_updated_at')

    def __init__(self, took: float, now: float) -> None:
        self.mean = took
        self.variance = INITIAL_LOG_DEVIATION**2
        self._updated_at = now

    def add(self, took: float, now: float, half_life: float) -> None:
        median = self.mean * exp(-self.variance / 2)
        deviation = log(max(took, 0.001) / max(median, 0.001))
        self.variance += _VARIANCE_WEIGHT * (deviation**2 - self.variance)
        self.variance = min(self.variance, _MAX_LOG_DEVIATION**2)
        decayed = 1 - pow(2, -max(now - self._updated_at, 0) / half_life)
        self.mean += max(MIN_WEIGHT, decayed) * (took - self.mean)
        self._updated_at = now


class ServiceTimes:
    """Mean service time of each route and of all routes, in seconds.

    :param half_life: half-life of the mean of a route, in seconds.
    """

    def __init__(self, *, half_life: float = HALF_LIFE) -> None:
        self._half_life = half_life
        self._routes: dict[RouteName, _RouteTimes] = {}
        self._mean: float | None = None

    @property
    def mean(self) -> float:
        """Mean over all routes."""
        return INITIAL_MEAN if self._mean is None else self._mean

    def expect(self, route: RouteName, *, objective: float = 0) -> float:
        """Expected service time of a request.

        :param objective: latency objective of the route in seconds, from
            which the time of an unknown route is estimated. It is 0 if it is
            not known, and negative if only the remaining time to it is known
            and has passed.
        """
        known = self._routes.get(route)
        if known is not None:
            return known.mean
        return PRIOR_OBJECTIVE_SHARE * objective if objective > 0 else self.mean

    def log_deviation(self, route: RouteName) -> float:
        """Standard deviation of the logarithm of a route's times."""
        known = self._routes.get(route)
        if known is None:
            return INITIAL_LOG_DEVIATION
        return max(sqrt(known.variance), _MIN_LOG_DEVIATION)

    def add(self, route: RouteName, took: float, now: float) -> None:
        """Record the service time of an answered request.

        :param now: time on the monotonic clock, in seconds.
        """
        known = self._routes.get(route)
        if known is not None:
            known.add(took, now, self._half_life)
        elif len(self._routes) < MAX_ROUTES:
            self._routes[route] = _RouteTimes(took, now)
        before = took if self._mean is None else self._mean
        self._mean = before + MIN_WEIGHT * (took - before)


#: Probability of an answer by the deadline below which a request is hopeless.
_HOPELESS_PROBABILITY = 0.1


def is_hopeless(mean: float, log_deviation: float, left: float) -> bool:
    """Whether an answer within ``left`` seconds is too unlikely to try.

    :param mean: mean of the service times, in seconds.
    :param log_deviation: standard deviation of their logarithm.
    """
    chance = probability_within(mean, log_deviation, left)
    return chance < _HOPELESS_PROBABILITY


def probability_within(mean: float, log_deviation: float, left: float) -> float:
    """Probability that a service time is at most ``left`` seconds.

    Service times are modelled as log-normal: most are short, and a few are
    several times longer.

    :param mean: mean of the service times, in seconds.
    :param log_deviation: standard deviation of their logarithm.
    """
    if left <= 0:
        return 0
    median = max(mean, 0.001) * exp(-log_deviation * log_deviation / 2)
    return (1 + erf(log(left / median) / (log_deviation * sqrt(2)))) / 2
