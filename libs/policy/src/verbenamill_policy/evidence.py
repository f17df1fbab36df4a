"""Statistical evidence against a new version, from the owners' counts."""

from collections.abc import Iterable
from math import log
from typing import NamedTuple

from msgspec import Struct

from verbenamill_model.typing import RouteName, VersionName, VmId
from verbenamill_policy.baselines import TYPICAL_FAILURE_RATE, Baseline
from verbenamill_policy.tallies import (
    RouteCounts,
    Tally,
    difference,
    mean_log,
)

#: Logarithm of the likelihood ratio from which on a version is considered
#: bad. A good one reaches it in about one of a thousand moves.
CONCLUSIVE_WEIGHT = 7.0
#: Maximum contribution of one owner while there are others: a single faulty
#: upstream must not condemn the version that it happens to run.
_MAX_OWNER_WEIGHT = 4.0
#: An owner that got none of this number of latest requests has stopped, and no
#: longer counts as one that may exonerate the version.
_RECENT_CALLS = 16
#: Updates without a request after which it has. Owners report at different
#: times, and one update may cover many requests.
_RECENT_UPDATES = 16
#: Failure rate of a bad version in excess of that of a good one.
_EXCESS_FAILURE_RATE = 0.15
#: Ratio to the old version's mean time from which on a version is slow.
#: Upstreams of one version deviate from their mean by a factor of up to about
#: 1.5. They slow down by about the same factor again while most of their
#: slots are taken, as happens when the new version has just got all requests.
_SLOWDOWN = 2.6
#: Maximum logarithm of the ratio of a single time to the old version's mean,
#: so that no single time is decisive.
_MAX_LOG_RATIO = 1.8
#: Share of the requests of a good and of a bad version that take a long time.
#: A version that is slow in half of its requests is detected much sooner by
#: this share than by its mean.
_GOOD_LONG_SHARE = 0.1
_BAD_LONG_SHARE = 0.4


class Finding(Struct, frozen=True):
    """The strongest evidence against a version.

    :param weight: logarithm of the likelihood ratio of bad against good.
    """

    weight: float
    reason: str

    @property
    def is_conclusive(self) -> bool:
        """Whether the version has to be taken back."""
        return self.weight >= CONCLUSIVE_WEIGHT


class _Served(NamedTuple):
    """Requests and updates until an owner last served a request."""

    calls: int
    updates: int


