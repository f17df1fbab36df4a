"""A relay of TCP connections that can fall silent.

It stands for whatever is between two ends and forgets about a connection:
both ends still think it open, nothing arrives any more, and no reset comes.
"""

import trio


class Relay:
    """Relays connections to one target.

    :param target: ``host:port``.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._silenced: set[trio.CancelScope] = set()
        self._open: set[trio.CancelScope] = set()

    @property
    def blackholed_connections(self) -> int:
        """Connections that have gone silent so far."""
        return len(self._silenced)

    def blackhole_connections(self) -> None:
        """Pass on nothing more on the open connections, ever."""
        for scope in self._open:
            self._silenced.add(scope)
            scope.cancel()

    async def serve(
        self,
        listen: str,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Relay until cancelled.

        :param listen: ``host:port`` that the other end is told.
        """
        host, port = listen.rsplit(':', 1)
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        task_status.started()
        await trio.serve_listeners(self._relay, listeners)

    async def _relay(self, near: trio.SocketStream) -> None:
        host, port = self._target.rsplit(':', 1)
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.aclose_forcefully(near)
            return
        scope = trio.CancelScope()
        async with near, far:
            with scope:
                self._open.add(scope)
                await self._pass_both_ways(near, far)
            self._open.discard(scope)
            if scope in self._silenced:
                await trio.sleep_forever()

    async def _pass_both_ways(
        self,
        near: trio.SocketStream,
        far: trio.SocketStream,
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_pass, near, far)
            nursery.start_soon(_pass, far, near)


async def _pass(source: trio.SocketStream, sink: trio.SocketStream) -> None:
    try:
        async for chunk in source:
            await sink.send_all(chunk)
        await sink.send_eof()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The other direction ends by itself once its source is closed.
        await trio.aclose_forcefully(sink)
