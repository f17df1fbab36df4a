"""Services that a route's requests call while they run, and their capacity."""

from math import pow

from verbenamill_model.typing import RouteName, ServiceName

#: Maximum number of routes whose nested calls are tracked.
MAX_ROUTES = 256
#: Weight of the newest request in the share of requests that make a call.
_CALL_WEIGHT = 0.05
#: A call that a smaller share of a route's requests makes is ignored when
#: requests of that route are admitted.
_MIN_CALL_SHARE = 0.2
#: Weight of the newest call in the share of refused calls.
_REFUSAL_WEIGHT = 0.2
#: Share of refused calls from which on requests that make them are refused.
_FULL_REFUSAL_SHARE = 0.5
#: Half-life of the share of refused calls while there are no calls, in
#: seconds. Only running requests make calls, and only calls can show that the
#: service has capacity again.
_REFUSAL_HALF_LIFE = 0.5


class NestedCall:
    """A call that requests of a route make.

    :ivar share: share of the requests that make the call, as a moving average.
    :ivar refused: share of the calls that were refused for lack of capacity,
        as a moving average.
    """

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.share = float(0)
        self.refused = float(0)
        self._updated_at = float(0)

    def record_outcome(self, *, refused: bool, now: float) -> None:
        """Record whether a call was refused for lack of capacity."""
        known = self.expect_refusal(now)
        self.refused = known + _REFUSAL_WEIGHT * (float(refused) - known)
        self._updated_at = now

    def expect_refusal(self, now: float) -> float:
        """Expected share of calls that would be refused now."""
        age = max(now - self._updated_at, 0)
        return self.refused * pow(2, -age / _REFUSAL_HALF_LIFE)

    def has_room(self, now: float) -> bool:
        """Whether a request that makes this call should run.

        A request whose call will be refused holds a slot and fails in the
        end. Refused before it runs, it costs nothing and may be retried.

        The decision uses the outcome of the last calls and not the queue of
        the called service, since the requests in that queue may be less
        urgent than the call. Judged by the queue, an idle upstream refused
        all requests, and attracted many of them because it was idle.
        """
        return self.expect_refusal(now) < _FULL_REFUSAL_SHARE


class NestedCallTracker:
    """Learns the nested calls of each route from observed calls."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, dict[ServiceName, NestedCall]] = {}

    def record_call(self, parent: RouteName, service: ServiceName) -> None:
        """Record that a request of a route has made a call."""
        if parent not in self._routes and len(self._routes) >= MAX_ROUTES:
            return
        calls = self._routes.setdefault(parent, {})
        calls.setdefault(service, NestedCall(service)).share += _CALL_WEIGHT

    def record_outcome(
        self,
        parent: RouteName,
        service: ServiceName,
        *,
        refused: bool,
        now: float,
    ) -> None:
        """Record the outcome of a call made by a request of a route."""
        call = self._routes.get(parent, {}).get(service)
        if call is not None:
            call.record_outcome(refused=refused, now=now)

    def record_end(self, route: RouteName) -> None:
        """Record that a request of a route has ended."""
        for call in self._routes.get(route, {}).values():
            call.share *= 1 - _CALL_WEIGHT

    def calls_of(self, route: RouteName) -> list[NestedCall]:
        """Calls that a considerable share of a route's requests make."""
        calls = self._routes.get(route)
        if not calls:
            return []
        return [
            call for call in calls.values() if call.share >= _MIN_CALL_SHARE
        ]
