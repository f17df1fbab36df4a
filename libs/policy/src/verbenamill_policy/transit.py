"""How long messages were on their way, from clocks that are not compared."""

#: How long a shortest transit is remembered, in seconds. Clocks drift apart
#: by some ten microseconds in that time, which is less than any transit.
WINDOW = 30.0
#: Senders that are remembered; beyond it, the oldest is forgotten.
MAX_SENDERS = 4096


class _Sender:
    """Least difference between the two clocks, in this window and before."""

    __slots__ = ('_since', '_least', '_before')

    def __init__(self, difference: float, now: float) -> None:
        self._since = now
        self._least = difference
        self._before = difference

    def add(self, difference: float, now: float) -> float:
        """Take in a difference; by how much it exceeds the least one."""
        if now - self._since > WINDOW:
            self._before = self._least
            self._least = difference
            self._since = now
        self._least = min(self._least, difference)
        return difference - min(self._least, self._before)


class TransitTimes:
    """Tells messages that a link has held up.

    A link that loses packets, or was cut for a moment, delivers a request a
    second late, and its end a little later still. With the deadline that it
    left with, it would run although its caller has gone. The shortest
    transit of late from a sender tells how its clock differs from ours; what
    a message took beyond that, it was held up.
    """

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}

    def add(self, sender: str, *, sent: float, received: float) -> float:
        """How much longer than usual a message was on its way, in seconds.

        :param sender: differs for each start of a daemon, as its clock does.
        :param sent: when it left, on the sender's clock, in seconds.
        :param received: when it came, on the own clock, in seconds.
        """
        difference = received - sent
        known = self._senders.get(sender)
        if known is not None:
            return known.add(difference, received)
        if len(self._senders) >= MAX_SENDERS:
            self._senders.pop(next(iter(self._senders)))
        self._senders[sender] = _Sender(difference, received)
        return 0
