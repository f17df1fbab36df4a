"""A limit on the rate of an operation."""

from datetime import timedelta

from verbenamill_runtime import Clock


class TokenBucket:
    """A token bucket that holds one second's worth of tokens.

    :param tokens_per_second: tokens added per second.
    """

    def __init__(self, tokens_per_second: float, clock: Clock) -> None:
        self._tokens_per_second = tokens_per_second
        self._clock = clock
        self._tokens = tokens_per_second
        self._filled_at: timedelta | None = None

    def try_take(self) -> bool:
        """Take a token, if there is one.

        :returns: whether a token was taken.
        """
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self) -> None:
        now = self._clock.monotonic()
        if self._filled_at is not None:
            passed = (now - self._filled_at).total_seconds()
            tokens = self._tokens + passed * self._tokens_per_second
            self._tokens = min(tokens, self._tokens_per_second)
        self._filled_at = now
