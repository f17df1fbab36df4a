"""What the owners' counts say of a new version."""

from collections.abc import Iterable
from math import log

from msgspec import Struct

from verbenamill_model.typing import RouteName, VersionName, VmId
from verbenamill_policy.baselines import USUAL_FAILURES, Baseline
from verbenamill_policy.tallies import (
    RouteCounts,
    Tally,
    difference,
    mean_log,
)

#: Logarithm of the likelihood ratio at which a version is bad. A good one
#: reaches it in about one of a thousand moves.
CONCLUSIVE = 7.0
#: Most that one owner adds while there are others: a single sick upstream
#: must not condemn the version that it happens to run.
_MOST_OF_ONE = 4.0
#: Rate of failures of a bad version beyond that of a good one.
_BAD_FAILURES = 0.15
#: Slower than this many times the old version is slow. Upstreams of one
#: version differ by a factor of up to about 1.5 from their mean, and are
#: about as much slower again while most of their slots are taken, as they
#: are when the new version has just got all requests.
_SLOW = 2.6
#: A single time counts as at most this many times the old version's mean
#: (logarithm), so that no single one decides.
_SLOWEST = 1.8
#: Part of the requests of a good version, and of a bad one, that take a long
#: time. A version that is slow in half of its requests shows by this much
#: sooner than by its mean.
_USUAL_LONG = 0.1
_BAD_LONG = 0.4


class Finding(Struct, frozen=True):
    """How much speaks against a version, and what."""

    weight: float
    reason: str

    @property
    def is_conclusive(self) -> bool:
        """Whether the version is to be taken back."""
        return self.weight >= CONCLUSIVE


class Evidence:
    """Compares the new version of one move with the old ones.

    Four running sums (CUSUM) for each route and owner of the new version: of
    failures, of lost requests, of times above the mean, of long times. Each
    begins anew at zero, so that a version that turns bad late costs no walk
    back from all the good seen before.

    Failures and losses each have a baseline of their own. Upstreams that
    crash for any other reason take many requests with them; counted together,
    a version that answers with failures would pass for a usual one.
    """

    def __init__(self, target: VersionName) -> None:
        self._target = target
        self._seen: dict[tuple[VmId, str, RouteName], RouteCounts] = {}
        self._old: dict[RouteName, Baseline] = {}
        self._failing: dict[RouteName, dict[VmId, float]] = {}
        self._losing: dict[RouteName, dict[VmId, float]] = {}
        self._slow: dict[RouteName, dict[VmId, float]] = {}
        self._long: dict[RouteName, dict[VmId, float]] = {}
        self._calls: dict[VmId, int] = {}

    @property
    def calls(self) -> int:
        """Requests that the new version has answered."""
        return sum(self._calls.values())

    def update(self, tallies: Iterable[Tally]) -> None:
        """Take in the owners' counts of now."""
        fresh = list(tallies)
        for baseline in self._old.values():
            baseline.fade()
        for tally in fresh:
            if tally.version != self._target:
                for change in self._changes(tally):
                    usual = self._old.setdefault(change.route, Baseline())
                    usual.add(tally.version, change)
        for tally in fresh:
            if tally.version == self._target:
                for change in self._changes(tally):
                    self._weigh(tally.vm, change)

    def finding(self) -> Finding:
        """What speaks most against the new version."""
        worst = Finding(0, 'nothing')
        for kind, by_route in (
            ('fails', self._failing),
            ('gives no answer', self._losing),
            ('is slow', self._slow),
            ('is slow at times', self._long),
        ):
            for route, weights in by_route.items():
                weight = self._join(weights)
                if weight > worst.weight:
                    worst = Finding(weight, f'{self._target} {kind} on {route}')
        return worst

    def _join(self, weights: dict[VmId, float]) -> float:
        if len(self._calls) <= 1:
            return sum(weights.values())
        return sum(min(weight, _MOST_OF_ONE) for weight in weights.values())

    def _changes(self, tally: Tally) -> list[RouteCounts]:
        changes = []
        for counts in tally.routes:
            key = (tally.vm, tally.instance, counts.route)
            before = self._seen.get(key, RouteCounts(counts.route))
            self._seen[key] = counts
            # A daemon that was restarted counts from zero again.
            if counts.calls > before.calls:
                changes.append(difference(counts, before))
        return changes

    def _weigh(self, vm: VmId, change: RouteCounts) -> None:
        route = change.route
        self._calls[vm] = self._calls.get(vm, 0) + change.calls
        old = self._old.setdefault(route, Baseline())
        failing = self._failing.setdefault(route, {})
        added = _weigh_share(change.failed, change.answered, old.failure_rate)
        failing[vm] = max(failing.get(vm, 0) + added, 0)
        losing = self._losing.setdefault(route, {})
        added = _weigh_share(change.lost, change.calls, old.loss_rate)
        losing[vm] = max(losing.get(vm, 0) + added, 0)
        if not change.times:
            return
        usual = old.mean_log
        if usual is not None:
            slow = self._slow.setdefault(route, {})
            slow[vm] = max(slow.get(vm, 0) + _weigh_times(change, usual), 0)
        long_bucket = old.long_bucket
        if long_bucket is not None:
            longs = self._long.setdefault(route, {})
            added = _weigh_tail(change, long_bucket)
            longs[vm] = max(longs.get(vm, 0) + added, 0)


def _weigh_share(failed: int, calls: int, usual: float) -> float:
    """Logarithm of the likelihood ratio of bad against good."""
    good = min(max(USUAL_FAILURES, usual * 1.5), 0.8)
    bad = min(good + _BAD_FAILURES, 0.95)
    return failed * log(bad / good) + (calls - failed) * log(
        (1 - bad) / (1 - good),
    )


def _weigh_times(change: RouteCounts, usual: float) -> float:
    excess = mean_log(change.times) - usual
    timed = sum(change.times.values())
    return timed * (min(excess, _SLOWEST) - log(_SLOW))


def _weigh_tail(change: RouteCounts, long_bucket: int) -> float:
    """Logarithm of the likelihood ratio of bad against good."""
    timed = sum(change.times.values())
    long = sum(
        count for bucket, count in change.times.items() if bucket > long_bucket
    )
    return long * log(_BAD_LONG / _USUAL_LONG) + (timed - long) * log(
        (1 - _BAD_LONG) / (1 - _USUAL_LONG),
    )
