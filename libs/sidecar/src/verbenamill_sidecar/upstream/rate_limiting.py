"""Enforces the rate limit of the local upstream, announced or while cold."""

from collections.abc import Callable
from enum import Enum, unique

import trio
from msgspec import Struct

from verbenamill_policy.admission import Admission
from verbenamill_policy.cold_starts import ColdStartTracker
from verbenamill_policy.heartbeats import UpstreamTracker
from verbenamill_policy.limits import RateLimit, RateLimitTracker
from verbenamill_sidecar.upstream.in_band import UpstreamSignals
from verbenamill_telemetry import Event, log


@unique
class LimitSource(Enum):
    """How a limit became known."""

    ANSWER = 'answer'
    MEMORY = 'memory'
    COLD = 'cold'


class LimitCounts(Struct):
    """Requests under a rate limit since the start of the daemon.

    :ivar sent: number of requests that were sent to the upstream.
    :ivar refused: number that would have had to wait too long.
    """

    sent: int = 0
    refused: int = 0


class UpstreamRateLimiter:
    """Limits the rate of requests to the local upstream.

    All requests for the upstream pass this daemon, so its count is exact.

    :param cold_starts: tells whether the upstream is cold.
    :param on_limit_change: called when other daemons need to get a new limit.
    :param wall_ms: returns Unix time in milliseconds.
    """

    def __init__(
        self,
        upstream_tracker: UpstreamTracker,
        *,
        cold_starts: ColdStartTracker,
        on_limit_change: Callable[[], None],
        wall_ms: Callable[[], int],
    ) -> None:
        self.counts = LimitCounts()
        self._upstream_tracker = upstream_tracker
        self._on_change = on_limit_change
        self._wall_ms = wall_ms
        self._limit_tracker = RateLimitTracker()
        self._cold_starts = cold_starts
        self._rate: float | None = None
        self._admission = Admission(slots=1)

    @property
    def limit(self) -> RateLimit | None:
        """The limit that is announced to other daemons."""
        current = self._upstream_tracker.current
        return None if current is None else current.limit

    @property
    def rate(self) -> float | None:
        """The limit in force, in requests per second; ``None`` without one."""
        return self._rate

    @property
    def is_known(self) -> bool:
        """Whether it is known if this start of the upstream has a limit."""
        return self._limit_tracker.is_known or self._rate is not None

    def reset(self, admission: Admission) -> None:
        """Drop the limit of an upstream that was replaced or restarted."""
        self._limit_tracker = RateLimitTracker()
        self._admission = admission
        self._rate = None
        remembered = self.limit
        if remembered is not None and remembered.is_cold:
            # Whether it is still cold is found out by a probe.
            self._upstream_tracker.set_limit(None)
        elif remembered is not None:
            self.restore(remembered)
        self.refresh()

    def observe(self, signals: UpstreamSignals, *, asked_at: float) -> None:
        """Update the limit from an upstream's response.

        :param asked_at: time at which the request was sent.
        """
        if signals.limit is not None:
            self._limit_tracker.record_limit(signals.limit, trio.current_time())
        elif signals.shows_no_limit:
            self._limit_tracker.record_no_limit(asked_at=asked_at)
        self.refresh()

    def refresh(self, source: LimitSource = LimitSource.ANSWER) -> None:
        """Apply the lower one of the announced rate and that while cold."""
        now = trio.current_time()
        cold_rate = self._cold_starts.rate(now)
        rate = _lower(self._limit_tracker.rate, cold_rate)
        self._admission.set_cold(cold_rate is not None)
        if rate != self._rate:
            self._rate = rate
            self._admission.set_rate(rate, now)
        is_cold = cold_rate is not None and rate == cold_rate
        self._publish(LimitSource.COLD if is_cold else source)

    def restore(self, limit: RateLimit) -> None:
        """Apply the limit that others remember of this start of the upstream.

        A daemon that has just started has counted no requests and seen no
        response; without the limit it would send as much as the slots allow.
        """
        if not limit.is_cold and self._limit_tracker.restore(limit.rate):
            self._upstream_tracker.set_limit(limit)
            self.refresh(LimitSource.MEMORY)

    def _publish(self, source: LimitSource) -> None:
        """Announce a changed limit if an announcement is due."""
        before = self._limit_tracker.announced
        rate = self._rate
        if not self._limit_tracker.take_update(rate, trio.current_time()):
            return
        announced_limit = self.limit
        if rate is None:
            self._upstream_tracker.set_limit(None)
        else:
            since = (
                self._wall_ms()
                if announced_limit is None
                else announced_limit.since
            )
            is_cold = source is LimitSource.COLD
            self._upstream_tracker.set_limit(RateLimit(rate, since, is_cold))
        self._log(rate, before, source)
        self._on_change()

    def _log(
        self,
        rate: float | None,
        before: float | None,
        source: LimitSource,
    ) -> None:
        current = self._upstream_tracker.current
        instance = '' if current is None else current.instance
        log(
            _event_of(rate, source),
            instance=instance,
            rate=rate,
            before=before,
            source=source.value,
            sent=self.counts.sent,
            refused=self.counts.refused,
        )


def _event_of(rate: float | None, source: LimitSource) -> Event:
    if rate is None:
        return Event.UPSTREAM_UNLIMITED
    if source is LimitSource.COLD:
        return Event.UPSTREAM_COLD
    return Event.UPSTREAM_LIMITED


def _lower(one: float | None, other: float | None) -> float | None:
    """Return the lower one of two rates, of which ``None`` is unlimited."""
    if one is None or other is None:
        return other if one is None else one
    return min(one, other)
