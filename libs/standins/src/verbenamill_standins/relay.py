"""A TCP relay that can black-hole its open connections.

It simulates a middlebox, such as a NAT gateway, that has lost the state of a
connection: both endpoints consider the connection open, but no data arrives
and no reset is sent.
"""

import trio


class Relay:
    """Relays TCP connections to one target.

    :param target: ``host:port`` of the target.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._blackholed_scopes: set[trio.CancelScope] = set()
        self._open_scopes: set[trio.CancelScope] = set()

    @property
    def blackholed_connections(self) -> int:
        """Number of connections that have been black-holed so far."""
        return len(self._blackholed_scopes)

    def blackhole_connections(self) -> None:
        """Stop forwarding data on the open connections for good."""
        for scope in self._open_scopes:
            self._blackholed_scopes.add(scope)
            scope.cancel()

    async def serve(
        self,
        listen: str,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept and relay connections until cancelled.

        :param listen: ``host:port`` to listen on.
        """
        host, port = listen.rsplit(':', 1)
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        task_status.started()
        await trio.serve_listeners(self._relay, listeners)

    async def _relay(self, client_stream: trio.SocketStream) -> None:
        host, port = self._target.rsplit(':', 1)
        try:
            target_stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.aclose_forcefully(client_stream)
            return
        scope = trio.CancelScope()
        async with client_stream, target_stream:
            with scope:
                self._open_scopes.add(scope)
                await self._forward_both_ways(client_stream, target_stream)
            self._open_scopes.discard(scope)
            if scope in self._blackholed_scopes:
                await trio.sleep_forever()

    async def _forward_both_ways(
        self,
        client_stream: trio.SocketStream,
        target_stream: trio.SocketStream,
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_forward, client_stream, target_stream)
            nursery.start_soon(_forward, target_stream, client_stream)


async def _forward(source: trio.SocketStream, sink: trio.SocketStream) -> None:
    try:
        async for chunk in source:
            await sink.send_all(chunk)
        await sink.send_eof()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # Closing the sink also ends the task of the opposite direction, which
        # reads from it.
        await trio.aclose_forcefully(sink)
