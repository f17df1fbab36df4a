"""Selection of the daemon whose upstream serves a request."""

import math
from collections.abc import Collection, Iterator, Sequence
from random import Random
from typing import NamedTuple

from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_policy.admission import SERVICE_TIME_MARGIN, is_worth_waiting
from verbenamill_policy.pace import MomentaryPace
from verbenamill_policy.service_times import (
    INITIAL_LOG_DEVIATION,
    probability_within,
)
from verbenamill_policy.throttling import Throttle

#: Weight of the newest answer in the moving average of an owner's relative
#: service time.
_TIME_WEIGHT = 0.15
#: Weight of the newest answer in the moving average of an owner's failures. A
#: single failure of a good upstream must not divert the requests of the next
#: seconds.
_FAILURE_WEIGHT = 0.05
#: Bounds of an owner's relative service time. Without them a single extreme
#: answer would determine the average.
_MIN_RELATIVE_TIME = 0.25
_MAX_RELATIVE_TIME = 12.0
#: Relative service time assumed for an owner without answers. It is slightly
#: below the mean, so that a new upstream gets requests at once.
_INITIAL_RELATIVE_TIME = 0.8
#: Cost of a failed answer, in seconds: the request has to be sent again, and
#: the time of its first run is lost.
_FAILURE_COST = 0.6
#: Half-life of the load that an owner reported, in seconds.
_LOAD_HALF_LIFE = 0.5
#: Half-life of an owner's estimated failures and relative service time while
#: no answer arrives, in seconds. The owner may have recovered, and only
#: requests can show that.
_ESTIMATE_HALF_LIFE = 2.0
#: Maximum number of owners evaluated for one request; limits the processor
#: time.
_MAX_CANDIDATES = 12
#: Random share added to an estimate. Without it, daemons that have the same
#: information would all choose the same owner and overload it.
_NOISE = 0.15

#: Share of the time to the objective that an answer may use. The rest covers
#: network transfer and load reports that are slightly out of date.
_HEADROOM = 0.9
#: Value of an answer after its objective, relative to one within it.
_LATE_VALUE = 0.3
#: Number of bytes whose transfer between zones costs as much as an answer is
#: worth. Daemons cannot observe this price.
_BYTES_PER_ANSWER = 26_000
#: Size of the headers of a request, of its answer and of those between
#: daemons, in bytes.
_HEADER_BYTES = 900
#: Upper bound of the transfer cost, in answers: saving bytes is no reason to
#: leave a caller without an answer.
_MAX_TRANSFER_COST = 0.6
#: Value of an immediate answer over one that only just meets the objective.
#: It makes the fastest owner win among those that are all fast enough.
_SPEED_VALUE = 0.1

#: Share by which a request is expected to take longer with all other slots
#: taken than alone. Upstreams slow down when they are nearly full.
_FULL_SLOWDOWN = 0.3
#: Cost of passing a request on to another daemon, in answers: processor time
#: of two daemons, and a load there that is only estimated.
_HOP_COST = 0.05

_HIGHEST_PRIORITY = 0

#: Shortest and longest time in which no request goes to an owner that could
#: not be reached, in seconds.
INITIAL_BACKOFF = 0.25
MAX_BACKOFF = 4.0


class _LimitWait(NamedTuple):
    """Reported wait for a rate limit, in seconds, and when it ends."""

    duration: float
    until: float


