"""One HTTP/1.1 connection: trio moves the bytes, httptools parses them."""

from http import HTTPStatus
from socket import MSG_DONTWAIT, MSG_PEEK, SHUT_WR, socket
from typing import Protocol

import trio
from httptools import HttpParserError, HttpParserUpgrade

from verbenamill_calls.messages import Broken, Event
from verbenamill_calls.parsing import (
    RequestCollector,
    ResponseCollector,
    too_long,
)

#: Bytes read at a time; bounds what a connection keeps in memory.
READ_SIZE = 64 * 1024


class Source(Protocol):
    """Where the events of a message come from."""

    def ready(self) -> Event | None:
        """Next event that needs no waiting."""

    async def receive(self) -> Event:
        """Next event."""


class HttpConnection:
    """One connection, from either end of it.

    Faults are values: :class:`Broken` events and ``False`` from ``send``.

    :param max_head: longest head that is read, in bytes.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        *,
        max_head: int,
        opened_at: float = 0,
    ) -> None:
        self.opened_at = opened_at
        self.is_reused = False
        self.used_at = opened_at
        self.received = 0
        self._stream = stream
        self._max_head = max_head
        self._head_bytes = 0
        self._collector: RequestCollector | ResponseCollector | None = None

    def serve(self) -> None:
        """Read requests from now on."""
        self._collector = RequestCollector(self._max_head)

    def expect_answer(self, *, is_bodiless: bool) -> None:
        """Read one answer from now on.

        :param is_bodiless: whether its head is all, as after HEAD.
        """
        self._head_bytes = 0
        self.received = 0
        self._collector = ResponseCollector(
            self._max_head,
            is_bodiless=is_bodiless,
        )

    @property
    def is_between(self) -> bool:
        """Whether the last message is read and no further one has begun.

        After an answer, anything more belongs to no request of ours.
        """
        collector = self._collector
        if collector is None:
            return True
        return collector.is_between and not collector.events

    @property
    def has_ready(self) -> bool:
        """Whether some event needs no waiting."""
        return self._collector is not None and bool(self._collector.events)

    def ready(self) -> Event | None:
        """Next event that needs no waiting."""
        assert self._collector is not None
        events = self._collector.events
        return events.popleft() if events else None

    async def receive(self) -> Event:
        """Next event."""
        assert self._collector is not None
        events = self._collector.events
        while not events:
            try:
                data = await self._stream.receive_some(READ_SIZE)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return Broken('connection lost')
            if not data:
                return Broken('connection closed')
            self.received += len(data)
            fault = self._feed(data)
            if fault is not None and not events:
                return fault
            if fault is not None:
                events.append(fault)
        return events.popleft()

    async def send(self, data: bytes) -> bool:
        """Send all of it; ``False`` when the connection is lost."""
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    def is_gone(self) -> bool:
        """Whether the other end has closed; reads nothing."""
        try:
            peeked = _peek(self._stream)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return not peeked

    def is_quiet(self) -> bool:
        """Whether the connection is open and nothing waits on it."""
        try:
            _peek(self._stream)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def put_back(self, *events: Event) -> None:
        """Have events come once more, before all others."""
        assert self._collector is not None
        self._collector.events.extendleft(reversed(events))

    def close(self) -> None:
        """Close at once."""
        self._stream.socket.close()

    async def hang_up(self, grace: float) -> None:
        """Tell the other end, and wait a bounded time until it has closed."""
        try:
            self._stream.socket.shutdown(SHUT_WR)
        except OSError:
            return
        with trio.move_on_after(grace):
            await self._read_out()

    async def _read_out(self) -> None:
        try:
            data = await self._stream.receive_some(READ_SIZE)
            while data:
                data = await self._stream.receive_some(READ_SIZE)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def _feed(self, data: bytes) -> Broken | None:
        collector = self._collector
        assert collector is not None
        if collector.is_in_head:
            self._head_bytes += len(data)
        try:
            collector.parser.feed_data(data)
        except HttpParserUpgrade:
            return Broken('upgrade is refused', HTTPStatus.NOT_IMPLEMENTED)
        except HttpParserError as error:
            return Broken(str(error), HTTPStatus.BAD_REQUEST)
        if collector.is_between or not collector.is_in_head:
            self._head_bytes = 0
        # A head without end would fill the memory of this small VM.
        if self._head_bytes > self._max_head:
            return too_long(self._max_head)
        return None


def _peek(stream: trio.SocketStream) -> bytes:
    # trio's socket has no call without waiting; this one never waits.
    raw: socket = vars(stream.socket)['_sock']
    return raw.recv(1, MSG_PEEK | MSG_DONTWAIT)
