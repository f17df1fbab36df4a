"""Slots of the own upstream, and the queue in front of them."""

from collections.abc import Callable
from enum import Enum, unique

from verbenamill_model.typing import RouteName
from verbenamill_policy.pacing import TokenBucket
from verbenamill_policy.service_times import ServiceTimes

#: Share of the time left that a wait and the work behind it may take. The
#: rest is for the way back.
HEADROOM = 0.9
#: Times its mean that a request is reckoned to take at most. In overload the
#: queue is as long as it is allowed to be; reckoned with the mean, half of all
#: answers would come late. About three of four requests take no longer.
SPREAD = 1.25
#: Requests that may wait for each slot: with more, the last would wait for
#: several service times, longer than any latency objective seen.
QUEUE_FACTOR = 4


@unique
class AdmissionResult(Enum):
    """Whether a request got a slot."""

    ADMITTED = 'admitted'
    SHED = 'shed'


def fits_behind(
    wait: float,
    expected: float,
    *,
    left: float | None,
    patience: float,
) -> bool:
    """Whether an answer after some wait is worth the wait.

    :param expected: service time, in seconds.
    :param left: time to the objective; ``None`` if that is missed in any case.
    :param patience: time until the caller gives up, in seconds.
    """
    if left is None:
        return wait + expected <= patience * HEADROOM
    return wait + SPREAD * expected <= left * HEADROOM


class AdmissionRequest:
    """A request that runs or waits.

    :param latency_objective: latency objective of its route in seconds; 0 if
        not known.
    :param due: when its answer is due, on the monotonic clock.
    :param objective: until when an answer is worth waiting for in full.
    :param deadline: when its caller gives up.
    :param on_settled: called once, when a request that waits is admitted or
        refused.
    :ivar expected: its service time as reckoned when it came, in seconds.
    """

    __slots__ = (
        'route',
        'latency_objective',
        'expected',
        '_order',
        'arrived',
        'objective',
        'deadline',
        'started',
        'on_settled',
        'is_late',
    )

    def __init__(
        self,
        *,
        route: RouteName,
        latency_objective: float = 0,
        priority: int,
        arrived: float,
        due: float,
        objective: float,
        deadline: float,
        on_settled: Callable[[AdmissionResult], None],
    ) -> None:
        self.route = route
        self.latency_objective = latency_objective
        self.expected = float(0)
        self.is_late = False
        self._order = (priority, due)
        self.arrived = arrived
        self.objective = objective
        self.deadline = deadline
        self.started = arrived
        self.on_settled = on_settled

    @property
    def priority(self) -> int:
        """Priority of its route; 0 is served first."""
        return self._order[0]

    @property
    def order(self) -> tuple[int, bool, float]:
        """Place in the queue; the lowest goes first.

        Within a priority, who has to start first goes first. By the time
        that an answer is due, long work would always stand behind the short
        work that comes while it waits, and be refused in its place.

        Who cannot be answered in time any more comes behind all those of the
        same priority who can: in front, it would make them late as well.
        """
        priority, due = self._order
        return priority, self.is_late, due - SPREAD * self.expected


