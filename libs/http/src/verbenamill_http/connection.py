"""One HTTP/1.1 connection: trio moves the bytes, httptools parses them."""

import os
from http import HTTPStatus
from select import POLLIN, POLLRDHUP, poll
from socket import SHUT_WR
from typing import Protocol

import trio
from httptools import HttpParserError, HttpParserUpgrade

from verbenamill_http.messages import MessageEvent, ReadFailure
from verbenamill_http.parsing import (
    RequestCollector,
    ResponseCollector,
    head_too_long,
)

#: Bytes read at a time; bounds what a connection keeps in memory.
READ_SIZE = 64 * 1024


class EventSource(Protocol):
    """Where the events of a message come from."""

    def receive_nowait(self) -> MessageEvent | None:
        """Next event that needs no waiting."""

    async def receive(self) -> MessageEvent:
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
        self.received_bytes = 0
        self._stream = stream
        self._fd = stream.socket.fileno()
        self._max_head = max_head
        self._head_bytes = 0
        self._collector: RequestCollector | ResponseCollector | None = None

    def expect_requests(self) -> None:
        """Read requests from now on."""
        self._collector = RequestCollector(self._max_head)

    def expect_response(self, *, is_bodiless: bool) -> None:
        """Read one answer from now on.

        :param is_bodiless: whether its head is all, as after HEAD.
        """
        self._head_bytes = 0
        self.received_bytes = 0
        self._collector = ResponseCollector(
            self._max_head,
            is_bodiless=is_bodiless,
        )

    @property
    def is_between_messages(self) -> bool:
        """Whether the last message is read and no further one has begun.

        After an answer, anything more belongs to no request of ours.
        """
        collector = self._collector
        if collector is None:
            return True
        return collector.is_between_messages and not collector.events

    @property
    def has_buffered_event(self) -> bool:
        """Whether some event needs no waiting."""
        return self._collector is not None and bool(self._collector.events)

    def receive_nowait(self) -> MessageEvent | None:
        """Next event that needs no waiting."""
        assert self._collector is not None
        events = self._collector.events
        return events.popleft() if events else None

    async def receive(self) -> MessageEvent:
        """Next event."""
        assert self._collector is not None
        events = self._collector.events
        while not events:
            data = await self._read()
            if not data:
                return ReadFailure('connection lost')
            self.received_bytes += len(data)
            fault = self._feed(data)
            if fault is not None:
                events.append(fault)
        return events.popleft()

    def try_send(self, data: bytes) -> bytes | None:
        """Send what the socket takes at once.

        :return: what is left; ``None`` when the connection is lost.
        """
        try:
            sent = os.write(self._fd, data)
        except BlockingIOError:
            return data
        except OSError:
            return None
        return data[sent:]

    async def send(self, data: bytes) -> bool:
        """Send all of it; ``False`` when the connection is lost."""
        left = self.try_send(data)
        while left:
            try:
                await trio.lowlevel.wait_writable(self._fd)
            except (trio.ClosedResourceError, OSError):
                return False
            left = self.try_send(left)
        return left is not None

    def is_closed_by_peer(self) -> bool:
        """Whether the other end has closed; reads nothing."""
        return bool(self._poll(POLLRDHUP))

    def is_usable(self) -> bool:
        """Whether the connection is open and nothing waits on it."""
        return not self._poll(POLLIN | POLLRDHUP)

    def interrupt_receive(self) -> None:
        """Have a task that waits to receive get :class:`Broken` at once.

        A task that has been woken by bytes already is not disturbed, so no
        request is cut that has begun to arrive.
        """
        trio.lowlevel.notify_closing(self._fd)

    def push_back(self, *events: MessageEvent) -> None:
        """Have events come once more, before all others."""
        assert self._collector is not None
        self._collector.events.extendleft(reversed(events))

    def close(self) -> None:
        """Close at once."""
        # The number may soon be that of another connection.
        self._fd = -1
        self._stream.socket.close()

    async def close_gracefully(self, grace: float) -> None:
        """Tell the other end, and wait a bounded time until it has closed."""
        try:
            self._stream.socket.shutdown(SHUT_WR)
        except OSError:
            return
        with trio.move_on_after(grace):
            while await self._read():
                self.received_bytes = 0

    async def _read(self) -> bytes:
        """Next bytes; none when the connection is lost.

        Straight on the descriptor: trio's stream and socket take several
        times as long on the way to the same two system calls.
        """
        while self._fd >= 0:
            try:
                await trio.lowlevel.wait_readable(self._fd)
                return os.read(self._fd, READ_SIZE)
            except BlockingIOError:
                continue
            except (trio.ClosedResourceError, OSError):
                break
        return b''

    def _poll(self, mask: int) -> list[tuple[int, int]]:
        if self._fd < 0:
            return [(self._fd, POLLRDHUP)]
        poller = poll()
        poller.register(self._fd, mask)
        return poller.poll(0)

    def _feed(self, data: bytes) -> ReadFailure | None:
        collector = self._collector
        assert collector is not None
        if collector.is_in_head:
            self._head_bytes += len(data)
        try:
            collector.parser.feed_data(data)
        except HttpParserUpgrade:
            return ReadFailure('upgrade is refused', HTTPStatus.NOT_IMPLEMENTED)
        except HttpParserError as error:
            return ReadFailure(str(error), HTTPStatus.BAD_REQUEST)
        if collector.is_between_messages or not collector.is_in_head:
            self._head_bytes = 0
        # A head without end would fill the memory of this small VM.
        if self._head_bytes > self._max_head:
            return head_too_long(self._max_head)
        return None
