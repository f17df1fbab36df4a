"""What a decider knows of one move: evidence of all owners of its zone."""

from collections.abc import Collection, Iterator, Mapping
from datetime import datetime, timedelta
from enum import Enum, unique
from math import log

import msgspec
from msgspec import Struct

from verbenamill_model.state import Move
from verbenamill_model.typing import RouteName, VersionName, VmId
from verbenamill_moves.evidence import (
    MAX_ROUTES,
    OTHER_ROUTES,
    Report,
    RouteCounts,
)
from verbenamill_moves.histogram import (
    Histogram,
    buckets_for,
    count,
    count_beyond,
    quantile,
)
from verbenamill_moves.sequential import Pair, Test

#: Routes judged on their own; calls on others count in the total.
_MAX_ROUTES = 2 * MAX_ROUTES
_TOTAL = RouteName('')

#: An interval ends when it is this old and has this many old calls,
_INTERVAL = timedelta(seconds=1)
_INTERVAL_CALLS = 30
#: or at this age; conditions may have changed since it began.
_MAX_INTERVAL = timedelta(seconds=30)

#: Odds ratios that are put up with.
_FAILURES_TOLERATED = 2.0
_SLOW_TOLERATED = 3.0
#: Smallest worsening, as a share of the calls, that is worth a veto.
_FAILURES_MATTER = 0.005
_SLOW_MATTERS = 0.05
#: A call is slow beyond this quantile of the old version's earlier calls
#: times this factor; at least so many calls have to be known.
_SLOW_QUANTILE = 0.9
_SLOW_FACTOR = 1.5
_SLOW_HISTORY = 20


@unique
class Fault(str, Enum):
    """What is wrong with a version."""

    FAILURES = 'failures'
    SLOWNESS = 'slowness'


class Finding(Struct, frozen=True, kw_only=True):
    """The strongest evidence against a version.

    :param weight: natural logarithm of the evidence.
    :param needed: weight from which the version is bad.
    """

    fault: Fault
    route: RouteName
    weight: float
    needed: float
    pair: Pair

    @property
    def conclusive(self) -> bool:
        """Whether the version is bad at the stated error rate."""
        return self.weight >= self.needed

    def describe(self) -> str:
        """Say it in a sentence, for the audit trail."""
        where = f'route {self.route}' if self.route else 'all routes'
        pair = self.pair
        return (
            f'{self.fault.value} on {where}: new {pair.new_bad} of '
            f'{pair.new} calls, old {pair.old_bad} of {pair.old} in the '
            f'same interval; evidence e^{self.weight:.1f}, '
            f'needed e^{self.needed:.1f}'
        )


class _Side(Struct):
    """Calls of one version in the open interval."""

    calls: int = 0
    failed: int = 0
    latencies: Histogram = msgspec.field(default_factory=dict)


class _RouteTally:
    """Evidence on one route, or on all together."""

    def __init__(self) -> None:
        self.new = _Side()
        self.old = _Side()
        self._tests = {
            Fault.FAILURES: Test(tolerated=_FAILURES_TOLERATED),
            Fault.SLOWNESS: Test(tolerated=_SLOW_TOLERATED),
        }
        self._recent = dict.fromkeys(Fault, Pair())
        self._history: Histogram = {}
        self._slow_beyond: int | None = None

    def close(self) -> None:
        """End the interval and begin the next one."""
        for fault, pair in self._open_pairs().items():
            self._tests[fault].add(pair)
            self._recent[fault] = _halve(self._recent[fault]).plus(pair)
        self._learn()
        self.new = _Side()
        self.old = _Side()

    def weigh(self) -> Iterator[tuple[Fault, float, Pair]]:
        """Evidence so far, nothing for differences too small to matter."""
        for fault, pair in self._open_pairs().items():
            recent = self._recent[fault].plus(pair)
            if _worsening(recent) >= _MATTERS[fault]:
                yield fault, self._tests[fault].weigh(pair), recent

    def _open_pairs(self) -> dict[Fault, Pair]:
        new, old = self.new, self.old
        failures = Pair(new.calls, new.failed, old.calls, old.failed)
        if self._slow_beyond is None:
            return {Fault.FAILURES: failures, Fault.SLOWNESS: Pair()}
        slowness = Pair(
            count(new.latencies),
            count_beyond(new.latencies, self._slow_beyond),
            count(old.latencies),
            count_beyond(old.latencies, self._slow_beyond),
        )
        return {Fault.FAILURES: failures, Fault.SLOWNESS: slowness}

    def _learn(self) -> None:
        """Take the next interval's limit from the old version's past.

        The limit has to be known before the calls it judges; a limit taken
        from the same calls would break the test's error rate.
        """
        merged = {
            bucket: calls // 2
            for bucket, calls in self._history.items()
            if count(self._history) > _SLOW_HISTORY * 100
        } or dict(self._history)
        for bucket, calls in self.old.latencies.items():
            merged[bucket] = merged.get(bucket, 0) + calls
        self._history = merged
        if count(merged) >= _SLOW_HISTORY:
            usual = quantile(merged, _SLOW_QUANTILE)
            self._slow_beyond = usual + buckets_for(_SLOW_FACTOR)


