"""How long ago a caller first asked, told by the time it still gives."""

from verbenamill_model.typing import RouteName

#: Routes and values of one route that are remembered.
MAX_ROUTES = 256
_MAX_VALUES = 8
#: Part of a value's count that is kept at each request.
_FADE = 0.98
#: Part of the requests of a route that give the same time, from which on it
#: is taken for what callers give at first.
_COMMON = 0.3
#: Requests of a route without which nothing is concluded.
_FEW = 10


class _Values:
    """The times that callers of one route give, and how often of late."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._seen = 0

    def add(self, told: int) -> None:
        self._seen += 1
        for value in self._counts:
            self._counts[value] *= _FADE
        if told not in self._counts and len(self._counts) >= _MAX_VALUES:
            self._counts.pop(min(self._counts, key=self._counts.__getitem__))
        self._counts[told] = self._counts.get(told, 0) + 1 - _FADE

    def usual(self) -> int | None:
        """What callers give at first; ``None`` if no time is common."""
        if self._seen < _FEW:
            return None
        common = max(self._counts, key=self._counts.__getitem__)
        # The counts of all values add up to this much after some requests.
        total = 1 - _FADE**self._seen
        return common if self._counts[common] >= _COMMON * total else None


class RetryDetector:
    """Recognises callers that were refused and came back.

    Callers of a route give the same time at first, as their program sets it,
    and what is left of it when they come back. Taken for new, those who come
    back would compete with callers that can still be answered in time, and
    in overload each answer in time would be traded for a late one.
    """

    def __init__(self) -> None:
        self._routes: dict[RouteName, _Values] = {}

    def time_since_first_attempt(self, route: RouteName, told: int) -> float:
        """How long ago the caller of a request first asked, in seconds.

        :param told: time that it gives, in milliseconds.
        """
        values = self._routes.get(route)
        if values is None:
            if len(self._routes) >= MAX_ROUTES:
                return 0
            values = self._routes.setdefault(route, _Values())
        values.add(told)
        usual = values.usual()
        if usual is None:
            return 0
        return max(usual - told, 0) / 1000