class Evidence:
    """Compares the new version of one move with the old ones.

    It keeps four cumulative sums (CUSUM) for each route and owner of the new
    version: of failures, of lost requests, of times above the mean and of
    long times. No sum falls below zero, so a version that turns bad late is
    detected as fast as one that was bad from the start.

    Failures and losses have separate baselines. An upstream that crashes for
    an unrelated reason loses many requests at once; counted together with
    failures, these losses would make a version that answers with failures
    appear normal.
    """

    def __init__(self, target: VersionName) -> None:
        self._target = target
        self._last_counts: dict[tuple[VmId, str, RouteName], RouteCounts] = {}
        self._baselines: dict[RouteName, Baseline] = {}
        self._failing: dict[RouteName, dict[VmId, float]] = {}
        self._losing: dict[RouteName, dict[VmId, float]] = {}
        self._slow: dict[RouteName, dict[VmId, float]] = {}
        self._long: dict[RouteName, dict[VmId, float]] = {}
        self._calls = 0
        self._updates = 0
        self._last_served: dict[VmId, _Served] = {}

    @property
    def calls(self) -> int:
        """Number of requests that the new version has processed."""
        return self._calls

    def update(self, tallies: Iterable[Tally]) -> None:
        """Add the current counts of the owners."""
        current = list(tallies)
        self._updates += 1
        for baseline in self._baselines.values():
            baseline.decay()
        for tally in current:
            if tally.version != self._target:
                for change in self._changes(tally):
                    reference = self._baselines.setdefault(
                        change.route, Baseline()
                    )
                    reference.add(tally.version, change)
        for tally in current:
            if tally.version == self._target:
                for change in self._changes(tally):
                    self._add_change(tally.vm, change)

    def finding(self) -> Finding:
        """Find the strongest evidence against the new version."""
        worst = Finding(0, 'nothing')
        for kind, by_route in (
            ('fails', self._failing),
            ('gives no answer', self._losing),
            ('is slow', self._slow),
            ('is slow at times', self._long),
        ):
            for route, weights in by_route.items():
                weight = self._total_weight(weights)
                if weight > worst.weight:
                    worst = Finding(weight, f'{self._target} {kind} on {route}')
        return worst

    def _total_weight(self, weights: dict[VmId, float]) -> float:
        if self._count_active_owners() <= 1:
            return sum(weights.values())
        return sum(
            min(weight, _MAX_OWNER_WEIGHT) for weight in weights.values()
        )

    def _count_active_owners(self) -> int:
        """Count the owners that got some of the latest requests."""
        return sum(
            self._calls - last.calls < _RECENT_CALLS
            or self._updates - last.updates < _RECENT_UPDATES
            for last in self._last_served.values()
        )

    def _changes(self, tally: Tally) -> list[RouteCounts]:
        changes = []
        for counts in tally.routes:
            key = (tally.vm, tally.instance, counts.route)
            before = self._last_counts.get(key, RouteCounts(counts.route))
            self._last_counts[key] = counts
            # A restarted daemon counts from zero again.
            if counts.calls > before.calls:
                changes.append(difference(counts, before))
        return changes

    def _add_change(self, vm: VmId, change: RouteCounts) -> None:
        route = change.route
        self._calls += change.calls
        self._last_served[vm] = _Served(self._calls, self._updates)
        baseline = self._baselines.setdefault(route, Baseline())
        failing = self._failing.setdefault(route, {})
        added = _rate_weight(
            change.failed, change.answered, baseline.failure_rate
        )
        failing[vm] = max(failing.get(vm, 0) + added, 0)
        losing = self._losing.setdefault(route, {})
        added = _rate_weight(change.lost, change.calls, baseline.loss_rate)
        losing[vm] = max(losing.get(vm, 0) + added, 0)
        if not change.times:
            return
        usual = baseline.mean_log
        if usual is not None:
            slow = self._slow.setdefault(route, {})
            slow[vm] = max(slow.get(vm, 0) + _mean_weight(change, usual), 0)
        long_bucket = baseline.long_bucket
        if long_bucket is not None:
            long_times = self._long.setdefault(route, {})
            added = _tail_weight(change, long_bucket)
            long_times[vm] = max(long_times.get(vm, 0) + added, 0)


def _rate_weight(failed: int, calls: int, usual: float) -> float:
    """Logarithm of the likelihood ratio of bad against good, from failures."""
    good = min(max(TYPICAL_FAILURE_RATE, usual * 1.5), 0.8)
    bad = min(good + _EXCESS_FAILURE_RATE, 0.95)
    return failed * log(bad / good) + (calls - failed) * log(
        (1 - bad) / (1 - good),
    )


def _mean_weight(change: RouteCounts, usual: float) -> float:
    excess = mean_log(change.times) - usual
    timed = sum(change.times.values())
    return timed * (min(excess, _MAX_LOG_RATIO) - log(_SLOWDOWN))


def _tail_weight(change: RouteCounts, long_bucket: int) -> float:
    """Logarithm of the likelihood ratio of bad against good, from the tail."""
    timed = sum(change.times.values())
    long = sum(
        count for bucket, count in change.times.items() if bucket > long_bucket
    )
    return long * log(_BAD_LONG_SHARE / _GOOD_LONG_SHARE) + (
        timed - long
    ) * log(
        (1 - _BAD_LONG_SHARE) / (1 - _GOOD_LONG_SHARE),
    )
