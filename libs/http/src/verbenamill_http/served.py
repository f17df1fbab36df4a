"""Server side of a connection: reads requests and sends the responses."""

import socket
from contextlib import suppress
from http import HTTPStatus
from typing import Protocol

import trio

from verbenamill_http.messages import (
    EMPTY_BODY,
    EndOfBody,
    Framing,
    ReadFailure,
    RequestHead,
    ResponseHead,
    allows_body,
    encode_response,
    get_header,
)
from verbenamill_http.parsing import RequestCollector
from verbenamill_http.server_types import Request, Response, ServerLimits
from verbenamill_http.sockets import unacknowledged_bytes

READ_SIZE_BYTES = 64 * 1024
#: Largest number of requests of one connection that are handled concurrently;
#: further requests are not read until a response has been sent.
MAX_PIPELINED = 32
#: Limit on the request bodies that the server holds in memory. Requests beyond
#: it are rejected, so that a few large uploads cannot exhaust the memory of a
#: small VM.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
#: How long a client may accept no byte of its response.
SEND_TIMEOUT_S = 10.0
#: How long a connection stays open after the client's kernel has acknowledged
#: the last response. The client may still be sending, and bytes that arrive at
#: a closed socket would reset the connection before it has read the response.
_LINGER_S = 1.0
#: How often to check whether the last response has been acknowledged.
_POLL_INTERVAL_S = 0.1
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

_REQUEST_TOO_SLOW = ReadFailure(
    'the request is too slow', HTTPStatus.REQUEST_TIMEOUT
)
_BODY_TOO_LARGE = ReadFailure(
    'the body is too large',
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
)
_BUFFER_FULL = ReadFailure(
    'too many request bodies are held',
    HTTPStatus.SERVICE_UNAVAILABLE,
)
_SERVER_STOPPING = ReadFailure(
    'the server stops', HTTPStatus.SERVICE_UNAVAILABLE
)


class Server(Protocol):
    """The part of the server's interface that a connection uses.

    :ivar buffered_bytes: size of the request bodies in memory, over all
        connections.
    :ivar is_stopping: whether connections are closed after their responses.
    """

    buffered_bytes: int
    is_stopping: bool

    @property
    def is_shutting_down(self) -> bool:
        """Whether a connection accepts at most one further request."""

    def rejects(self, head: RequestHead) -> bool:
        """Whether a request that arrives now is rejected."""

    async def handle(self, request: Request) -> Response:
        """Handle a request and return the response."""

    def limits(self) -> ServerLimits:
        """Return the current limits."""


