"""Evidence of one owner: what the calls to its upstream came to."""

import msgspec
from msgspec import Struct

from verbenamill_model.traffic import Observation, Outcome
from verbenamill_model.typing import RouteName, ServiceName, VersionName
from verbenamill_moves.histogram import Histogram, bucket_of

#: Routes of one version that are told apart; the others count together.
MAX_ROUTES = 16
#: Name under which the other routes count.
OTHER_ROUTES = RouteName('*')
#: Versions an owner keeps; its upstream is replaced, not its daemon.
_MAX_VERSIONS = 4
#: Calls to a fresh upstream whose latency says nothing about the version.
COLD_CALLS = 8


class RouteCounts(Struct, array_like=True):
    """Counts of one version on one route since the owner's start.

    :param latencies: of the answered calls that were not cold starts.
    """

    route: RouteName
    answered: int = 0
    failed: int = 0
    shed: int = 0
    latencies: Histogram = msgspec.field(default_factory=dict)


class VersionCounts(Struct, array_like=True):
    """Counts of one version of a service since the owner's start."""

    service: ServiceName
    version: VersionName
    routes: list[RouteCounts]


class Report(Struct, array_like=True):
    """Cumulative evidence of one owner.

    A lost report costs nothing, since the next one holds its counts too.

    :param incarnation: distinguishes a restarted owner, whose counts begin
        at zero again.
    :param sequence: number of the report within the incarnation, from 1.
    """

    incarnation: int
    sequence: int
    versions: list[VersionCounts]


_decoder = msgspec.msgpack.Decoder(Report)


def read_report(body: bytes) -> Report | None:
    """Decode a report; ``None`` when it cannot be read."""
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError:
        return None


class Evidence:
    """Counts what an owner sees; bounded in versions, routes and buckets.

    :param incarnation: of the owner; differs at each start of the daemon.
    """

    def __init__(self, *, incarnation: int) -> None:
        self._incarnation = incarnation
        self._sequence = 0
        self._versions: list[VersionCounts] = []

    def observe(self, observation: Observation) -> None:
        """Count one call that ended.

        Calls that their caller cancelled say nothing about the version.
        """
        if observation.outcome is Outcome.CANCELLED:
            return
        counts = self._counts_of(observation)
        if observation.outcome is Outcome.SHED:
            counts.shed += 1
            return
        counts.answered += 1
        if observation.outcome is Outcome.FAILED:
            counts.failed += 1
            return
        if counts.answered > COLD_CALLS:
            bucket = bucket_of(observation.latency)
            counts.latencies[bucket] = counts.latencies.get(bucket, 0) + 1

    def report(self) -> bytes | None:
        """Encode all counts for the decider; ``None`` before any call."""
        if not self._versions:
            return None
        self._sequence += 1
        return msgspec.msgpack.encode(
            Report(
                incarnation=self._incarnation,
                sequence=self._sequence,
                versions=self._versions,
            ),
        )

    def _counts_of(self, observation: Observation) -> RouteCounts:
        routes = self._routes_of(observation.service, observation.version)
        known = _find_route(routes, observation.route)
        if known is not None:
            return known
        name = observation.route
        if len(routes) >= MAX_ROUTES:
            name = OTHER_ROUTES
        counts = _find_route(routes, name) or RouteCounts(name)
        if counts not in routes:
            routes.append(counts)
        return counts

    def _routes_of(
        self,
        service: ServiceName,
        version: VersionName,
    ) -> list[RouteCounts]:
        for counts in self._versions:
            if (counts.service, counts.version) == (service, version):
                return counts.routes
        fresh = VersionCounts(service, version, [])
        self._versions = [*self._versions, fresh][-_MAX_VERSIONS:]
        return fresh.routes


def _find_route(
    routes: list[RouteCounts],
    name: RouteName,
) -> RouteCounts | None:
    for counts in routes:
        if counts.route == name:
            return counts
    return None
