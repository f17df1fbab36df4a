"""A token bucket: how many requests may begin, and when the next one may."""

#: Seconds of its rate that a bucket holds beyond one token. Requests come
#: unevenly, and an upstream takes a short burst; a longer one would exceed
#: what it can do in a few seconds.
_BURST = 0.5
#: Rate of a bucket whose limit is smaller, in requests a second. An upstream
#: that takes none says so, or that it takes some again, only in an answer.
LEAST_RATE = 0.2
#: Part of a token that may lack; sums of short times are not exact.
_TOLERANCE = 1e-6


class TokenBucket:
    """Lets requests begin at a rate.

    It starts empty: what began before it was made is not known, as after a
    restart of the daemon.

    :ivar rate: in requests a second.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = max(rate, LEAST_RATE)
        self._tokens = float(0)
        self._filled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Go on with another rate, and with no more tokens than it allows."""
        self._fill(now)
        self.rate = max(rate, LEAST_RATE)
        self._tokens = min(self._tokens, self._capacity)

    def take(self, now: float) -> None:
        """A request begins.

        One that cannot be held back, as a second send of the same request,
        may take a token that is not there yet.
        """
        self._fill(now)
        self._tokens -= 1

    def give_back(self, now: float) -> None:
        """A request that had begun was not sent."""
        self._fill(now)
        self._tokens = min(self._tokens + 1, self._capacity)

    def wait(self, ahead: int, now: float) -> float:
        """Time until a request may begin behind some others, in seconds."""
        self._fill(now)
        missing = ahead + 1 - self._tokens
        return missing / self.rate if missing > _TOLERANCE else 0

    @property
    def _capacity(self) -> float:
        return 1 + _BURST * self.rate

    def _fill(self, now: float) -> None:
        earned = max(now - self._filled_at, 0) * self.rate
        self._tokens = min(self._tokens + earned, self._capacity)
        self._filled_at = now
