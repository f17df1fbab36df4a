"""Request counts of the owner of an upstream, for the decider of a move."""

from collections.abc import Mapping
from math import log, log2
from typing import Annotated

from msgspec import Meta, Struct
from msgspec.structs import replace

from verbenamill_model.external import (
    Number,
    RouteField,
    ServiceField,
    TextField,
    VersionField,
    VmField,
)
from verbenamill_model.typing import (
    RouteName,
    ServiceName,
    VersionName,
    VmId,
)

#: Maximum number of routes that an owner counts separately.
MAX_ROUTES = 16
#: Name under which all further routes are counted together.
OTHER_ROUTES = RouteName('*')

#: Number of histogram buckets for each doubling of the time.
_BUCKETS_PER_DOUBLING = 4
#: Shortest time with a bucket of its own, in milliseconds.
_MIN_TIME_MS = 0.1
#: Number of a bucket of the histogram.
TimeBucket = Annotated[int, Meta(ge=-100, le=100)]


class RouteCounts(Struct, array_like=True):
    """Counts of one route at one upstream since the start of its daemon.

    :param calls: requests that were answered, failed or lost.
    :param failed: answered requests whose answer reports a failure.
    :param times: histogram of service times, by `time_bucket`.
    :param lost: requests without an answer, as in a crash.
    """

    route: RouteField
    calls: Number = 0
    failed: Number = 0
    times: dict[TimeBucket, Number] = {}
    lost: Number = 0

    @property
    def answered(self) -> int:
        """Number of calls that got an answer."""
        return self.calls - self.lost


def time_bucket(took: float) -> int:
    """Histogram bucket of a service time.

    :param took: service time in seconds.
    """
    return round(_BUCKETS_PER_DOUBLING * log2(max(took * 1000, _MIN_TIME_MS)))


def mean_log(times: Mapping[int, float]) -> float:
    """Mean logarithm of the times in ms; at least one time is required."""
    total = sum(bucket * count for bucket, count in times.items())
    return total / sum(times.values()) * log(2) / _BUCKETS_PER_DOUBLING


def difference(counts: RouteCounts, before: RouteCounts) -> RouteCounts:
    """Counts that were added since an earlier tally."""
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
    """Cumulative counts of one owner, so that a lost report loses no counts.

    :param instance: upstream instance of the counts; they restart at zero for
        each instance.
    """

    vm: VmField
    instance: TextField
    service: ServiceField
    version: VersionField
    routes: list[RouteCounts]


class UpstreamCounts:
    """Request counts of the local upstream."""

    def __init__(self) -> None:
        self._instance = ''
        self._routes: dict[RouteName, RouteCounts] = {}

    def begin(self, instance: str) -> None:
        """Reset the counts if the upstream instance has changed."""
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
        """Count an answered request.

        :param took: service time in seconds; ``None`` if it is not
            representative.
        """
        counts = self._find(route)
        counts.calls += 1
        counts.failed += failed
        if took is not None:
            bucket = time_bucket(took)
            counts.times[bucket] = counts.times.get(bucket, 0) + 1

    def add_lost(self, route: RouteName) -> None:
        """Count a request without an answer."""
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
        """Copy all counts into a report for the decider."""
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
