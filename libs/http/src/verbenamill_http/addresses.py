"""Network addresses in the notation of settings files."""

from ipaddress import IPv4Address, IPv6Address, ip_address
from typing import Any

from msgspec import Struct

MAX_PORT = 65535


class Address(Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address in the notation of settings files."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'

    @property
    def is_wildcard(self) -> bool:
        """Whether the address stands for all network interfaces."""
        return self._ip.is_unspecified

    @property
    def is_loopback(self) -> bool:
        """Whether the address is reachable only from this machine."""
        return self._ip.is_loopback

    @property
    def _ip(self) -> IPv4Address | IPv6Address:
        return ip_address(self.host)

    def overlaps(self, other: 'Address') -> bool:
        """Whether the two addresses cannot be bound at the same time."""
        if self.port != other.port or self.port == 0:
            return False
        has_wildcard = self.is_wildcard or other.is_wildcard
        return has_wildcard or self.host == other.host


def parse_address(text: Any) -> Address:
    """Parse ``host:port`` or ``[host]:port``.

    :raises ValueError: if the text has another form, or the host is not an
        IP address.
    """
    if not isinstance(text, str):
        raise ValueError
    host, colon, port = text.rpartition(':')
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError
    is_bracketed = host.startswith('[') and host.endswith(']')
    ip = ip_address(host[1:-1] if is_bracketed else host)
    if is_bracketed != (ip.version == 6) or int(port) > MAX_PORT:
        raise ValueError
    return Address(str(ip), int(port))
