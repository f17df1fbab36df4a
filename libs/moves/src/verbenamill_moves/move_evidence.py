"""Evidence of all owners on one move, as its decider collects it."""

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
    add_route_counts,
)

#: Most routes that are judged separately; further routes are judged together.
_MAX_SEPARATE_ROUTES = 2 * MAX_ROUTES
#: Name under which the calls on all routes are judged.
_ALL_ROUTES = RouteName('')

#: Share and number of failed calls from which a version fails often.
_FAILING_SHARE = 0.1
_MIN_FAILED_CALLS = 3
#: Shed calls, with decayed weight, from which the new version may count as
#: refusing its calls.
_MIN_REFUSED_CALLS = 1
#: Share of shed calls, above that of the old version, that holds back a move.
_MAX_ADDED_SHED_SHARE = 0.15
#: Assumed calls without shedding that stabilise the share of few calls.
_SHED_PRIOR_CALLS = 10
#: Factor by which the call rate and the shed calls decay per second.
_DECAY_PER_SECOND = 0.9


class _ShedCounts(Struct):
    """Calls and shed calls of one version, decayed by their age."""

    calls: float = 0
    shed: float = 0

    @property
    def share(self) -> float:
        """Estimated share of the calls that were shed."""
        return self.shed / (self.calls + _SHED_PRIOR_CALLS)


class _ReceivedCounts(Struct, kw_only=True):
    """Counts that one report added on one route."""

    sender: VmId
    zone: AvailabilityZone
    version: VersionName
    counts: RouteCounts


