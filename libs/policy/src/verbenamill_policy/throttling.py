"""Client-side throttling: requests that would be refused are not sent.

When a server has free capacity, each of its many clients tries to use it, and
all but one are refused. A client therefore counts how many of its requests
were accepted and sends only slightly more than that. The server can still
choose among requests, and the cost of refusals stays bounded.
"""

import math
from random import Random

#: Requests sent for each accepted one. The surplus uses the whole capacity
#: and detects soon when it grows.
_SEND_RATIO = 1.5
#: Half-life of the counts, in seconds.
_HALF_LIFE = 1.0


class Throttle:
    """Decaying counts of the requests that one server got and accepted."""

    __slots__ = ('_sent', '_accepted', '_updated_at')

    def __init__(self) -> None:
        self._sent = float(0)
        self._accepted = float(0)
        self._updated_at = float(0)

    def record(self, now: float, *, taken: bool) -> None:
        """Count a request and whether the server accepted it."""
        self._decay(now)
        self._sent += 1
        self._accepted += taken

    def should_throttle(self, now: float, random: Random) -> bool:
        """Decide at random whether to withhold the next request."""
        self._decay(now)
        excess = self._sent - _SEND_RATIO * self._accepted
        return excess > 0 and random.random() < excess / (self._sent + 1)

    def _decay(self, now: float) -> None:
        factor = math.pow(2, (self._updated_at - now) / _HALF_LIFE)
        self._sent *= factor
        self._accepted *= factor
        self._updated_at = now
