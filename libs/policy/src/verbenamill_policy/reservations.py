"""Slots of one upstream that are kept free for urgent requests.

A run cannot be preempted. If long runs hold all slots, a short request with a
tight objective waits longer than it can, whatever the order of the queue.
"""

from collections.abc import Callable, Collection, Iterable
from math import exp, inf, log, pow
from typing import Protocol

from verbenamill_model.typing import RouteName

#: Half-life of the rate of arrivals, in seconds.
HALF_LIFE = 1.0
#: Time after which a request that is held back is considered again although
#: no run has ended, in seconds: the rate of urgent requests decays meanwhile.
RECHECK_INTERVAL = HALF_LIFE / 5
#: Time for which the limit of a kind is used before it is computed again, in
#: seconds; it bounds the processor time.
_LIMIT_LIFETIME = HALF_LIFE / 20
#: Share of urgent requests that may be delayed by more than their slack at one
#: owner. Those try other owners, whereas an unused slot is lost.
_MAX_DELAYED_SHARE = 0.4
#: Number of urgent arrivals during a run from which on they are expected.
_MIN_EXPECTED_ARRIVALS = 0.5
#: Mean remainder of the runs in progress, as a share of their service time. A
#: kind with more slack needs no reservation against others of its priority:
#: their service times vary, so that kinds would become urgent by chance.
_MEAN_REMAINDER = 0.5
#: Shortest share of the time for which a further slot is used.
_MIN_TIME_SHARE = 0.1
#: Share of a kind's arrivals that start, relative to that of all arrivals,
#: below which it goes ahead of more urgent ones.
_MIN_SERVED_SHARE = 0.3
#: Half-life of the counts for this share, in seconds. With fewer arrivals, a
#: single start would change the share too much.
_SERVED_HALF_LIFE = 5.0
#: Maximum number of kinds whose arrivals are tracked.
_MAX_KINDS = 64


class KindRequest(Protocol):
    """What decides whether a request gets a slot.

    :ivar expected: expected service time, in seconds.
    """

    route: RouteName
    expected: float

    @property
    def priority(self) -> int:
        """Effective priority; 0 is served first."""

    @property
    def slack(self) -> float:
        """Time that requests of its kind can wait, in seconds."""


class _Counts:
    """Arrivals and starts of requests; both decay.

    :param half_life: in seconds.
    """

    __slots__ = ('updated_at', '_half_life', '_arrivals', '_starts')

    def __init__(self, half_life: float, now: float) -> None:
        self.updated_at = now
        self._half_life = half_life
        self._arrivals = float(0)
        self._starts = float(0)

    @property
    def served_share(self) -> float:
        """Share of the arrivals that started."""
        return self._starts / self._arrivals if self._arrivals else 1

    def add(self, now: float, *, arrivals: int = 0, starts: int = 0) -> None:
        """Count arrivals or starts."""
        decay = self._decay(now)
        self._arrivals = self._arrivals * decay + arrivals
        self._starts = self._starts * decay + starts
        self.updated_at = now

    def arrival_rate(self, now: float) -> float:
        """Arrivals per second."""
        arrivals = self._arrivals * self._decay(now)
        return arrivals * log(2) / self._half_life

    def _decay(self, now: float) -> float:
        return pow(2, -max(now - self.updated_at, 0) / self._half_life)


class _Kind:
    """Requests of one route and priority.

    :ivar expected: expected service time of the newest request, in seconds.
    :ivar slack: time that a request can wait and meet its objective, in
        seconds.
    :ivar urgent: kinds that are more urgent than this one.
    :ivar limit: slots that this kind and others that are not more urgent may
        hold on average; infinite if none is reserved.
    :ivar served: counts of arrivals and starts.
    :ivar extra_at: time from which on they may hold one more than the whole
        number of this limit.
    """

    __slots__ = (
        'priority',
        'expected',
        'slack',
        'urgent',
        'limit',
        'limit_expires',
        'extra_at',
        'served',
        '_arrivals',
    )

    def __init__(self, priority: int, now: float) -> None:
        self.priority = priority
        self.expected = float(0)
        self.slack = inf
        self.urgent: frozenset[_Kind] = frozenset()
        self.limit = inf
        self.limit_expires = now
        self.extra_at = now
        self.served = _Counts(_SERVED_HALF_LIFE, now)
        self._arrivals = _Counts(HALF_LIFE, now)

    def record_arrival(self, request: KindRequest, now: float) -> None:
        """Count an arrival, and update what is known of the kind."""
        self.expected = request.expected
        self.slack = request.slack
        self.served.add(now, arrivals=1)
        self._arrivals.add(now, arrivals=1)

    def rate(self, now: float) -> float:
        """Arrivals per second."""
        return self._arrivals.arrival_rate(now)

    def is_more_urgent(self, other: '_Kind') -> bool:
        """Whether it cannot wait for the other kind's runs, which can wait.

        A kind that cannot meet its objective at all does not delay others of
        the same priority.
        """
        if self.priority != other.priority:
            return (
                self.priority < other.priority and self.slack < other.expected
            )
        return 0 < self.slack < other.slack and (
            self.slack < other.expected * _MEAN_REMAINDER
        )


