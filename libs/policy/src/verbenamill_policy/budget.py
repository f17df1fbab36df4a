"""Budget of requests that may be sent to a second upstream."""

#: Share of the allowed retries that a daemon uses. The rest is reserved for the
#: nested calls of repeated runs, which count at the services that they call.
_USED_SHARE = 0.75
#: Share of requests that operators usually allow to be sent a second time.
USUAL_RATIO = 0.2
#: Maximum number of retries that a daemon accumulates while nothing fails.
MAX_TOKENS = 4.0
#: Cost of a retry after an upstream may have run the request, relative to one
#: after a refusal. The first run may have made nested calls, which a second
#: run makes again. With this cost, reruns stay within a tenth of the requests.
RERUN_COST = 1.5


class RetryBudget:
    """Token bucket for the retries of one service at one daemon.

    Each daemon earns tokens with its own requests, so all daemons together
    stay within the ratio without coordination.

    :param allowed_ratio: share of requests that the fleet may send to a second
        upstream.
    :param burst: number of retries that are available at first, and at most.
    """

    def __init__(
        self,
        *,
        allowed_ratio: float = USUAL_RATIO,
        burst: float = MAX_TOKENS,
    ) -> None:
        self._ratio = _USED_SHARE * allowed_ratio
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Number of retries that are currently available."""
        return self._tokens

    def earn(self) -> None:
        """Add the share of a retry that a new request earns."""
        self._tokens = min(self._tokens + self._ratio, self._burst)

    def take(self, *, has_run: bool) -> bool:
        """Spend a retry, and return whether one was available.

        :param has_run: whether an upstream may have run the request.
        """
        cost = RERUN_COST if has_run else 1
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True
