"""Slots of the local upstream, and the queue in front of them."""

from collections.abc import Callable
from enum import Enum, unique
from math import inf

from verbenamill_model.typing import RouteName
from verbenamill_policy.cold_starts import ColdStartTracker
from verbenamill_policy.pace import MomentaryPace
from verbenamill_policy.pacing import TokenBucket
from verbenamill_policy.reservations import (
    RECHECK_INTERVAL,
    SlotReservations,
)
from verbenamill_policy.reserved_queue import ReservedQueue, time_to_free_slot
from verbenamill_policy.service_times import ServiceTimes, is_hopeless

#: Share of the remaining time that the wait and the work after it may take.
#: The rest covers the transfer of the answer.
HEADROOM = 0.9
#: Factor on the mean service time that a request is planned with. In overload
#: the queue is as long as it is allowed to be; planned with the mean alone,
#: half of all answers would be late. About three of four requests take no
#: longer than this.
SERVICE_TIME_MARGIN = 1.25
#: Maximum queue length for each slot. With more, the last request would wait
#: for several service times, longer than any latency objective in use.
QUEUE_FACTOR = 4


@unique
class AdmissionResult(Enum):
    """Whether a request got a slot."""

    ADMITTED = 'admitted'
    SHED = 'shed'


def is_worth_waiting(
    wait: float,
    expected: float,
    *,
    time_to_objective: float | None,
    time_to_deadline: float,
) -> bool:
    """Whether an answer after some wait is still useful.

    :param expected: service time, in seconds.
    :param time_to_objective: time left to the objective in seconds; ``None``
        if it is missed in any case.
    :param time_to_deadline: time until the caller gives up, in seconds.
    """
    if time_to_objective is None:
        return wait + expected <= time_to_deadline * HEADROOM
    return wait + SERVICE_TIME_MARGIN * expected <= time_to_objective * HEADROOM


