"""Relays on loopback that delay, reset, cut or silence what passes them."""

import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum, unique

import trio

#: Where a datagram comes from: host and port.
Source = tuple[str, int]

_HOST = '127.0.0.1'
_CHUNK = 65_536
_BACKLOG = 128
#: Datagrams that are passed on before other tasks get their turn.
_MOST_AT_ONCE = 256
#: With this a close sends a reset in place of an end.
_RESET = struct.pack('ii', 1, 0)


@unique
class Way(Enum):
    """What a relay does with what arrives.

    :cvar ONE_WAY: what comes from the side that opened the connection
        passes, answers do not.
    """

    OPEN = 'open'
    REFUSED = 'refused'
    SILENT = 'silent'
    ONE_WAY = 'one-way'


class Switch:
    """State that the relays of one link share.

    :ivar delay: added to each chunk or datagram, in seconds.
    :ivar holds: whether datagrams and new connections wait until it ends;
        open connections still work, as on a link that is full.
    """

    def __init__(self) -> None:
        self.way = Way.OPEN
        self.delay = float(0)
        self.holds = False
        self._harmed_at = float('-inf')
        self._changed = trio.Event()
        self._links: set[trio.CancelScope] = set()
        self._streams: set[trio.SocketStream] = set()

    def set(self, way: Way) -> None:
        """Change the way; waits that depend on it look again."""
        if way is not self.way:
            self._harmed_at = trio.current_time()
        self.way = way
        self._wake()

    def hold(self, *, holds: bool) -> None:
        """Hold datagrams and new connections, or let them go."""
        self.holds = holds
        self._wake()

    def is_sound(self, since: float) -> bool:
        """Whether nothing was cut or reset since a moment; delays are."""
        return self.way is Way.OPEN and self._harmed_at < since

    def reset(self) -> None:
        """Reset all open connections."""
        self._harmed_at = trio.current_time()
        for stream in self._streams:
            _set_reset(stream)
        for scope in self._links:
            scope.cancel()

    @contextmanager
    def link(self, *streams: trio.SocketStream) -> Iterator[None]:
        """A connection that :meth:`reset` ends."""
        with trio.CancelScope() as scope:
            self._links.add(scope)
            self._streams.update(streams)
            try:
                yield
            finally:
                self._links.discard(scope)
                self._streams.difference_update(streams)

    async def pass_on(self, *, is_answer: bool) -> None:
        """Wait until a chunk may pass."""
        while self.way is Way.SILENT or (self.way is Way.ONE_WAY and is_answer):
            await self._changed.wait()
        if self.delay:
            await trio.sleep(self.delay)

    async def admit(self) -> None:
        """Wait until a datagram or a new connection may pass."""
        while self.holds:
            await self._changed.wait()

    async def next_change(self) -> None:
        """Wait until something changes."""
        await self._changed.wait()

    def drops(self, *, is_answer: bool) -> bool:
        """Whether a datagram is lost."""
        if self.way is Way.OPEN:
            return False
        return self.way is not Way.ONE_WAY or is_answer

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class _Gate(trio.abc.Listener[trio.SocketStream]):
    """Accepts nothing while its link holds new connections."""

    def __init__(self, listener: trio.SocketListener, switch: Switch) -> None:
        self._listener = listener
        self._switch = switch

    async def accept(self) -> trio.SocketStream:
        """Accept the next connection."""
        await self._switch.admit()
        return await self._listener.accept()

    async def aclose(self) -> None:
        """Close the listener."""
        await self._listener.aclose()

    async def follow(self) -> None:
        """Have the kernel hold connections too, until cancelled.

        Its queue takes one connection with a backlog of 0; the next ones are
        tried again by their kernel a second later.
        """
        while True:
            await self._switch.next_change()
            backlog = 0 if self._switch.holds else _BACKLOG
            self._listener.socket.listen(backlog)