_MATTERS: Mapping[Fault, float] = {
    Fault.FAILURES: _FAILURES_MATTER,
    Fault.SLOWNESS: _SLOW_MATTERS,
}


class MoveTally:
    """Evidence on one move from the reports of its owners.

    :param alpha: probability of finding a good version bad, over all
        routes and for as long as the move takes.
    """

    def __init__(self, move: Move, *, alpha: float, now: datetime) -> None:
        self._move = move
        self._alpha = alpha
        self._opened_at = now
        self._owners: dict[VmId, Report] = {}
        self._routes = {_TOTAL: _RouteTally()}
        self._new_calls = 0

    @property
    def new_calls(self) -> int:
        """Calls that the new version answered or failed."""
        return self._new_calls

    def receive(self, sender: VmId, report: Report) -> None:
        """Count what a report says beyond the sender's last one."""
        before = self._owners.get(sender)
        if before is not None and before.incarnation == report.incarnation:
            if report.sequence <= before.sequence:
                return
        self._owners[sender] = report
        if before is None and report.sequence > 1:
            # Counts from before this decider listened belong to other
            # intervals; they would compare this minute with last week.
            return
        if before is not None and before.incarnation != report.incarnation:
            before = None
        self._count(before, report)

    def advance(self, now: datetime) -> None:
        """End the open interval when it is due."""
        age = now - self._opened_at
        enough = self._routes[_TOTAL].old.calls >= _INTERVAL_CALLS
        if age >= _MAX_INTERVAL or (age >= _INTERVAL and enough):
            for tally in self._routes.values():
                tally.close()
            self._opened_at = now

    def keep_owners(self, owners: Collection[VmId]) -> None:
        """Forget owners that are gone, so that memory is bounded."""
        for owner in set(self._owners).difference(owners):
            self._owners.pop(owner)

    def find(self) -> Finding | None:
        """The strongest evidence against the new version, if any."""
        needed = log(len(Fault) * len(self._routes) / self._alpha)
        findings = (
            Finding(
                fault=fault,
                route=route,
                weight=weight,
                needed=needed,
                pair=pair,
            )
            for route, tally in self._routes.items()
            for fault, weight, pair in tally.weigh()
        )
        return max(findings, key=lambda found: found.weight, default=None)

    def _count(self, before: Report | None, report: Report) -> None:
        for version in (self._move.new, self._move.old):
            known = _routes_of(before, self._move, version)
            for route, counts in _routes_of(
                report,
                self._move,
                version,
            ).items():
                grown = _subtract(counts, known.get(route))
                self._add(version, grown)

    def _add(self, version: VersionName, grown: RouteCounts) -> None:
        is_new = version == self._move.new
        if is_new:
            self._new_calls += grown.answered
        for tally in (self._routes[_TOTAL], self._tally_of(grown.route)):
            side = tally.new if is_new else tally.old
            _add_counts(side, grown)

    def _tally_of(self, route: RouteName) -> _RouteTally:
        if route not in self._routes and len(self._routes) > _MAX_ROUTES:
            route = OTHER_ROUTES
        return self._routes.setdefault(route, _RouteTally())


def _add_counts(side: _Side, counts: RouteCounts) -> None:
    side.calls += counts.answered
    side.failed += counts.failed
    for bucket, calls in counts.latencies.items():
        side.latencies[bucket] = side.latencies.get(bucket, 0) + calls


def _routes_of(
    report: Report | None,
    move: Move,
    version: VersionName,
) -> dict[RouteName, RouteCounts]:
    if report is None:
        return {}
    return {
        counts.route: counts
        for known in report.versions
        if known.service == move.service and known.version == version
        for counts in known.routes
    }


def _subtract(counts: RouteCounts, before: RouteCounts | None) -> RouteCounts:
    if before is None:
        return counts
    return RouteCounts(
        counts.route,
        counts.answered - before.answered,
        counts.failed - before.failed,
        counts.shed - before.shed,
        {
            bucket: calls - before.latencies.get(bucket, 0)
            for bucket, calls in counts.latencies.items()
            if calls > before.latencies.get(bucket, 0)
        },
    )


def _halve(pair: Pair) -> Pair:
    return Pair(
        pair.new // 2,
        pair.new_bad // 2,
        pair.old // 2,
        pair.old_bad // 2,
    )


def _worsening(pair: Pair) -> float:
    """By how much the share of bad calls is higher with the new version."""
    if not pair.new:
        return 0
    old_rate = pair.old_bad / pair.old if pair.old else 0
    return pair.new_bad / pair.new - old_rate
