"""HTTP/1.1 server that handles pipelined requests concurrently."""

import socket
from collections.abc import Callable

import trio

from verbenamill_http.messages import RequestHead
from verbenamill_http.served import ServerConnection
from verbenamill_http.server_types import (
    Handler,
    Request,
    Response,
    ServerLimits,
)
from verbenamill_http.sockets import set_tcp_options
from verbenamill_http.timers import sleep_coarsely

__all__ = ('Handler', 'HttpServer', 'Request', 'Response', 'ServerLimits')

#: How often to look for slow and idle connections.
_SWEEP_INTERVAL_S = 0.25
#: How long a request may be in transit: a connection that has been idle for
#: less may have a request on its way, and requests that arrive within this time
#: after the start of a shutdown are still handled.
_IN_TRANSIT_S = 0.4


def _admit_no_late(head: RequestHead) -> bool:
    return False


def _never() -> bool:
    return False


class HttpServer:
    """Serves one listening socket.

    Each request is handled in a separate task, which is cancelled when the
    client closes the connection. Responses are sent in the order of the
    requests.

    :param limits: returns the current limits; called for each use, because
        the limits may change.
    :param on_error: called with each unexpected exception of a handler and
        each error of accepting a connection.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: Callable[[], ServerLimits],
        on_error: Callable[[BaseException], None],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._on_error = on_error
        self._connections: set[ServerConnection] = set()
        self._accept_scope: trio.CancelScope | None = None
        self._nursery: trio.Nursery | None = None
        self.buffered_bytes = 0
        self.active_requests = 0
        self.is_stopping = False
        self._shutdown_started_at: float | None = None
        self._admit_late: Callable[[RequestHead], bool] = _admit_no_late
        self._reject_late = True

    @property
    def is_shutting_down(self) -> bool:
        """Whether a connection accepts at most one further request."""
        return self._shutdown_started_at is not None

    def rejects(self, head: RequestHead) -> bool:
        """Whether a request that arrives now is rejected."""
        started_at = self._shutdown_started_at
        if started_at is None or not self._reject_late:
            return False
        return (
            trio.current_time() > started_at + _IN_TRANSIT_S
            and not self._admit_late(head)
        )

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def serve(self, listener: socket.socket) -> None:
        """Accept connections until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._sweep)
                with trio.CancelScope() as accept_scope:
                    self._accept_scope = accept_scope
                    await self._accept(listener, nursery)
                _accept_pending(listener, self, nursery)
                listener.close()
        finally:
            listener.close()

    async def shut_down(
        self,
        *,
        reject_late: bool = True,
        admit_late: Callable[[RequestHead], bool] = _admit_no_late,
        keep_accepting: Callable[[], bool] = _never,
    ) -> None:
        """Stop accepting connections and wait until all have ended.

        Idle connections are closed, unless a request may be in transit: its
        sender would see the end of the connection instead of a response. On a
        connection with an active request, no further request is started.

        :param reject_late: whether the server rejects late requests;
            otherwise the handler has to reject them.
        :param admit_late: whether a late request is handled nevertheless.
        :param keep_accepting: whether such requests may still arrive; until
            it returns ``False``, new connections are accepted.
        """
        self.is_stopping = True
        self._reject_late = reject_late
        self._admit_late = admit_late
        self._shutdown_started_at = trio.current_time()
        for connection in self._connections:
            connection.stop_reading_requests()
        while keep_accepting():
            self.close_idle(_IN_TRANSIT_S)
            await trio.sleep(_SWEEP_INTERVAL_S / 8)
        if self._accept_scope is not None:
            self._accept_scope.cancel()
        await trio.sleep(_SWEEP_INTERVAL_S / 4)
        while self._connections:
            self.close_idle(_IN_TRANSIT_S)
            await trio.sleep(_SWEEP_INTERVAL_S / 8)

    def close_idle(self, idle_for: float) -> None:
        """Close idle connections.

        :param idle_for: minimum time since the last activity, in seconds.
        """
        oldest = trio.current_time() - idle_for
        for connection in list(self._connections):
            if connection.is_idle and connection.waiting_since <= oldest:
                connection.interrupt_wait()

    def start_serving(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        """Start serving an accepted connection."""
        if len(self._connections) >= self._limits().max_connections:
            sock.close()
            return
        sock.setblocking(False)
        set_tcp_options(sock)
        connection = ServerConnection(sock, self)
        self._connections.add(connection)
        nursery.start_soon(self._serve, connection)

    async def _accept(
        self,
        listener: socket.socket,
        nursery: trio.Nursery,
    ) -> None:
        while True:
            await trio.lowlevel.wait_readable(listener)
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                continue
            except OSError as error:
                # The process has no free descriptors, or the client has
                # already closed the connection.
                self._on_error(error)
                await trio.sleep(_SWEEP_INTERVAL_S / 8)
                continue
            self.start_serving(sock, nursery)

    async def _serve(self, connection: ServerConnection) -> None:
        try:
            await connection.serve()
        except Exception as error:  # noqa: BLE001
            # An error in one request must not affect other connections.
            self._on_error(error)
        finally:
            self._connections.discard(connection)
            connection.close()

    async def _sweep(self) -> None:
        while True:
            await sleep_coarsely(_SWEEP_INTERVAL_S)
            if not self._connections:
                continue
            limits = self._limits()
            now = trio.current_time()
            for connection in list(self._connections):
                connection.enforce_timeouts(limits, now)

    async def handle(self, request: Request) -> Response:
        """Handle a request and return the response."""
        self.active_requests += 1
        try:
            return await self._handler(request)
        finally:
            self.active_requests -= 1

    def limits(self) -> ServerLimits:
        """Return the current limits."""
        return self._limits()


def _accept_pending(
    listener: socket.socket,
    server: HttpServer,
    nursery: trio.Nursery,
) -> None:
    """Accept the connections in the backlog, which would otherwise be reset."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        server.start_serving(sock, nursery)
