"""Free ports for the daemons of a test."""

import socket
from random import SystemRandom

import pytest


@pytest.fixture
def free_ports():
    """Ports of which each has a free one behind it."""

    def find(count):
        # Below the ports that the kernel hands out: one of those could go to
        # another process before the daemon of the test opens it.
        random = SystemRandom()
        ports = set()
        while len(ports) < count:
            port = random.randrange(15_000, 32_000, 2)
            if is_free(port) and is_free(port + 1):
                ports.add(port)
        return list(ports)

    return find


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True
