"""What a decider knows of one move: evidence of the owners, by zone."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator
from datetime import datetime
from enum import Enum, unique
from math import log

import msgspec
from msgspec import Struct

from verbenamill_model.state import Move
from verbenamill_model.typing import (
    AvailabilityZone,
    RouteName,
    VersionName,
    VmId,
)
from verbenamill_moves.evidence import (
    MAX_ROUTES,
    OTHER_ROUTES,
    Report,
    RouteCounts,
    VersionCounts,
    encode_report,
)
from verbenamill_moves.histogram import (
    Histogram,
    add_histogram,
    buckets_for,
    count,
    count_beyond,
    quantile,
)
from verbenamill_moves.instances import Instances
from verbenamill_moves.likelihood import LikelihoodTest, Pair

#: Routes judged on their own; calls on others count in the total.
_MAX_ROUTES = 2 * MAX_ROUTES
_TOTAL = RouteName('')

#: A call is slow beyond this quantile of the old version's earlier calls
#: times this factor; at least so many calls have to be known.
_SLOW_QUANTILE = 0.9
_SLOW_FACTOR = 1.5
_SLOW_HISTORY = 20
_SLOW_MEMORY = 2000
#: What is left of a step's calls after the next in what findings show.
_SHOWN_MEMORY = 0.8
#: Share and number of failed calls that leave a version in doubt.
_WORSE = 0.1
_WORSE_CALLS = 3
#: Share of shed calls, above the old version's, that holds a move back; the
#: calls it is taken from, and calls that steady it.
_SHEDS = 0.15
_SHED_MEMORY = 200
_SHED_CALLS = 10
#: What is left of the measured call rate after a second.
_RATE_MEMORY = 0.9
#: Old calls of each zone that allow weighting by zone.
_ZONE_CALLS = 5


@unique
class Fault(str, Enum):
    """What is wrong with a version."""

    FAILURES = 'failures'
    SLOWNESS = 'slowness'


@unique
class _Scope(str, Enum):
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

    def pair_with(self, old: '_Side', fault: Fault, slow: int | None) -> Pair:
        """Calls of both versions that say something about a fault."""
        if fault is Fault.FAILURES:
            return Pair(self.calls, self.failed, old.calls, old.failed)
        if slow is None:
            return Pair()
        return Pair(
            count(self.latencies),
            count_beyond(self.latencies, slow),
            count(old.latencies),
            count_beyond(old.latencies, slow),
        )


class _Step(Struct):
    """Calls of both versions in one zone since the last step."""

    new: _Side = msgspec.field(default_factory=_Side)
    old: _Side = msgspec.field(default_factory=_Side)


class _Trial:
    """One test and the calls it is about to judge."""

    def __init__(self, test: LikelihoodTest, now: datetime) -> None:
        self.test = test
        self.shown = Pair()
        self._before = Pair()
        self._updated_at = now

    def update(self, pair: Pair, now: datetime) -> None:
        """Judge the step before, now that its surroundings are known.

        Owners report at different moments, so one side of a fault of both
        versions may show half a second before the other. Judging the new
        version's calls against the old one's of the same step and the next
        keeps such a fault from looking like one of the new version.
        """
        judged = Pair(
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


class _RouteTally:
    """Evidence on one route, or on all together."""

    def __init__(self, *, length: float, now: datetime) -> None:
        self.steps: dict[AvailabilityZone, _Step] = defaultdict(_Step)
        self._history: Histogram = {}
        self._slow_beyond: int | None = None
        self._trials = {
            (fault, scope): _Trial(
                LikelihoodTest(
                    floor=kind.floor,
                    excesses=kind.excesses,
                    length=length,
                ),
                now,
            )
            for fault, kind in _KINDS.items()
            for scope in _Scope
        }

    @property
    def slow_beyond(self) -> int | None:
        """Bucket beyond which calls are slow, once it is known."""
        return self._slow_beyond

    def advance(self, own: AvailabilityZone, now: datetime) -> None:
        """Judge what came in since the last step."""
        for (fault, scope), trial in self._trials.items():
            pairs = [
                step.new.pair_with(step.old, fault, self._slow_beyond)
                for zone, step in self.steps.items()
                if scope is _Scope.ALL or zone == own
            ]
            trial.update(_pool(pairs), now)
        self._learn()
        self.steps.clear()

    def weigh(self) -> Iterator[tuple[Fault, _Scope, _Trial]]:
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
        calls = count(self._history)
        if calls > _SLOW_MEMORY:
            self._history = {
                bucket: calls // 2 for bucket, calls in self._history.items()
            }
        if calls >= _SLOW_HISTORY:
            usual = quantile(self._history, _SLOW_QUANTILE)
            self._slow_beyond = usual + buckets_for(_SLOW_FACTOR)


class _Shed(Struct):
    """Calls and shed ones of one version, older ones counted in part."""

    calls: float = 0
    shed: float = 0

    @property
    def share(self) -> float:
        """Share of the calls that were shed."""
        return self.shed / (self.calls + _SHED_CALLS)


class _Received(Struct, kw_only=True):
    """What one report added on one route."""

    sender: VmId
    zone: AvailabilityZone
    version: VersionName
    counts: RouteCounts


class MoveTally:
    """Evidence on one move from the reports of its owners.

    :param alpha: probability of finding a good version bad, over all
        routes and for as long as the move takes.
    """

    def __init__(
        self,
        move: Move,
        *,
        availability_zone: AvailabilityZone,
        alpha: float,
        now: datetime,
    ) -> None:
        self._move = move
        self._zone = availability_zone
        self._alpha = alpha
        self._began_at = now
        self._length = (move.deadline - move.accepted_at).total_seconds()
        self._reports: dict[VmId, Report] = {}
        self._routes = {_TOTAL: self._make_route()}
        self._instances = {fault: Instances() for fault in Fault}
        self._received: list[_Received] = []
        self._sums: dict[tuple[VersionName, RouteName], RouteCounts] = {}
        self._sequence = 0
        self._new_calls = 0
        self._call_rate = float(0)
        self._advanced_at = now
        self._shed = {version: _Shed() for version in (move.new, move.old)}

    @property
    def call_rate(self) -> float:
        """Calls a second of both versions, lately and in all zones."""
        return self._call_rate

    @property
    def worsened(self) -> bool:
        """Whether lately more calls of the new version go bad than usual.

        It may be a fault of both versions that the old one, with few calls,
        has not shown yet.
        """
        return any(
            trial.shown.new_bad >= _WORSE_CALLS
            and trial.shown.new_bad > _WORSE * trial.shown.new
            for fault, _, trial in self._routes[_TOTAL].weigh()
            if fault is Fault.FAILURES
        )

    @property
    def sheds(self) -> bool:
        """Whether the new version lately sheds more load than the old one.

        That is no failure, but more calls would only be shed as well.
        """
        new = self._shed[self._move.new].share
        return new - self._shed[self._move.old].share > _SHEDS

    @property
    def new_calls(self) -> int:
        """Calls of the new version, in all zones that are heard."""
        return self._new_calls

    def receive(
        self,
        sender: VmId,
        zone: AvailabilityZone,
        report: Report,
    ) -> None:
        """Count what a report says beyond the sender's last one."""
        before = self._reports.get(sender)
        same = before and before.incarnation == report.incarnation
        if before and same and report.sequence <= before.sequence:
            return
        self._reports[sender] = report
        if before is None and report.sequence > 1:
            # Counts from before this decider listened belong to other
            # steps; they would compare this minute with last week.
            self._new_calls += _count_answered(report, self._move)
            return
        for version in (self._move.new, self._move.old):
            known = _routes_of(before if same else None, self._move, version)
            told = _routes_of(report, self._move, version)
            for route, counts in told.items():
                grown = _subtract(counts, known.get(route))
                self._add(
                    _Received(
                        sender=sender,
                        zone=zone,
                        version=version,
                        counts=grown,
                    ),
                )

    def advance(self, now: datetime) -> None:
        """Judge what came in since the last step."""
        self._measure_rate(now)
        for received in self._received:
            _add_shed(self._shed[received.version], received.counts)
        broken = self._find_broken(now)
        for received in self._received:
            if received.sender not in broken:
                self._count(received)
        self._received.clear()
        for tally in self._routes.values():
            tally.advance(self._zone, now)

    def keep_owners(self, owners: Collection[VmId]) -> None:
        """Forget owners that are gone, so that memory is bounded."""
        for owner in set(self._reports).difference(owners):
            self._reports.pop(owner)

    def relay(self) -> bytes | None:
        """Report of this zone's sums for the deciders of other zones."""
        if not self._sums:
            return None
        self._sequence += 1
        routes: dict[VersionName, list[RouteCounts]] = defaultdict(list)
        for place, sums in self._sums.items():
            routes[place[0]].append(sums)
        return encode_report(
            Report(
                incarnation=int(self._began_at.timestamp() * 1000),
                sequence=self._sequence,
                versions=[
                    VersionCounts(self._move.service, version, counts)
                    for version, counts in routes.items()
                ],
            ),
        )

    def find(self) -> Finding | None:
        """The strongest evidence against the new version, if any."""
        tests = len(self._routes) * len(Fault) * len(_Scope)
        needed = log(tests / self._alpha)
        findings = (
            Finding(
                fault=fault,
                route=route,
                scope=scope.value,
                weight=trial.test.weight,
                needed=needed,
                pair=trial.shown,
            )
            for route, tally in self._routes.items()
            for fault, scope, trial in tally.weigh()
        )
        return max(findings, key=lambda found: found.weight, default=None)

    def _measure_rate(self, now: datetime) -> None:
        elapsed = (now - self._advanced_at).total_seconds()
        self._advanced_at = now
        if elapsed <= 0:
            return
        calls = sum(received.counts.answered for received in self._received)
        kept = _RATE_MEMORY**elapsed
        self._call_rate *= kept
        self._call_rate += (1 - kept) * calls / elapsed

    def _find_broken(self, now: datetime) -> set[VmId | None]:
        """Instances of the new version whose calls are to be left out."""
        for instances in self._instances.values():
            instances.forget()
        limit = self._routes[_TOTAL].slow_beyond
        totals: dict[VmId, RouteCounts] = {}
        for received in self._received:
            if received.version == self._move.new:
                empty = RouteCounts(_TOTAL)
                total = totals.setdefault(received.sender, empty)
                _add_sums(total, received.counts)
        for sender, counts in totals.items():
            slow = 0
            if limit is not None:
                slow = count_beyond(counts.latencies, limit)
            bad = {Fault.FAILURES: counts.failed, Fault.SLOWNESS: slow}
            for fault, instances in self._instances.items():
                instances.add(sender, counts.answered, bad[fault], now=now)
        return {known.find_broken(now) for known in self._instances.values()}

    def _count(self, received: _Received) -> None:
        is_new = received.version == self._move.new
        counts = received.counts
        for tally in (self._routes[_TOTAL], self._tally_of(counts.route)):
            step = tally.steps[received.zone]
            _add_counts(step.new if is_new else step.old, counts)

    def _add(self, received: _Received) -> None:
        counts = received.counts
        if not counts.answered and not counts.shed:
            return
        if received.version == self._move.new:
            self._new_calls += counts.answered
        self._received.append(received)
        if received.zone == self._zone:
            place = (received.version, counts.route)
            empty = RouteCounts(counts.route)
            _add_sums(self._sums.setdefault(place, empty), counts)

    def _tally_of(self, route: RouteName) -> _RouteTally:
        if route not in self._routes:
            if len(self._routes) > _MAX_ROUTES:
                route = OTHER_ROUTES
            self._routes.setdefault(route, self._make_route())
        return self._routes[route]

    def _make_route(self) -> _RouteTally:
        return _RouteTally(length=self._length, now=self._began_at)


def _pool(pairs: Iterable[Pair]) -> Pair:
    """Join the calls of several zones.

    A fault of both versions in one zone, when that zone's share of the new
    version is higher, would show more with the new version. Weighting the
    old version's rates by the new one's calls takes that away; with few
    calls the difference is too small to matter.
    """
    total = Pair()
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
    return Pair(total.new, total.new_bad, total.old, bad)


def _add_counts(side: _Side, counts: RouteCounts) -> None:
    side.calls += counts.answered
    side.failed += counts.failed
    add_histogram(side.latencies, counts.latencies)


def _add_shed(total: _Shed, counts: RouteCounts) -> None:
    if total.calls > _SHED_MEMORY:
        total.calls /= 2
        total.shed /= 2
    total.calls += counts.answered + counts.shed
    total.shed += counts.shed


def _add_sums(sums: RouteCounts, counts: RouteCounts) -> None:
    sums.answered += counts.answered
    sums.failed += counts.failed
    sums.shed += counts.shed
    add_histogram(sums.latencies, counts.latencies)


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


def _count_answered(report: Report, move: Move) -> int:
    routes = _routes_of(report, move, move.new)
    return sum(counts.answered for counts in routes.values())


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
