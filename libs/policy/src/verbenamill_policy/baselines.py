"""What is usual for the old versions of a service."""

from verbenamill_model.typing import VersionName
from verbenamill_policy.tallies import RouteCounts, mean_log

#: Rate of failures of a good version, where little is known of it.
USUAL_FAILURES = 0.03
#: Part of the old version's requests that may take longer than what counts
#: as a long time, before the allowance below.
_TAIL = 0.05
#: Buckets by which a new version may be slower all in all: a factor of 1.7, as
#: when it gets nearly all requests. How upstreams differ is in the times of
#: the old version already.
_ALLOWANCE = 3
#: Calls of the old version without which its tail says nothing.
_FEW_FOR_TAIL = 30
#: Calls of the old version without which its mean says nothing.
_FEW = 5
#: Calls of one of several old versions that make a baseline by themselves. The
#: best of versions with few calls would be one that had luck.
_ENOUGH = 30
#: Part of the old version's counts that is kept at each step.
_FADE = 0.97


class VersionCounts:
    """Counts of one old version on one route; earlier ones fade."""

    def __init__(self) -> None:
        self.calls = float(0)
        self.lost = float(0)
        self.failed = float(0)
        self.times: dict[int, float] = {}

    def fade(self) -> None:
        self.calls *= _FADE
        self.lost *= _FADE
        self.failed *= _FADE
        for bucket in self.times:
            self.times[bucket] *= _FADE

    def add(self, change: 'RouteCounts | VersionCounts') -> None:
        self.calls += change.calls
        self.lost += change.lost
        self.failed += change.failed
        for bucket, count in change.times.items():
            self.times[bucket] = self.times.get(bucket, 0) + count

    @property
    def failure_rate(self) -> float:
        """Part of its answers that tell of a failure."""
        answered = self.calls - self.lost
        return (self.failed + USUAL_FAILURES) / (answered + 1)

    @property
    def loss_rate(self) -> float:
        """Part of its requests that got no answer."""
        return (self.lost + USUAL_FAILURES) / (self.calls + 1)

    @property
    def mean_log(self) -> float | None:
        """Mean logarithm of its times; ``None`` if too few are known."""
        if sum(self.times.values()) < _FEW:
            return None
        return mean_log(self.times)

    @property
    def long_bucket(self) -> int | None:
        """The last bucket that is no long time yet, if one can be told."""
        timed = sum(self.times.values())
        if timed < _FEW_FOR_TAIL:
            return None
        beyond = float(0)
        for bucket in sorted(self.times, reverse=True):
            beyond += self.times[bucket]
            if beyond > timed * _TAIL:
                return bucket + _ALLOWANCE
        return None


class Baseline:
    """What is usual on one route, by all old versions.

    One of them may be bad itself: the version of a move that was replaced
    before its verdict. So answers are compared with the best of those that
    have had enough calls. What gets no answer is mostly lost with a VM,
    whatever ran there; all versions together tell how often that happens.
    """

    def __init__(self) -> None:
        self._versions: dict[VersionName, VersionCounts] = {}

    def fade(self) -> None:
        for sums in self._versions.values():
            sums.fade()

    def add(self, version: VersionName, change: RouteCounts) -> None:
        self._versions.setdefault(version, VersionCounts()).add(change)

    @property
    def failure_rate(self) -> float:
        return min(sums.failure_rate for sums in self._references)

    @property
    def loss_rate(self) -> float:
        return self._pool.loss_rate

    @property
    def mean_log(self) -> float | None:
        means = (sums.mean_log for sums in self._references)
        return min((mean for mean in means if mean is not None), default=None)

    @property
    def long_bucket(self) -> int | None:
        buckets = (sums.long_bucket for sums in self._references)
        return min((one for one in buckets if one is not None), default=None)

    @property
    def _references(self) -> list[VersionCounts]:
        known = self._versions.values()
        enough = [sums for sums in known if sums.calls >= _ENOUGH]
        return enough or [self._pool]

    @property
    def _pool(self) -> VersionCounts:
        pool = VersionCounts()
        for sums in self._versions.values():
            pool.add(sums)
        return pool
