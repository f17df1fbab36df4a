"""Transit delay of messages between daemons with unsynchronised clocks."""

#: Time for which the shortest transit is remembered, in seconds. Clocks drift
#: apart by some ten microseconds in that time, less than any transit time.
WINDOW = 30.0
#: Maximum number of senders that are remembered; the oldest is dropped first.
MAX_SENDERS = 4096


class _ClockOffset:
    """Minimum difference between two clocks in this and the last window."""

    __slots__ = ('_window_start', '_minimum', '_previous_minimum')

    def __init__(self, difference: float, now: float) -> None:
        self._window_start = now
        self._minimum = difference
        self._previous_minimum = difference

    def add(self, difference: float, now: float) -> float:
        """Add a difference, and return its excess over the minimum."""
        if now - self._window_start > WINDOW:
            self._previous_minimum = self._minimum
            self._minimum = difference
            self._window_start = now
        self._minimum = min(self._minimum, difference)
        return difference - min(self._minimum, self._previous_minimum)


class TransitTimes:
    """Detects messages that were delayed by a link.

    A link that loses packets or was interrupted for a moment may deliver a
    request a second late, and the message that ends it later still. With the
    deadline that it was sent with, the request would run although its caller
    has given up.
    The shortest recent transit from a sender estimates the difference of the
    clocks; the time of a message beyond that is its delay.
    """

    def __init__(self) -> None:
        self._senders: dict[str, _ClockOffset] = {}

    def add(self, sender: str, *, sent: float, received: float) -> float:
        """Add a message, and return its delay beyond the usual, in seconds.

        :param sender: differs for each start of a daemon, as its clock does.
        :param sent: send time on the sender's clock, in seconds.
        :param received: receive time on the own clock, in seconds.
        """
        difference = received - sent
        known = self._senders.get(sender)
        if known is not None:
            return known.add(difference, received)
        if len(self._senders) >= MAX_SENDERS:
            self._senders.pop(next(iter(self._senders)))
        self._senders[sender] = _ClockOffset(difference, received)
        return 0