class OwnerEstimate:
    """An ingress's estimate of one daemon and its upstream.

    :ivar relative_time: service time relative to the mean of its service.
    :ivar pace: its pace at this moment.
    :ivar load: number of requests running and queued there.
    """

    __slots__ = (
        'vm',
        'availability_zone',
        'slots',
        'relative_time',
        'pace',
        'load',
        'load_reported_at',
        'answered_at',
        'failure_rate',
        'down_until',
        'backoff',
        'time_samples',
        '_limit_waits',
        '_throttles',
    )

    def __init__(
        self,
        *,
        vm: VmId,
        availability_zone: AvailabilityZone,
        slots: int,
    ) -> None:
        self.vm = vm
        self.availability_zone = availability_zone
        self.slots = max(slots, 1)
        self.relative_time = _INITIAL_RELATIVE_TIME
        self.pace = MomentaryPace()
        self.load = float(0)
        self.load_reported_at = float(0)
        self.answered_at = float(0)
        self.failure_rate = float(0)
        self.down_until = float(0)
        self.backoff = INITIAL_BACKOFF
        self.time_samples = 0
        self._limit_waits: dict[int, _LimitWait] = {}
        self._throttles: dict[int, Throttle] = {}

    def sent(self) -> None:
        """Count a request that is being sent to this owner."""
        self.load += 1

    def record_load(self, load: int, now: float) -> None:
        """Record the load that the owner reported with a reply."""
        self.observe_load(load, now)
        self.answered_at = now
        self.backoff = INITIAL_BACKOFF
        self.down_until = 0

    def observe_load(self, load: int, now: float) -> None:
        """Record a load without a reply, which says nothing else."""
        self.load = float(load)
        self.load_reported_at = now

    def record_service_time(self, took: float, fleet_mean: float) -> None:
        """Record the owner's mean time of a route.

        The owner reports its own mean over the requests of all daemons. With
        the times of single requests, of which each daemon sees few, a good
        upstream appeared a third slower for a second, and its requests left
        the zone.

        :param took: the owner's mean, in seconds.
        :param fleet_mean: mean of the route over all owners, in seconds.
        """
        relative_time = min(
            max(took / max(fleet_mean, 0.001), _MIN_RELATIVE_TIME),
            _MAX_RELATIVE_TIME,
        )
        weight = max(_TIME_WEIGHT, 1 / (self.time_samples + 2))
        self.time_samples += 1
        self.relative_time += weight * (relative_time - self.relative_time)

    @property
    def is_limited(self) -> bool:
        """Whether its upstream announces a rate limit."""
        return bool(self._limit_waits)

    def record_limit_result(
        self,
        priority: int,
        wait: float,
        now: float,
        *,
        taken: bool,
    ) -> None:
        """Record how the owner's rate limit treated a request.

        :param wait: time until the limit allows another request of this
            priority, in seconds.
        :param taken: whether the upstream accepted the request.
        """
        throttle = self._throttles.setdefault(priority, Throttle())
        throttle.record(now, taken=taken)
        self._limit_waits[priority] = _LimitWait(wait, now + wait)

    def delay_first_request(self, delay: float, now: float) -> None:
        """Expect room under a limit only after some time, in seconds.

        It holds for all priorities, until replies of the owner say more.
        """
        self._limit_waits[_HIGHEST_PRIORITY] = _LimitWait(delay, now + delay)

    def clear_limit(self) -> None:
        """Record that the upstream no longer announces a rate limit."""
        self._throttles.clear()
        self._limit_waits.clear()

    def limit_ready_at(self, priority: int) -> float:
        """Time at which the rate limit is expected to allow a request.

        Requests of a more urgent priority are never allowed later.
        """
        if not self._limit_waits:
            return float('-inf')
        known = [
            wait.until
            for reported, wait in self._limit_waits.items()
            if reported <= priority
        ]
        return max(known, default=float('-inf'))

    def reported_limit_wait(self, priority: int) -> float:
        """Reported wait of a priority for the rate limit, in seconds."""
        known = [
            wait.duration
            for reported, wait in self._limit_waits.items()
            if reported <= priority
        ]
        return max(known, default=0)

    def should_throttle(
        self, priority: int, now: float, random: Random
    ) -> bool:
        """Whether to withhold a request because similar ones were refused."""
        throttle = self._throttles.get(priority)
        return throttle is not None and throttle.should_throttle(now, random)

    def record_outcome(self, *, failed: bool) -> None:
        """Record whether an answer was a failure."""
        self.failure_rate += _FAILURE_WEIGHT * (
            float(failed) - self.failure_rate
        )

    def mark_down(self, now: float, *, pause: float = 0) -> None:
        """Record that the owner is unreachable, and send it nothing for a time.

        :param pause: duration in seconds; 0 uses the exponential backoff.
        """
        self.down_until = now + (pause or self.backoff)
        self.backoff = min(self.backoff * 2, MAX_BACKOFF)

    def estimate_load(self, now: float) -> float:
        """Estimate the current load, which decays after the last report."""
        age = now - self.load_reported_at
        if age <= _LOAD_HALF_LIFE:
            return self.load
        return self.load * _decay(age, _LOAD_HALF_LIFE)


