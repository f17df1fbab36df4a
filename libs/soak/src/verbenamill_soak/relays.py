"""Loopback relays that delay, reset, cut or silence their traffic."""

import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum, unique

import trio

#: Host and port of a datagram socket.
SocketAddress = tuple[str, int]

_LOOPBACK = '127.0.0.1'
_RECEIVE_SIZE = 65_536
_BACKLOG = 128
#: Maximum number of datagrams forwarded before other tasks run.
_MAX_BATCH = 256
#: Value of SO_LINGER that makes a close send a reset instead of an end.
_LINGER_RESET = struct.pack('ii', 1, 0)


@unique
class LinkMode(Enum):
    """How a relay treats traffic.

    :cvar OPEN: all traffic is forwarded.
    :cvar REFUSED: new connections are reset and datagrams are dropped.
    :cvar SILENT: connections stay open but nothing is forwarded.
    :cvar ONE_WAY: traffic from the side that opened the connection is
        forwarded, replies are not.
    """

    OPEN = 'open'
    REFUSED = 'refused'
    SILENT = 'silent'
    ONE_WAY = 'one-way'


class LinkControl:
    """State shared by the relays of one link.

    :ivar delay: delay added to each chunk or datagram, in seconds.
    :ivar is_holding: whether datagrams and new connections wait until the hold
        ends; open connections still work, as on a saturated link.
    """

    def __init__(self) -> None:
        self.mode = LinkMode.OPEN
        self.delay = float(0)
        self.is_holding = False
        self._last_disrupted_at = float('-inf')
        self._changed = trio.Event()
        self._connection_scopes: set[trio.CancelScope] = set()
        self._streams: set[trio.SocketStream] = set()

    def set_mode(self, mode: LinkMode) -> None:
        """Change the mode and wake the tasks that wait for a change."""
        if mode is not self.mode:
            self._last_disrupted_at = trio.current_time()
        self.mode = mode
        self._notify_change()

    def set_holding(self, *, is_holding: bool) -> None:
        """Hold or release datagrams and new connections."""
        self.is_holding = is_holding
        self._notify_change()

    def is_intact(self, since: float) -> bool:
        """Return whether nothing was cut or reset since a time.

        Delays and holds do not count.
        """
        return self.mode is LinkMode.OPEN and self._last_disrupted_at < since

    def reset(self) -> None:
        """Reset all open connections."""
        self._last_disrupted_at = trio.current_time()
        for stream in self._streams:
            _reset_on_close(stream)
        for scope in self._connection_scopes:
            scope.cancel()

    @contextmanager
    def track_connection(self, *streams: trio.SocketStream) -> Iterator[None]:
        """Register a connection that :meth:`reset` ends."""
        with trio.CancelScope() as scope:
            self._connection_scopes.add(scope)
            self._streams.update(streams)
            try:
                yield
            finally:
                self._connection_scopes.discard(scope)
                self._streams.difference_update(streams)

    async def wait_to_forward(self, *, is_reply: bool) -> None:
        """Wait until a chunk may be forwarded."""
        while self.mode is LinkMode.SILENT or (
            self.mode is LinkMode.ONE_WAY and is_reply
        ):
            await self._changed.wait()
        if self.delay:
            await trio.sleep(self.delay)

    async def wait_for_admission(self) -> None:
        """Wait until datagrams and new connections are not held."""
        while self.is_holding:
            await self._changed.wait()

    async def wait_for_change(self) -> None:
        """Wait for the next change of the mode or the hold."""
        await self._changed.wait()

    def drops_datagram(self, *, is_reply: bool) -> bool:
        """Return whether a datagram is dropped."""
        if self.mode is LinkMode.OPEN:
            return False
        return self.mode is not LinkMode.ONE_WAY or is_reply

    def _notify_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class _HoldingListener(trio.abc.Listener[trio.SocketStream]):
    """A listener that accepts no connection while its link holds them."""

    def __init__(
        self, listener: trio.SocketListener, link: LinkControl
    ) -> None:
        self._listener = listener
        self._link = link

    async def accept(self) -> trio.SocketStream:
        """Accept the next connection."""
        await self._link.wait_for_admission()
        return await self._listener.accept()

    async def aclose(self) -> None:
        """Close the listener."""
        await self._listener.aclose()

    async def update_backlog(self) -> None:
        """Reduce the kernel backlog during holds, until cancelled.

        With a backlog of 0 the kernel queues one connection; the kernel of the
        client retries further ones a second later.
        """
        while True:
            await self._link.wait_for_change()
            backlog = 0 if self._link.is_holding else _BACKLOG
            self._listener.socket.listen(backlog)


