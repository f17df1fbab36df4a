"""Client-side throttling: requests that would be refused are not sent.

Each of many clients that hears of room tries to use it, and all but one are
refused. A client that counts what was taken of its requests, and sends only a
little more than that, leaves the server some choice at a bounded cost.
"""

import math
from random import Random

#: Requests sent for each one that is taken: enough to use all room, and to
#: find out soon when there is more.
_OVERTURE = 1.5
#: After this long, half of what was counted is forgotten, in seconds.
_HALVES = 1.0


class Throttle:
    """What one server took of the requests that were sent to it."""

    __slots__ = ('_sent', '_taken', '_at')

    def __init__(self) -> None:
        self._sent = float(0)
        self._taken = float(0)
        self._at = float(0)

    def tell(self, now: float, *, taken: bool) -> None:
        """Count a request and whether it was taken."""
        self._age(now)
        self._sent += 1
        self._taken += taken

    def holds_back(self, now: float, random: Random) -> bool:
        """Whether a request is not to be sent, by chance."""
        self._age(now)
        excess = self._sent - _OVERTURE * self._taken
        return excess > 0 and random.random() < excess / (self._sent + 1)

    def _age(self, now: float) -> None:
        kept = math.pow(2, (self._at - now) / _HALVES)
        self._sent *= kept
        self._taken *= kept
        self._at = now