class PlacementRequest(Struct, kw_only=True):
    """A request for which an owner is chosen.

    :param mean_time: mean service time of its route, in seconds.
    :param log_deviation: standard deviation of the logarithm of these times.
    :param time_to_objective: time left to its latency objective, in seconds.
    :param time_to_deadline: time until its caller gives up, in seconds.
    :param byte_count: size of its body and of the expected answer, in bytes.
    :param priority: priority of its route; 0 is served first.
    """

    mean_time: float
    time_to_objective: float
    log_deviation: float = INITIAL_LOG_DEVIATION
    time_to_deadline: float = 0
    byte_count: float = 0
    priority: int = 0

    @property
    def cross_zone_cost(self) -> float:
        """Cost of the transfer to another zone, in answers."""
        cost = (self.byte_count + _HEADER_BYTES) / _BYTES_PER_ANSWER
        return min(cost, _MAX_TRANSFER_COST)


class Forecast(Struct):
    """Expected result of sending a request to an owner.

    :param wait: time until a slot is free, in seconds.
    :param service_time: mean time at the upstream, in seconds.
    :param failure_probability: probability that the answer is a failure.
    """

    wait: float
    service_time: float
    failure_probability: float

    @property
    def time(self) -> float:
        """Expected time until an answer, in seconds."""
        return (
            self.wait
            + self.service_time
            + self.failure_probability * _FAILURE_COST
        )


def _decay(age: float, half_life: float) -> float:
    return math.pow(2, -age / half_life)


def forecast(
    owner: OwnerEstimate, request: PlacementRequest, now: float
) -> Forecast:
    """Forecast the wait, service time and failures of a request at an owner."""
    load = owner.estimate_load(now)
    slots = owner.slots
    confidence = _decay(max(now - owner.answered_at, 0), _ESTIMATE_HALF_LIFE)
    service_time = request.mean_time * (
        1 + (owner.relative_time - 1) * confidence
    )
    service_time *= 1 + _FULL_SLOWDOWN * min(load / slots, 1)
    service_time *= owner.pace.factor(now)
    queue_wait = max(load + 1 - slots, 0) * service_time / slots
    return Forecast(
        wait=max(queue_wait, owner.limit_ready_at(request.priority) - now),
        service_time=service_time,
        failure_probability=owner.failure_rate * confidence,
    )


def expected_value(expected: Forecast, request: PlacementRequest) -> float:
    """Expected value of an answer; one within its objective counts 1."""
    usable_time = request.time_to_objective * _HEADROOM
    in_time = probability_within(
        expected.service_time,
        request.log_deviation,
        usable_time - expected.wait,
    )
    at_all = probability_within(
        expected.service_time,
        request.log_deviation,
        max(request.time_to_deadline, request.time_to_objective)
        - expected.wait,
    )
    value = in_time + _LATE_VALUE * max(at_all - in_time, 0)
    delay_cost = (
        _SPEED_VALUE * expected.time / max(request.time_to_objective, 0.001)
    )
    return value * (1 - expected.failure_probability) - delay_cost


