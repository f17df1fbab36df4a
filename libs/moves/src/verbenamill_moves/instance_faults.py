"""Distinguishes a broken instance from a bad version."""

from datetime import datetime, timedelta

from msgspec import Struct

from verbenamill_model.typing import VmId

#: Factor by which the recorded calls of an instance decay at each step.
_DECAY = 0.9
#: Decayed number of calls below which an instance is no longer tracked.
_MIN_TRACKED_CALLS = 0.1
#: Share of bad calls in a step from which an instance is possibly broken.
_BROKEN_SHARE = 0.05
#: Bad steps that are further apart than this belong to different faults.
_FAULT_GAP = timedelta(seconds=1)
#: Longest time for which a crashed instance fails calls; after that, its
#: lease has expired and it is no longer a member.
_MAX_CRASH_DURATION = timedelta(seconds=2)
#: Bad calls per fault that always count; they are too few for a veto.
_ALWAYS_COUNTED_CALLS = 2
#: Calls of the other instances that are needed to compare with them.
_MIN_OTHER_CALLS = 10
#: The other instances are bad as well if their share of bad calls is at least
#: this fraction of the share of the worst instance.
_SIMILAR_SHARE = 0.1


class _Instance(Struct):
    calls: float = 0
    bad: float = 0
    fault_bad: int = 0
    first_bad: datetime | None = None
    last_bad: datetime | None = None


class InstanceFaults:
    """Recent calls of each instance of the new version.

    A crashed upstream fails its calls until the members notice its absence,
    and a good version would be vetoed because one of its VMs died. If the
    other instances have enough calls and no such failures, the calls of a
    single broken instance are therefore left out, for as long as a crashed
    instance can fail calls.
    """

    def __init__(self) -> None:
        self._instances: dict[VmId, _Instance] = {}

    def add(self, vm: VmId, calls: int, bad: int, *, now: datetime) -> None:
        """Add the calls of an instance in this step."""
        instance = self._instances.setdefault(vm, _Instance())
        instance.calls += calls
        instance.bad += bad
        if not bad or bad / calls < _BROKEN_SHARE:
            return
        if instance.last_bad is None or now - instance.last_bad > _FAULT_GAP:
            instance.first_bad = now
            instance.fault_bad = 0
        instance.last_bad = now
        instance.fault_bad += bad

    def decay(self) -> None:
        """Reduce the weight of older calls; called at each step."""
        for vm, instance in tuple(self._instances.items()):
            instance.calls *= _DECAY
            instance.bad *= _DECAY
            if instance.calls < _MIN_TRACKED_CALLS:
                self._instances.pop(vm)

    def find_broken(self, now: datetime) -> VmId | None:
        """Return the instance whose calls in this step must be left out."""
        if len(self._instances) < 2:
            return None
        worst = max(self._instances, key=lambda vm: self._instances[vm].bad)
        instance = self._instances[worst]
        if instance.first_bad is None or instance.last_bad != now:
            return None
        too_long = now - instance.first_bad > _MAX_CRASH_DURATION
        if (
            too_long
            or instance.fault_bad <= _ALWAYS_COUNTED_CALLS
            or self._others_similar(instance)
        ):
            return None
        return worst

    def _others_similar(self, worst: _Instance) -> bool:
        """Whether the others are bad as well, or have too few calls."""
        instances = self._instances.values()
        others = sum(one.calls for one in instances) - worst.calls
        bad = sum(one.bad for one in instances) - worst.bad
        if others < _MIN_OTHER_CALLS:
            return True
        return bad / others >= worst.bad / worst.calls * _SIMILAR_SHARE
