"""One connection that is served: its requests in, its answers out, its end."""

import socket
from contextlib import suppress
from http import HTTPStatus
from typing import Protocol

import trio
from httptools import HttpParserError, HttpParserUpgrade

from verbenamill_http.exchanges import Request, Response, ServerLimits
from verbenamill_http.messages import (
    EMPTY_BODY,
    EndOfBody,
    Framing,
    ReadFailure,
    RequestHead,
    ResponseHead,
    encode_response,
    get_header,
)
from verbenamill_http.parsing import RequestCollector, head_too_long
from verbenamill_http.sockets import unacknowledged_bytes

READ_SIZE = 64 * 1024
#: Requests of one connection that are worked on at once; more wait unread.
MAX_PIPELINED = 32
#: Bytes of request bodies held at once; beyond it new ones are refused, so
#: that a few large uploads cannot end the process on a small VM.
MAX_BUFFERED = 64 * 1024 * 1024
#: Longest that a peer may take no byte of its answer, in seconds.
SEND_TIMEOUT = 10.0
#: How long a connection stays open once its peer's kernel has the last answer,
#: in seconds: the peer may still send, which must not reset what it reads.
_LINGER = 1.0
#: How often it is looked whether the peer's kernel has it, in seconds.
_LOOK = 0.1
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

_NO_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
_TOO_SLOW = ReadFailure('the request is too slow', HTTPStatus.REQUEST_TIMEOUT)
_TOO_LARGE = ReadFailure(
    'the body is too large',
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
)
_NO_MEMORY = ReadFailure(
    'too many request bodies are held',
    HTTPStatus.SERVICE_UNAVAILABLE,
)
_STOPPING = ReadFailure('the server stops', HTTPStatus.SERVICE_UNAVAILABLE)


class Serving(Protocol):
    """The server of a connection, as the connection sees it.

    :ivar buffered: bytes of request bodies held, over all connections.
    :ivar is_stopping: whether answers end their connections.
    """

    buffered: int
    is_stopping: bool

    @property
    def is_finishing(self) -> bool:
        """Whether a connection gets one further request at most."""

    def refuses(self, head: RequestHead) -> bool:
        """Whether a request that comes only now is refused."""

    async def handle(self, request: Request) -> Response:
        """Have a request answered."""

    def limits(self) -> ServerLimits:
        """Limits of now."""