class SlotReservations:
    """Decides which requests may use the free slots of one upstream.

    For each kind of requests, it finds the number of slots that has to be left
    for more urgent ones from their expected arrivals. With one slot less, more
    of them would be delayed than may be; with this number, fewer. A kind
    therefore uses the last of these slots for a share of the time. Urgent
    requests that find no free slot meanwhile are tried at other owners.

    :param slots: returns the number of slots of the upstream.
    """

    def __init__(self, slots: Callable[[], int]) -> None:
        self._slots = slots
        self._kinds: dict[tuple[RouteName, int], _Kind] = {}
        self._served = _Counts(_SERVED_HALF_LIFE, 0)

    @property
    def is_active(self) -> bool:
        """Whether slots are reserved, or were when last considered."""
        return any(kind.limit < inf for kind in self._kinds.values())

    def record_arrival(self, request: KindRequest, now: float) -> None:
        """Count an arrival, also of a request that will be refused."""
        kind = self._find(request)
        if kind is None:
            if len(self._kinds) >= _MAX_KINDS:
                self._forget_oldest()
            kind = _Kind(request.priority, now)
            self._kinds[request.route, request.priority] = kind
        kind.record_arrival(request, now)
        self._served.add(now, arrivals=1)

    def may_start(
        self, request: KindRequest, running: Collection[KindRequest], now: float
    ) -> bool:
        """Whether a request may take a free slot.

        :param running: requests that hold the other slots.
        """
        kind = self._find(request)
        if kind is None:
            return True
        limit = self._refresh(kind, now)
        free = limit - len(self._filter_rivals(kind, running))
        return free >= 1 or (free > 0 and kind.extra_at <= now)

    def record_start(
        self, request: KindRequest, running: Collection[KindRequest], now: float
    ) -> None:
        """Record that a request takes a slot.

        :param running: requests that hold the other slots.
        """
        kind = self._find(request)
        self._served.add(now, starts=1)
        if kind is None:
            return
        kind.served.add(now, starts=1)
        if kind.limit == inf:
            return
        if kind.limit - len(self._filter_rivals(kind, running)) >= 1:
            return
        share = max(kind.limit - int(kind.limit), _MIN_TIME_SHARE)
        for one in self._kinds.values():
            if one.urgent == kind.urgent:
                one.extra_at = now + kind.expected / share

    def is_starved(
        self, request: KindRequest, running: Collection[KindRequest]
    ) -> bool:
        """Whether a request goes first because its kind is hardly served.

        If urgent requests alone need all slots, they would otherwise take the
        slot that others may always hold.

        :param running: requests that hold the other slots.
        """
        kind = self._find(request)
        if kind is None or kind.limit == inf:
            return False
        least = _MIN_SERVED_SHARE * self._served.served_share
        if kind.served.served_share >= least:
            return False
        return not self._filter_rivals(kind, running)

    def limit(self, request: KindRequest, now: float) -> float:
        """Slots that requests like this one may hold on average.

        It is infinite if none is reserved against them, and at least 1.
        """
        kind = self._find(request)
        return inf if kind is None else self._refresh(kind, now)

    def is_limited(self, request: KindRequest) -> bool:
        """Whether slots were last found to be reserved against a request."""
        kind = self._find(request)
        return kind is not None and kind.limit < inf

    def filter_rivals(
        self, request: KindRequest, others: Iterable[KindRequest]
    ) -> list[KindRequest]:
        """Select the requests that hold, or wait for, slots it may use."""
        kind = self._find(request)
        return (
            list(others) if kind is None else self._filter_rivals(kind, others)
        )

    def count_reserved(self, now: float) -> float:
        """Number of slots that are reserved for the most urgent requests."""
        slots = self._slots()
        limits = [self._refresh(kind, now) for kind in self._kinds.values()]
        return max(slots - min(limits, default=inf), 0)

    def _find(self, request: KindRequest) -> _Kind | None:
        return self._kinds.get((request.route, request.priority))

    def _filter_rivals(
        self, kind: _Kind, others: Iterable[KindRequest]
    ) -> list[KindRequest]:
        if kind.limit == inf:
            return list(others)
        return [one for one in others if self._is_rival(kind, self._find(one))]

    def _is_rival(self, kind: _Kind, other: _Kind | None) -> bool:
        """Whether the other kind uses the slots that this one may hold.

        Short runs of a lower priority use reserved slots. If they counted,
        they would be served in place of this kind.
        """
        if other is None:
            return True
        if other in kind.urgent:
            return False
        return other.priority <= kind.priority or other.limit < inf

    def _forget_oldest(self) -> None:
        oldest = min(
            self._kinds, key=lambda key: self._kinds[key].served.updated_at
        )
        self._kinds.pop(oldest)

    def _refresh(self, kind: _Kind, now: float) -> float:
        if now >= kind.limit_expires:
            kind.limit_expires = now + _LIMIT_LIFETIME
            kind.urgent = frozenset(
                one for one in self._kinds.values() if one.is_more_urgent(kind)
            )
            kind.limit = _find_limit(kind, self._slots(), now, kind.urgent)
            if kind.limit < inf:
                kind.limit = max(kind.limit, self._fair_share(kind, now))
        return kind.limit

    def _fair_share(self, kind: _Kind, now: float) -> float:
        """Slots that a kind may hold beside urgent kinds of its priority.

        If those need more than there is, all of the same priority get as many.
        """
        higher = frozenset(
            one for one in kind.urgent if one.priority < kind.priority
        )
        left = _find_limit(kind, self._slots(), now, higher)
        equals = len(kind.urgent) - len(higher)
        return min(left, self._slots()) / (equals + 1)


