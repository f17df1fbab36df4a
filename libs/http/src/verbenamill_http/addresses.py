"""Network addresses as settings write them."""

from ipaddress import IPv4Address, IPv6Address, ip_address
from typing import Any

from msgspec import Struct

MAX_PORT = 65535


class Address(Struct, frozen=True):
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """As it stands in a settings file."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'

    @property
    def is_wildcard(self) -> bool:
        """Whether it stands for every interface."""
        return self._ip.is_unspecified

    @property
    def is_loopback(self) -> bool:
        """Whether only this machine reaches it."""
        return self._ip.is_loopback

    @property
    def _ip(self) -> IPv4Address | IPv6Address:
        return ip_address(self.host)

    def overlaps(self, other: 'Address') -> bool:
        """Whether both cannot be bound at once."""
        if self.port != other.port or self.port == 0:
            return False
        wildcard = self.is_wildcard or other.is_wildcard
        return wildcard or self.host == other.host


def parse_address(found: Any) -> Address:
    """Read ``host:port`` or ``[host]:port``.

    :raises ValueError: when it is none, or the host is no IP number.
    """
    if not isinstance(found, str):
        raise ValueError
    host, colon, port = found.rpartition(':')
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError
    bracketed = host.startswith('[') and host.endswith(']')
    number = ip_address(host[1:-1] if bracketed else host)
    if bracketed != (number.version == 6) or int(port) > MAX_PORT:
        raise ValueError
    return Address(str(number), int(port))
