"""Token bucket that limits the rate at which requests start."""

#: Capacity of a bucket beyond one token, in seconds of its rate. Requests
#: arrive unevenly, and an upstream accepts a short burst; a longer one would
#: exceed its capacity for some seconds.
_BURST_SECONDS = 0.5
#: Minimum rate of a bucket, in requests a second. An upstream that accepts no
#: requests announces that limit and its end only in answers, so some requests
#: have to be sent.
MIN_RATE = 0.2
#: Fraction of a token that may be missing, since sums of short times are not
#: exact.
_TOLERANCE = 1e-6


class TokenBucket:
    """Limits the rate at which requests start.

    The bucket starts empty, since the requests before its creation are not
    known, as after a restart of the daemon.

    :ivar rate: rate in requests a second.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = max(rate, MIN_RATE)
        self._tokens = float(0)
        self._filled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate, and drop tokens beyond the new capacity."""
        self._fill(now)
        self.rate = max(rate, MIN_RATE)
        self._tokens = min(self._tokens, self._capacity)

    def take(self, now: float) -> None:
        """Take a token for a request that starts.

        The balance may become negative for a request that cannot be delayed,
        such as the second send of a request.
        """
        self._fill(now)
        self._tokens -= 1

    def give_back(self, now: float) -> None:
        """Return the token of a request that was not sent."""
        self._fill(now)
        self._tokens = min(self._tokens + 1, self._capacity)

    def wait(self, ahead: int, now: float) -> float:
        """Time until a request may start, in seconds.

        :param ahead: number of requests that start before it.
        """
        self._fill(now)
        missing = ahead + 1 - self._tokens
        return missing / self.rate if missing > _TOLERANCE else 0

    @property
    def _capacity(self) -> float:
        return 1 + _BURST_SECONDS * self.rate

    def _fill(self, now: float) -> None:
        earned = max(now - self._filled_at, 0) * self.rate
        self._tokens = min(self._tokens + earned, self._capacity)
        self._filled_at = now
