"""Evidence on one route: every fault, in the own zone and in all."""

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

#: A call is slow beyond this quantile of the old version's earlier calls
#: times this factor; at least so many calls have to be known.
_SLOW_QUANTILE = 0.9
_SLOW_FACTOR = 1.5
_SLOW_HISTORY = 20
_SLOW_MEMORY = 2000
#: What is left of a step's calls after the next in what findings show.
_SHOWN_MEMORY = 0.8
#: Old calls of each zone that allow weighting by zone.
_ZONE_CALLS = 5


@unique
class Fault(str, Enum):
    """What is wrong with a version."""

    FAILURES = 'failures'
    SLOWNESS = 'slowness'


@unique
class Scope(str, Enum):
    """Zones whose calls a test looks at."""

    OWN = 'own zone'
    ALL = 'all zones'


class _Kind(Struct, frozen=True):
    """Usual share of bad calls, and shares that a bad version adds."""

    floor: float
    excesses: tuple[float, ...]


_KINDS = {
    Fault.FAILURES: _Kind(0.005, (0.02, 0.07, 0.2, 0.5, 0.95)),
    Fault.SLOWNESS: _Kind(0.02, (0.1, 0.25, 0.5, 0.9)),
}


class Finding(Struct, frozen=True, kw_only=True):
    """The strongest evidence against a version.

    :param weight: natural logarithm of the evidence.
    :param needed: weight from which the version is bad.
    :param pair: calls of the last seconds, older ones counted in part.
    """

    fault: Fault
    route: RouteName
    scope: str
    weight: float
    needed: float
    pair: PairedCounts

    @property
    def conclusive(self) -> bool:
        """Whether the version is bad at the stated error rate."""
        return self.weight >= self.needed

    def describe(self) -> str:
        """Say it in a sentence, for the audit trail."""
        where = f'route {self.route}' if self.route else 'all routes'
        pair = self.pair
        return (
            f'{self.fault.value} on {where}, {self.scope}: lately new '
            f'{pair.new_bad:.0f} of {pair.new:.0f} calls, old '
            f'{pair.old_bad:.0f} of {pair.old:.0f}; evidence '
            f'e^{self.weight:.1f}, needed e^{self.needed:.1f}'
        )


class _Side(Struct):
    """Calls of one version in one zone and step."""

    calls: int = 0
    failed: int = 0
    latencies: Histogram = msgspec.field(default_factory=dict)

    def pair_with(
        self, old: '_Side', fault: Fault, slow: int | None
    ) -> PairedCounts:
        """Calls of both versions that say something about a fault."""
        if fault is Fault.FAILURES:
            return PairedCounts(self.calls, self.failed, old.calls, old.failed)
        if slow is None:
            return PairedCounts()
        return PairedCounts(
            count_calls(self.latencies),
            count_slower(self.latencies, slow),
            count_calls(old.latencies),
            count_slower(old.latencies, slow),
        )


class _Step(Struct):
    """Calls of both versions in one zone since the last step."""

    new: _Side = msgspec.field(default_factory=_Side)
    old: _Side = msgspec.field(default_factory=_Side)


class DelayedTest:
    """One test and the calls it is about to judge."""

    def __init__(self, test: LikelihoodTest, now: datetime) -> None:
        self.test = test
        self.shown = PairedCounts()
        self._before = PairedCounts()
        self._updated_at = now

    def update(self, pair: PairedCounts, now: datetime) -> None:
        """Judge the step before, now that its surroundings are known.

        Owners report at different moments, so one side of a fault of both
        versions may show half a second before the other. Judging the new
        version's calls against the old one's of the same step and the next
        keeps such a fault from looking like one of the new version.
        """
        judged = PairedCounts(
            self._before.new,
            self._before.new_bad,
            (self._before.old + pair.old) / 2,
            (self._before.old_bad + pair.old_bad) / 2,
        )
        self._before = pair
        if not judged.new and not judged.old:
            return
        elapsed = (now - self._updated_at).total_seconds()
        self._updated_at = now
        self.test.update(judged, elapsed=elapsed)
        self.shown = self.shown.scaled(_SHOWN_MEMORY).plus(judged)


class RouteEvidence:
    """Evidence on one route, or on all together."""

    def __init__(self, *, length: float, now: datetime) -> None:
        self.steps: dict[AvailabilityZone, _Step] = defaultdict(_Step)
        self._history: Histogram = {}
        self._slow_beyond: int | None = None
        self._trials = {
            (fault, scope): DelayedTest(
                LikelihoodTest(
                    floor=kind.floor,
                    excesses=kind.excesses,
                    length=length,
                ),
                now,
            )
            for fault, kind in _KINDS.items()
            for scope in Scope
        }

    @property
    def slow_beyond(self) -> int | None:
        """Bucket beyond which calls are slow, once it is known."""
        return self._slow_beyond

    def judge_step(self, own: AvailabilityZone, now: datetime) -> None:
        """Judge what came in since the last step."""
        for (fault, scope), trial in self._trials.items():
            pairs = [
                step.new.pair_with(step.old, fault, self._slow_beyond)
                for zone, step in self.steps.items()
                if scope is Scope.ALL or zone == own
            ]
            trial.update(_pool(pairs), now)
        self._learn()
        self.steps.clear()

    def iterate_tests(self) -> Iterator[tuple[Fault, Scope, DelayedTest]]:
        """Evidence so far."""
        for (fault, scope), trial in self._trials.items():
            yield fault, scope, trial

    def _learn(self) -> None:
        """Take the next step's limit from the old version's past.

        The limit has to be known before the calls it judges; a limit taken
        from the same calls would break the test's error rate.
        """
        for step in self.steps.values():
            add_histogram(self._history, step.old.latencies)
        calls = count_calls(self._history)
        if calls > _SLOW_MEMORY:
            self._history = {
                bucket: calls // 2 for bucket, calls in self._history.items()
            }
        if calls >= _SLOW_HISTORY:
            usual = quantile(self._history, _SLOW_QUANTILE)
            self._slow_beyond = usual + buckets_for(_SLOW_FACTOR)


def _pool(pairs: Iterable[PairedCounts]) -> PairedCounts:
    """Join the calls of several zones.

    A fault of both versions in one zone, when that zone's share of the new
    version is higher, would show more with the new version. Weighting the
    old version's rates by the new one's calls takes that away; with few
    calls the difference is too small to matter.
    """
    total = PairedCounts()
    weighted = float(0)
    fair = True
    for pair in pairs:
        total = total.plus(pair)
        if pair.new and pair.old >= _ZONE_CALLS:
            weighted += pair.new * pair.old_bad / pair.old
        elif pair.new:
            fair = False
    if not fair or not total.new:
        return total
    bad = total.old * weighted / total.new
    return PairedCounts(total.new, total.new_bad, total.old, bad)


def add_counts(side: _Side, counts: RouteCounts) -> None:
    side.calls += counts.answered
    side.failed += counts.failed
    add_histogram(side.latencies, counts.latencies)
