"""Free ports for the daemons of a test."""

import socket
from contextlib import ExitStack

import pytest


@pytest.fixture
def free_ports():
    """Ports of which each has a free one behind it."""

    def find(count):
        ports = []
        with ExitStack() as stack:
            while len(ports) < count:
                first = stack.enter_context(socket.socket())
                first.bind(('127.0.0.1', 0))
                port = first.getsockname()[1]
                second = stack.enter_context(socket.socket())
                try:
                    second.bind(('127.0.0.1', port + 1))
                except OSError:
                    continue
                ports.append(port)
        return ports

    return find
