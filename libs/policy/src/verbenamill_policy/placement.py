"""Which daemon's upstream a request goes to."""

import math
from collections.abc import Collection, Iterator, Sequence
from random import Random
from typing import NamedTuple

from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_policy.admission import SPREAD, fits_behind
from verbenamill_policy.service_times import FIRST_SPREAD, chance
from verbenamill_policy.throttling import Throttle

#: Weight of the newest answer in what is believed of an owner.
_WEIGHT = 0.15
#: The same for failures. A single failure of a good upstream must not send the
#: next seconds' requests away.
_FAILURE_WEIGHT = 0.05
#: Bounds of an owner's pace; beyond them a single answer would decide.
_MIN_PACE = 0.25
_MAX_PACE = 12.0
#: Pace of an owner that was not tried yet: a little better than the mean, so
#: that a new upstream gets requests at once.
_FIRST_PACE = 0.8
#: Time a failed answer is taken to cost, in seconds: the request has to be
#: sent again, and its first run was for nothing.
_FAILURE_COST = 0.6
#: After this long an owner's load is taken to have halved, in seconds.
_LOAD_HALVES = 0.5
#: After this long without an answer, half of what is believed of an owner's
#: failures and pace is forgotten, in seconds: it may have recovered, and only
#: requests can show that.
_BELIEF_HALVES = 2.0
#: Owners looked at for one request; bounds its processor time.
_MAX_LOOKS = 12
#: Random part of an estimate. Daemons that hear the same would all choose
#: the same owner otherwise and fill it at once.
_NOISE = 0.15

#: Part of the time to the objective that the work has to fit in; the rest is
#: for the way and for loads that were told a moment ago.
_HEADROOM = 0.9
#: Worth of an answer after its objective, beside one in time.
_LATE_WORTH = 0.3
#: Bytes whose way between zones costs as much as an answer is worth. No
#: daemon can observe that price.
_BYTES_PER_ANSWER = 26_000
#: Headers of a request, an answer and those between daemons, in bytes.
_HEADER_BYTES = 900
#: Most that the bytes may count: a caller is not left without an answer to
#: save them.
_MOST_FOR_BYTES = 0.6
#: Worth of an answer that comes at once, beside one just in time: among
#: owners that are all fast enough, the fastest is taken.
_SPEED_WORTH = 0.1

#: Shortest and longest time in which no request goes to an owner that could
#: not be reached, in seconds.
INITIAL_BACKOFF = 0.25
MAX_BACKOFF = 4.0


class _Pause(NamedTuple):
    """Time until a limit has room, as told, and when that is."""

    told: float
    until: float


