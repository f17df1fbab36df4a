"""The rate of requests that an upstream takes, as it names it itself."""

import re
from collections.abc import Iterable

from msgspec import Struct

#: Longest number that is read. Longer ones are no rate of requests.
_MAX_LENGTH = 20
_DECIMAL = re.compile(rb'(?:\d+(?:\.\d*)?|\.\d+)\Z')
#: Part by which a limit has to change until others are told of it.
_MATERIAL = 0.2
#: Least time between two times that others are told, in seconds.
_TELL_PERIOD = 1.0


def read_rate(values: Iterable[bytes]) -> float | None:
    """The limit that the headers of one answer name, in requests a second.

    Of several the smallest holds. What is no decimal number names none.

    :param values: of all headers of that name.
    """
    rates = [
        float(value)
        for value in values
        if len(value) <= _MAX_LENGTH and _DECIMAL.match(value)
    ]
    return min(rates, default=None)


class RateLimit(Struct, frozen=True, array_like=True):
    """A limit as daemons tell it to each other.

    :param rate: in requests a second.
    :param since: when this start of the upstream first named one, Unix time in
        milliseconds.
    """

    rate: float
    since: int


class RateLimitTracker:
    """What the answers of one start of an upstream say of its limit.

    :ivar rate: in requests a second; ``None`` if it names no limit.
    :ivar told: the same as others were told last.
    """

    def __init__(self) -> None:
        self.rate: float | None = None
        self.announced: float | None = None
        self._named_at = float('-inf')
        self._told_at = float('-inf')
        self._has_heard = False

    @property
    def is_known(self) -> bool:
        """Whether there is an answer or a memory to go by."""
        return self._has_heard or self.rate is not None

    def record_limit(self, rate: float, now: float) -> None:
        """An answer names a limit."""
        self._has_heard = True
        self.rate = rate
        self._named_at = now

    def record_no_limit(self, *, asked_at: float) -> bool:
        """An answer names none; tells whether that ends a limit.

        Answers overtake each other. Only one that was asked for after the
        limit was last named is certain to be newer.

        :param asked_at: when its request was sent.
        """
        self._has_heard = True
        if self.rate is None or asked_at <= self._named_at:
            return False
        self.rate = None
        return True

    def restore(self, rate: float) -> bool:
        """Heed what others remember, until the first answer says more."""
        if self._has_heard or self.rate is not None:
            return False
        self.rate = rate
        return True

    def take_update(self, now: float) -> bool:
        """Whether others are to be told of a change now."""
        if now - self._told_at < _TELL_PERIOD:
            return False
        if not _is_material(self.announced, self.rate):
            return False
        self.announced = self.rate
        self._told_at = now
        return True


def _is_material(announced: float | None, rate: float | None) -> bool:
    if announced is None or rate is None:
        return announced is not rate
    return abs(rate - announced) > _MATERIAL * announced
