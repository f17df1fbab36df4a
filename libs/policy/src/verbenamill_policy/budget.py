"""How many requests may be sent to a second upstream."""

#: Share of requests that a daemon may send to a second upstream. Operators
#: allow a fifth for the fleet by default; what is kept back covers calls of
#: repeated runs, which count at the services that they call.
RATIO = 0.15
#: Repeats that a daemon saves up while nothing fails.
BURST = 4.0
#: What a repeat costs after an upstream has run the request, in repeats of
#: one that was refused unrun: its run may have made calls, and a second run
#: makes them again. So reruns stay within a tenth of the requests.
RERUN_COST = 1.5


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

    def take(self, *, has_run: bool) -> bool:
        """Spend a repeat, if there is one.

        :param has_run: whether an upstream may have run the request.
        """
        cost = RERUN_COST if has_run else 1
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True