class OwnerEstimate:
    """What an ingress believes of one daemon and its upstream.

    :ivar pace: service time in relation to the mean of its service.
    :ivar load: requests running and queued there.
    """

    __slots__ = (
        'vm',
        'availability_zone',
        'slots',
        'pace',
        'load',
        'told_at',
        'failing',
        'down_until',
        'pause',
        'samples',
        '_pauses',
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
        self.pace = _FIRST_PACE
        self.load = float(0)
        self.told_at = float(0)
        self.failing = float(0)
        self.down_until = float(0)
        self.pause = INITIAL_BACKOFF
        self.samples = 0
        self._pauses: dict[int, _Pause] = {}
        self._throttles: dict[int, Throttle] = {}

    def sent(self) -> None:
        """Count a request that goes there now."""
        self.load += 1

    def record_load(self, load: int, now: float) -> None:
        """Take in the load that came with a reply."""
        self.load = float(load)
        self.told_at = now
        self.pause = INITIAL_BACKOFF
        self.down_until = 0

    def record_service_time(self, took: float, usual: float) -> None:
        """Take in its mean time of a route, beside that of all owners.

        It is the owner's own mean, of the requests of all daemons. Single
        times, of which each daemon sees few, made a good upstream look a
        third slower for a second, and its requests left the zone.
        """
        pace = min(max(took / max(usual, 0.001), _MIN_PACE), _MAX_PACE)
        weight = max(_WEIGHT, 1 / (self.samples + 2))
        self.samples += 1
        self.pace += weight * (pace - self.pace)

    @property
    def is_limited(self) -> bool:
        """Whether its upstream names a limit."""
        return bool(self._pauses)

    def record_limit_result(
        self,
        priority: int,
        pause: float,
        now: float,
        *,
        taken: bool,
    ) -> None:
        """Take in what its limit did to a request.

        :param pause: until there is room for another one of this priority, in
            seconds.
        :param taken: whether it got the request.
        """
        throttle = self._throttles.setdefault(priority, Throttle())
        throttle.tell(now, taken=taken)
        self._pauses[priority] = _Pause(pause, now + pause)

    def clear_limit(self) -> None:
        """Its upstream names no limit any more."""
        self._throttles.clear()
        self._pauses.clear()

    def limit_ready_at(self, priority: int) -> float:
        """When its limit has room for a request, as far as it was told.

        What is more urgent has room no later.
        """
        known = [
            pause.until
            for told, pause in self._pauses.items()
            if told <= priority
        ]
        return max(known, default=float('-inf'))

    def usual_pause(self, priority: int) -> float:
        """How long requests of a priority wait for its limit, in seconds."""
        known = [
            pause.told
            for told, pause in self._pauses.items()
            if told <= priority
        ]
        return max(known, default=0)

    def holds_back(self, priority: int, now: float, random: Random) -> bool:
        """Whether a request is not sent, since such ones were refused."""
        throttle = self._throttles.get(priority)
        return throttle is not None and throttle.holds_back(now, random)

    def record_outcome(self, *, failed: bool) -> None:
        """Take in whether an answer was a failure."""
        self.failing += _FAILURE_WEIGHT * (float(failed) - self.failing)

    def mark_down(self, now: float, *, pause: float = 0) -> None:
        """It could not be reached: leave it alone for a while.

        :param pause: for how long, in seconds; 0 for longer each time.
        """
        self.down_until = now + (pause or self.pause)
        self.pause = min(self.pause * 2, MAX_BACKOFF)

    def expect_load(self, now: float) -> float:
        """Load by now: what was told long ago has gone meanwhile."""
        age = now - self.told_at
        if age <= _LOAD_HALVES:
            return self.load
        return self.load * _halved(age, _LOAD_HALVES)


class PlacementRequest(Struct, kw_only=True):
    """A request that looks for an owner.

    :param mean_time: mean service time of its route, in seconds.
    :param log_deviation: standard deviation of the logarithm of these times.
    :param time_to_objective: time to its latency objective, in seconds.
    :param time_to_deadline: time until its caller gives up, in seconds.
    :param byte_count: bytes of its body and of the answer that is expected.
    :param priority: of its route; 0 is served first.
    """

    mean_time: float
    time_to_objective: float
    log_deviation: float = FIRST_SPREAD
    time_to_deadline: float = 0
    byte_count: float = 0
    priority: int = 0

    @property
    def cross_zone_cost(self) -> float:
        """What the way to another zone costs, in answers."""
        told = (self.byte_count + _HEADER_BYTES) / _BYTES_PER_ANSWER
        return min(told, _MOST_FOR_BYTES)


class Forecast(Struct):
    """What is expected of an owner.

    :param wait: until a slot is free, in seconds.
    :param service: mean time at the upstream, in seconds.
    :param failing: probability that the answer is a failure.
    """

    wait: float
    service: float
    failing: float

    @property
    def time(self) -> float:
        """Expected time until an answer, in seconds."""
        return self.wait + self.service + self.failing * _FAILURE_COST


def _halved(age: float, half_life: float) -> float:
    return math.pow(2, -age / half_life)


def forecast(
    owner: OwnerEstimate, wish: PlacementRequest, now: float
) -> Forecast:
    """What a request can expect of an owner."""
    load = owner.expect_load(now)
    slots = owner.slots
    trust = _halved(max(now - owner.told_at, 0), _BELIEF_HALVES)
    service = wish.mean_time * (1 + (owner.pace - 1) * trust)
    queued = max(load + 1 - slots, 0) * service / slots
    return Forecast(
        wait=max(queued, owner.limit_ready_at(wish.priority) - now),
        service=service,
        failing=owner.failing * trust,
    )


def expect_worth(expected: Forecast, wish: PlacementRequest) -> float:
    """Expected worth of an answer, where one in time is worth 1."""
    left = wish.time_to_objective * _HEADROOM
    in_time = chance(expected.service, wish.log_deviation, left - expected.wait)
    at_all = chance(
        expected.service,
        wish.log_deviation,
        max(wish.time_to_deadline, wish.time_to_objective) - expected.wait,
    )
    worth = in_time + _LATE_WORTH * max(at_all - in_time, 0)
    speed = _SPEED_WORTH * expected.time / max(wish.time_to_objective, 0.001)
    return worth * (1 - expected.failing) - speed


def choose_owner(
    owners: Sequence[OwnerEstimate],
    wish: PlacementRequest,
    *,
    zone: AvailabilityZone,
    excluded: Collection[VmId],
    now: float,
    random: Random,
) -> OwnerEstimate | None:
    """The owner to send a request to.

    Each one is judged by the worth of the answer that can be expected there,
    less the bytes that would cross to another zone. So a request stays in
    its own zone as long as it has about the same chance to be in time there,
    and large ones stay longer than small ones.
    """
    usable = [
        owner
        for owner in _reachable(owners, excluded, now)
        if _has_room(owner, wish, now)
        and not owner.holds_back(wish.priority, now, random)
    ]
    near = [owner for owner in usable if owner.availability_zone == zone]
    far = [owner for owner in usable if owner.availability_zone != zone]
    best, worth = _best(near, wish, now, random)
    other, worth_far = _best(far, wish, now, random)
    if best is None or worth_far - wish.cross_zone_cost > worth:
        return other or best
    return best


def find_limit_wait(
    owners: Sequence[OwnerEstimate],
    wish: PlacementRequest,
    *,
    excluded: Collection[VmId],
    now: float,
) -> float:
    """Time until some limit has room, in seconds; 0 if there is no limit."""
    pauses = [
        owner.usual_pause(wish.priority)
        for owner in _reachable(owners, excluded, now)
        if owner.is_limited
    ]
    return min(pauses, default=0)


def _reachable(
    owners: Sequence[OwnerEstimate],
    excluded: Collection[VmId],
    now: float,
) -> Iterator[OwnerEstimate]:
    for owner in owners:
        if owner.down_until <= now and owner.vm not in excluded:
            yield owner


def _has_room(owner: OwnerEstimate, wish: PlacementRequest, now: float) -> bool:
    """Whether its limit has room so soon that it takes the request."""
    wait = owner.limit_ready_at(wish.priority) - now
    if wait <= 0:
        return True
    is_late = SPREAD * wish.mean_time > wish.time_to_objective
    return fits_behind(
        wait,
        wish.mean_time,
        left=None if is_late else wish.time_to_objective,
        patience=wish.time_to_deadline,
    )


def _best(
    owners: list[OwnerEstimate],
    wish: PlacementRequest,
    now: float,
    random: Random,
) -> tuple[OwnerEstimate | None, float]:
    if len(owners) > _MAX_LOOKS:
        owners = random.sample(owners, _MAX_LOOKS)
    best = None
    most = float('-inf')
    worth = most
    for owner in owners:
        expected = forecast(owner, wish, now)
        likely = expect_worth(expected, wish)
        expected.service *= 1 + _NOISE * random.random()
        ranked = expect_worth(expected, wish)
        if ranked > most:
            best = owner
            most = ranked
            worth = likely
    return best, worth
