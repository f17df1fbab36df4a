"""HTTP client with persistent connections.

Each request ends with one complete response or with a failure.
"""

import errno
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

import trio

from verbenamill_http.addresses import Address
from verbenamill_http.messages import ResponseHead
from verbenamill_http.parsing import ResponseCollector
from verbenamill_http.response_reader import (
    ClientResponse,
    ExchangeFailure,
    ResponseReader,
)
from verbenamill_http.sockets import USER_TIMEOUT_MS, connect
from verbenamill_http.unsized_bodies import UnsizedBodies

__all__ = (
    'MAX_HEAD_BYTES',
    'ClientConnection',
    'ClientResponse',
    'ConnectionPool',
    'ExchangeFailure',
)

#: Value of ``SO_LINGER`` with which closing a socket resets the connection.
_RESET = struct.pack('ii', 1, 0)
#: Largest number of bytes that one read takes.
READ_SIZE_BYTES = 64 * 1024
#: Longest response head that is accepted.
MAX_HEAD_BYTES = 32 * 1024


class ClientConnection:
    """Client side of a connection that carries one request at a time."""

    def __init__(self, sock: socket.socket, *, opened_at: float) -> None:
        self._sock = sock
        self.opened_at = opened_at
        self.used_at = opened_at
        self.is_new = True

    def is_usable(self) -> bool:
        """Whether the connection is open and has no unread bytes.

        Bytes without a request are a surplus response, and an end of file
        means that the server has closed the connection.
        """
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def closes_within(self, timeout: float) -> bool:
        """Whether the server closes the idle connection within a time limit.

        :param timeout: how long to wait for that, in seconds.
        """
        with trio.move_on_after(timeout):
            await trio.lowlevel.wait_readable(self._sock)
        return not self.is_usable()

    def close(self) -> None:
        """Close the connection without waiting."""
        self._sock.close()

    def abort(self) -> None:
        """Reset the connection, so that the kernel drops unacknowledged bytes.

        After :meth:`close` it would go on sending them: a request that a lost
        packet delays would reach the server after its caller has left.
        """
        with suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._sock.close()

    async def exchange(
        self,
        request: bytes,
        *,
        matches_request: Callable[[ResponseHead], bool],
        is_bodiless: bool,
        max_body: int,
        unsized: UnsizedBodies | None = None,
    ) -> ClientResponse | ExchangeFailure:
        """Send a request and read its response.

        If this method is cancelled, the connection has to be closed.

        :param matches_request: whether a response belongs to this request;
            late responses to earlier requests are skipped.
        :param is_bodiless: whether the response has no body, as after HEAD.
        :param max_body: longest body that is accepted, in bytes.
        :param unsized: limits the bodies whose length is not announced.
        """
        unsized = unsized or UnsizedBodies()
        remaining = self._send_nowait(request)
        if remaining is None:
            return ExchangeFailure.NOT_SENT
        reader = ResponseReader(
            matches_request,
            ResponseCollector(MAX_HEAD_BYTES, is_bodiless=is_bodiless),
            max_body,
            unsized,
        )
        try:
            if not remaining:
                return await self._read_response(reader, _Sending())
            return await self._send_and_read(remaining, reader)
        finally:
            unsized.release(reader)

    async def _send_and_read(
        self,
        remaining: bytes,
        reader: ResponseReader,
    ) -> ClientResponse | ExchangeFailure:
        # The server may respond to a long request before it has read all of
        # it. Sending and reading run concurrently to avoid a deadlock.
        result: ClientResponse | ExchangeFailure = (
            ExchangeFailure.CONNECTION_LOST
        )
        async with trio.open_nursery() as nursery:
            sending = _Sending()
            nursery.start_soon(self._send_remaining, remaining, sending)
            result = await self._read_response(reader, sending)
            nursery.cancel_scope.cancel()
        if isinstance(result, ClientResponse) and not sending.is_done:
            # The server still expects the rest of the body and would read
            # the next request as part of it.
            result.is_reusable = False
        return result

    async def _send_remaining(
        self, remaining: bytes, sending: '_Sending'
    ) -> None:
        view = memoryview(remaining)
        while view:
            await trio.lowlevel.wait_writable(self._sock)
            try:
                view = view[self._sock.send(view) :]
            except BlockingIOError:
                continue
            except OSError as error:
                sending.record_error(error)
                return
        sending.is_done = True

    async def _read_response(
        self, reader: ResponseReader, sending: '_Sending'
    ) -> ClientResponse | ExchangeFailure:
        while True:
            try:
                await trio.lowlevel.wait_readable(self._sock)
                data = self._sock.recv(READ_SIZE_BYTES)
            except BlockingIOError:
                continue
            except OSError:
                return ExchangeFailure.CONNECTION_LOST
            if not data and sending.has_met_reset:
                return ExchangeFailure.CONNECTION_LOST
            result = reader.feed(data) if data else reader.end()
            if result is not None:
                return result

    def _send_nowait(self, request: bytes) -> bytes | None:
        try:
            sent = self._sock.send(request)
        except BlockingIOError:
            return request
        except OSError:
            # The kernel had already marked the connection as closed, so no
            # byte of the request was sent.
            return None
        return request[sent:]


