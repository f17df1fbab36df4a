"""Evidence of one owner: outcomes of the calls to its upstream."""

from datetime import timedelta

import msgspec
from msgspec import Struct

from verbenamill_model.traffic import Observation, Outcome
from verbenamill_model.typing import RouteName, ServiceName, VersionName
from verbenamill_moves.histogram import Histogram, bucket_of
from verbenamill_runtime import Clock

#: Routes of one version that are counted separately; all further routes are
#: counted together.
MAX_ROUTES = 16
#: Route name under which the further routes are counted.
OTHER_ROUTES = RouteName('*')
#: Versions whose counts an owner keeps; the daemon outlives its upstreams.
_MAX_VERSIONS = 4
#: First calls of a new upstream; their latencies are those of a cold start
#: and say nothing about the version.
COLD_CALLS = 8


class RouteCounts(Struct, array_like=True):
    """Counts of one version on one route since the start of the owner.

    :param latencies: latencies of the successful calls, without those of the
        cold start.
    """

    route: RouteName
    answered: int = 0
    failed: int = 0
    shed: int = 0
    latencies: Histogram = msgspec.field(default_factory=dict)


class VersionCounts(Struct, array_like=True):
    """Counts of one version of a service since the start of the owner."""

    service: ServiceName
    version: VersionName
    routes: list[RouteCounts]

    @property
    def answered(self) -> int:
        """Answered calls on all routes."""
        return sum(counts.answered for counts in self.routes)


class Report(Struct, array_like=True):
    """Cumulative evidence of one owner.

    The loss of a report has no effect, as the next one includes its counts.

    :param incarnation: identifies one run of the owner; after a restart the
        counts begin at zero again.
    :param sequence: number of the report within the incarnation, from 1.
    """

    incarnation: int
    sequence: int
    versions: list[VersionCounts]


_decoder = msgspec.msgpack.Decoder(Report)


def decode_report(body: bytes) -> Report | None:
    """Decode a report; return ``None`` if it is unreadable."""
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError:
        return None


def encode_report(report: Report) -> bytes:
    """Encode a report."""
    return msgspec.msgpack.encode(report)


class EvidenceCollector:
    """Counts the calls of an owner within bounded memory.

    The numbers of versions, routes and latency buckets are limited.

    :param incarnation: run of the owner; differs at each start of the daemon.
    :param clock: determines which calls began before the upstream was warm.
    """

    def __init__(self, *, incarnation: int, clock: Clock) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._warm_since: dict[tuple[ServiceName, VersionName], timedelta] = {}
        self._sequence = 0
        self._versions: list[VersionCounts] = []

    def observe(self, observation: Observation) -> None:
        """Count one call that has ended.

        Calls that were cancelled by their caller are ignored, as they say
        nothing about the version.
        """
        if observation.outcome is Outcome.CANCELLED:
            return
        version = self._counts_of_version(observation)
        counts = _counts_of_route(version.routes, observation.route)
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
        """Encode all counts for the decider; ``None`` before the first call."""
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
        """Return whether a call that ends now began on a warm upstream.

        The number of calls that have ended does not suffice: slow calls of a
        cold start end after fast calls that began later.
        """
        if version.answered <= COLD_CALLS:
            return False
        now = self._clock.monotonic()
        key = (version.service, version.version)
        return now - latency >= self._warm_since.setdefault(key, now)

    def _counts_of_version(self, observation: Observation) -> VersionCounts:
        for counts in self._versions:
            if (
                counts.service == observation.service
                and counts.version == observation.version
            ):
                return counts
        added = VersionCounts(observation.service, observation.version, [])
        self._versions = [*self._versions, added][-_MAX_VERSIONS:]
        kept = {(known.service, known.version) for known in self._versions}
        for dropped in set(self._warm_since).difference(kept):
            self._warm_since.pop(dropped)
        return added


def _counts_of_route(routes: list[RouteCounts], name: RouteName) -> RouteCounts:
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
