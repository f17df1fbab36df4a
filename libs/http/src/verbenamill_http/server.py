"""A server of HTTP/1.1 that answers pipelined requests side by side."""

import socket
from collections.abc import Callable

import trio

from verbenamill_http.exchanges import (
    Handler,
    Request,
    Response,
    ServerLimits,
)
from verbenamill_http.messages import RequestHead
from verbenamill_http.served import ServedConnection
from verbenamill_http.sockets import set_tcp_options

__all__ = ('Handler', 'HttpServer', 'Request', 'Response', 'ServerLimits')

#: How often slow and idle connections are looked for, in seconds.
_SWEEP = 0.25
#: Age up to which an idle connection may have a request on its way, and time
#: from the end of accepting on in which requests that come are still begun.
_FRESH = 0.4


def _admit_none(head: RequestHead) -> bool:
    return False


def _close_at_once() -> bool:
    return False


class HttpServer:
    """Serves one listening socket.

    A request is handled in a task of its own, which is cancelled when its
    peer closes the connection. Answers go out in the order of the requests.

    :param limits: asked again for each use, since they may change.
    :param on_fault: told of an unexpected exception in a handler.
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
        self._on_fault = on_error
        self._served: set[ServedConnection] = set()
        self._accepting: trio.CancelScope | None = None
        self._nursery: trio.Nursery | None = None
        self.buffered = 0
        self.in_hand = 0
        self.is_stopping = False
        self._finishes_since: float | None = None
        self._admits: Callable[[RequestHead], bool] = _admit_none
        self._refuses_late = True

    @property
    def is_finishing(self) -> bool:
        """Whether a connection gets one further request at most."""
        return self._finishes_since is not None

    def refuses(self, head: RequestHead) -> bool:
        """Whether a request that comes only now is refused."""
        since = self._finishes_since
        if since is None or not self._refuses_late:
            return False
        return trio.current_time() > since + _FRESH and not self._admits(head)

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._served)

    async def serve(self, listener: socket.socket) -> None:
        """Accept connections until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._sweep)
                with trio.CancelScope() as accepting:
                    self._accepting = accepting
                    await self._accept(listener, nursery)
                _accept_waiting(listener, self, nursery)
                listener.close()
        finally:
            listener.close()

    async def shut_down(
        self,
        *,
        reject_late: bool = True,
        admit_late: Callable[[RequestHead], bool] = _admit_none,
        keep_accepting: Callable[[], bool] = _close_at_once,
    ) -> None:
        """Take no further connection and wait until all have ended.

        Connections that wait for a request are closed, unless one may be on
        its way: its sender would see the end of the connection instead of
        an answer. Where a request is in hand, none is begun behind it.

        :param refuses_late: whether requests that come late are refused here;
            otherwise the handler has to.
        :param admits: tells a late request that is served all the same.
        :param keeps_open: whether such requests may still come, so that
            connections are taken.
        """
        self.is_stopping = True
        self._refuses_late = reject_late
        self._admits = admit_late
        self._finishes_since = trio.current_time()
        for connection in self._served:
            connection.take_no_more()
        while keep_accepting():
            self.dismiss_idle(_FRESH)
            await trio.sleep(_SWEEP / 8)
        if self._accepting is not None:
            self._accepting.cancel()
        await trio.sleep(_SWEEP / 4)
        while self._served:
            self.dismiss_idle(_FRESH)
            await trio.sleep(_SWEEP / 8)

    def dismiss_idle(self, idle_for: float) -> None:
        """Close connections on which nothing happens.

        :param idle_for: least time since the last request, in seconds.
        """
        oldest = trio.current_time() - idle_for
        for connection in list(self._served):
            if connection.is_idle and connection.waits_since <= oldest:
                connection.dismiss()

    def start_serving(self, sock: socket.socket, nursery: trio.Nursery) -> None:
        """Serve a connection that was accepted."""
        if len(self._served) >= self._limits().max_connections:
            sock.close()
            return
        sock.setblocking(False)
        set_tcp_options(sock)
        connection = ServedConnection(sock, self)
        self._served.add(connection)
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
                # Out of descriptors, or a peer that has gone already.
                self._on_fault(error)
                await trio.sleep(_SWEEP / 8)
                continue
            self.start_serving(sock, nursery)

    async def _serve(self, connection: ServedConnection) -> None:
        try:
            await connection.serve()
        except Exception as error:  # noqa: BLE001
            # A fault in one request must not end those of all others.
            self._on_fault(error)
        finally:
            self._served.discard(connection)
            connection.close()

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(_SWEEP)
            limits = self._limits()
            now = trio.current_time()
            for connection in list(self._served):
                connection.check_times(limits, now)

    async def handle(self, request: Request) -> Response:
        """Have a request answered."""
        self.in_hand += 1
        try:
            return await self._handler(request)
        finally:
            self.in_hand -= 1

    def limits(self) -> ServerLimits:
        """Limits of now."""
        return self._limits()


def _accept_waiting(
    listener: socket.socket,
    server: HttpServer,
    nursery: trio.Nursery,
) -> None:
    """Take what the kernel has accepted; it would be reset otherwise."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        server.start_serving(sock, nursery)
