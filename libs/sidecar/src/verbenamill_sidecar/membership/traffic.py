"""Counts datagrams and their bytes by message type."""

from collections import Counter
from typing import NamedTuple

from verbenamill_sidecar.membership.datagrams import Message


class TrafficKind(NamedTuple):
    """The message type of a datagram, and whether it leaves the zone.

    :param message: class name of the message, in lower case.
    """

    message: str
    crosses_zones: bool


class Traffic:
    """Counters of datagrams since the start."""

    def __init__(self) -> None:
        self.datagrams: Counter[TrafficKind] = Counter()
        self.bytes: Counter[TrafficKind] = Counter()
        self.received = 0

    def count_sent(
        self, message: Message, size: int, *, crosses_zones: bool
    ) -> None:
        """Count a sent datagram.

        :param size: size of its payload, in bytes.
        """
        kind = TrafficKind(type(message).__name__.lower(), crosses_zones)
        self.datagrams[kind] += 1
        self.bytes[kind] += size

    def count_received(self) -> None:
        """Count a received datagram."""
        self.received += 1
