"""Evidence of one owner: what the calls to its upstream came to."""

from datetime import timedelta

import msgspec
from msgspec import Struct

from verbenamill_model.traffic import Observation, Outcome
from verbenamill_model.typing import RouteName, ServiceName, VersionName
from verbenamill_moves.histogram import Histogram, bucket_of
from verbenamill_runtime import Clock

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

    @property
    def answered(self) -> int:
        """Calls on all routes."""
        return sum(counts.answered for counts in self.routes)


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


def decode_report(body: bytes) -> Report | None:
    """Decode a report; ``None`` when it cannot be read."""
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError:
        return None


def encode_report(report: Report) -> bytes:
    """Encode a report."""
    return msgspec.msgpack.encode(report)


class EvidenceCollector:
    """Counts what an owner sees; bounded in versions, routes and buckets.

    :param incarnation: of the owner; differs at each start of the daemon.
    :param clock: tells which calls began before the upstream was warm.
    """

    def __init__(self, *, incarnation: int, clock: Clock) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._warm_since: dict[tuple[ServiceName, VersionName], timedelta] = {}
        self._sequence = 0
        self._versions: list[VersionCounts] = []

    def observe(self, observation: Observation) -> None:
        """Count one call that ended.

        Calls that their caller cancelled say nothing about the version.
        """
        if observation.outcome is Outcome.CANCELLED:
            return
        version = self._version_of(observation)
        counts = _counts_of(version.routes, observation.route)
        if observation.outcome is Outcome.SHED:
            counts.shed += 1
            return
        counts.answered += 1
        if observation.outcome is Outcome.FAILED:
            counts.failed += 1
            return
        if self._is_warm(version, observation.latency):
            bucket = bucket_of(observation.latency)
            counts.latencies[bucket] = counts.latencies.get(bucket, 0) + 1

    def report(self) -> bytes | None:
        """Encode all counts for the decider; ``None`` before any call."""
        if not self._versions:
            return None
        self._sequence += 1
        return encode_report(
            Report(
                incarnation=self._incarnation,
                sequence=self._sequence,
                versions=self._versions,
            ),
        )

    def _is_warm(self, version: VersionCounts, latency: timedelta) -> bool:
        """Whether a call that ends now began on a warm upstream.

        Slow calls of a cold start end after fast ones that began later, so
        the number of calls that ended is not enough to tell.
        """
        if version.answered <= COLD_CALLS:
            return False
        now = self._clock.monotonic()
        place = (version.service, version.version)
        return now - latency >= self._warm_since.setdefault(place, now)

    def _version_of(self, observation: Observation) -> VersionCounts:
        for counts in self._versions:
            if (
                counts.service == observation.service
                and counts.version == observation.version
            ):
                return counts
        fresh = VersionCounts(observation.service, observation.version, [])
        self._versions = [*self._versions, fresh][-_MAX_VERSIONS:]
        kept = {(known.service, known.version) for known in self._versions}
        for place in set(self._warm_since).difference(kept):
            self._warm_since.pop(place)
        return fresh


def _counts_of(routes: list[RouteCounts], name: RouteName) -> RouteCounts:
    known = _find_route(routes, name)
    if known is not None:
        return known
    if len(routes) >= MAX_ROUTES:
        name = OTHER_ROUTES
    counts = _find_route(routes, name) or RouteCounts(name)
    if counts not in routes:
        routes.append(counts)
    return counts


def _find_route(
    routes: list[RouteCounts],
    name: RouteName,
) -> RouteCounts | None:
    for counts in routes:
        if counts.route == name:
            return counts
    return None