class MoveEvidence:
    """Evidence on one move from the reports of its owners.

    :param alpha: probability of finding a good version bad, over all routes
        and the whole duration of the move.
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
        self._started_at = now
        self._duration = (move.deadline - move.accepted_at).total_seconds()
        self._last_reports: dict[VmId, Report] = {}
        self._routes = {_ALL_ROUTES: self._make_evidence()}
        self._instance_faults = {fault: InstanceFaults() for fault in Fault}
        self._received: list[_ReceivedCounts] = []
        self._sums: dict[tuple[VersionName, RouteName], RouteCounts] = {}
        self._sequence = 0
        self._new_calls = 0
        self._new_shed_calls = 0
        self._call_rate = float(0)
        self._advanced_at = now
        self._shed_counts = {
            version: _ShedCounts() for version in (move.new, move.old)
        }

    @property
    def call_rate(self) -> float:
        """Recent calls per second of both versions in all zones."""
        return self._call_rate

    @property
    def fails_often(self) -> bool:
        """Whether many recent calls of the new version failed.

        The cause may be a fault of both versions that does not show on the
        old one yet, because it gets few calls.
        """
        return any(
            delayed_test.recent.new_bad >= _MIN_FAILED_CALLS
            and delayed_test.recent.new_bad
            > _FAILING_SHARE * delayed_test.recent.new
            for fault, _, delayed_test in self._routes[
                _ALL_ROUTES
            ].delayed_tests()
            if fault is Fault.FAILURES
        )

    @property
    def sheds_more(self) -> bool:
        """Whether the new version recently shed more load than the old one.

        Shedding is not a failure, but further calls would be shed as well.
        """
        new = self._shed_counts[self._move.new].share
        return (
            new - self._shed_counts[self._move.old].share
            > _MAX_ADDED_SHED_SHARE
        )

    @property
    def refuses_calls(self) -> bool:
        """Whether the new version shed most recent calls, or all calls.

        If calls are rare, the count of recent shed calls decays between two
        of them, so a version that has never answered a call is recognised by
        its total counts.
        """
        new = self._shed_counts[self._move.new]
        if not self._new_calls and self._new_shed_calls:
            return True
        return new.shed >= _MIN_REFUSED_CALLS and new.shed > new.calls / 2

    @property
    def new_calls(self) -> int:
        """Calls of the new version in all zones that report here."""
        return self._new_calls

    def receive(
        self,
        sender: VmId,
        zone: AvailabilityZone,
        report: Report,
    ) -> None:
        """Count the calls that a report adds to the last one of its sender."""
        previous = self._last_reports.get(sender)
        same_run = previous and previous.incarnation == report.incarnation
        if previous and same_run and report.sequence <= previous.sequence:
            return
        self._last_reports[sender] = report
        if previous is None and report.sequence > 1:
            # The counts before the first received report belong to earlier
            # steps, possibly days ago, and must not be compared with the
            # current calls of the other version.
            self._new_calls += _count_answered(report, self._move)
            return
        for version in (self._move.new, self._move.old):
            known = _routes_of(
                previous if same_run else None, self._move, version
            )
            reported = _routes_of(report, self._move, version)
            for route, counts in reported.items():
                new_counts = _subtract(counts, known.get(route))
                self._add_received(
                    _ReceivedCounts(
                        sender=sender,
                        zone=zone,
                        version=version,
                        counts=new_counts,
                    ),
                )

    def judge_step(self, now: datetime) -> None:
        """Judge the calls that were reported since the last step."""
        self._update_rates(now)
        for received in self._received:
            _add_shed_counts(
                self._shed_counts[received.version], received.counts
            )
        broken = self._find_broken_instances(now)
        for received in self._received:
            if received.sender not in broken:
                self._count_received(received)
        self._received.clear()
        for evidence in self._routes.values():
            evidence.judge_step(self._zone, now)

    def retain_owners(self, owners: Collection[VmId]) -> None:
        """Drop the reports of absent owners, which bounds the memory."""
        for owner in set(self._last_reports).difference(owners):
            self._last_reports.pop(owner)

    def encode_sums(self) -> bytes | None:
        """Encode the sums of this zone for the deciders of other zones."""
        if not self._sums:
            return None
        self._sequence += 1
        routes: dict[VersionName, list[RouteCounts]] = defaultdict(list)
        for key, sums in self._sums.items():
            routes[key[0]].append(sums)
        return encode_report(
            Report(
                incarnation=int(self._started_at.timestamp() * 1000),
                sequence=self._sequence,
                versions=[
                    VersionCounts(self._move.service, version, counts)
                    for version, counts in routes.items()
                ],
            ),
        )

    def strongest_finding(self) -> Finding | None:
        """Return the strongest evidence against the new version, if any."""
        tests = len(self._routes) * len(Fault) * len(Scope)
        needed = log(tests / self._alpha)
        findings = (
            Finding(
                fault=fault,
                route=route,
                scope=scope.value,
                weight=delayed_test.test.weight,
                needed=needed,
                counts=delayed_test.recent,
            )
            for route, evidence in self._routes.items()
            for fault, scope, delayed_test in evidence.delayed_tests()
        )
        return max(findings, key=lambda finding: finding.weight, default=None)

    def _update_rates(self, now: datetime) -> None:
        elapsed = (now - self._advanced_at).total_seconds()
        self._advanced_at = now
        if elapsed <= 0:
            return
        calls = sum(received.counts.answered for received in self._received)
        decay = _DECAY_PER_SECOND**elapsed
        for shed in self._shed_counts.values():
            shed.calls *= decay
            shed.shed *= decay
        self._call_rate *= decay
        self._call_rate += (1 - decay) * calls / elapsed

    def _find_broken_instances(self, now: datetime) -> set[VmId | None]:
        """Return the instances of the new version whose calls are left out."""
        for faults in self._instance_faults.values():
            faults.decay()
        limit = self._routes[_ALL_ROUTES].slow_beyond
        totals: dict[VmId, RouteCounts] = {}
        for received in self._received:
            if received.version == self._move.new:
                empty = RouteCounts(_ALL_ROUTES)
                total = totals.setdefault(received.sender, empty)
                _add_sums(total, received.counts)
        for sender, counts in totals.items():
            slow = 0
            if limit is not None:
                slow = count_slower(counts.latencies, limit)
            bad = {Fault.FAILURES: counts.failed, Fault.SLOWNESS: slow}
            for fault, faults in self._instance_faults.items():
                faults.add(sender, counts.answered, bad[fault], now=now)
        return {
            known.find_broken(now) for known in self._instance_faults.values()
        }

    def _count_received(self, received: _ReceivedCounts) -> None:
        is_new = received.version == self._move.new
        counts = received.counts
        for evidence in (
            self._routes[_ALL_ROUTES],
            self._evidence_on(counts.route),
        ):
            step = evidence.steps[received.zone]
            add_route_counts(step.new if is_new else step.old, counts)

    def _add_received(self, received: _ReceivedCounts) -> None:
        counts = received.counts
        if not counts.answered and not counts.shed:
            return
        if received.version == self._move.new:
            self._new_calls += counts.answered
            self._new_shed_calls += counts.shed
        self._received.append(received)
        if received.zone == self._zone:
            key = (received.version, counts.route)
            empty = RouteCounts(counts.route)
            _add_sums(self._sums.setdefault(key, empty), counts)

    def _evidence_on(self, route: RouteName) -> RouteEvidence:
        if route not in self._routes:
            if len(self._routes) > _MAX_SEPARATE_ROUTES:
                route = OTHER_ROUTES
            self._routes.setdefault(route, self._make_evidence())
        return self._routes[route]

    def _make_evidence(self) -> RouteEvidence:
        return RouteEvidence(duration=self._duration, now=self._started_at)


def _add_shed_counts(total: _ShedCounts, counts: RouteCounts) -> None:
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
        for reported in report.versions
        if reported.service == move.service and reported.version == version
        for counts in reported.routes
    }


def _count_answered(report: Report, move: Move) -> int:
    routes = _routes_of(report, move, move.new)
    return sum(counts.answered for counts in routes.values())


def _subtract(counts: RouteCounts, previous: RouteCounts | None) -> RouteCounts:
    if previous is None:
        return counts
    return RouteCounts(
        counts.route,
        counts.answered - previous.answered,
        counts.failed - previous.failed,
        counts.shed - previous.shed,
        {
            bucket: calls - previous.latencies.get(bucket, 0)
            for bucket, calls in counts.latencies.items()
            if calls > previous.latencies.get(bucket, 0)
        },
    )
