"""Accepting connections, and ending that without resetting any."""

from collections.abc import Awaitable, Callable
from select import POLLIN, poll

import trio

Handler = Callable[[trio.SocketStream], Awaitable[None]]


class KeptListener(trio.abc.Listener[trio.SocketStream]):
    """A listener that outlives the task that accepts from it.

    The system completes connections before they are accepted. A listener
    that is closed resets those still in its queue, and with them requests
    that their callers have sent already; so the queue is emptied first.
    """

    def __init__(self, listener: trio.SocketListener) -> None:
        self._listener = listener

    async def accept(self) -> trio.SocketStream:
        """Next connection."""
        return await self._listener.accept()

    async def aclose(self) -> None:
        """Leave it open for :meth:`empty`."""
        await trio.lowlevel.checkpoint()

    async def empty(self, handler: Handler, nursery: trio.Nursery) -> None:
        """Take what is queued."""
        while self._has_queued():
            stream = await self._listener.accept()
            nursery.start_soon(handler, stream)

    def close(self) -> None:
        """Close at once."""
        self._listener.socket.close()

    def _has_queued(self) -> bool:
        poller = poll()
        poller.register(self._listener.socket.fileno(), POLLIN)
        return bool(poller.poll(0))
