"""HTTP/1.1 connections that use trio for I/O and httptools for parsing."""

import os
from select import POLLIN, POLLRDHUP, poll
from socket import SHUT_WR
from typing import Protocol

import trio

from verbenamill_http.messages import MessageEvent, ReadFailure
from verbenamill_http.parsing import RequestCollector, ResponseCollector

#: Largest number of bytes that one read takes. Limits the memory that a
#: connection uses for unprocessed bytes.
READ_SIZE_BYTES = 64 * 1024


class EventSource(Protocol):
    """Source of the events of a message."""

    def receive_nowait(self) -> MessageEvent | None:
        """Return the next event, or ``None`` if none is available yet."""

    async def receive(self) -> MessageEvent:
        """Wait for the next event."""


class HttpConnection:
    """Either side of a connection.

    Failures are reported as values: as :class:`ReadFailure` events, and as
    ``False`` from ``send``.

    :param max_head: longest head that is accepted, in bytes.
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
        self._collector: RequestCollector | ResponseCollector | None = None

    def expect_requests(self) -> None:
        """Interpret received bytes as requests from now on."""
        self._collector = RequestCollector(self._max_head)

    def expect_response(self, *, is_bodiless: bool) -> None:
        """Interpret received bytes as a single response from now on.

        :param is_bodiless: whether the response has no body, as after HEAD.
        """
        self.received_bytes = 0
        self._collector = ResponseCollector(
            self._max_head,
            is_bodiless=is_bodiless,
        )

    @property
    def is_between_messages(self) -> bool:
        """Whether the last message is complete and no other one has begun.

        Events after a response do not belong to any request that was sent.
        """
        collector = self._collector
        if collector is None:
            return True
        return collector.is_between_messages and not collector.events

    @property
    def has_buffered_event(self) -> bool:
        """Whether an event is available without waiting."""
        return self._collector is not None and bool(self._collector.events)

    def receive_nowait(self) -> MessageEvent | None:
        """Return the next event, or ``None`` if none is available yet."""
        assert self._collector is not None
        events = self._collector.events
        return events.popleft() if events else None

    async def receive(self) -> MessageEvent:
        """Wait for the next event."""
        assert self._collector is not None
        events = self._collector.events
        while not events:
            data = await self._read()
            if not data:
                return ReadFailure('connection lost')
            self.received_bytes += len(data)
            failure = self._feed(data)
            if failure is not None:
                events.append(failure)
        return events.popleft()

    def try_send(self, data: bytes) -> bytes | None:
        """Send as many bytes as the socket accepts without waiting.

        :return: the remaining bytes; ``None`` if the connection is lost.
        """
        try:
            sent = os.write(self._fd, data)
        except BlockingIOError:
            return data
        except OSError:
            return None
        return data[sent:]

    async def send(self, data: bytes) -> bool:
        """Send all bytes; ``False`` if the connection is lost."""
        remaining = self.try_send(data)
        while remaining:
            try:
                await trio.lowlevel.wait_writable(self._fd)
            except (trio.ClosedResourceError, OSError):
                return False
            remaining = self.try_send(remaining)
        return remaining is not None

    def is_closed_by_peer(self) -> bool:
        """Whether the peer has closed the connection; reads no bytes."""
        return bool(self._poll(POLLRDHUP))

    def is_usable(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return not self._poll(POLLIN | POLLRDHUP)

    def interrupt_receive(self) -> None:
        """Make a pending ``receive`` return :class:`ReadFailure` at once.

        A task that received bytes have already woken is not affected, so a
        request that has begun to arrive is not interrupted.
        """
        trio.lowlevel.notify_closing(self._fd)

    def push_back(self, *events: MessageEvent) -> None:
        """Return events to the front of the queue."""
        assert self._collector is not None
        self._collector.events.extendleft(reversed(events))

    def close(self) -> None:
        """Close the connection without waiting."""
        # The descriptor may soon be reused for another connection.
        self._fd = -1
        self._stream.socket.close()

    async def close_gracefully(self, grace: float) -> None:
        """Shut down sending and wait until the peer has closed as well.

        :param grace: how long to wait for the peer, in seconds.
        """
        try:
            self._stream.socket.shutdown(SHUT_WR)
        except OSError:
            return
        with trio.move_on_after(grace):
            while await self._read():
                self.received_bytes = 0

    async def _read(self) -> bytes:
        """Read the next bytes; none if the connection is lost.

        This method uses the descriptor directly: trio's stream and socket
        need several times as long to issue the same two system calls.
        """
        while self._fd >= 0:
            try:
                await trio.lowlevel.wait_readable(self._fd)
                return os.read(self._fd, READ_SIZE_BYTES)
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
        return collector.feed(data)
