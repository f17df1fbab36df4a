"""Requests over kept connections, each with one whole answer or a fault."""

import socket
from collections.abc import Callable
from enum import Enum, unique

import trio
from httptools import HttpParserError, HttpParserUpgrade
from msgspec import Struct

from verbenamill_http.addresses import Address
from verbenamill_http.messages import (
    EndOfBody,
    Header,
    ReadFailure,
    ResponseHead,
)
from verbenamill_http.parsing import ResponseCollector
from verbenamill_http.sockets import USER_TIMEOUT_MS, connect

#: Bytes read at a time.
READ_SIZE = 64 * 1024
#: Longest head of an answer, in bytes.
MAX_HEAD = 32 * 1024


@unique
class ExchangeFailure(Enum):
    """Why there is no answer.

    ``UNSENT`` proves that the other end has not got the request. After
    ``LOST`` and ``GARBLED`` it may have run.
    """

    NOT_SENT = 'unsent'
    CONNECTION_LOST = 'lost'
    MALFORMED = 'garbled'


class ClientResponse(Struct, kw_only=True):
    """A whole answer.

    :param is_reusable: whether its connection is in step for another one.
    """

    status: int
    headers: list[Header]
    body: bytes
    is_reusable: bool = True


class ClientConnection:
    """One connection; one request at a time."""

    def __init__(self, sock: socket.socket, *, opened_at: float) -> None:
        self._sock = sock
        self.opened_at = opened_at
        self.used_at = opened_at
        self.is_new = True

    def is_usable(self) -> bool:
        """Whether it is open and no byte waits on it.

        A byte that nobody asked for is an answer too many, or the end.
        """
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def closes_within(self, timeout: float) -> bool:
        """Whether the other end closes it before anything was sent.

        :param timeout: how long that is waited for, in seconds.
        """
        with trio.move_on_after(timeout):
            await trio.lowlevel.wait_readable(self._sock)
        return not self.is_usable()

    def close(self) -> None:
        """Close at once."""
        self._sock.close()

    async def exchange(
        self,
        request: bytes,
        *,
        matches_request: Callable[[ResponseHead], bool],
        is_bodiless: bool,
        max_body: int,
    ) -> ClientResponse | ExchangeFailure:
        """Send a request and read its answer.

        A caller that is cancelled meanwhile has to close the connection.

        :param is_ours: tells the answer from a late one to an earlier
            request, which is skipped.
        :param is_bodiless: whether the answer's head is all, as after HEAD.
        :param max_body: longest body that is kept, in bytes.
        """
        rest = self._try_send(request)
        if rest is None:
            return ExchangeFailure.NOT_SENT
        reading = _Reading(
            matches_request,
            ResponseCollector(MAX_HEAD, is_bodiless=is_bodiless),
            max_body,
        )
        if not rest:
            return await self._read(reading)
        return await self._send_and_read(rest, reading)

    async def _send_and_read(
        self,
        rest: bytes,
        reading: '_Reading',
    ) -> ClientResponse | ExchangeFailure:
        # The other end may answer a long request before it has read all of
        # it. Both directions are served, so that neither waits for ever.
        result: ClientResponse | ExchangeFailure = (
            ExchangeFailure.CONNECTION_LOST
        )
        async with trio.open_nursery() as nursery:
            state = _Sending()
            nursery.start_soon(self._send_rest, rest, state)
            result = await self._read(reading)
            nursery.cancel_scope.cancel()
        if isinstance(result, ClientResponse) and not state.is_done:
            # The rest of the body is still due on this connection; the next
            # request would be taken for it.
            result.is_reusable = False
        return result

    async def _send_rest(self, rest: bytes, state: '_Sending') -> None:
        view = memoryview(rest)
        while view:
            await trio.lowlevel.wait_writable(self._sock)
            try:
                view = view[self._sock.send(view) :]
            except BlockingIOError:
                continue
            except OSError:
                return
        state.is_done = True

    async def _read(
        self, reading: '_Reading'
    ) -> ClientResponse | ExchangeFailure:
        while True:
            try:
                await trio.lowlevel.wait_readable(self._sock)
                data = self._sock.recv(READ_SIZE)
            except BlockingIOError:
                continue
            except OSError:
                return ExchangeFailure.CONNECTION_LOST
            result = reading.feed(data) if data else reading.end()
            if result is not None:
                return result

    def _try_send(self, request: bytes) -> bytes | None:
        try:
            sent = self._sock.send(request)
        except BlockingIOError:
            return request
        except OSError:
            # The kernel knew that the connection had ended and took nothing.
            return None
        return request[sent:]


class _Sending:
    """Whether a request has gone out whole."""

    def __init__(self) -> None:
        self.is_done = False


