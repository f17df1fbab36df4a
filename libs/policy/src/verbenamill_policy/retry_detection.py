"""Detection of retries by the timeout that a request states."""

from verbenamill_model.typing import RouteName

#: Maximum number of routes, and of distinct timeouts of one route, that are
#: remembered.
MAX_ROUTES = 256
_MAX_VALUES = 8
#: Share of a timeout's count that is retained at each request.
_RETAINED_SHARE = 0.98
#: Share of a route's requests that have to state the same timeout for it to
#: be considered the timeout of first attempts.
_MIN_COMMON_SHARE = 0.3
#: Minimum number of requests of a route from which conclusions are drawn.
_MIN_REQUESTS = 10


class _Timeouts:
    """Recent frequency of the timeouts that callers of one route state."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._requests = 0

    def add(self, timeout_ms: int) -> None:
        self._requests += 1
        for value in self._counts:
            self._counts[value] *= _RETAINED_SHARE
        if timeout_ms not in self._counts and len(self._counts) >= _MAX_VALUES:
            self._counts.pop(min(self._counts, key=self._counts.__getitem__))
        self._counts[timeout_ms] = (
            self._counts.get(timeout_ms, 0) + 1 - _RETAINED_SHARE
        )

    def initial(self) -> int | None:
        """Timeout of first attempts; ``None`` if no timeout is common."""
        if self._requests < _MIN_REQUESTS:
            return None
        common = max(self._counts, key=self._counts.__getitem__)
        # The counts of all values add up to this total.
        total = 1 - _RETAINED_SHARE**self._requests
        return (
            common
            if self._counts[common] >= _MIN_COMMON_SHARE * total
            else None
        )


class RetryDetector:
    """Detects requests that were refused before and are retried.

    The first attempts of a route state the same timeout, as configured in the
    calling program; retries state what is left of it. Treated as new requests,
    retries would compete with requests that can still be answered in time, and
    in overload each answer in time would be traded for a late one.
    """

    def __init__(self) -> None:
        self._routes: dict[RouteName, _Timeouts] = {}

    def time_since_first_attempt(
        self, route: RouteName, timeout_ms: int
    ) -> float:
        """Time since the first attempt of a request, in seconds.

        :param timeout_ms: timeout that the request states, in milliseconds.
        """
        timeouts = self._routes.get(route)
        if timeouts is None:
            if len(self._routes) >= MAX_ROUTES:
                return 0
            timeouts = self._routes.setdefault(route, _Timeouts())
        timeouts.add(timeout_ms)
        initial = timeouts.initial()
        if initial is None:
            return 0
        return max(initial - timeout_ms, 0) / 1000
