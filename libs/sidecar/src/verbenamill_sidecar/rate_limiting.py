"""Enforces the rate limit that the local upstream names."""

from collections.abc import Callable
from enum import Enum, unique

import trio
from msgspec import Struct

from verbenamill_policy.admission import Admission
from verbenamill_policy.heartbeats import UpstreamTracker
from verbenamill_policy.limits import RateLimit, RateLimitTracker
from verbenamill_sidecar.in_band import UpstreamSignals
from verbenamill_telemetry import Event, log


@unique
class LimitSource(Enum):
    """How a limit became known."""

    ANSWER = 'answer'
    MEMORY = 'memory'


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

    :param on_limit_change: called when other daemons need to get a new limit.
    :param wall_ms: returns Unix time in milliseconds.
    """

    def __init__(
        self,
        upstream_tracker: UpstreamTracker,
        *,
        on_limit_change: Callable[[], None],
        wall_ms: Callable[[], int],
    ) -> None:
        self.counts = LimitCounts()
        self._upstream_tracker = upstream_tracker
        self._on_change = on_limit_change
        self._wall_ms = wall_ms
        self._limit_tracker = RateLimitTracker()
        self._admission = Admission(slots=1)

    @property
    def limit(self) -> RateLimit | None:
        """The limit that is announced to other daemons."""
        current = self._upstream_tracker.current
        return None if current is None else current.limit

    @property
    def rate(self) -> float | None:
        """The limit in force, in requests per second; ``None`` without one."""
        return self._limit_tracker.rate

    @property
    def is_known(self) -> bool:
        """Whether it is known if this start of the upstream has a limit."""
        return self._limit_tracker.is_known

    def reset(self, admission: Admission) -> None:
        """Drop the limit of an upstream that was replaced or restarted."""
        self._limit_tracker = RateLimitTracker()
        self._admission = admission
        if self.limit is not None:
            self.restore(self.limit)

    def observe(self, signals: UpstreamSignals, *, asked_at: float) -> None:
        """Update the limit from an upstream's response.

        :param asked_at: time at which the request was sent.
        """
        before = self._limit_tracker.rate
        if signals.limit is not None:
            self._limit_tracker.record_limit(signals.limit, trio.current_time())
        elif signals.shows_no_limit:
            self._limit_tracker.record_no_limit(asked_at=asked_at)
        if self._limit_tracker.rate != before:
            self._admission.set_rate(
                self._limit_tracker.rate, trio.current_time()
            )
        self.publish()

    def restore(self, limit: RateLimit) -> None:
        """Apply the limit that others remember of this start of the upstream.

        A daemon that has just started has counted no requests and seen no
        response; without the limit it would send as much as the slots allow.
        """
        if self._limit_tracker.restore(limit.rate):
            self._admission.set_rate(limit.rate, trio.current_time())
            self._upstream_tracker.set_limit(limit)
            self.publish(LimitSource.MEMORY)

    def publish(self, source: LimitSource = LimitSource.ANSWER) -> None:
        """Announce a changed limit if an announcement is due."""
        before = self._limit_tracker.announced
        if not self._limit_tracker.take_update(trio.current_time()):
            return
        rate = self._limit_tracker.rate
        announced_limit = self.limit
        if rate is None:
            self._upstream_tracker.set_limit(None)
        else:
            since = (
                self._wall_ms()
                if announced_limit is None
                else announced_limit.since
            )
            self._upstream_tracker.set_limit(RateLimit(rate, since))
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
            Event.UPSTREAM_UNLIMITED
            if rate is None
            else Event.UPSTREAM_LIMITED,
            instance=instance,
            rate=rate,
            before=before,
            source=source.value,
            sent=self.counts.sent,
            refused=self.counts.refused,
        )
