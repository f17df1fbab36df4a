"""Evidence on one route, for each fault, in the own zone and all zones."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from enum import Enum, unique

import msgspec
from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone, RouteName
from verbenamill_moves.evidence import RouteCounts
from verbenamill_moves.histogram import (
    Histogram,
    add_histogram,
    buckets_for,
    count_calls,
    count_slower,
    quantile,
)
from verbenamill_moves.likelihood import LikelihoodTest, PairedCounts

#: A call is slow if its latency exceeds this quantile of the earlier calls of
#: the old version times the factor. The limit is known once there are enough
#: such calls; beyond the larger number, the older calls lose weight.
_SLOW_QUANTILE = 0.9
_SLOW_FACTOR = 1.5
_MIN_SLOW_LIMIT_CALLS = 20
_MAX_SLOW_LIMIT_CALLS = 2000
#: Factor by which the calls shown in findings decay at each step.
_RECENT_DECAY = 0.8
#: Calls of the old version that a zone needs for weighting by zone.
_MIN_ZONE_CALLS = 5


@unique
class Fault(str, Enum):
    """Kinds of faults of a version."""

    FAILURES = 'failures'
    SLOWNESS = 'slowness'


@unique
class Scope(str, Enum):
    """Zones whose calls a test judges."""

    OWN = 'own zone'
    ALL = 'all zones'


class _FaultModel(Struct, frozen=True):
    """Baseline floor of bad calls and the shares that a bad version adds."""

    floor: float
    added_shares: tuple[float, ...]


_FAULT_MODELS = {
    Fault.FAILURES: _FaultModel(0.005, (0.02, 0.07, 0.2, 0.5, 0.95)),
    Fault.SLOWNESS: _FaultModel(0.02, (0.1, 0.25, 0.5, 0.9)),
}


class Finding(Struct, frozen=True, kw_only=True):
    """The strongest evidence against a version.

    :param weight: natural logarithm of the likelihood ratio.
    :param needed: weight from which the version is bad.
    :param counts: calls of the last seconds, decayed by their age.
    """

    fault: Fault
    route: RouteName
    scope: str
    weight: float
    needed: float
    counts: PairedCounts

    @property
    def conclusive(self) -> bool:
        """Whether the version is bad, given the permitted error rate."""
        return self.weight >= self.needed

    def describe(self) -> str:
        """Describe the finding in a sentence for the audit trail."""
        where = f'route {self.route}' if self.route else 'all routes'
        counts = self.counts
        return (
            f'{self.fault.value} on {where}, {self.scope}: lately new '
            f'{counts.new_bad:.0f} of {counts.new:.0f} calls, old '
            f'{counts.old_bad:.0f} of {counts.old:.0f}; evidence '
            f'e^{self.weight:.1f}, needed e^{self.needed:.1f}'
        )


class _VersionCalls(Struct):
    """Calls of one version in one zone during one step."""

    calls: int = 0
    failed: int = 0
    latencies: Histogram = msgspec.field(default_factory=dict)

    def pair_with_old(
        self, old: '_VersionCalls', fault: Fault, slow_limit: int | None
    ) -> PairedCounts:
        """Pair the calls of both versions that are relevant for a fault."""
        if fault is Fault.FAILURES:
            return PairedCounts(self.calls, self.failed, old.calls, old.failed)
        if slow_limit is None:
            return PairedCounts()
        return PairedCounts(
            count_calls(self.latencies),
            count_slower(self.latencies, slow_limit),
            count_calls(old.latencies),
            count_slower(old.latencies, slow_limit),
        )


class _ZoneStep(Struct):
    """Calls of both versions in one zone since the last step."""

    new: _VersionCalls = msgspec.field(default_factory=_VersionCalls)
    old: _VersionCalls = msgspec.field(default_factory=_VersionCalls)


class DelayedTest:
    """Sequential test that judges each step when the next one is known."""

    def __init__(self, test: LikelihoodTest, now: datetime) -> None:
        self.test = test
        self.recent = PairedCounts()
        self._previous = PairedCounts()
        self._updated_at = now

    def update(self, counts: PairedCounts, now: datetime) -> None:
        """Judge the previous step with the help of the current one.

        Owners report at different times, so a fault of both versions may show
        on one of them half a second earlier than on the other. Comparing the
        calls of the new version with those of the old version in the same and
        the next step avoids attributing such a fault to the new version.
        """
        judged = PairedCounts(
            self._previous.new,
            self._previous.new_bad,
            (self._previous.old + counts.old) / 2,
            (self._previous.old_bad + counts.old_bad) / 2,
        )
        self._previous = counts
        if not judged.new and not judged.old:
            return
        elapsed = (now - self._updated_at).total_seconds()
        self._updated_at = now
        self.test.update(judged, elapsed=elapsed)
        self.recent = self.recent.scaled(_RECENT_DECAY).add(judged)


class RouteEvidence:
    """Evidence on one route, or on all routes together."""

    def __init__(self, *, duration: float, now: datetime) -> None:
        self.steps: dict[AvailabilityZone, _ZoneStep] = defaultdict(_ZoneStep)
        self._old_latencies: Histogram = {}
        self._slow_beyond: int | None = None
        self._delayed_tests = {
            (fault, scope): DelayedTest(
                LikelihoodTest(
                    floor=model.floor,
                    added_shares=model.added_shares,
                    duration=duration,
                ),
                now,
            )
            for fault, model in _FAULT_MODELS.items()
            for scope in Scope
        }

    @property
    def slow_beyond(self) -> int | None:
        """Bucket above which calls are slow, or ``None`` if not known yet."""
        return self._slow_beyond

    def judge_step(self, own_zone: AvailabilityZone, now: datetime) -> None:
        """Judge the calls that were reported since the last step."""
        for (fault, scope), delayed_test in self._delayed_tests.items():
            zone_counts = [
                step.new.pair_with_old(step.old, fault, self._slow_beyond)
                for zone, step in self.steps.items()
                if scope is Scope.ALL or zone == own_zone
            ]
            delayed_test.update(_pool_zones(zone_counts), now)
        self._update_slow_limit()
        self.steps.clear()

    def delayed_tests(self) -> Iterator[tuple[Fault, Scope, DelayedTest]]:
        """Iterate over the tests of all faults and scopes."""
        for (fault, scope), delayed_test in self._delayed_tests.items():
            yield fault, scope, delayed_test

    def _update_slow_limit(self) -> None:
        """Set the limit of the next step from past calls of the old version.

        The limit has to be set before the calls that it judges. A limit
        derived from the same calls would invalidate the error rate of the
        test.
        """
        for step in self.steps.values():
            add_histogram(self._old_latencies, step.old.latencies)
        calls = count_calls(self._old_latencies)
        if calls > _MAX_SLOW_LIMIT_CALLS:
            self._old_latencies = {
                bucket: calls // 2
                for bucket, calls in self._old_latencies.items()
            }
        if calls >= _MIN_SLOW_LIMIT_CALLS:
            baseline = quantile(self._old_latencies, _SLOW_QUANTILE)
            self._slow_beyond = baseline + buckets_for(_SLOW_FACTOR)


def _pool_zones(zone_counts: Iterable[PairedCounts]) -> PairedCounts:
    """Combine the calls of several zones.

    If both versions have a fault in a zone where the share of the new version
    is higher, the fault affects more calls of the new version. Weighting the
    rates of the old version by the calls of the new one removes this bias.
    With few calls the bias is too small to matter.
    """
    total = PairedCounts()
    expected_bad = float(0)
    comparable = True
    for counts in zone_counts:
        total = total.add(counts)
        if counts.new and counts.old >= _MIN_ZONE_CALLS:
            expected_bad += counts.new * counts.old_bad / counts.old
        elif counts.new:
            comparable = False
    if not comparable or not total.new:
        return total
    bad = total.old * expected_bad / total.new
    return PairedCounts(total.new, total.new_bad, total.old, bad)


def add_route_counts(version_calls: _VersionCalls, counts: RouteCounts) -> None:
    version_calls.calls += counts.answered
    version_calls.failed += counts.failed
    add_histogram(version_calls.latencies, counts.latencies)
