"""Which daemon's upstream a request goes to."""

import math
from collections.abc import Collection, Sequence
from random import Random

from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone, VmId

#: Weight of the newest answer in what is believed of an owner.
_WEIGHT = 0.15
#: Bounds of an owner's pace; beyond them a single answer would decide.
_MIN_PACE = 0.25
_MAX_PACE = 12.0
#: Pace of an owner that was not tried yet: a little better than the mean, so
#: that a new upstream gets requests at once.
_FIRST_PACE = 0.8
#: How much slower an upstream is expected to be when all slots are taken.
_CROWDING = 0.4
#: Time a failed answer is taken to cost, in seconds: the request has to be
#: sent again, and its first run was for nothing.
_FAILURE_COST = 0.6
#: After this long an owner's load is taken to have halved, in seconds.
_LOAD_HALVES = 0.5
#: After this long without an answer, half of what is believed of an owner's
#: failures and pace is forgotten, in seconds: it may have recovered, and only
#: requests can show that.
_BELIEF_HALVES = 2.0
#: Owners looked at for one request. More cost time and gain little.
_MAX_LOOKS = 12
#: Random part of an estimate. Daemons that hear the same would all choose
#: the same owner otherwise and fill it at once.
_NOISE = 0.15

#: Shortest and longest time in which no request goes to an owner that could
#: not be reached, in seconds.
FIRST_PAUSE = 0.25
LONGEST_PAUSE = 4.0


class Owner:
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
        self.pause = FIRST_PAUSE
        self.samples = 0

    def sent(self) -> None:
        """Count a request that goes there now."""
        self.load += 1

    def tell_load(self, load: int, now: float) -> None:
        """Take in the load that came with a reply."""
        self.load = float(load)
        self.told_at = now
        self.pause = FIRST_PAUSE
        self.down_until = 0

    def tell_time(self, took: float, usual: float) -> None:
        """Take in a service time, beside the usual one of its route."""
        pace = min(max(took / max(usual, 0.001), _MIN_PACE), _MAX_PACE)
        weight = max(_WEIGHT, 1 / (self.samples + 2))
        self.samples += 1
        self.pace += weight * (pace - self.pace)

    def tell_outcome(self, *, failed: bool) -> None:
        """Take in whether an answer was a failure."""
        self.failing += _WEIGHT * (float(failed) - self.failing)

    def mark_down(self, now: float) -> None:
        """It could not be reached: leave it alone for a while."""
        self.down_until = now + self.pause
        self.pause = min(self.pause * 2, LONGEST_PAUSE)

    def expect_load(self, now: float) -> float:
        """Load by now: what was told long ago has gone meanwhile."""
        age = now - self.told_at
        if age <= _LOAD_HALVES:
            return self.load
        return self.load * _halved(age, _LOAD_HALVES)


class Wish(Struct, kw_only=True):
    """A request that looks for an owner.

    :param usual: mean service time of its route, in seconds.
    :param left: time to its latency objective, in seconds.
    :param reach: share of that time up to which waiting in the own zone is
        preferred to another zone.
    """

    usual: float
    left: float
    reach: float


def _halved(age: float, half_life: float) -> float:
    return math.pow(2, -age / half_life)


def expect_time(owner: Owner, wish: Wish, now: float) -> float:
    """Expected time until an owner's answer, in seconds."""
    load = owner.expect_load(now)
    slots = owner.slots
    trust = _halved(max(now - owner.told_at, 0), _BELIEF_HALVES)
    service = wish.usual * (1 + (owner.pace - 1) * trust)
    crowded = 1 + _CROWDING * min(load / slots, 1) ** 2
    queue = max(load + 1 - slots, 0) / slots
    # A slow owner's queue moves at its own pace as well.
    return service * (crowded + queue) + owner.failing * trust * _FAILURE_COST


def choose(
    owners: Sequence[Owner],
    wish: Wish,
    *,
    zone: AvailabilityZone,
    excluded: Collection[VmId],
    now: float,
    random: Random,
) -> Owner | None:
    """The owner to send a request to.

    The own zone goes first as long as the answer can be expected well
    within the objective there: bytes between zones cost, and a zone that is
    cut off has to do without the others. Beyond that, whoever is fastest.
    """
    usable = [
        owner
        for owner in owners
        if owner.down_until <= now and owner.vm not in excluded
    ]
    near = [owner for owner in usable if owner.availability_zone == zone]
    best, expected = _fastest(near, wish, now, random)
    if best is not None and expected <= wish.left * wish.reach:
        return best
    far = [owner for owner in usable if owner.availability_zone != zone]
    other, expected_far = _fastest(far, wish, now, random)
    if best is None or (other is not None and expected_far < expected):
        return other
    return best


def _fastest(
    owners: list[Owner],
    wish: Wish,
    now: float,
    random: Random,
) -> tuple[Owner | None, float]:
    if len(owners) > _MAX_LOOKS:
        owners = random.sample(owners, _MAX_LOOKS)
    best = None
    least = float('inf')
    for owner in owners:
        noise = 1 + _NOISE * random.random()
        expected = expect_time(owner, wish, now) * noise
        if expected < least:
            best = owner
            least = expected
    return best, least
