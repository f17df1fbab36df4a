"""What the owner of an upstream counts of it, for those who decide on moves."""

from collections.abc import Mapping
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

#: Buckets of a histogram of times for each doubling.
_PER_DOUBLING = 4
#: Shortest time that is told apart, in ms.
_SHORTEST = 0.1


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


def mean_log(times: Mapping[int, float]) -> float:
    """Mean logarithm of the times in ms; at least one is needed."""
    total = sum(bucket * count for bucket, count in times.items())
    return total / sum(times.values()) * log(2) / _PER_DOUBLING


def difference(counts: RouteCounts, before: RouteCounts) -> RouteCounts:
    """What was counted since an earlier tally."""
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


class Tally(Struct, array_like=True):
    """Cumulative counts of one owner; a lost report costs nothing.

    :param instance: whose counts these are; they begin anew with another.
    """

    vm: VmId
    instance: str
    service: ServiceName
    version: VersionName
    routes: list[RouteCounts]


class UpstreamCounts:
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
