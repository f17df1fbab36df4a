"""How many requests may be sent to a second upstream."""

#: Share of requests that may be repeated. Half of what operators allow for
#: the fleet by default, since calls made by a repeated run count as well.
RATIO = 0.1
#: Repeats that a daemon saves up while nothing fails.
BURST = 3.0


class RetryBudget:
    """Token bucket of one service at one daemon.

    Each daemon earns by its own requests, so all daemons together stay
    within the ratio without telling each other.
    """

    def __init__(self, *, ratio: float = RATIO, burst: float = BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Repeats that may be made now."""
        return self._tokens

    def earn(self) -> None:
        """Count a request."""
        self._tokens = min(self._tokens + self._ratio, self._burst)

    def take(self) -> bool:
        """Spend a repeat, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