def _find_limit(
    kind: _Kind, slots: int, now: float, urgent: frozenset[_Kind]
) -> float:
    """Slots that a kind may hold on average; infinite if all of them."""
    rates = {one: one.rate(now) for one in urgent}
    expected_arrivals = sum(rates.values()) * kind.expected
    if slots <= 1 or expected_arrivals < _MIN_EXPECTED_ARRIVALS:
        return inf
    previous = inf
    for reserved in range(slots):
        delayed = _delayed_share(rates, reserved, slots - reserved, kind)
        if delayed <= _MAX_DELAYED_SHARE:
            if not reserved:
                return inf
            share = (previous - _MAX_DELAYED_SHARE) / (previous - delayed)
            return max(slots - reserved + 1 - share, 1)
        previous = delayed
    return 1


def _delayed_share(
    rates: dict[_Kind, float], reserved: int, others: int, kind: _Kind
) -> float:
    """Share of urgent requests that wait longer than they can.

    The reserved slots are a queue with several servers and random arrivals.
    A slot that another run leaves also goes to an urgent request that waits.

    :param rates: arrivals of urgent kinds per second.
    :param others: number of slots that runs of the less urgent kind hold.
    """
    rate = sum(rates.values())
    work = sum(one_rate * one.expected for one, one_rate in rates.items())
    service_rate = reserved * rate / max(work, 0.001)
    service_rate += others / max(kind.expected, 0.001)
    if rate >= service_rate:
        return 1
    # Erlang's formula for the probability that an arrival has to wait.
    term = float(1)
    total = float(0)
    for number in range(1, reserved + 1):
        total += term
        term *= work / number
    term /= 1 - rate / service_rate
    wait_probability = term / (total + term)
    decline = service_rate - rate
    delayed = sum(
        one_rate * exp(-decline * max(one.slack, 0))
        for one, one_rate in rates.items()
    )
    return wait_probability * delayed / rate
