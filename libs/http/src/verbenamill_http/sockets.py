"""TCP sockets with the options that the mesh uses."""

import socket
from array import array
from fcntl import ioctl
from termios import TIOCOUTQ

import trio

from verbenamill_http.addresses import Address

#: How long sent bytes may stay unacknowledged. Without a limit a connection
#: hangs for minutes during a network partition. The kernel also applies this
#: limit once a keepalive probe has remained unanswered, so the limit leaves
#: time for two probes: a single lost packet must not end the connection.
USER_TIMEOUT_MS = 2500
#: Idle time before the first keepalive probe and interval between probes; the
#: smallest values that the kernel accepts.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def set_tcp_options(sock: socket.socket, *, user_timeout_ms: int = 0) -> None:
    """Disable Nagle's algorithm and enable detection of unreachable peers.

    :param user_timeout_ms: how long sent bytes may stay unacknowledged, in
        milliseconds. A reachable peer that does not read acknowledges no
        bytes either; 0 keeps the long default of the kernel for such peers.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    if user_timeout_ms:
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            user_timeout_ms,
        )


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Count the sent bytes that the peer has not acknowledged.

    :return: the number of bytes; 0 if the kernel does not provide it.
    """
    unacknowledged = array('i', [0])
    try:
        ioctl(sock, TIOCOUTQ, unacknowledged)
    except OSError:
        return 0
    return unacknowledged[0]


async def connect(
    address: Address,
    timeout: float,
    *,
    user_timeout_ms: int = USER_TIMEOUT_MS,
) -> socket.socket | None:
    """Open a connection; ``None`` if that fails or takes too long.

    :param timeout: time limit in seconds.
    :param user_timeout_ms: see :func:`set_tcp_options`.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    is_connected = False
    try:
        sock.setblocking(False)
        set_tcp_options(sock, user_timeout_ms=user_timeout_ms)
        is_connected = await _finish_connecting(sock, address, timeout)
    except OSError:
        is_connected = False
    finally:
        if not is_connected:
            sock.close()
    return sock if is_connected else None


async def _finish_connecting(
    sock: socket.socket,
    address: Address,
    timeout: float,
) -> bool:
    try:
        sock.connect((address.host, address.port))
    except BlockingIOError:
        is_writable = False
        with trio.move_on_after(timeout):
            await trio.lowlevel.wait_writable(sock)
            is_writable = True
        if not is_writable:
            return False
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def listen(address: Address, backlog: int = 512) -> socket.socket:
    """Open a listening socket.

    :raises OSError: if the address cannot be bound.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(backlog)
    return sock
