"""Expected waits in the queue of an upstream with reserved slots."""

from collections.abc import Collection

from verbenamill_model.typing import RouteName
from verbenamill_policy.reservations import KindRequest, SlotReservations

#: Route and priority of a request.
_KindKey = tuple[RouteName, int]


class _Group:
    """Queued requests of one kind.

    :ivar example: the first of them.
    :ivar work: sum of their expected service times, in seconds.
    """

    __slots__ = ('example', 'count', 'work')

    def __init__(self, example: KindRequest) -> None:
        self.example = example
        self.count = 0
        self.work = float(0)


class _Prospects:
    """Slots that requests of one kind wait for.

    :ivar limit: slots that they may hold on average.
    :ivar free: number of these that are free.
    :ivar delay: time until the next one becomes free, in seconds.
    :ivar is_behind: whether they wait for those of another kind ahead of them.
    """

    __slots__ = ('limit', 'free', 'delay', 'is_behind')

    def __init__(self, limit: float, free: float, delay: float) -> None:
        self.limit = limit
        self.free = free
        self.delay = delay
        self.is_behind: dict[_KindKey, bool] = {}


class ReservedQueue:
    """Expected waits of queued requests for the slots that they may hold.

    Of the requests ahead, those of more urgent kinds use reserved slots, and
    those of kinds that may hold fewer slots do not get them earlier.

    :param running: requests that hold slots.
    :param slots: number of slots of the upstream.
    """

    def __init__(
        self,
        reservations: SlotReservations,
        running: Collection[KindRequest],
        *,
        slots: int,
        now: float,
    ) -> None:
        self._reservations = reservations
        self._running = running
        self._slots = slots
        self._now = now
        self._groups: dict[_KindKey, _Group] = {}
        self._prospects: dict[_KindKey, _Prospects] = {}

    def add(self, request: KindRequest) -> None:
        """Add a request to the end of the queue."""
        key = (request.route, request.priority)
        group = self._groups.get(key)
        if group is None:
            group = _Group(request)
            self._groups[key] = group
        group.count += 1
        group.work += request.expected

    def wait(self, request: KindRequest) -> float:
        """Expected wait of a request behind all of the queue, in seconds."""
        prospects = self._find_prospects(request)
        count = 0
        work = float(0)
        for key, group in self._groups.items():
            is_behind = prospects.is_behind.get(key)
            if is_behind is None:
                is_behind = self._is_behind(request, group.example)
                prospects.is_behind[key] = is_behind
            if is_behind:
                count += group.count
                work += group.work
        if count + 1 <= prospects.free:
            return 0
        return prospects.delay + work / max(prospects.limit, 1)

    def _find_prospects(self, request: KindRequest) -> _Prospects:
        key = (request.route, request.priority)
        known = self._prospects.get(key)
        if known is None:
            limit = self._limit(request)
            rivals = self._reservations.filter_rivals(request, self._running)
            free = min(limit - len(rivals), self._slots - len(self._running))
            holders = rivals if len(rivals) >= int(limit) else self._running
            known = _Prospects(limit, free, time_to_free_slot(holders))
            self._prospects[key] = known
        return known

    def _limit(self, request: KindRequest) -> float:
        return min(self._reservations.limit(request, self._now), self._slots)

    def _is_behind(self, request: KindRequest, ahead: KindRequest) -> bool:
        if not self._reservations.filter_rivals(request, [ahead]):
            return False
        return self._limit(ahead) >= self._limit(request)


def time_to_free_slot(running: Collection[KindRequest]) -> float:
    """Expected time until the next of some runs ends, in seconds.

    Each of them is assumed to end at a rate of one in its expected time.
    """
    rate = sum(1 / max(one.expected, 0.001) for one in running)
    return 1 / rate if rate else 0
