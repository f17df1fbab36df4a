"""Cold upstreams: when an upstream is cold, and how many requests it gets."""

from collections import deque
from collections.abc import Callable
from math import isfinite

from msgspec import Struct

#: Length of the span in which the requests to a cold upstream are counted, in
#: seconds.
SPAN = 1.0
#: Longest time for which a single sign makes an upstream cold, in seconds. An
#: upstream that stays cold repeats the sign.
MAX_SIGN_DURATION = 30.0
#: Share of the allowed unverified requests after which a sign is asked for.
_ASK_SHARE = 0.85
#: Expected time until a sign that was asked for arrives, in seconds.
_SIGN_DELAY = 0.03
#: Time after which a sign that was asked for is no longer expected, in seconds.
_SIGN_TIMEOUT = 0.3


class ColdStartLimit(Struct, frozen=True):
    """What the upstreams of a service tolerate while they are cold.

    :param duration: time for which they are cold after a start, in seconds.
    :param rate: requests per second that one of them tolerates meanwhile; 0 if
        it is not bounded.
    """

    duration: float = 0
    rate: float = 0

    @property
    def is_bounded(self) -> bool:
        """Whether the limit has any effect."""
        return self.rate > 0


class ColdStartMargin(Struct, frozen=True):
    """Requests beyond the rate that a cold upstream may get in one second.

    :param overshoot: factor on the rate.
    :param slack: number of requests in addition.
    """

    overshoot: float = 1.5
    slack: float = 4

    def max_unverified(self, limit: ColdStartLimit) -> int:
        """Requests that may start in one span before the next sign.

        The upstream may have turned cold right before the first of them, and
        gets its rate for the rest of the span once that is known.
        """
        allowed = self.overshoot * limit.rate + self.slack
        return max(int(allowed - limit.rate), 1)


class ColdStartTracker:
    """Whether one upstream is cold, from its starts and signs.

    An upstream may turn cold at any moment, and signs arrive with a delay. A
    sign that it is cold always counts, for as long as it says. Heartbeats may
    be seconds late, so only the answer to a probe shows that it is not cold.
    While it is not, the requests that start between two such answers are
    bounded.

    :param limit: returns the limit of the upstream's service.
    """

    def __init__(
        self, limit: Callable[[], ColdStartLimit], margin: ColdStartMargin
    ) -> None:
        self._find_limit = limit
        self._margin = margin
        self._started_at = float('-inf')
        self._cold_until = float('-inf')
        self._assumed_at = float('-inf')
        self._verified_at = float('-inf')
        self._asked_at = float('-inf')
        self._starts: deque[float] = deque()

    def rate(self, now: float) -> float | None:
        """Rate at which requests may start; ``None`` if it is not cold."""
        limit = self._find_limit()
        if limit.is_bounded and self._is_cold(limit, now):
            return limit.rate
        return None

    def is_cold(self, now: float) -> bool:
        """Whether the upstream is cold, or has to be treated as such."""
        return self._is_cold(self._find_limit(), now)

    def begin(self, *, age: float, now: float) -> None:
        """Record a new start of the upstream.

        :param age: time since the start, in seconds.
        """
        self._started_at = now - max(age, 0)
        self._cold_until = float('-inf')
        self._assumed_at = float('-inf')
        self._verified_at = float('-inf')
        self._starts.clear()

    def assume(self, now: float) -> None:
        """Treat the upstream as cold until an answer to a probe, or in time.

        It may be cold without a sign, as after the evacuation of its zone or
        after a restart of its daemon.
        """
        self._assumed_at = now

    def record_cold(self, remaining: float, now: float) -> None:
        """Record a sign that it stays cold for some time, in seconds."""
        if isfinite(remaining) and remaining > 0:
            until = now + min(remaining, MAX_SIGN_DURATION)
            self._cold_until = max(self._cold_until, until)

    def record_probe(self, remaining: float, *, asked_at: float) -> None:
        """Record the answer to a probe.

        :param remaining: time for which it stays cold, in seconds.
        :param asked_at: when the probe was sent.
        """
        self.record_cold(remaining, asked_at)
        self._asked_at = float('-inf')
        if self._assumed_at <= asked_at:
            self._assumed_at = float('-inf')
        self._verified_at = max(self._verified_at, asked_at)

    def record_start(self, now: float) -> None:
        """Count a request that is sent to the upstream."""
        if not self._find_limit().is_bounded:
            return
        self._starts.append(now)
        self._drop_expired(now)

    def needs_probe(self, now: float) -> bool:
        """Whether to ask the upstream if it is cold."""
        limit = self._find_limit()
        if not limit.is_bounded or now - self._asked_at < _SIGN_TIMEOUT:
            return False
        if now - self._assumed_at < limit.duration:
            return True
        if self._is_cold(limit, now):
            return False
        allowed = self._margin.max_unverified(limit)
        return self._count_unverified(now) >= _ASK_SHARE * allowed

    def record_asked(self, now: float) -> None:
        """Record that a probe is sent."""
        self._asked_at = now

    def wait(self, ahead: int, now: float) -> float:
        """Time until a request may start although it is unverified, in s.

        The rate of a cold upstream is limited elsewhere.

        :param ahead: number of requests that start before it.
        """
        limit = self._find_limit()
        if not limit.is_bounded or self._is_cold(limit, now):
            return 0
        allowed = self._margin.max_unverified(limit)
        unverified = self._count_unverified(now)
        excess = unverified + ahead + 1 - allowed
        if excess <= 0:
            return 0
        if now - self._asked_at < _SIGN_TIMEOUT:
            return _SIGN_DELAY
        first = len(self._starts) - unverified
        last = min(first + excess, len(self._starts)) - 1
        return max(self._starts[last] + SPAN - now, 0)

    def _is_cold(self, limit: ColdStartLimit, now: float) -> bool:
        return (
            now < self._cold_until
            or now - self._started_at < limit.duration
            or now - self._assumed_at < limit.duration
        )

    def _count_unverified(self, now: float) -> int:
        """Count the latest requests that started since the last answer."""
        self._drop_expired(now)
        return sum(start > self._verified_at for start in self._starts)

    def _drop_expired(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - SPAN:
            self._starts.popleft()
