"""Which services a route's requests call while they run, and their room."""

from math import pow

from verbenamill_model.typing import RouteName, ServiceName

#: Routes whose nested calls are remembered.
MAX_ROUTES = 256
#: Weight of the newest request in the share that makes a call.
_WEIGHT = 0.05
#: A route that makes calls less often than this is served without a look.
_LEAST_SHARE = 0.2
#: Weight of the newest call in the share that is refused.
_REFUSAL_WEIGHT = 0.2
#: Share of refused calls from which on requests that make them are refused.
_FULL = 0.5
#: After this long without a call, half of the refusals are forgotten, in s:
#: only requests that run make calls, and only calls can show room.
_REFUSALS_HALVE = 0.5


class NestedCall:
    """A call that requests of some route make.

    :ivar share: part of the requests that make it, as a moving average.
    :ivar refused: part of the calls that found no room, as a moving average.
    """

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.share = float(0)
        self.refused = float(0)
        self._told_at = float(0)

    def record_outcome(self, *, refused: bool, now: float) -> None:
        """Take in whether a call found no room."""
        known = self.expect_refusal(now)
        self.refused = known + _REFUSAL_WEIGHT * (float(refused) - known)
        self._told_at = now

    def expect_refusal(self, now: float) -> float:
        """Part of the calls that would find no room now."""
        age = max(now - self._told_at, 0)
        return self.refused * pow(2, -age / _REFUSALS_HALVE)

    def has_room(self, now: float) -> bool:
        """Whether a request that makes this call should run.

        A request whose call will be refused holds a slot and fails in the
        end. Refused before it runs, it costs nothing and may come back.

        It is judged by what became of the last calls, not by the queue of
        the called service: who waits there may be less urgent than a call.
        Judged by the queue, an idle upstream refused everything that it was
        sent, which was much, since it was idle.
        """
        return self.expect_refusal(now) < _FULL


class NestedCallTracker:
    """Learns from the calls that pass by."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, dict[ServiceName, NestedCall]] = {}

    def record_call(self, parent: RouteName, service: ServiceName) -> None:
        """A request of a route has made a call."""
        if parent not in self._routes and len(self._routes) >= MAX_ROUTES:
            return
        calls = self._routes.setdefault(parent, {})
        calls.setdefault(service, NestedCall(service)).share += _WEIGHT

    def record_outcome(
        self,
        parent: RouteName,
        service: ServiceName,
        *,
        refused: bool,
        now: float,
    ) -> None:
        """A call that a request of a route has made is over."""
        call = self._routes.get(parent, {}).get(service)
        if call is not None:
            call.record_outcome(refused=refused, now=now)

    def record_end(self, route: RouteName) -> None:
        """A request of a route has ended."""
        for call in self._routes.get(route, {}).values():
            call.share *= 1 - _WEIGHT

    def calls_of(self, route: RouteName) -> list[NestedCall]:
        """Calls that a route's requests commonly make."""
        calls = self._routes.get(route)
        if not calls:
            return []
        return [call for call in calls.values() if call.share >= _LEAST_SHARE]
