"""Which services a route's requests call while they run."""

from collections.abc import Iterable

from verbenamill_model.typing import RouteName, ServiceName
from verbenamill_policy.placement import Owner, Wish, forecast

#: Routes whose nested calls are remembered.
MAX_ROUTES = 256
#: Weight of the newest request in the share that makes a call.
_WEIGHT = 0.05
#: A route that makes calls less often than this is served without a look.
_LEAST_SHARE = 0.2


class NestedCall:
    """A call that requests of some route make.

    :ivar share: part of the requests that make it, as a moving average.
    :ivar usual: its service time, in seconds.
    :ivar objective: its latency objective, in seconds.
    :ivar expected: time of an answer when last looked at, in seconds;
        infinite if no owner could be reached.
    """

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.share = float(0)
        self.usual = float(0)
        self.objective = float(0)
        self.expected = float('inf')


class Nesting:
    """Learns from the calls that pass by."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, dict[ServiceName, NestedCall]] = {}

    def tell_call(
        self,
        parent: RouteName,
        service: ServiceName,
        *,
        usual: float,
        objective: float,
    ) -> None:
        """A request of a route has made a call."""
        if parent not in self._routes and len(self._routes) >= MAX_ROUTES:
            return
        calls = self._routes.setdefault(parent, {})
        call = calls.setdefault(service, NestedCall(service))
        call.share += _WEIGHT
        call.usual = usual
        call.objective = objective

    def tell_end(self, route: RouteName) -> None:
        """A request of a route has ended."""
        for call in self._routes.get(route, {}).values():
            call.share *= 1 - _WEIGHT

    def calls_of(self, route: RouteName) -> list[NestedCall]:
        """Calls that a route's requests commonly make."""
        calls = self._routes.get(route)
        if not calls:
            return []
        return [call for call in calls.values() if call.share >= _LEAST_SHARE]


def has_room(call: NestedCall, owners: Iterable[Owner], now: float) -> bool:
    """Whether some owner can be expected to answer a nested call in time.

    A request whose nested call will be refused holds a slot and fails in the
    end. Refused before it runs, it costs nothing and may come back.

    Room is a matter of the queue. Where a slot is free, a call that takes
    long is no reason to refuse: the time that is remembered would never be
    measured again, since only requests that run make calls, and an idle
    upstream would go on refusing everything that it is sent.
    """
    wish = Wish(
        usual=call.usual,
        left=call.objective,
    )
    expected = [
        forecast(owner, wish, now)
        for owner in owners
        if owner.down_until <= now
    ]
    call.expected = min((one.time for one in expected), default=float('inf'))
    if call.expected <= call.objective:
        return True
    return any(one.wait <= 0 for one in expected)
