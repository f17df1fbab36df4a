"""A bound on how often something is done."""

from datetime import timedelta

from verbenamill_runtime import Clock


class Budget:
    """A token bucket that holds one second's worth.

    :param per_second: tokens that come in each second.
    """

    def __init__(self, per_second: float, clock: Clock) -> None:
        self._per_second = per_second
        self._clock = clock
        self._tokens = per_second
        self._filled_at: timedelta | None = None

    def take(self) -> bool:
        """Take a token, if there is one."""
        self._fill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self) -> None:
        now = self._clock.monotonic()
        if self._filled_at is not None:
            passed = (now - self._filled_at).total_seconds()
            tokens = self._tokens + passed * self._per_second
            self._tokens = min(tokens, self._per_second)
        self._filled_at = now
