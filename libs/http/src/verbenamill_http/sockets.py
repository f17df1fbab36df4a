"""TCP sockets as this project sets them."""

import socket
from array import array
from fcntl import ioctl
from termios import TIOCOUTQ

import trio

from verbenamill_http.addresses import Address

#: Time that sent bytes may stay unacknowledged, in milliseconds. Behind a
#: partition a connection would hang for minutes otherwise. The kernel also
#: ends a connection by it as soon as it has asked one question of keepalive
#: in vain, so it leaves time for two: one packet may be lost.
USER_TIMEOUT_MS = 2500
#: Idle time before the kernel asks whether the other end is there, and pause
#: between two such questions, in seconds; the least that the kernel takes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def set_tcp_options(sock: socket.socket, *, user_timeout_ms: int = 0) -> None:
    """Have the kernel end a connection whose other end is out of reach.

    :param unacknowledged: how long sent bytes may stay unacknowledged, in
        milliseconds. An end that is there and does not read acknowledges
        nothing either, so with 0 that is left to the kernel's long default.
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
    """Bytes that the other end has not acknowledged; 0 if nobody can tell."""
    count = array('i', [0])
    try:
        ioctl(sock, TIOCOUTQ, count)
    except OSError:
        return 0
    return count[0]


async def connect(
    address: Address,
    timeout: float,
    *,
    user_timeout_ms: int = USER_TIMEOUT_MS,
) -> socket.socket | None:
    """Open a connection; ``None`` if that fails or takes too long.

    :param timeout: in seconds.
    :param unacknowledged: see :func:`watch_peer`.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    connected = False
    try:
        sock.setblocking(False)
        set_tcp_options(sock, user_timeout_ms=user_timeout_ms)
        connected = await _finish_connecting(sock, address, timeout)
    except OSError:
        connected = False
    finally:
        if not connected:
            sock.close()
    return sock if connected else None


async def _finish_connecting(
    sock: socket.socket,
    address: Address,
    timeout: float,
) -> bool:
    try:
        sock.connect((address.host, address.port))
    except BlockingIOError:
        writable = False
        with trio.move_on_after(timeout):
            await trio.lowlevel.wait_writable(sock)
            writable = True
        if not writable:
            return False
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def listen(address: Address, backlog: int = 512) -> socket.socket:
    """Open a listening socket.

    :raises OSError: if the address cannot be had.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(backlog)
    return sock
