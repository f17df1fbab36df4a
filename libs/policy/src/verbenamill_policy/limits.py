"""The rate limit that an upstream announces with its answers."""

import re
from collections.abc import Iterable

from msgspec import Struct

from verbenamill_model.external import Rate, UnixMs

#: Maximum length of a number. Longer ones are not valid request rates.
_MAX_NUMBER_LENGTH = 20
_DECIMAL = re.compile(rb'(?:\d+(?:\.\d*)?|\.\d+)\Z')
#: Relative change of a limit from which on it is announced to other daemons.
_MIN_RELATIVE_CHANGE = 0.2
#: Minimum time between two announcements, in seconds.
_ANNOUNCE_PERIOD = 1.0


def read_rate(values: Iterable[bytes]) -> float | None:
    """Parse the limit in the headers of one answer, in requests a second.

    The smallest of several values applies. Values that are not decimal numbers
    are ignored.

    :param values: values of all headers of that name.
    """
    rates = [
        float(value)
        for value in values
        if len(value) <= _MAX_NUMBER_LENGTH and _DECIMAL.match(value)
    ]
    return min(rates, default=None)


class RateLimit(Struct, frozen=True, array_like=True):
    """A rate limit as daemons announce it to each other.

    :param rate: limit in requests a second.
    :param since: when this start of the upstream first announced a limit, as
        Unix time in milliseconds.
    :param is_cold: whether it applies because the upstream is cold, and not
        because the upstream announced it.
    """

    rate: Rate
    since: UnixMs
    is_cold: bool = False


class RateLimitTracker:
    """The rate limit of one start of an upstream, from its answers.

    :ivar rate: limit in requests a second; ``None`` without a limit.
    :ivar announced: the rate last announced to other daemons.
    """

    def __init__(self) -> None:
        self.rate: float | None = None
        self.announced: float | None = None
        self._limited_at = float('-inf')
        self._announced_at = float('-inf')
        self._has_answer = False

    @property
    def is_known(self) -> bool:
        """Whether an answer was seen or a limit was restored."""
        return self._has_answer or self.rate is not None

    def record_limit(self, rate: float, now: float) -> None:
        """Record an answer that announces a limit."""
        self._has_answer = True
        self.rate = rate
        self._limited_at = now

    def record_no_limit(self, *, asked_at: float) -> bool:
        """Record an answer without a limit, and return whether it ends one.

        Answers may overtake each other. Only an answer whose request was sent
        after the limit was last announced is certain to be newer.

        :param asked_at: time at which its request was sent.
        """
        self._has_answer = True
        if self.rate is None or asked_at <= self._limited_at:
            return False
        self.rate = None
        return True

    def restore(self, rate: float) -> bool:
        """Apply a limit known to other daemons until the first answer."""
        if self._has_answer or self.rate is not None:
            return False
        self.rate = rate
        return True

    def take_update(self, rate: float | None, now: float) -> bool:
        """Whether to announce a change now; it is then marked as announced.

        :param rate: rate in force, which may be below the limit.
        """
        if now - self._announced_at < _ANNOUNCE_PERIOD:
            return False
        if not _is_significant(self.announced, rate):
            return False
        self.announced = rate
        self._announced_at = now
        return True


def _is_significant(announced: float | None, rate: float | None) -> bool:
    if announced is None or rate is None:
        return announced is not rate
    return abs(rate - announced) > _MIN_RELATIVE_CHANGE * announced
