"""What a decider knows of one move: evidence of the owners, by zone."""

from collections import defaultdict
from collections.abc import Collection
from datetime import datetime
from math import log

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
from verbenamill_moves.histogram import add_histogram, count_slower
from verbenamill_moves.instance_faults import InstanceFaults
from verbenamill_moves.route_evidence import (
    Fault,
    Finding,
    RouteEvidence,
    Scope,
    add_counts,
)

#: Routes judged on their own; calls on others count in the total.
_MAX_ROUTES = 2 * MAX_ROUTES
_TOTAL = RouteName('')

#: Share and number of failed calls that leave a version in doubt.
_WORSE = 0.1
_WORSE_CALLS = 3
#: Shed calls, older ones counted in part, from which the new version may be
#: said to refuse its calls.
_REFUSES = 1
#: Share of shed calls, above the old version's, that holds a move back, and
#: calls that steady it.
_SHEDS = 0.15
_SHED_CALLS = 10
#: What is left of the measured call rate and of shed calls after a second.
_RATE_MEMORY = 0.9


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


class MoveEvidence:
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
        self._instances = {fault: InstanceFaults() for fault in Fault}
        self._received: list[_Received] = []
        self._sums: dict[tuple[VersionName, RouteName], RouteCounts] = {}
        self._sequence = 0
        self._new_calls = 0
        self._new_sheds = 0
        self._call_rate = float(0)
        self._advanced_at = now
        self._shed = {version: _Shed() for version in (move.new, move.old)}

    @property
    def call_rate(self) -> float:
        """Calls a second of both versions, lately and in all zones."""
        return self._call_rate

    @property
    def fails_often(self) -> bool:
        """Whether lately more calls of the new version go bad than usual.

        It may be a fault of both versions that the old one, with few calls,
        has not shown yet.
        """
        return any(
            trial.shown.new_bad >= _WORSE_CALLS
            and trial.shown.new_bad > _WORSE * trial.shown.new
            for fault, _, trial in self._routes[_TOTAL].iterate_tests()
            if fault is Fault.FAILURES
        )

    @property
    def sheds_more(self) -> bool:
        """Whether the new version lately sheds more load than the old one.

        That is no failure, but more calls would only be shed as well.
        """
        new = self._shed[self._move.new].share
        return new - self._shed[self._move.old].share > _SHEDS

    @property
    def refuses_calls(self) -> bool:
        """Whether the new version sheds most calls lately, or ever did all.

        With few calls the lately shed ones fade between two of them; that
        nothing was ever answered does not.
        """
        new = self._shed[self._move.new]
        if not self._new_calls and self._new_sheds:
            return True
        return new.shed >= _REFUSES and new.shed > new.calls / 2

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

    def judge_step(self, now: datetime) -> None:
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
            tally.judge_step(self._zone, now)

    def retain_owners(self, owners: Collection[VmId]) -> None:
        """Forget owners that are gone, so that memory is bounded."""
        for owner in set(self._reports).difference(owners):
            self._reports.pop(owner)

    def encode_sums(self) -> bytes | None:
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

    def strongest_finding(self) -> Finding | None:
        """The strongest evidence against the new version, if any."""
        tests = len(self._routes) * len(Fault) * len(Scope)
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
            for fault, scope, trial in tally.iterate_tests()
        )
        return max(findings, key=lambda found: found.weight, default=None)

    def _measure_rate(self, now: datetime) -> None:
        elapsed = (now - self._advanced_at).total_seconds()
        self._advanced_at = now
        if elapsed <= 0:
            return
        calls = sum(received.counts.answered for received in self._received)
        kept = _RATE_MEMORY**elapsed
        for shed in self._shed.values():
            shed.calls *= kept
            shed.shed *= kept
        self._call_rate *= kept
        self._call_rate += (1 - kept) * calls / elapsed

    def _find_broken(self, now: datetime) -> set[VmId | None]:
        """Instances of the new version whose calls are to be left out."""
        for instances in self._instances.values():
            instances.decay()
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
                slow = count_slower(counts.latencies, limit)
            bad = {Fault.FAILURES: counts.failed, Fault.SLOWNESS: slow}
            for fault, instances in self._instances.items():
                instances.add(sender, counts.answered, bad[fault], now=now)
        return {known.find_broken(now) for known in self._instances.values()}

    def _count(self, received: _Received) -> None:
        is_new = received.version == self._move.new
        counts = received.counts
        for tally in (self._routes[_TOTAL], self._tally_of(counts.route)):
            step = tally.steps[received.zone]
            add_counts(step.new if is_new else step.old, counts)

    def _add(self, received: _Received) -> None:
        counts = received.counts
        if not counts.answered and not counts.shed:
            return
        if received.version == self._move.new:
            self._new_calls += counts.answered
            self._new_sheds += counts.shed
        self._received.append(received)
        if received.zone == self._zone:
            place = (received.version, counts.route)
            empty = RouteCounts(counts.route)
            _add_sums(self._sums.setdefault(place, empty), counts)

    def _tally_of(self, route: RouteName) -> RouteEvidence:
        if route not in self._routes:
            if len(self._routes) > _MAX_ROUTES:
                route = OTHER_ROUTES
            self._routes.setdefault(route, self._make_route())
        return self._routes[route]

    def _make_route(self) -> RouteEvidence:
        return RouteEvidence(length=self._length, now=self._began_at)


def _add_shed(total: _Shed, counts: RouteCounts) -> None:
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