class Admission:
    """Slots and queue of one upstream.

    The upstream never gets more than its slots: its own queue knows no
    priorities, and one that is full may reset connections. Who cannot be
    served in time is refused when that is known, so that its caller can go
    elsewhere while there is time.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.times = ServiceTimes()
        self._pace: TokenBucket | None = None
        self._running: set[AdmissionRequest] = set()
        self._waiting: list[AdmissionRequest] = []

    @property
    def running(self) -> int:
        """Requests at the upstream."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    @property
    def load(self) -> int:
        """Requests at the upstream and in the queue."""
        return len(self._running) + len(self._waiting)

    @property
    def is_paced(self) -> bool:
        """Whether requests begin at a limited rate."""
        return self._pace is not None

    def set_rate(self, rate: float | None, now: float) -> None:
        """Let requests begin at a rate, in requests a second.

        :param rate: ``None`` lets them begin as slots come free.
        """
        if rate is None:
            self._pace = None
        elif self._pace is None:
            self._pace = TokenBucket(rate, now)
        else:
            self._pace.set_rate(rate, now)
        self._shed_overtaken(0, now)
        self.admit(now)

    def record_resend(self, now: float) -> None:
        """A request is sent once more."""
        if self._pace is not None:
            self._pace.take(now)

    def record_unsent(self, now: float) -> None:
        """A request that was admitted has not been sent."""
        if self._pace is not None:
            self._pace.give_back(now)

    def next_start(self, now: float) -> float:
        """When the next request may begin whose slot is free already."""
        pace = self._pace
        if pace is None or len(self._running) >= self.slots:
            return float('inf')
        return now + pace.wait(0, now)

    def rate_limit_wait(self, priority: int, now: float) -> float:
        """Time until a request of a priority may begin for the rate, in s."""
        if self._pace is None:
            return 0
        ahead = sum(one.priority <= priority for one in self._waiting)
        return self._pace.wait(ahead, now)

    def acquire(
        self, ticket: AdmissionRequest, now: float
    ) -> AdmissionResult | None:
        """Ask for a slot; ``None`` when the request waits for one."""
        ticket.expected = self.times.expect(
            ticket.route, objective=ticket.latency_objective
        )
        if not self._waiting and self._may_start(now):
            self._start(ticket, now)
            return AdmissionResult.ADMITTED
        ticket.is_late = now + SPREAD * ticket.expected > ticket.objective
        ahead = self._count_ahead(ticket)
        if not self._fits(ticket, self.expected_wait(ahead, now), now):
            return AdmissionResult.SHED
        if len(self._waiting) >= QUEUE_FACTOR * max(self.slots, 1):
            if ahead == len(self._waiting):
                return AdmissionResult.SHED
            self._waiting.pop().on_settled(AdmissionResult.SHED)
        self._waiting.insert(ahead, ticket)
        self._shed_overtaken(ahead + 1, now)
        return None

    def release(
        self, ticket: AdmissionRequest, now: float, *, took: float | None
    ) -> None:
        """Free what a request holds.

        :param took: service time; ``None`` if it tells nothing, as with a
            request that was cancelled.
        """
        if ticket in self._running:
            self._running.discard(ticket)
            if took is not None:
                self.times.add(ticket.route, took, now)
            self.admit(now)
        elif ticket in self._waiting:
            self._waiting.remove(ticket)

    def admit(self, now: float) -> None:
        """Give free slots to those who wait."""
        while self._waiting and self._may_start(now):
            ticket = self._waiting.pop(0)
            if self._is_hopeless(ticket, now):
                ticket.on_settled(AdmissionResult.SHED)
                continue
            self._start(ticket, now)
            ticket.on_settled(AdmissionResult.ADMITTED)

    def shed_all(self) -> None:
        """Refuse all who wait, as when the upstream leaves."""
        waiting = self._waiting
        self._waiting = []
        for ticket in waiting:
            ticket.on_settled(AdmissionResult.SHED)

    def expected_wait(self, ahead: int, now: float) -> float:
        """Expected wait behind some others, in seconds.

        It is reckoned by the work of those who run and wait. The mean of
        those who ended is another one: short requests end more often than
        they hold a slot, and after a start only they have ended at all.
        """
        paced = self._paced_wait(ahead, now)
        if ahead < self.slots - len(self._running):
            return paced
        work = sum(ticket.expected for ticket in self._waiting[:ahead])
        return max(self._next_free() + work / max(self.slots, 1), paced)

    def _may_start(self, now: float) -> bool:
        if len(self._running) >= self.slots:
            return False
        return self._paced_wait(0, now) <= 0

    def _paced_wait(self, ahead: int, now: float) -> float:
        return 0 if self._pace is None else self._pace.wait(ahead, now)

    def _next_free(self) -> float:
        """Expected time until the next slot comes free, in seconds.

        Each of those who run ends at a rate of one in its expected time.
        """
        rate = sum(1 / max(one.expected, 0.001) for one in self._running)
        return 1 / rate if rate else 0

    def _start(self, ticket: AdmissionRequest, now: float) -> None:
        ticket.started = now
        self._running.add(ticket)
        if self._pace is not None:
            self._pace.take(now)

    def _count_ahead(self, ticket: AdmissionRequest) -> int:
        ahead = len(self._waiting)
        while ahead and self._waiting[ahead - 1].order > ticket.order:
            ahead -= 1
        return ahead

    def _fits(self, ticket: AdmissionRequest, wait: float, now: float) -> bool:
        """Whether an answer can come by the objective after some wait.

        A request that will miss its objective in any case is measured by its
        caller's deadline: late answers are worth less, not nothing.
        """
        return fits_behind(
            wait,
            ticket.expected,
            left=None if ticket.is_late else ticket.objective - now,
            patience=ticket.deadline - now,
        )

    def _is_hopeless(self, ticket: AdmissionRequest, now: float) -> bool:
        return now + ticket.expected / 2 > ticket.deadline

    def _shed_overtaken(self, first: int, now: float) -> None:
        """Refuse those that more urgent requests have pushed back too far.

        Held on, they would be refused only when it is too late to go to
        another upstream.
        """
        wait = self.expected_wait(first, now)
        kept = self._waiting[:first]
        for ticket in self._waiting[first:]:
            if self._fits(ticket, wait, now):
                kept.append(ticket)
                wait += ticket.expected / max(self.slots, 1)
                wait = max(wait, self._paced_wait(len(kept), now))
            else:
                ticket.on_settled(AdmissionResult.SHED)
        self._waiting = kept
