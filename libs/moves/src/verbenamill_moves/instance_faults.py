"""Tells a broken instance from a bad version."""

from datetime import datetime, timedelta

from msgspec import Struct

from verbenamill_model.typing import VmId

#: What is left of an instance's calls after each step.
_MEMORY = 0.9
#: Calls below which an instance is forgotten.
_FORGOTTEN = 0.1
#: Share of bad calls in a step from which an instance looks broken.
_LOOKS_BROKEN = 0.05
#: Broken steps further apart belong to different faults.
_EPISODE = timedelta(seconds=1)
#: A crashed instance is gone after this: its lease has lapsed.
_CRASH = timedelta(seconds=2)
#: Bad calls that count in any case; too few to condemn a version.
_ALLOWED = 2
#: Calls that the other instances need for an opinion,
_OTHERS_CALLS = 10
#: and their share of bad ones, against that of the worst, that agrees.
_AGREES = 0.1


class _Instance(Struct):
    calls: float = 0
    bad: float = 0
    episode_bad: int = 0
    first_bad: datetime | None = None
    last_bad: datetime | None = None


class InstanceFaults:
    """Recent calls of each instance of the new version.

    An upstream that crashes fails its calls until it is missed. The symptom
    would be a good version vetoed because one VM of it died. Other instances
    with enough calls and no such failures contradict that, so the calls of a
    single broken instance are left out for as long as a crashed one can go
    on failing them.
    """

    def __init__(self) -> None:
        self._instances: dict[VmId, _Instance] = {}

    def add(self, vm: VmId, calls: int, bad: int, *, now: datetime) -> None:
        """Count calls of an instance in this step."""
        known = self._instances.setdefault(vm, _Instance())
        known.calls += calls
        known.bad += bad
        if not bad or bad / calls < _LOOKS_BROKEN:
            return
        if known.last_bad is None or now - known.last_bad > _EPISODE:
            known.first_bad = now
            known.episode_bad = 0
        known.last_bad = now
        known.episode_bad += bad

    def forget(self) -> None:
        """Let older calls count for less; to be called at each step."""
        for vm, known in tuple(self._instances.items()):
            known.calls *= _MEMORY
            known.bad *= _MEMORY
            if known.calls < _FORGOTTEN:
                self._instances.pop(vm)

    def find_broken(self, now: datetime) -> VmId | None:
        """The instance whose calls in this step are to be left out."""
        if len(self._instances) < 2:
            return None
        worst = max(self._instances, key=lambda vm: self._instances[vm].bad)
        known = self._instances[worst]
        if known.first_bad is None or known.last_bad != now:
            return None
        lasts = now - known.first_bad > _CRASH
        if lasts or known.episode_bad <= _ALLOWED or self._agree(known):
            return None
        return worst

    def _agree(self, worst: _Instance) -> bool:
        """Whether the other instances are bad as well, or too quiet."""
        known = self._instances.values()
        others = sum(one.calls for one in known) - worst.calls
        bad = sum(one.bad for one in known) - worst.bad
        if others < _OTHERS_CALLS:
            return True
        return bad / others >= worst.bad / worst.calls * _AGREES
