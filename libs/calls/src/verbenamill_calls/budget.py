"""Limit on retries and hedges, as a share of the calls."""

from verbenamill_calls.settings import CallSettings


class RetryBudget:
    """Tokens that calls earn and repeated tries spend.

    Without it, an upstream that fails under load would get up to three
    times the load for it; with it, a tenth more at most.
    """

    def __init__(self, settings: CallSettings) -> None:
        self._ratio = settings.retry_ratio
        self._burst = settings.retry_burst
        self._tokens = settings.retry_burst

    def earn(self) -> None:
        """Count a call."""
        self._tokens = min(self._tokens + self._ratio, self._burst)

    def spend(self) -> bool:
        """Take a token for one more try, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