class _Sending:
    """What sending a request has shown, for the task that reads meanwhile.

    The kernel reports the failure of a connection to one call only. If sending
    has got the error, the next read sees an end of input, as if the server had
    closed the connection in order.

    :ivar is_done: whether the whole request has been sent.
    :ivar has_met_reset: whether the connection failed before the server had
        ended its output.
    """

    def __init__(self) -> None:
        self.is_done = False
        self.has_met_reset = False

    def record_error(self, error: OSError) -> None:
        """Record why no more of the request can be sent.

        Linux reports a reset as ``EPIPE`` if it came after the end of the
        server's output (``tcp_reset`` in ``net/ipv4/tcp_input.c``). What was
        received before is complete then.
        """
        self.has_met_reset = error.errno != errno.EPIPE


class ConnectionPool:
    """Persistent connections to one address.

    :param limit: maximum number of open connections.
    :param max_idle: idle time after which a connection is not used again, in
        seconds.
    :param connect_timeout: time limit for opening a connection, in seconds.
    :param user_timeout_ms: how long sent bytes may stay unacknowledged, in
        milliseconds; 0 if the server may leave a body unread for a long time.
    """

    def __init__(
        self,
        address: Address,
        *,
        limit: int,
        max_idle: float,
        connect_timeout: float,
        user_timeout_ms: int = USER_TIMEOUT_MS,
    ) -> None:
        self.address = address
        self.max_idle = max_idle
        self.open_count = 0
        self._limit = limit
        self._connect_timeout = connect_timeout
        self._user_timeout_ms = user_timeout_ms
        self._idle: list[ClientConnection] = []
        self._unsized = UnsizedBodies()
        self._valid_since = float('-inf')

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of connections is in use."""
        return self.open_count >= self._limit and not self._idle

    async def acquire(
        self,
        *,
        max_idle: float | None = None,
        connect_timeout: float | None = None,
    ) -> ClientConnection | None:
        """Take an idle connection, or open one.

        :param max_idle: shorter idle time for requests that must not be
            repeated, because the server may close an idle connection at any
            moment.
        :param connect_timeout: other time limit for opening a connection, in
            seconds.
        :return: a connection for exclusive use; ``None`` if the limit is
            reached or the server cannot be reached.
        """
        limit = self.max_idle if max_idle is None else max_idle
        connection = self._pop_idle(limit)
        if connection is not None:
            return connection
        if self.open_count >= self._limit and self._idle:
            # Connections past their idle time must not keep a new one from
            # being opened.
            self.discard(self._idle.pop(0))
        if self.open_count >= self._limit:
            return None
        self.open_count += 1
        sock = None
        try:
            sock = await connect(
                self.address,
                connect_timeout or self._connect_timeout,
                user_timeout_ms=self._user_timeout_ms,
            )
        finally:
            self.open_count -= sock is None
        if sock is None:
            return None
        return ClientConnection(sock, opened_at=trio.current_time())

    async def exchange(
        self,
        connection: ClientConnection,
        request: bytes,
        *,
        matches_request: Callable[[ResponseHead], bool],
        is_bodiless: bool,
        max_body: int,
    ) -> ClientResponse | ExchangeFailure:
        """Exchange a request on a connection, then release or close it.

        The parameters are those of :meth:`ClientConnection.exchange`.
        """
        result: ClientResponse | ExchangeFailure = (
            ExchangeFailure.CONNECTION_LOST
        )
        try:
            result = await connection.exchange(
                request,
                matches_request=matches_request,
                is_bodiless=is_bodiless,
                max_body=max_body,
                unsized=self._unsized,
            )
        finally:
            if isinstance(result, ExchangeFailure):
                connection.abort()
                self.open_count -= 1
            elif result.is_reusable:
                self.release(connection)
            else:
                self.discard(connection)
        return result

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool after a complete response."""
        if connection.opened_at < self._valid_since:
            self.discard(connection)
            return
        connection.is_new = False
        connection.used_at = trio.current_time()
        self._idle.append(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Close a connection instead of returning it to the pool."""
        connection.close()
        self.open_count -= 1

    def invalidate(self) -> None:
        """Ensure that no connection that is open now is used again.

        A device on the network path may have lost its state of all of them.
        Requests sent on them would be lost, while a new connection works.
        """
        self._valid_since = trio.current_time()
        self.close_idle()

    def close_idle(self) -> None:
        """Close all connections that are not in use."""
        idle = self._idle
        self._idle = []
        for connection in idle:
            self.discard(connection)

    def has_open_connection(self) -> bool:
        """Whether any connection is in use, or idle and still open."""
        idle = self._idle
        self._idle = [one for one in idle if one.is_usable()]
        for connection in idle:
            if connection not in self._idle:
                self.discard(connection)
        return self.open_count > 0

    def close_expired(self) -> None:
        """Close connections that have exceeded the idle time."""
        if not self._idle:
            return
        oldest = trio.current_time() - self.max_idle
        idle = self._idle
        self._idle = [one for one in idle if one.used_at >= oldest]
        for connection in idle:
            if connection.used_at < oldest:
                self.discard(connection)

    def _pop_idle(self, max_idle: float) -> ClientConnection | None:
        oldest = trio.current_time() - max_idle
        while self._idle:
            connection = self._idle.pop()
            if connection.used_at < oldest:
                # Connections are popped in the reverse order of their return,
                # so all others have been idle for longer. They are kept for
                # requests that can be repeated.
                self._idle.append(connection)
                return None
            if connection.is_usable():
                return connection
            self.discard(connection)
        return None