class TcpRelay:
    """Relays connections to a target that may change.

    :ivar address: address at which the relay listens.
    """

    def __init__(self, link: LinkControl, target: str = '') -> None:
        self.target = target
        self.address = ''
        self._link = link

    async def serve(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Relay until cancelled."""
        listeners = await trio.open_tcp_listeners(
            0,
            host=_LOOPBACK,
            backlog=_BACKLOG,
        )
        listener = listeners[0]
        self.address = f'{_LOOPBACK}:{listener.socket.getsockname()[1]}'
        holding_listener = _HoldingListener(listener, self._link)
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(holding_listener.update_backlog)
            await trio.serve_listeners(self._relay, [holding_listener])

    async def _relay(self, client: trio.SocketStream) -> None:
        await self._link.wait_for_admission()
        host, port = self.target.rsplit(':', 1)
        if self._link.mode is LinkMode.REFUSED:
            _reset_on_close(client)
            await trio.aclose_forcefully(client)
            return
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _reset_on_close(client)
            await trio.aclose_forcefully(client)
            return
        async with client, server:
            with self._link.track_connection(client, server):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._forward_stream, client, server, False
                    )
                    nursery.start_soon(
                        self._forward_stream, server, client, True
                    )

    async def _forward_stream(
        self,
        sender: trio.SocketStream,
        sink: trio.SocketStream,
        is_reply: bool,
    ) -> None:
        try:
            async for chunk in sender:
                await self._link.wait_to_forward(is_reply=is_reply)
                await sink.send_all(chunk)
            await self._link.wait_to_forward(is_reply=is_reply)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # A reset is forwarded as a reset in both directions.
            _reset_on_close(sender)
            _reset_on_close(sink)
            await trio.aclose_forcefully(sender)
            await trio.aclose_forcefully(sink)


class UdpRelay:
    """Relays datagrams to a target, and replies back to the senders.

    All received datagrams are forwarded in one batch, and a delay affects only
    its own datagram; otherwise a busy fleet would cause a backlog of seconds.
    """

    def __init__(self, link: LinkControl, target: str) -> None:
        self._link = link
        host, port = target.rsplit(':', 1)
        self._target = (host, int(port))
        self._listening_socket = _open_udp_socket()
        self._reply_sockets: dict[SocketAddress, socket.socket] = {}
        self.address = ''

    def bind(self) -> None:
        """Bind the socket that receives the datagrams."""
        self._listening_socket.bind((_LOOPBACK, 0))
        self.address = f'{_LOOPBACK}:{self._listening_socket.getsockname()[1]}'

    async def serve(self) -> None:
        """Relay until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.lowlevel.wait_readable(self._listening_socket)
                await self._link.wait_for_admission()
                for data, sender in _receive_all(self._listening_socket):
                    self._forward(data, sender, nursery)

    def _forward(
        self,
        data: bytes,
        sender: SocketAddress,
        nursery: trio.Nursery,
    ) -> None:
        if self._link.drops_datagram(is_reply=False):
            return
        reply_socket = self._reply_sockets.get(sender)
        if reply_socket is None:
            reply_socket = _open_udp_socket()
            reply_socket.bind((_LOOPBACK, 0))
            self._reply_sockets[sender] = reply_socket
            nursery.start_soon(self._forward_replies, reply_socket, sender)
        if self._link.delay:
            nursery.start_soon(
                self._send_delayed, reply_socket, data, self._link.delay
            )
        else:
            _send(reply_socket, data, self._target)

    async def _send_delayed(
        self,
        reply_socket: socket.socket,
        data: bytes,
        delay: float,
    ) -> None:
        await trio.sleep(delay)
        _send(reply_socket, data, self._target)

    async def _forward_replies(
        self, reply_socket: socket.socket, sender: SocketAddress
    ) -> None:
        while True:
            await trio.lowlevel.wait_readable(reply_socket)
            for data, _ in _receive_all(reply_socket):
                if not self._link.drops_datagram(is_reply=True):
                    _send(self._listening_socket, data, sender)


def _open_udp_socket() -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    return udp_socket


def _receive_all(sock: socket.socket) -> Iterator[tuple[bytes, SocketAddress]]:
    """Yield the received datagrams, up to the maximum batch size."""
    for _ in range(_MAX_BATCH):
        try:
            yield sock.recvfrom(_RECEIVE_SIZE)
        except OSError:
            # No datagram is left, or an earlier one was undeliverable.
            return


def _send(sock: socket.socket, data: bytes, destination: SocketAddress) -> None:
    try:
        sock.sendto(data, destination)
    except OSError:
        # The datagram is lost, which UDP allows.
        return


def _reset_on_close(stream: trio.SocketStream) -> None:
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    except (OSError, trio.ClosedResourceError):
        # The stream is already closed and needs no reset.
        return
