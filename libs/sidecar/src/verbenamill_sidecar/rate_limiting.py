"""The limit that the own upstream names, and what that holds up."""

from collections.abc import Callable
from enum import Enum, unique

import trio
from msgspec import Struct

from verbenamill_policy.admission import Admission
from verbenamill_policy.heartbeats import UpstreamTracker
from verbenamill_policy.limits import RateLimitTracker, RateLimit
from verbenamill_sidecar.in_band import InBand
from verbenamill_telemetry import Event, log


@unique
class Source(Enum):
    """Who told of a limit."""

    ANSWER = 'answer'
    MEMORY = 'memory'


class LimitCounts(Struct):
    """Requests since the start of the daemon, while a limit held.

    :ivar sent: to the upstream.
    :ivar refused: that would have had to wait too long.
    """

    sent: int = 0
    refused: int = 0


class LimitKeeper:
    """Holds the own upstream's requests to its limit.

    All requests for the upstream pass this daemon, so its count is exact.

    :param changed: told when others have to know.
    :param wall_ms: Unix time in milliseconds.
    """

    def __init__(
        self,
        register: UpstreamTracker,
        *,
        changed: Callable[[], None],
        wall_ms: Callable[[], int],
    ) -> None:
        self.counts = LimitCounts()
        self._register = register
        self._changed = changed
        self._wall_ms = wall_ms
        self._belief = RateLimitTracker()
        self._admission = Admission(slots=1)

    @property
    def limit(self) -> RateLimit | None:
        """The limit as others are told of it."""
        current = self._register.current
        return None if current is None else current.limit

    @property
    def rate(self) -> float | None:
        """The limit in force, in requests a second; ``None`` without one."""
        return self._belief.rate

    @property
    def is_known(self) -> bool:
        """Whether it is known that this start names a limit, or names none."""
        return self._belief.is_known

    def begin(self, admission: Admission) -> None:
        """Another start of an upstream is there; an old limit is void."""
        self._belief = RateLimitTracker()
        self._admission = admission
        if self.limit is not None:
            self.recall(self.limit)

    def hear(self, said: InBand, *, asked_at: float) -> None:
        """Take in what an answer says.

        :param asked_at: when its request was sent.
        """
        before = self._belief.rate
        if said.limit is not None:
            self._belief.record_limit(said.limit, trio.current_time())
        elif said.names_none:
            self._belief.record_no_limit(asked_at=asked_at)
        if self._belief.rate != before:
            self._admission.set_rate(self._belief.rate, trio.current_time())
        self.share()

    def recall(self, limit: RateLimit) -> None:
        """Heed what others remember of this start of the upstream.

        A daemon that has just started has counted nothing, and has heard no
        answer; without this, it would send what the slots take.
        """
        if self._belief.restore(limit.rate):
            self._admission.set_rate(limit.rate, trio.current_time())
            self._register.set_limit(limit)
            self.share(Source.MEMORY)

    def share(self, source: Source = Source.ANSWER) -> None:
        """Tell others of a change, if there is one and they may be told."""
        before = self._belief.announced
        if not self._belief.take_update(trio.current_time()):
            return
        rate = self._belief.rate
        known = self.limit
        if rate is None:
            self._register.set_limit(None)
        else:
            since = self._wall_ms() if known is None else known.since
            self._register.set_limit(RateLimit(rate, since))
        self._log(rate, before, source)
        self._changed()

    def _log(
        self,
        rate: float | None,
        before: float | None,
        source: Source,
    ) -> None:
        current = self._register.current
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
