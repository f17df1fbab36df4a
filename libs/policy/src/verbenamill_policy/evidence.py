"""What owners count of their upstreams, and what it says of a version."""

from collections.abc import Iterable
from math import log

from msgspec import Struct
from msgspec.structs import replace

from verbenamill_model.typing import (
    RouteName,
    ServiceName,
    VersionName,
    VmId,
)

#: Routes that an owner counts apart; the others count together.
MAX_ROUTES = 16
OTHER_ROUTES = RouteName('*')

#: Logarithm of the likelihood ratio at which a version is bad. A good one
#: reaches it in about one of a thousand moves.
CONCLUSIVE = 7.0
#: Most that one owner adds while there are others: a single sick upstream
#: must not condemn the version that it happens to run.
_MOST_OF_ONE = 4.0
#: Rate of failures of a good version at least, and of a bad one.
_USUAL_FAILURES = 0.03
_BAD_FAILURES = 0.15
#: Slower than this many times the old version is slow. Upstreams of one
#: version differ by a factor of up to about 1.5 from their mean, and are
#: about as much slower again while most of their slots are taken, as they
#: are when the new version has just got all requests.
_SLOW = 2.6
#: A single time counts as at most this many times the old version's mean
#: (logarithm), so that no single one decides.
_SLOWEST = 1.8
#: Calls of the old version without which its mean says nothing.
_FEW = 5
#: Part of the old version's counts that is kept at each step.
_FADE = 0.97


class RouteCounts(Struct, array_like=True):
    """Counts of one route at one upstream since its daemon's start.

    :param calls: requests that were answered or failed.
    :param failed: of those, failures.
    :param timed: requests that the sum of times is of.
    :param log_times: sum of the logarithms of service times in ms.
    """

    route: RouteName
    calls: int = 0
    failed: int = 0
    timed: int = 0
    log_times: float = 0


class Tally(Struct, array_like=True):
    """Cumulative counts of one owner; a lost report costs nothing.

    :param instance: whose counts these are; they begin anew with another.
    """

    vm: VmId
    instance: str
    service: ServiceName
    version: VersionName
    routes: list[RouteCounts]


class OwnCounts:
    """Counts of the own upstream."""

    def __init__(self) -> None:
        self._instance = ''
        self._routes: dict[RouteName, RouteCounts] = {}

    def begin(self, instance: str) -> None:
        """Start anew for another upstream."""
        if instance != self._instance:
            self._instance = instance
            self._routes = {}

    def add(
        self,
        route: RouteName,
        *,
        failed: bool,
        took: float | None,
    ) -> None:
        """Count a request.

        :param took: service time in seconds; ``None`` if it says nothing.
        """
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        counts = self._routes.setdefault(route, RouteCounts(route))
        counts.calls += 1
        counts.failed += failed
        if took is not None:
            counts.timed += 1
            counts.log_times += log(max(took * 1000, 0.1))

    def tally(
        self,
        vm: VmId,
        service: ServiceName,
        version: VersionName,
    ) -> Tally:
        """All counts, for the decider."""
        return Tally(
            vm=vm,
            instance=self._instance,
            service=service,
            version=version,
            routes=[replace(counts) for counts in self._routes.values()],
        )


class Finding(Struct, frozen=True):
    """How much speaks against a version, and what."""

    weight: float
    reason: str

    @property
    def is_conclusive(self) -> bool:
        """Whether the version is to be taken back."""
        return self.weight >= CONCLUSIVE


class _Sums:
    """Counts of the old version on one route; old ones fade."""

    def __init__(self) -> None:
        self.calls = float(0)
        self.failed = float(0)
        self.timed = float(0)
        self.log_times = float(0)

    def fade(self) -> None:
        self.calls *= _FADE
        self.failed *= _FADE
        self.timed *= _FADE
        self.log_times *= _FADE

    def add(self, change: RouteCounts) -> None:
        self.calls += change.calls
        self.failed += change.failed
        self.timed += change.timed
        self.log_times += change.log_times

    @property
    def failure_rate(self) -> float:
        return (self.failed + _USUAL_FAILURES) / (self.calls + 1)

    @property
    def mean_log(self) -> float | None:
        if self.timed < _FEW:
            return None
        return self.log_times / self.timed


class Evidence:
    """Compares the new version of one move with the old ones.

    Two running sums (CUSUM) for each route and owner of the new version: one
    of failures, one of slowness. Each begins anew at zero, so that a version
    that turns bad late costs no walk back from all the good seen before.
    """

    def __init__(self, target: VersionName) -> None:
        self._target = target
        self._seen: dict[tuple[VmId, str, RouteName], RouteCounts] = {}
        self._old: dict[RouteName, _Sums] = {}
        self._failing: dict[RouteName, dict[VmId, float]] = {}
        self._slow: dict[RouteName, dict[VmId, float]] = {}
        self._calls: dict[VmId, int] = {}

    @property
    def calls(self) -> int:
        """Requests that the new version has answered."""
        return sum(self._calls.values())

    def update(self, tallies: Iterable[Tally]) -> None:
        """Take in the owners' counts of now."""
        fresh = list(tallies)
        for sums in self._old.values():
            sums.fade()
        for tally in fresh:
            if tally.version != self._target:
                for change in self._changes(tally):
                    self._old.setdefault(change.route, _Sums()).add(change)
        for tally in fresh:
            if tally.version == self._target:
                for change in self._changes(tally):
                    self._weigh(tally.vm, change)

    def finding(self) -> Finding:
        """What speaks most against the new version."""
        worst = Finding(0, 'nothing')
        for kind, by_route in (
            ('fails', self._failing),
            ('is slow', self._slow),
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
                changes.append(_difference(counts, before))
        return changes

    def _weigh(self, vm: VmId, change: RouteCounts) -> None:
        route = change.route
        self._calls[vm] = self._calls.get(vm, 0) + change.calls
        old = self._old.setdefault(route, _Sums())
        failing = self._failing.setdefault(route, {})
        failing[vm] = max(
            failing.get(vm, 0) + _weigh_failures(change, old.failure_rate),
            0,
        )
        usual = old.mean_log
        if usual is not None and change.timed:
            slow = self._slow.setdefault(route, {})
            slow[vm] = max(slow.get(vm, 0) + _weigh_times(change, usual), 0)


def _difference(counts: RouteCounts, before: RouteCounts) -> RouteCounts:
    return RouteCounts(
        counts.route,
        counts.calls - before.calls,
        max(counts.failed - before.failed, 0),
        max(counts.timed - before.timed, 0),
        counts.log_times - before.log_times,
    )


def _weigh_failures(change: RouteCounts, usual: float) -> float:
    """Logarithm of the likelihood ratio of bad against good."""
    good = min(max(_USUAL_FAILURES, usual * 1.5), 0.8)
    bad = min(good + _BAD_FAILURES, 0.95)
    passed = change.calls - change.failed
    return change.failed * log(bad / good) + passed * log(
        (1 - bad) / (1 - good),
    )


def _weigh_times(change: RouteCounts, usual: float) -> float:
    excess = change.log_times / change.timed - usual
    return change.timed * (min(excess, _SLOWEST) - log(_SLOW))
