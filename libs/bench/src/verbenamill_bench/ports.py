"""Free ports on loopback."""

import socket
from collections.abc import Iterator
from random import Random

HOST = '127.0.0.1'
#: Below the range from which the kernel picks ports for outgoing
#: connections; a port from that range may be taken again before use.
_LOWEST = 12000
_HIGHEST = 32000


def free_ports(random: Random) -> Iterator[str]:
    """Endless ``host:port`` addresses that were free when looked at."""
    first = random.randrange(_LOWEST, _HIGHEST)
    span = _HIGHEST - _LOWEST
    for step in range(span):
        port = _LOWEST + (first - _LOWEST + step) % span
        if _is_free(port):
            yield f'{HOST}:{port}'


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