def choose_owner(
    owners: Sequence[OwnerEstimate],
    request: PlacementRequest,
    *,
    zone: AvailabilityZone,
    excluded: Collection[VmId],
    now: float,
    random: Random,
    own: OwnerEstimate | None = None,
) -> OwnerEstimate | None:
    """Choose the owner that a request is sent to.

    Owners are compared by the expected value of their answer, less the cost
    of the bytes that would cross to another zone. A request therefore stays
    in its own zone as long as it has about the same chance to meet its
    objective there, and large requests stay longer than small ones. The
    upstream beside this daemon is preferred by the cost of passing a request
    on while it has a free slot: its load is known exactly, while what is known
    of others is older than most requests take.

    :param own: the owner among these that is this daemon, if it is one.
    """
    if own is not None and _is_good_enough(own, request, excluded, now):
        return own
    reachable = list(_reachable(owners, excluded, now))
    local = [owner for owner in reachable if owner.availability_zone == zone]
    best_local, local_value = _choose_best(local, request, now, random)
    if best_local is not None and local_value >= 1 - request.cross_zone_cost:
        # No answer from another zone is worth more than 1.
        return best_local
    remote = [owner for owner in reachable if owner.availability_zone != zone]
    best_remote, remote_value = _choose_best(remote, request, now, random)
    if (
        best_local is None
        or remote_value - request.cross_zone_cost > local_value
    ):
        return best_remote or best_local
    return best_local


def _is_good_enough(
    own: OwnerEstimate,
    request: PlacementRequest,
    excluded: Collection[VmId],
    now: float,
) -> bool:
    """Whether the own upstream has a free slot and is not slow or failing."""
    if own.down_until > now or own.vm in excluded:
        return False
    expected = forecast(own, request, now)
    if expected.wait > 0:
        return False
    usual = Forecast(0, request.mean_time, 0)
    return (
        expected_value(expected, request)
        >= expected_value(usual, request) - _HOP_COST
    )


def find_limit_wait(
    owners: Sequence[OwnerEstimate],
    request: PlacementRequest,
    *,
    excluded: Collection[VmId],
    now: float,
) -> float:
    """Shortest wait for a rate limit, in seconds; 0 without any limit."""
    waits = [
        owner.reported_limit_wait(request.priority)
        for owner in _reachable(owners, excluded, now)
        if owner.is_limited
    ]
    return min(waits, default=0)


def _reachable(
    owners: Sequence[OwnerEstimate],
    excluded: Collection[VmId],
    now: float,
) -> Iterator[OwnerEstimate]:
    for owner in owners:
        if owner.down_until <= now and owner.vm not in excluded:
            yield owner


def _limit_allows(
    owner: OwnerEstimate, request: PlacementRequest, now: float
) -> bool:
    """Whether the owner's rate limit allows the request early enough."""
    wait = owner.limit_ready_at(request.priority) - now
    if wait <= 0:
        return True
    is_late = (
        SERVICE_TIME_MARGIN * request.mean_time > request.time_to_objective
    )
    return is_worth_waiting(
        wait,
        request.mean_time,
        time_to_objective=None if is_late else request.time_to_objective,
        time_to_deadline=request.time_to_deadline,
    )


def _choose_best(
    owners: list[OwnerEstimate],
    request: PlacementRequest,
    now: float,
    random: Random,
) -> tuple[OwnerEstimate | None, float]:
    best = None
    best_score = float('-inf')
    for owner in _sample_usable(owners, request, now, random):
        expected = forecast(owner, request, now)
        expected.service_time *= 1 + _NOISE * random.random()
        score = expected_value(expected, request)
        if score > best_score:
            best = owner
            best_score = score
    if best is None:
        return None, best_score
    return best, expected_value(forecast(best, request, now), request)


def _sample_usable(
    owners: list[OwnerEstimate],
    request: PlacementRequest,
    now: float,
    random: Random,
) -> list[OwnerEstimate]:
    """Sample the owners to compare; of all of them if the sample has none."""
    sample = owners
    if len(owners) > _MAX_CANDIDATES:
        sample = random.sample(owners, _MAX_CANDIDATES)
    usable = _filter_usable(sample, request, now, random)
    if usable or sample is owners:
        return usable
    return _filter_usable(owners, request, now, random)[:_MAX_CANDIDATES]


def _filter_usable(
    owners: list[OwnerEstimate],
    request: PlacementRequest,
    now: float,
    random: Random,
) -> list[OwnerEstimate]:
    return [
        owner
        for owner in owners
        if _limit_allows(owner, request, now)
        and not owner.should_throttle(request.priority, now, random)
    ]