class _Reading:
    """Puts one answer together, and skips those that are not ours."""

    def __init__(
        self,
        matches_request: Callable[[ResponseHead], bool],
        collector: ResponseCollector,
        max_body: int,
    ) -> None:
        self._is_ours = matches_request
        self._collector = collector
        self._max_body = max_body
        self._head: ResponseHead | None = None
        self._parts: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> ClientResponse | ExchangeFailure | None:
        """Take in bytes; the answer as soon as it is whole."""
        is_broken = False
        try:
            self._collector.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            is_broken = True
        result = self._take_events()
        if result is None and is_broken:
            return ExchangeFailure.MALFORMED
        if isinstance(result, ClientResponse) and is_broken:
            result.is_reusable = False
        return result

    def end(self) -> ClientResponse | ExchangeFailure:
        """The connection has ended in good order."""
        head = self._head
        if head is not None and not head.is_framed and self._is_ours(head):
            # No length was told, so the end of the connection is the end
            # of the body. A reset does not come here: it is an error.
            return self._answer(head, is_reusable=False)
        return ExchangeFailure.CONNECTION_LOST

    def _take_events(self) -> ClientResponse | ExchangeFailure | None:
        events = self._collector.events
        while events:
            event = events.popleft()
            if isinstance(event, bytes):
                self._parts.append(event)
                self._size += len(event)
                if self._size > self._max_body:
                    return ExchangeFailure.MALFORMED
            elif isinstance(event, ResponseHead):
                self._head = event
            elif event is EndOfBody.END:
                answer = self._finish()
                if answer is not None:
                    return answer
            else:
                assert isinstance(event, ReadFailure)
                return ExchangeFailure.MALFORMED
        return None

    def _finish(self) -> ClientResponse | None:
        head = self._head
        assert head is not None
        if self._is_ours(head):
            is_alone = (
                not self._collector.events
                and self._collector.is_between_messages
            )
            return self._answer(
                head,
                is_reusable=head.keep_alive and is_alone,
            )
        self._head = None
        self._parts = []
        self._size = 0
        return None

    def _answer(
        self, head: ResponseHead, *, is_reusable: bool
    ) -> ClientResponse:
        return ClientResponse(
            status=head.status,
            headers=head.headers,
            body=b''.join(self._parts),
            is_reusable=is_reusable,
        )


class ConnectionPool:
    """Kept connections to one address.

    :param limit: open connections at most.
    :param max_idle: idle time after which one is not used again, in seconds.
    :param connect_timeout: in seconds.
    :param unacknowledged: how long sent bytes may stay unacknowledged, in
        milliseconds; 0 where the other end may leave a body unread for long.
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
        self.open = 0
        self._limit = limit
        self._connect_timeout = connect_timeout
        self._unacknowledged = user_timeout_ms
        self._idle: list[ClientConnection] = []
        self._trusted_since = float('-inf')

    @property
    def is_full(self) -> bool:
        """Whether all connections that are allowed are in use."""
        return self.open >= self._limit and not self._idle

    async def acquire(
        self,
        *,
        max_idle: float | None = None,
    ) -> ClientConnection | None:
        """A connection of one's own; ``None`` if none can be had.

        :param max_idle: shorter idle time for requests that must not be
            repeated: the other end may close a kept one at any moment.
        """
        limit = self.max_idle if max_idle is None else max_idle
        connection = self._take_idle(limit)
        if connection is not None:
            return connection
        if self.open >= self._limit and self._idle:
            # Those that are idle for too long must not block a new one.
            self.discard(self._idle.pop(0))
        if self.open >= self._limit:
            return None
        self.open += 1
        sock = None
        try:
            sock = await connect(
                self.address,
                self._connect_timeout,
                user_timeout_ms=self._unacknowledged,
            )
        finally:
            self.open -= sock is None
        if sock is None:
            return None
        return ClientConnection(sock, opened_at=trio.current_time())

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection after a whole answer."""
        if connection.opened_at < self._trusted_since:
            self.discard(connection)
            return
        connection.is_new = False
        connection.used_at = trio.current_time()
        self._idle.append(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Close a connection."""
        connection.close()
        self.open -= 1

    def invalidate(self) -> None:
        """Use no connection again that is open now.

        Something between the two ends may have lost track of them all: each
        would swallow a request, while a new connection works.
        """
        self._trusted_since = trio.current_time()
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections that no request uses."""
        idle = self._idle
        self._idle = []
        for connection in idle:
            self.discard(connection)

    def has_open_connection(self) -> bool:
        """Whether any connection is in use, or idle and open."""
        idle = self._idle
        self._idle = [one for one in idle if one.is_usable()]
        for connection in idle:
            if connection not in self._idle:
                self.discard(connection)
        return self.open > 0

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        oldest = trio.current_time() - self.max_idle
        idle = self._idle
        self._idle = [one for one in idle if one.used_at >= oldest]
        for connection in idle:
            if connection.used_at < oldest:
                self.discard(connection)

    def _take_idle(self, max_idle: float) -> ClientConnection | None:
        oldest = trio.current_time() - max_idle
        while self._idle:
            connection = self._idle.pop()
            if connection.used_at < oldest:
                # The last one returned is the youngest, so all others are
                # older still; they may serve requests that can be repeated.
                self._idle.append(connection)
                return None
            if connection.is_usable():
                return connection
            self.discard(connection)
        return None