class TcpRelay:
    """Relays connections to a target, which may change.

    :ivar address: where it listens.
    """

    def __init__(self, switch: Switch, target: str = '') -> None:
        self.target = target
        self.address = ''
        self._switch = switch

    async def serve(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Relay until cancelled."""
        listeners = await trio.open_tcp_listeners(
            0,
            host=_HOST,
            backlog=_BACKLOG,
        )
        listener = listeners[0]
        self.address = f'{_HOST}:{listener.socket.getsockname()[1]}'
        gate = _Gate(listener, self._switch)
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gate.follow)
            await trio.serve_listeners(self._relay, [gate])

    async def _relay(self, near: trio.SocketStream) -> None:
        await self._switch.admit()
        host, port = self.target.rsplit(':', 1)
        if self._switch.way is Way.REFUSED:
            _set_reset(near)
            await trio.aclose_forcefully(near)
            return
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _set_reset(near)
            await trio.aclose_forcefully(near)
            return
        async with near, far:
            with self._switch.link(near, far):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pass, near, far, False)
                    nursery.start_soon(self._pass, far, near, True)

    async def _pass(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_answer: bool,
    ) -> None:
        try:
            async for chunk in source:
                await self._switch.pass_on(is_answer=is_answer)
                await sink.send_all(chunk)
            await self._switch.pass_on(is_answer=is_answer)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # A reset passes as a reset, in both directions.
            _set_reset(source)
            _set_reset(sink)
            await trio.aclose_forcefully(source)
            await trio.aclose_forcefully(sink)


class UdpRelay:
    """Relays datagrams to a target, and the replies back.

    All that has come is passed on in one go, and a delay holds up nothing but
    its own datagram; else a busy fleet would make a backlog of seconds.
    """

    def __init__(self, switch: Switch, target: str) -> None:
        self._switch = switch
        host, port = target.rsplit(':', 1)
        self._target = (host, int(port))
        self._front = _open_datagrams()
        self._back: dict[Source, socket.socket] = {}
        self.address = ''

    def bind(self) -> None:
        """Open the socket that others send to."""
        self._front.bind((_HOST, 0))
        self.address = f'{_HOST}:{self._front.getsockname()[1]}'

    async def serve(self) -> None:
        """Relay until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.lowlevel.wait_readable(self._front)
                await self._switch.admit()
                for data, source in _receive_all(self._front):
                    self._pass_on(data, source, nursery)

    def _pass_on(
        self,
        data: bytes,
        source: Source,
        nursery: trio.Nursery,
    ) -> None:
        if self._switch.drops(is_answer=False):
            return
        back = self._back.get(source)
        if back is None:
            back = _open_datagrams()
            back.bind((_HOST, 0))
            self._back[source] = back
            nursery.start_soon(self._reply, back, source)
        if self._switch.delay:
            nursery.start_soon(self._send_late, back, data, self._switch.delay)
        else:
            _send(back, data, self._target)

    async def _send_late(
        self,
        back: socket.socket,
        data: bytes,
        delay: float,
    ) -> None:
        await trio.sleep(delay)
        _send(back, data, self._target)

    async def _reply(self, back: socket.socket, source: Source) -> None:
        while True:
            await trio.lowlevel.wait_readable(back)
            for data, _ in _receive_all(back):
                if not self._switch.drops(is_answer=True):
                    _send(self._front, data, source)


def _open_datagrams() -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    return opened


def _receive_all(sock: socket.socket) -> Iterator[tuple[bytes, Source]]:
    """What has come, up to a bound that leaves others their turn."""
    for _ in range(_MOST_AT_ONCE):
        try:
            yield sock.recvfrom(_CHUNK)
        except OSError:
            # Nothing is left, or an earlier datagram found nobody.
            return


def _send(sock: socket.socket, data: bytes, to: Source) -> None:
    try:
        sock.sendto(data, to)
    except OSError:
        # Lost on its way, as datagrams may be.
        return


def _set_reset(stream: trio.SocketStream) -> None:
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    except (OSError, trio.ClosedResourceError):
        # Closed already, so there is nothing left to reset.
        return
