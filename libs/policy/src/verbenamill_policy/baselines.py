"""Normal failure rates and times of the old versions of a service."""

from verbenamill_model.typing import VersionName
from verbenamill_policy.tallies import RouteCounts, mean_log

#: Failure rate assumed for a good version with few counts.
TYPICAL_FAILURE_RATE = 0.03
#: Share of the old version's requests whose times lie above the bound of long
#: times, before the allowance below is added to it.
_TAIL_SHARE = 0.05
#: Number of buckets by which a new version may be slower overall: a factor of
#: 1.7, as when it gets nearly all requests. Differences between upstreams are
#: already part of the old version's times.
_ALLOWANCE_BUCKETS = 3
#: Minimum number of times of the old version from which its tail is derived.
_MIN_TIMES_FOR_TAIL = 30
#: Minimum number of times of the old version from which its mean is derived.
_MIN_TIMES_FOR_MEAN = 5
#: Minimum number of calls from which on one of several old versions is a
#: baseline by itself. Among versions with fewer calls, the best one would
#: only be the luckiest.
_MIN_CALLS_FOR_BASELINE = 30
#: Share of the old version's counts that is retained at each step.
_RETAINED_SHARE = 0.97


class VersionCounts:
    """Counts of one old version on one route, with exponential decay."""

    def __init__(self) -> None:
        self.calls = float(0)
        self.lost = float(0)
        self.failed = float(0)
        self.times: dict[int, float] = {}

    def decay(self) -> None:
        self.calls *= _RETAINED_SHARE
        self.lost *= _RETAINED_SHARE
        self.failed *= _RETAINED_SHARE
        for bucket in self.times:
            self.times[bucket] *= _RETAINED_SHARE

    def add(self, change: 'RouteCounts | VersionCounts') -> None:
        self.calls += change.calls
        self.lost += change.lost
        self.failed += change.failed
        for bucket, count in change.times.items():
            self.times[bucket] = self.times.get(bucket, 0) + count

    @property
    def failure_rate(self) -> float:
        """Share of its answers that report a failure."""
        answered = self.calls - self.lost
        return (self.failed + TYPICAL_FAILURE_RATE) / (answered + 1)

    @property
    def loss_rate(self) -> float:
        """Share of its requests that got no answer."""
        return (self.lost + TYPICAL_FAILURE_RATE) / (self.calls + 1)

    @property
    def mean_log(self) -> float | None:
        """Mean logarithm of its times; ``None`` if there are too few."""
        if sum(self.times.values()) < _MIN_TIMES_FOR_MEAN:
            return None
        return mean_log(self.times)

    @property
    def long_bucket(self) -> int | None:
        """Last bucket below the long times; ``None`` with too few times."""
        timed = sum(self.times.values())
        if timed < _MIN_TIMES_FOR_TAIL:
            return None
        tail = float(0)
        for bucket in sorted(self.times, reverse=True):
            tail += self.times[bucket]
            if tail > timed * _TAIL_SHARE:
                return bucket + _ALLOWANCE_BUCKETS
        return None


class Baseline:
    """Normal rates and times on one route, from all old versions.

    One of the old versions may itself be bad, such as the version of a move
    that was replaced before its verdict. Answers are therefore compared with
    the best of the versions that have enough calls. Requests without an answer
    are mostly lost with a VM, independently of the version it runs, so their
    rate is taken from all versions together.
    """

    def __init__(self) -> None:
        self._versions: dict[VersionName, VersionCounts] = {}

    def decay(self) -> None:
        for counts in self._versions.values():
            counts.decay()

    def add(self, version: VersionName, change: RouteCounts) -> None:
        self._versions.setdefault(version, VersionCounts()).add(change)

    @property
    def failure_rate(self) -> float:
        return min(counts.failure_rate for counts in self._references)

    @property
    def loss_rate(self) -> float:
        return self._pooled.loss_rate

    @property
    def mean_log(self) -> float | None:
        means = (counts.mean_log for counts in self._references)
        return min((mean for mean in means if mean is not None), default=None)

    @property
    def long_bucket(self) -> int | None:
        buckets = (counts.long_bucket for counts in self._references)
        return min((one for one in buckets if one is not None), default=None)

    @property
    def _references(self) -> list[VersionCounts]:
        known = self._versions.values()
        eligible = [
            counts
            for counts in known
            if counts.calls >= _MIN_CALLS_FOR_BASELINE
        ]
        return eligible or [self._pooled]

    @property
    def _pooled(self) -> VersionCounts:
        pooled = VersionCounts()
        for counts in self._versions.values():
            pooled.add(counts)
        return pooled