class ServerConnection:
    """Serves the requests of one connection.

    :ivar waiting_since: when the connection began to wait for bytes.
    """

    def __init__(self, sock: socket.socket, server: Server) -> None:
        self._sock = sock
        self._server = server
        self._collector = RequestCollector(server.limits().max_head)
        self._head: RequestHead | None = None
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._request_started_at = float(0)
        self._active_requests = 0
        self._last_response_sent: trio.Event | None = None
        self._slot_freed = trio.Event()
        self._is_interrupted = False
        self._is_closing = False
        self._is_sending = False
        self._cancel_scope: trio.CancelScope | None = None
        self.waiting_since = trio.current_time()

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for a request and none has begun.

        A response that the client reads slowly does not belong to an active
        request any more, but closing the connection as idle would truncate
        it. After the last response the kernel may still be sending it.
        """
        is_responding = (
            self._active_requests or self._is_sending or self._is_closing
        )
        return not (is_responding or self._has_partial_request)

    @property
    def _has_partial_request(self) -> bool:
        """Whether part of another request has been received."""
        return self._head is not None or not self._collector.is_between_messages

    async def serve(self) -> None:
        """Read requests and send responses until the connection ends."""
        async with trio.open_nursery() as nursery:
            self._cancel_scope = nursery.cancel_scope
            await self._read_requests(nursery)
            nursery.cancel_scope.cancel()

    def close(self) -> None:
        """Close the connection without waiting."""
        self._server.buffered_bytes -= self._body_size
        self._body_size = 0
        self._sock.close()

    def interrupt_wait(self) -> None:
        """Stop waiting for a request, unless bytes of one have arrived."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self._is_interrupted = True
            trio.lowlevel.notify_closing(self._sock)
        except OSError:
            return

    def stop_reading_requests(self) -> None:
        """Start no request after the active ones.

        A client that always sends the next request before it has received
        the previous response would never learn of the shutdown, and its last
        requests would be aborted when the process exits. The last response
        closes the connection instead: the client knows that later requests
        were not read and can send them again elsewhere.
        """
        if self._active_requests:
            self._is_closing = True
            self._discard_body()

    def enforce_timeouts(self, limits: ServerLimits, now: float) -> None:
        """Close the connection if it is slow or idle for too long."""
        if self._is_closing or self._is_sending:
            # A connection that is closing ends with its last response. Bytes
            # that are not read any more, or that stall while a response is
            # being sent, may look like a slow request; closing the connection
            # for that reason would truncate the response.
            return
        waiting_time = now - self.waiting_since
        if self.is_idle:
            if waiting_time > limits.idle_timeout:
                self.interrupt_wait()
        elif self._head is None and not self._collector.is_between_messages:
            if now - self._request_started_at > limits.head_timeout:
                self._is_interrupted = True
                trio.lowlevel.notify_closing(self._sock)
        elif self._head is not None and (
            waiting_time > limits.head_timeout
            or now - self._request_started_at > limits.request_timeout
        ):
            self._is_interrupted = True
            trio.lowlevel.notify_closing(self._sock)

    async def _read_requests(self, nursery: trio.Nursery) -> None:
        while True:
            while self._active_requests >= MAX_PIPELINED:
                self._slot_freed = trio.Event()
                await self._slot_freed.wait()
            data = await self._read()
            if not data or self._peer_has_closed():
                break
            if self._is_closing:
                # Bytes after the last request are discarded.
                continue
            failure = self._feed(data)
            self._process_events(nursery)
            if failure is not None and not self._is_closing:
                self._reject(nursery, failure)
        if self._is_interrupted and not self.is_idle and not self._is_closing:
            await self._send_error(
                _REQUEST_TOO_SLOW,
                self._collector.method,
                self._last_response_sent,
                trio.Event(),
            )

    async def _read(self) -> bytes:
        while True:
            # On a busy event loop, a request may arrive long after the wait
            # was interrupted and before this task runs. Closing the
            # connection would leave it without a response, so bytes that have
            # arrived are read before the connection ends.
            try:
                with suppress(trio.ClosedResourceError):
                    await trio.lowlevel.wait_readable(self._sock)
                data = self._sock.recv(READ_SIZE_BYTES)
            except BlockingIOError:
                if self._is_interrupted:
                    return b''
                continue
            except OSError:
                return b''
            self._is_interrupted = False
            self.waiting_since = trio.current_time()
            return data

    def _peer_has_closed(self) -> bool:
        """Whether the client has closed the connection after the last bytes.

        A lost packet can delay a request until its sender has given up; the
        request and the end of the connection then arrive together. If the
        request were started, it would reach an upstream long after its caller
        has left.
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
            self._request_started_at = self.waiting_since
        return collector.feed(data)

    def _process_events(self, nursery: trio.Nursery) -> None:
        events = self._collector.events
        while events and not self._is_closing:
            event = events.popleft()
            if isinstance(event, bytes):
                self._add_body(event, nursery)
            elif isinstance(event, RequestHead):
                self._process_head(event, nursery)
            elif event is EndOfBody.END:
                self._start_request(nursery)
            else:
                assert isinstance(event, ReadFailure)
                self._reject(nursery, event)

    def _process_head(self, head: RequestHead, nursery: trio.Nursery) -> None:
        self._head = head
        self._body_parts = []
        length = head.framing.length
        limits = self._server.limits()
        if self._server.rejects(head):
            self._reject(nursery, _SERVER_STOPPING)
            return
        if length is not None and length > limits.max_body:
            self._reject(nursery, _BODY_TOO_LARGE)
            return
        expected = get_header(head.headers, b'expect')
        if expected is not None and expected.lower() == b'100-continue':
            previous_sent = self._last_response_sent
            response_sent = trio.Event()
            self._last_response_sent = response_sent
            nursery.start_soon(
                self._send_continue, head, previous_sent, response_sent
            )

    async def _send_continue(
        self,
        head: RequestHead,
        previous_sent: trio.Event | None,
        response_sent: trio.Event,
    ) -> None:
        """Send ``100 Continue`` after all earlier responses.

        Sent immediately, it would appear in the middle of an earlier
        response.
        """
        if previous_sent is not None:
            await previous_sent.wait()
        if self._head is head:
            await self._send_all(_CONTINUE)
        response_sent.set()

    def _add_body(self, data: bytes, nursery: trio.Nursery) -> None:
        self._body_parts.append(data)
        self._body_size += len(data)
        self._server.buffered_bytes += len(data)
        if self._body_size > self._server.limits().max_body:
            self._reject(nursery, _BODY_TOO_LARGE)
        elif self._server.buffered_bytes > MAX_BUFFERED_BYTES:
            self._reject(nursery, _BUFFER_FULL)

    def _discard_body(self) -> None:
        """Discard the received part of a body that is not read any more."""
        self._body_parts = []
        self._server.buffered_bytes -= self._body_size
        self._body_size = 0

    def _start_request(self, nursery: trio.Nursery) -> None:
        head = self._head
        assert head is not None
        if self._server.rejects(head):
            # If the request were started now, the process could exit while it
            # runs, and its caller could not know whether it was executed. The
            # rejection proves that it was not.
            self._reject(nursery, _SERVER_STOPPING)
            return
        request = Request(
            head=head,
            body=b''.join(self._body_parts),
            received_at=self._request_started_at,
        )
        self._head = None
        self._body_parts = []
        body_size = self._body_size
        self._body_size = 0
        self._request_started_at = self.waiting_since
        response_sent = trio.Event()
        previous_sent = self._last_response_sent
        self._last_response_sent = response_sent
        self._active_requests += 1
        self._is_closing = not head.keep_alive or self._server.is_shutting_down
        nursery.start_soon(
            self._respond, request, body_size, previous_sent, response_sent
        )

    async def _respond(
        self,
        request: Request,
        body_size: int,
        previous_sent: trio.Event | None,
        response_sent: trio.Event,
    ) -> None:
        try:
            response = await self._server.handle(request)
        finally:
            self._server.buffered_bytes -= body_size
        if previous_sent is not None and not previous_sent.is_set():
            await previous_sent.wait()
        self._active_requests -= 1
        self._slot_freed.set()
        is_last = self._last_response_sent is response_sent
        closes_for_shutdown = (
            self._server.is_stopping
            and is_last
            and not self._has_partial_request
        )
        close = (
            response.close
            or closes_for_shutdown
            or (is_last and self._is_closing)
        )
        # The next request may arrive while a slow client reads this response.
        # If it were started, closing the connection after this response would
        # abort it; since it is not read, the client can repeat it.
        self._is_closing = self._is_closing or close
        method = request.head.method
        sent = await self._send(response, method, close=close)
        self.waiting_since = trio.current_time()
        response_sent.set()
        if close or not sent:
            await self._close_after_response(sent=sent)

    def _reject(self, nursery: trio.Nursery, failure: ReadFailure) -> None:
        """Send an error response after all earlier responses, then close."""
        self._is_closing = True
        self._discard_body()
        previous_sent = self._last_response_sent
        response_sent = trio.Event()
        self._last_response_sent = response_sent
        nursery.start_soon(
            self._send_error,
            failure,
            self._collector.method,
            previous_sent,
            response_sent,
        )

    async def _send_error(
        self,
        failure: ReadFailure,
        method: bytes,
        previous_sent: trio.Event | None,
        response_sent: trio.Event,
    ) -> None:
        if previous_sent is not None:
            await previous_sent.wait()
        if failure.status is not None:
            response = Response(
                status=failure.status,
                body=failure.reason.encode(),
            )
            await self._send(response, method, close=True)
        response_sent.set()
        await self._close_after_response(sent=True)

    async def _send(
        self, response: Response, method: bytes, *, close: bool
    ) -> bool:
        """Send a response, without the body if the request allows none."""
        body = response.body
        length = len(body)
        has_body = allows_body(method, response.status)
        if not has_body:
            body = b''
            length = _length_without_body(response)
        head = ResponseHead(
            status=response.status,
            headers=response.headers,
            framing=Framing(length) if length else EMPTY_BODY,
            keep_alive=True,
            is_bodiless=not has_body,
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
        """Wait until the socket accepts more; ``False`` after a time limit."""
        with trio.move_on_after(SEND_TIMEOUT_S):
            # Interrupting the wait for a request interrupts this wait as well.
            with suppress(trio.ClosedResourceError):
                await trio.lowlevel.wait_writable(self._sock)
            return True
        return False

    async def _close_after_response(self, *, sent: bool) -> None:
        """Close the connection after a response.

        Closing a socket with unread bytes resets the connection, so a client
        that has not read the response yet could lose it. Meanwhile the
        reading task continues, and it ends the connection as soon as the
        client has closed it.
        """
        assert self._cancel_scope is not None
        self._is_closing = True
        if sent:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self._cancel_scope.cancel()
            with trio.move_on_after(SEND_TIMEOUT_S):
                while unacknowledged_bytes(self._sock):
                    await trio.sleep(_POLL_INTERVAL_S)
            await trio.sleep(_LINGER_S)
        self._cancel_scope.cancel()


def _length_without_body(response: Response) -> int:
    """Length that is announced although no body is sent; 0 for none."""
    if not allows_body(b'', response.status):
        return 0
    return len(response.body) or response.length or 0
