"""How long requests take at an upstream, as moving averages."""

from verbenamill_model.typing import RouteName

#: Weight of the newest request.
WEIGHT = 0.1
#: Assumed before any request was seen, in seconds.
FIRST = 0.05
#: Routes told apart; the others count together.
MAX_ROUTES = 64


class ServiceTimes:
    """Mean service time of each route and of all, in seconds."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, float] = {}
        self._mean: float | None = None

    @property
    def mean(self) -> float:
        """Mean over all routes."""
        return FIRST if self._mean is None else self._mean

    def expect(self, route: RouteName) -> float:
        """Expected time of a request."""
        return self._routes.get(route, self.mean)

    def add(self, route: RouteName, took: float) -> None:
        """Count a request that was answered."""
        known = self._routes.get(route)
        if known is not None:
            self._routes[route] = known + WEIGHT * (took - known)
        elif len(self._routes) < MAX_ROUTES:
            self._routes[route] = took
        before = took if self._mean is None else self._mean
        self._mean = before + WEIGHT * (took - before)