class AdmissionRequest:
    """A request that runs at the upstream or waits in the queue.

    :param latency_objective: latency objective of its route in seconds; 0 if
        not known.
    :param due: time at which its answer is due, on the monotonic clock.
    :param objective: time until which an answer has its full value.
    :param deadline: time at which its caller gives up.
    :param on_settled: called once, when a waiting request is admitted or
        refused.
    :ivar expected: service time expected at its arrival, in seconds.
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
    def slack(self) -> float:
        """Time that requests of its route can wait and meet the objective.

        In seconds; infinite if the objective is not known. The time that this
        request has already used does not count.
        """
        if self.latency_objective <= 0:
            return inf
        return (
            self.latency_objective * HEADROOM
            - SERVICE_TIME_MARGIN * self.expected
        )

    @property
    def latest_start(self) -> float:
        """Time after which it is no longer worth starting."""
        return self.deadline - self.expected / 2

    @property
    def order(self) -> tuple[int, bool, float]:
        """Sort key in the queue; the lowest goes first.

        Within a priority, requests are sorted by the latest time at which
        they can start. Sorted by the time at which the answer is due, a long
        request would always stay behind the short ones that arrive while it
        waits, and be refused in their place.

        A request that can no longer meet its objective comes behind all
        those of the same priority that can; ahead of them, it would make
        them late as well.
        """
        priority, due = self._order
        return (
            priority,
            self.is_late,
            due - SERVICE_TIME_MARGIN * self.expected,
        )


class Admission:
    """Slots and queue of one upstream.

    The upstream never gets more requests than it has slots: its own queue
    knows no priorities, and may reset connections once it is full. A request
    that cannot be served in time is refused as soon as that is known, so that
    its caller can try another upstream while there is time.

    :param reservations: slots that are kept free for urgent requests.
    :ivar pace: pace of the upstream at this moment, for other daemons. The
        queue does not use it: a request usually starts at another pace than
        the one that it was queued at.
    :ivar cold_starts: counts the requests to an upstream that may turn cold.
    """

    def __init__(
        self, *, slots: int, reservations: SlotReservations | None = None
    ) -> None:
        self.slots = slots
        self._reservations = reservations or SlotReservations(
            lambda: self.slots
        )
        self.times = ServiceTimes()
        self.pace = MomentaryPace()
        self._other_times = ServiceTimes()
        self._is_cold = False
        self.cold_starts: ColdStartTracker | None = None
        self._bucket: TokenBucket | None = None
        self._running: set[AdmissionRequest] = set()
        self._waiting: list[AdmissionRequest] = []

    @property
    def running(self) -> int:
        """Number of requests at the upstream."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    @property
    def load(self) -> int:
        """Number of requests at the upstream and in the queue.

        While a slot is free, requests that wait because it is reserved do not
        count: others would otherwise not be sent here. With a rate limit, a
        free slot says little, and all of them count.
        """
        has_free_slot = len(self._running) < self.slots and not self.is_paced
        if not has_free_slot or not self._reservations.is_active:
            return len(self._running) + len(self._waiting)
        is_limited = self._reservations.is_limited
        waiting = sum(not is_limited(one) for one in self._waiting)
        return len(self._running) + waiting

    @property
    def is_paced(self) -> bool:
        """Whether requests start at a limited rate."""
        return self._bucket is not None

    def set_rate(self, rate: float | None, now: float) -> None:
        """Set the rate at which requests start, in requests a second.

        :param rate: ``None`` removes the limit, so that only slots count.
        """
        if rate is None:
            self._bucket = None
        elif self._bucket is None:
            self._bucket = TokenBucket(rate, now)
        else:
            self._bucket.set_rate(rate, now)
        self._shed_delayed(0, now)
        self.admit(now)

    def set_cold(self, is_cold: bool) -> None:
        """Use the service times of a cold, or of a warm, upstream.

        The pace of a cold upstream must not stay in the means afterwards.
        """
        if is_cold is not self._is_cold:
            self._is_cold = is_cold
            previous_times = self.times
            self.times = self._other_times
            self._other_times = previous_times

    def record_resend(self, now: float) -> None:
        """Charge the rate limit for a request that is sent a second time."""
        if self._bucket is not None:
            self._bucket.take(now)

    def record_unsent(self, now: float) -> None:
        """Refund an admitted request that was not sent."""
        if self._bucket is not None:
            self._bucket.give_back(now)

    def next_start(self, now: float) -> float:
        """Time at which the rate limit lets the next request use a free slot.

        It is infinite without a rate limit or a free slot. If a free slot is
        reserved, it is the time at which to consider this again.
        """
        has_free_slot = len(self._running) < self.slots
        if has_free_slot and self._waiting and self._reservations.is_active:
            limit_wait = self._limit_wait(0, now)
            return now + (limit_wait or RECHECK_INTERVAL)
        is_limited = self._bucket is not None or self.cold_starts is not None
        if not is_limited or len(self._running) >= self.slots:
            return float('inf')
        return now + self._limit_wait(0, now)

    def rate_limit_wait(self, priority: int, now: float) -> float:
        """Time until the rate limit allows a new request, in seconds."""
        if self._bucket is None:
            return 0
        ahead = sum(one.priority <= priority for one in self._waiting)
        return self._bucket.wait(ahead, now)

    def acquire(
        self, request: AdmissionRequest, now: float
    ) -> AdmissionResult | None:
        """Request a slot; ``None`` means that the request waits for one."""
        request.expected = self.times.expect(
            request.route, objective=request.latency_objective
        )
        self._reservations.record_arrival(request, now)
        if (
            self._may_start(now)
            and self._find_startable(now) is None
            and self._reservations.may_start(request, self._running, now)
        ):
            self._start(request, now)
            return AdmissionResult.ADMITTED
        request.is_late = (
            now + SERVICE_TIME_MARGIN * request.expected > request.objective
        )
        ahead = self._count_ahead(request)
        wait = self._wait_behind(request, ahead, now)
        if not self._can_wait(request, wait, now):
            return AdmissionResult.SHED
        if len(self._waiting) >= QUEUE_FACTOR * max(self.slots, 1):
            if ahead == len(self._waiting):
                return AdmissionResult.SHED
            self._waiting.pop().on_settled(AdmissionResult.SHED)
        self._waiting.insert(ahead, request)
        self._shed_delayed(ahead + 1, now)
        return None

    def release(
        self, request: AdmissionRequest, now: float, *, took: float | None
    ) -> None:
        """Release the slot or the queue position of a request.

        :param took: service time in seconds; ``None`` if it is not
            representative, as for a cancelled request.
        """
        if request in self._running:
            self._running.discard(request)
            if took is not None:
                self.times.add(request.route, took, now)
            self.admit(now)
        elif request in self._waiting:
            self._waiting.remove(request)

    def admit(self, now: float) -> None:
        """Assign free slots to waiting requests."""
        while self._waiting and self._may_start(now):
            index = self._find_startable(now)
            if index is None:
                return
            request = self._waiting.pop(index)
            if request.latest_start < now:
                request.on_settled(AdmissionResult.SHED)
                continue
            self._start(request, now)
            request.on_settled(AdmissionResult.ADMITTED)

    def shed_hopeless(self, now: float) -> None:
        """Refuse waiting requests that can no longer be answered at all."""
        hopeless = [one for one in self._waiting if one.latest_start <= now]
        for request in hopeless:
            self._waiting.remove(request)
            request.on_settled(AdmissionResult.SHED)

    def is_worth_starting(self, request: AdmissionRequest, now: float) -> bool:
        """Whether a request may still be answered by its deadline."""
        return not is_hopeless(
            request.expected,
            self.times.log_deviation(request.route),
            request.deadline - now,
        )

    def shed_all(self) -> None:
        """Refuse all waiting requests, as when the upstream leaves."""
        waiting = self._waiting
        self._waiting = []
        for request in waiting:
            request.on_settled(AdmissionResult.SHED)

    def expected_wait(self, ahead: int, now: float) -> float:
        """Expected wait behind a number of queued requests, in seconds.

        The estimate uses the expected work of the requests that run and wait.
        The mean over finished requests would be biased: short requests finish
        more often than their share of the slots, and right after a start only
        short ones have finished at all.
        """
        limit_wait = self._limit_wait(ahead, now)
        if ahead < self.slots - len(self._running):
            return limit_wait
        work = sum(request.expected for request in self._waiting[:ahead])
        return max(
            time_to_free_slot(self._running) + work / max(self.slots, 1),
            limit_wait,
        )

    def retry_delay(self, request: AdmissionRequest, now: float) -> float:
        """Time until a request like a refused one may start, in seconds."""
        return self._wait_behind(request, len(self._waiting), now)

    def count_reserved(
        self, now: float, request: AdmissionRequest | None = None
    ) -> float:
        """Number of slots that are reserved for urgent requests.

        The fraction is a share of the time.

        :param request: count only those that it may not use.
        """
        if request is None:
            return self._reservations.count_reserved(now)
        limit = self._reservations.limit(request, now)
        return max(self.slots - limit, 0)

    def count_urgent_runs(self) -> int:
        """Number of slots held by requests that may hold all of them."""
        is_limited = self._reservations.is_limited
        return sum(not is_limited(one) for one in self._running)

    def _may_start(self, now: float) -> bool:
        if len(self._running) >= self.slots:
            return False
        return self._limit_wait(0, now) <= 0

    def _limit_wait(self, ahead: int, now: float) -> float:
        wait = 0 if self._bucket is None else self._bucket.wait(ahead, now)
        if self.cold_starts is None:
            return wait
        return max(wait, self.cold_starts.wait(ahead, now))

    def _find_startable(self, now: float) -> int | None:
        """Position of the first waiting request that may take a free slot."""
        reservations = self._reservations
        first: int | None = None
        seen: set[tuple[RouteName, int]] = set()
        for index, request in enumerate(self._waiting):
            kind = (request.route, request.priority)
            if kind in seen:
                continue
            seen.add(kind)
            if reservations.is_starved(request, self._running):
                return index
            if first is None and reservations.may_start(
                request, self._running, now
            ):
                first = index
            if first is not None and not reservations.is_active:
                return first
        return first

    def _wait_behind(
        self, request: AdmissionRequest, ahead: int, now: float
    ) -> float:
        """Expected wait of a request behind those ahead of it, in seconds."""
        if not self._reservations.is_active:
            return self.expected_wait(ahead, now)
        queue = self._make_queue(self._waiting[:ahead], now)
        return max(queue.wait(request), self._limit_wait(ahead, now))

    def _make_queue(
        self, requests: list[AdmissionRequest], now: float
    ) -> ReservedQueue:
        queue = ReservedQueue(
            self._reservations, self._running, slots=self.slots, now=now
        )
        for request in requests:
            queue.add(request)
        return queue

    def _start(self, request: AdmissionRequest, now: float) -> None:
        request.started = now
        self._reservations.record_start(request, self._running, now)
        self._running.add(request)
        if self._bucket is not None:
            self._bucket.take(now)
        if self.cold_starts is not None:
            self.cold_starts.record_start(now)

    def _count_ahead(self, request: AdmissionRequest) -> int:
        ahead = len(self._waiting)
        while ahead and self._waiting[ahead - 1].order > request.order:
            ahead -= 1
        return ahead

    def _can_wait(
        self, request: AdmissionRequest, wait: float, now: float
    ) -> bool:
        """Whether a request can be answered in time after some wait.

        A request that will miss its objective in any case is measured by its
        caller's deadline: a late answer is worth less, but not nothing.
        """
        return is_worth_waiting(
            wait,
            request.expected,
            time_to_objective=(
                None if request.is_late else request.objective - now
            ),
            time_to_deadline=request.deadline - now,
        )

    def _shed_delayed(self, first: int, now: float) -> None:
        """Refuse requests that more urgent ones have delayed too long.

        Kept in the queue, they would be refused only when it is too late to
        try another upstream.

        :param first: position in the queue from which on requests are checked.
        """
        if self._reservations.is_active:
            self._shed_delayed_by_kind(first, now)
            return
        wait = self.expected_wait(first, now)
        kept = self._waiting[:first]
        for request in self._waiting[first:]:
            if self._can_wait(request, wait, now):
                kept.append(request)
                wait += request.expected / max(self.slots, 1)
                wait = max(wait, self._limit_wait(len(kept), now))
            else:
                request.on_settled(AdmissionResult.SHED)
        self._waiting = kept

    def _shed_delayed_by_kind(self, first: int, now: float) -> None:
        kept = self._waiting[:first]
        queue = self._make_queue(kept, now)
        for request in self._waiting[first:]:
            wait = max(queue.wait(request), self._limit_wait(len(kept), now))
            if self._can_wait(request, wait, now):
                kept.append(request)
                queue.add(request)
            else:
                request.on_settled(AdmissionResult.SHED)
        self._waiting = kept
