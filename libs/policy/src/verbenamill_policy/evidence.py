"""What owners count of their upstreams, and what it says of a version."""

from collections.abc import Iterable, Mapping
from math import log, log2

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
#: Buckets of a histogram of times for each doubling.
_PER_DOUBLING = 4
#: Shortest time that is told apart, in ms.
_SHORTEST = 0.1
#: Part of the old version's requests that may take longer than what counts
#: as a long time, before the allowance below.
_TAIL = 0.05
#: Buckets by which a new version may be slower all in all: a factor of 1.7, as
#: when it gets nearly all requests. How upstreams differ is in the times of
#: the old version already.
_ALLOWANCE = 3
#: Calls of the old version without which its tail says nothing.
_FEW_FOR_TAIL = 30
#: Part of the requests of a good version, and of a bad one, that take a long
#: time. A version that is slow in half of its requests shows by this much
#: sooner than by its mean.
_USUAL_LONG = 0.1
_BAD_LONG = 0.4
#: Calls of the old version without which its mean says nothing.
_FEW = 5
#: Calls of one of several old versions that make a baseline by themselves.
_ENOUGH = 30
#: Part of the old version's counts that is kept at each step.
_FADE = 0.97


class RouteCounts(Struct, array_like=True):
    """Counts of one route at one upstream since its daemon's start.

    :param calls: requests that were answered or failed.
    :param failed: of those, answers that tell of a failure.
    :param times: histogram of service times, by `time_bucket`.
    :param lost: of the calls, those that got no answer, as in a crash.
    """

    route: RouteName
    calls: int = 0
    failed: int = 0
    times: dict[int, int] = {}
    lost: int = 0

    @property
    def answered(self) -> int:
        """Calls that got an answer."""
        return self.calls - self.lost


def time_bucket(took: float) -> int:
    """Bucket of a service time.

    :param took: in seconds.
    """
    return round(_PER_DOUBLING * log2(max(took * 1000, _SHORTEST)))


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
        """Count a request that was answered.

        :param took: service time in seconds; ``None`` if it says nothing.
        """
        counts = self._find(route)
        counts.calls += 1
        counts.failed += failed
        if took is not None:
            bucket = time_bucket(took)
            counts.times[bucket] = counts.times.get(bucket, 0) + 1

    def add_lost(self, route: RouteName) -> None:
        """Count a request that got no answer."""
        counts = self._find(route)
        counts.calls += 1
        counts.lost += 1

    def _find(self, route: RouteName) -> RouteCounts:
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        return self._routes.setdefault(route, RouteCounts(route))

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
            routes=[
                replace(counts, times=dict(counts.times))
                for counts in self._routes.values()
            ],
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
        self.lost = float(0)
        self.failed = float(0)
        self.times: dict[int, float] = {}

    def fade(self) -> None:
        self.calls *= _FADE
        self.lost *= _FADE
        self.failed *= _FADE
        for bucket in self.times:
            self.times[bucket] *= _FADE

    def add(self, change: 'RouteCounts | _Sums') -> None:
        self.calls += change.calls
        self.lost += change.lost
        self.failed += change.failed
        for bucket, count in change.times.items():
            self.times[bucket] = self.times.get(bucket, 0) + count

    @property
    def failure_rate(self) -> float:
        """Part of its answers that tell of a failure."""
        answered = self.calls - self.lost
        return (self.failed + _USUAL_FAILURES) / (answered + 1)

    @property
    def loss_rate(self) -> float:
        """Part of its requests that got no answer."""
        return (self.lost + _USUAL_FAILURES) / (self.calls + 1)

    @property
    def mean_log(self) -> float | None:
        """Mean logarithm of its times; ``None`` if too few are known."""
        if sum(self.times.values()) < _FEW:
            return None
        return _mean_log(self.times)

    @property
    def long_bucket(self) -> int | None:
        """The last bucket that is no long time yet, if one can be told."""
        timed = sum(self.times.values())
        if timed < _FEW_FOR_TAIL:
            return None
        beyond = float(0)
        for bucket in sorted(self.times, reverse=True):
            beyond += self.times[bucket]
            if beyond > timed * _TAIL:
                return bucket + _ALLOWANCE
        return None


class _Baseline:
    """What is usual on one route, by all old versions.

    One of them may be bad itself: the version of a move that was replaced
    before its verdict. So answers are compared with the best of those that
    have had enough calls. What gets no answer is mostly lost with a VM,
    whatever ran there; all versions together tell how often that happens.
    """

    def __init__(self) -> None:
        self._versions: dict[VersionName, _Sums] = {}

    def fade(self) -> None:
        for sums in self._versions.values():
            sums.fade()

    def add(self, version: VersionName, change: RouteCounts) -> None:
        self._versions.setdefault(version, _Sums()).add(change)

    @property
    def failure_rate(self) -> float:
        return min(sums.failure_rate for sums in self._references)

    @property
    def loss_rate(self) -> float:
        return self._pool.loss_rate

    @property
    def mean_log(self) -> float | None:
        means = (sums.mean_log for sums in self._references)
        return min((mean for mean in means if mean is not None), default=None)

    @property
    def long_bucket(self) -> int | None:
        buckets = (sums.long_bucket for sums in self._references)
        return min((one for one in buckets if one is not None), default=None)

    @property
    def _references(self) -> list[_Sums]:
        known = self._versions.values()
        enough = [sums for sums in known if sums.calls >= _ENOUGH]
        return enough or [self._pool]

    @property
    def _pool(self) -> _Sums:
        pool = _Sums()
        for sums in self._versions.values():
            pool.add(sums)
        return pool


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
        self._old: dict[RouteName, _Baseline] = {}
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
                    usual = self._old.setdefault(change.route, _Baseline())
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
                changes.append(_difference(counts, before))
        return changes

    def _weigh(self, vm: VmId, change: RouteCounts) -> None:
        route = change.route
        self._calls[vm] = self._calls.get(vm, 0) + change.calls
        old = self._old.setdefault(route, _Baseline())
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


def _difference(counts: RouteCounts, before: RouteCounts) -> RouteCounts:
    times = {
        bucket: count - before.times.get(bucket, 0)
        for bucket, count in counts.times.items()
    }
    return RouteCounts(
        counts.route,
        counts.calls - before.calls,
        max(counts.failed - before.failed, 0),
        {bucket: count for bucket, count in times.items() if count > 0},
        max(counts.lost - before.lost, 0),
    )


def _mean_log(times: Mapping[int, float]) -> float:
    """Mean logarithm of the times in ms; at least one is needed."""
    total = sum(bucket * count for bucket, count in times.items())
    return total / sum(times.values()) * log(2) / _PER_DOUBLING


def _weigh_share(failed: int, calls: int, usual: float) -> float:
    """Logarithm of the likelihood ratio of bad against good."""
    good = min(max(_USUAL_FAILURES, usual * 1.5), 0.8)
    bad = min(good + _BAD_FAILURES, 0.95)
    return failed * log(bad / good) + (calls - failed) * log(
        (1 - bad) / (1 - good),
    )


def _weigh_times(change: RouteCounts, usual: float) -> float:
    excess = _mean_log(change.times) - usual
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
