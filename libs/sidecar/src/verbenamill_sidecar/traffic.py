"""Counts datagrams and their bytes by what they carry."""

from collections import Counter
from typing import NamedTuple

from verbenamill_sidecar.datagrams import Message


class TrafficKind(NamedTuple):
    """What a datagram carries, and whether it leaves the zone.

    :param message: name of the message, in lower case.
    """

    message: str
    crosses: bool


class Traffic:
    """Datagrams since the start."""

    def __init__(self) -> None:
        self.datagrams: Counter[TrafficKind] = Counter()
        self.bytes: Counter[TrafficKind] = Counter()
        self.received = 0

    def count_sent(self, message: Message, size: int, *, crosses: bool) -> None:
        """Count a datagram that was sent.

        :param size: its payload, in bytes.
        """
        kind = TrafficKind(type(message).__name__.lower(), crosses)
        self.datagrams[kind] += 1
        self.bytes[kind] += size

    def count_received(self) -> None:
        """Count a datagram that came."""
        self.received += 1