class ServedConnection:
    """One connection that is served.

    :ivar waits_since: when it began to wait for bytes.
    """

    def __init__(self, sock: socket.socket, server: Serving) -> None:
        self._sock = sock
        self._server = server
        self._collector = RequestCollector(server.limits().max_head)
        self._head: RequestHead | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._head_bytes = 0
        self._arrived = float(0)
        self._in_flight = 0
        self._last_turn: trio.Event | None = None
        self._room = trio.Event()
        self._is_dismissed = False
        self._is_ending = False
        self._is_sending = False
        self._scope: trio.CancelScope | None = None
        self.waits_since = trio.current_time()

    @property
    def is_idle(self) -> bool:
        """Whether it waits for a request and none has begun.

        An answer that its peer takes slowly is not in flight any more, and
        would end in its midst if its connection were closed as idle. After
        the last one, the kernel may still be sending it.
        """
        is_answering = self._in_flight or self._is_sending or self._is_ending
        return not (is_answering or self._has_begun)

    @property
    def _has_begun(self) -> bool:
        """Whether part of a further request has come."""
        return self._head is not None or not self._collector.is_between_messages

    async def serve(self) -> None:
        """Read requests and answer them until the connection ends."""
        async with trio.open_nursery() as nursery:
            self._scope = nursery.cancel_scope
            await self._read_requests(nursery)
            nursery.cancel_scope.cancel()

    def close(self) -> None:
        """Close at once."""
        self._server.buffered -= self._size
        self._size = 0
        self._sock.close()

    def dismiss(self) -> None:
        """End the wait for a request, unless one has begun to come."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self._is_dismissed = True
            trio.lowlevel.notify_closing(self._sock)
        except OSError:
            return

    def take_no_more(self) -> None:
        """Begin no request behind those in hand.

        A peer that always sends the next one before it has its answer would
        never be told of the end, and its last requests would be cut with the
        process. The last answer in hand tells it: what was sent behind that
        counts as not read, so it is sent again elsewhere.
        """
        if self._in_flight:
            self._is_ending = True
            self._drop_body()

    def check_times(self, limits: ServerLimits, now: float) -> None:
        """End a connection that is slow or idle for too long."""
        if self._is_ending or self._is_sending:
            # Its last answer ends it. What is not read any more, or stalls
            # behind an answer on its way, may look like a slow request; ended
            # for that, the answer would be cut.
            return
        waited = now - self.waits_since
        if self.is_idle:
            if waited > limits.idle_timeout:
                self.dismiss()
        elif self._head is None and not self._collector.is_between_messages:
            if now - self._arrived > limits.head_timeout:
                self._is_dismissed = True
                trio.lowlevel.notify_closing(self._sock)
        elif self._head is not None and waited > limits.head_timeout:
            self._is_dismissed = True
            trio.lowlevel.notify_closing(self._sock)

    async def _read_requests(self, nursery: trio.Nursery) -> None:
        while True:
            while self._in_flight >= MAX_PIPELINED:
                self._room = trio.Event()
                await self._room.wait()
            data = await self._read()
            if not data or self._has_ended():
                break
            if self._is_ending:
                # What comes behind the last request is not read any more.
                continue
            fault = self._feed(data)
            self._take_events(nursery)
            if fault is not None and not self._is_ending:
                self._reject(nursery, fault)
        if self._is_dismissed and not self.is_idle and not self._is_ending:
            await self._answer_fault(_TOO_SLOW, self._last_turn, trio.Event())

    async def _read(self) -> bytes:
        while True:
            # A request may have come since the wait was ended, on a busy loop
            # long before. Closed on it, its sender would get no answer; so
            # what has come is read, and only then the connection ends.
            try:
                with suppress(trio.ClosedResourceError):
                    await trio.lowlevel.wait_readable(self._sock)
                data = self._sock.recv(READ_SIZE)
            except BlockingIOError:
                if self._is_dismissed:
                    return b''
                continue
            except OSError:
                return b''
            self._is_dismissed = False
            self.waits_since = trio.current_time()
            return data

    def _has_ended(self) -> bool:
        """Whether the peer has closed behind what was just read.

        A lost packet can hold a request up until its sender has given up;
        the request and the end then arrive together. Begun, it would reach
        an upstream long after its caller has left.
        """
        try:
            return not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _feed(self, data: bytes) -> ReadFailure | None:
        collector = self._collector
        if collector.is_between_messages:
            self._arrived = self.waits_since
        max_head = self._server.limits().max_head
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
        if self._head_bytes > max_head:
            return head_too_long(max_head)
        return None

    def _take_events(self, nursery: trio.Nursery) -> None:
        events = self._collector.events
        while events and not self._is_ending:
            event = events.popleft()
            if isinstance(event, bytes):
                self._add_body(event, nursery)
            elif isinstance(event, RequestHead):
                self._begin(event, nursery)
            elif event is EndOfBody.END:
                self._finish_request(nursery)
            else:
                assert isinstance(event, ReadFailure)
                self._reject(nursery, event)

    def _begin(self, head: RequestHead, nursery: trio.Nursery) -> None:
        self._head = head
        self._parts = []
        length = head.framing.length
        limits = self._server.limits()
        if self._server.refuses(head):
            self._reject(nursery, _STOPPING)
            return
        if length is not None and length > limits.max_body:
            self._reject(nursery, _TOO_LARGE)
            return
        expected = get_header(head.headers, b'expect')
        if expected is not None and expected.lower() == b'100-continue':
            previous = self._last_turn
            turn = trio.Event()
            self._last_turn = turn
            nursery.start_soon(self._invite, head, previous, turn)

    async def _invite(
        self,
        head: RequestHead,
        previous: trio.Event | None,
        turn: trio.Event,
    ) -> None:
        """Ask for a body, in its turn: sent at once, the line would stand in
        the midst of an earlier answer."""
        if previous is not None:
            await previous.wait()
        if self._head is head:
            await self._send_all(_CONTINUE)
        turn.set()

    def _add_body(self, data: bytes, nursery: trio.Nursery) -> None:
        self._parts.append(data)
        self._size += len(data)
        self._server.buffered += len(data)
        if self._size > self._server.limits().max_body:
            self._reject(nursery, _TOO_LARGE)
        elif self._server.buffered > MAX_BUFFERED:
            self._reject(nursery, _NO_MEMORY)

    def _drop_body(self) -> None:
        """Forget what has come of a body that is not read any more."""
        self._parts = []
        self._server.buffered -= self._size
        self._size = 0

    def _finish_request(self, nursery: trio.Nursery) -> None:
        head = self._head
        assert head is not None
        if self._server.refuses(head):
            # Begun, it might be cut at work with the process, and its caller
            # could not know whether it has run. A refusal tells that.
            self._reject(nursery, _STOPPING)
            return
        request = Request(
            head=head,
            body=b''.join(self._parts),
            received_at=self._arrived,
        )
        self._head = None
        self._parts = []
        size = self._size
        self._size = 0
        self._arrived = self.waits_since
        turn = trio.Event()
        previous = self._last_turn
        self._last_turn = turn
        self._in_flight += 1
        self._is_ending = not head.keep_alive or self._server.is_finishing
        nursery.start_soon(self._answer, request, size, previous, turn)

    async def _answer(
        self,
        request: Request,
        size: int,
        previous: trio.Event | None,
        turn: trio.Event,
    ) -> None:
        try:
            response = await self._server.handle(request)
        finally:
            self._server.buffered -= size
        if previous is not None and not previous.is_set():
            await previous.wait()
        self._in_flight -= 1
        self._room.set()
        is_last = self._last_turn is turn
        stops = self._server.is_stopping and is_last and not self._has_begun
        close = response.close or stops or (is_last and self._is_ending)
        # The next request may come while a slow peer takes the answer. Begun,
        # it would be cut when the answer is out; now it counts as not read.
        self._is_ending = self._is_ending or close
        sent = await self._send(response, close=close)
        self.waits_since = trio.current_time()
        turn.set()
        if close or not sent:
            await self._end(sent=sent)

    def _reject(self, nursery: trio.Nursery, fault: ReadFailure) -> None:
        """Answer a message that cannot be read, behind all others."""
        self._is_ending = True
        self._drop_body()
        previous = self._last_turn
        turn = trio.Event()
        self._last_turn = turn
        nursery.start_soon(self._answer_fault, fault, previous, turn)

    async def _answer_fault(
        self,
        fault: ReadFailure,
        previous: trio.Event | None,
        turn: trio.Event,
    ) -> None:
        if previous is not None:
            await previous.wait()
        if fault.status is not None:
            response = Response(
                status=fault.status,
                body=fault.reason.encode(),
            )
            await self._send(response, close=True)
        turn.set()
        await self._end(sent=True)

    async def _send(self, response: Response, *, close: bool) -> bool:
        body = b'' if response.is_bodiless else response.body
        length = response.length
        if length is None or not response.is_bodiless:
            length = len(response.body)
        head = ResponseHead(
            status=response.status,
            headers=response.headers,
            framing=Framing(length) if length else EMPTY_BODY,
            keep_alive=True,
            is_bodiless=response.status in _NO_BODY,
        )
        return await self._send_all(encode_response(head, close=close) + body)

    async def _send_all(self, data: bytes) -> bool:
        self._is_sending = True
        try:
            return await self._send_bytes(data)
        finally:
            self._is_sending = False

    async def _send_bytes(self, data: bytes) -> bool:
        view = memoryview(data)
        while view:
            try:
                view = view[self._sock.send(view) :]
            except BlockingIOError:
                if not await self._wait_writable():
                    return False
            except OSError:
                return False
        return True

    async def _wait_writable(self) -> bool:
        """Wait until the peer takes more; ``False`` if it takes too long."""
        with trio.move_on_after(SEND_TIMEOUT):
            # Who ends the wait for a request wakes this one too.
            with suppress(trio.ClosedResourceError):
                await trio.lowlevel.wait_writable(self._sock)
            return True
        return False

    async def _end(self, *, sent: bool) -> None:
        """End the connection behind an answer.

        A socket that is closed with unread bytes is reset, which could take
        the answer away from a peer that has not read it yet. The task that
        reads goes on, and ends all as soon as the peer has closed.
        """
        assert self._scope is not None
        self._is_ending = True
        if sent:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self._scope.cancel()
            with trio.move_on_after(SEND_TIMEOUT):
                while unacknowledged_bytes(self._sock):
                    await trio.sleep(_LOOK)
            await trio.sleep(_LINGER)
        self._scope.cancel()
