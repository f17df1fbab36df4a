"""Connections to one address, kept open between calls."""

import socket

import trio

from verbenamill_http.connection import HttpConnection
from verbenamill_calls.settings import CallSettings
from verbenamill_http.addresses import parse_address

#: Idle time after which a connection to an upstream is not used again, in
#: seconds. Servers commonly close idle ones after 5 s; a call must not race
#: with that.
UPSTREAM_IDLE = 2.0
#: The same between daemons, which keep idle connections for longer.
PEER_IDLE = 20.0
#: Time that sent bytes may stay unacknowledged, in milliseconds.
UNACKNOWLEDGED = 2000


class Pool:
    """Connections to one address.

    :param limit: open connections that are never exceeded.
    :param reserve: open connections beyond it, for questions only.
    :param max_idle: idle time after which one is not used again, in seconds.
    """

    def __init__(
        self,
        address: str,
        *,
        limit: int,
        max_idle: float,
        reserve: int = 0,
        settings: CallSettings,
    ) -> None:
        self.address = address
        self.limit = limit
        self.open = 0
        self._max_idle = max_idle
        self._reserve = reserve
        self._settings = settings
        self._idle: list[HttpConnection] = []
        self._suspect_before = float('-inf')

    @property
    def is_full(self) -> bool:
        """Whether :meth:`take` could open no connection and has none."""
        return not self._idle and self.open >= self.limit

    async def take(self, *, is_new: bool = False) -> HttpConnection | None:
        """An open connection of one's own; ``None`` if there is none.

        :param is_new: use none that was opened before. To ask after calls
            that silent connections hold, some may be opened over the limit.
        """
        connection = None if is_new else self._take_idle()
        if connection is not None:
            return connection
        limit = self.limit + self._reserve if is_new else self.limit
        if self.open >= limit:
            return None
        self.open += 1
        assert self.open <= limit
        connection = None
        try:
            connection = await self._connect()
        finally:
            self.open -= connection is None
        return connection

    def give_back(self, connection: HttpConnection) -> None:
        """Return a connection after a whole answer."""
        if connection.opened_at < self._suspect_before:
            self.discard(connection)
            return
        connection.used_at = trio.current_time()
        self._idle.append(connection)

    def discard(self, connection: HttpConnection) -> None:
        """Close a connection that may not be used again."""
        connection.close()
        self.open -= 1
        assert self.open >= 0

    def suspect(self) -> None:
        """Use none of the connections that are open now again.

        Something between the ends may have lost track of all of them: then
        each would swallow a call, while a new connection works.
        """
        self._suspect_before = trio.current_time()
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections that no call uses."""
        idle = self._idle
        self._idle = []
        for connection in idle:
            self.discard(connection)

    def sweep(self) -> None:
        """Close connections that were idle for long."""
        oldest = trio.current_time() - self._max_idle
        fresh = [one for one in self._idle if one.used_at >= oldest]
        stale = [one for one in self._idle if one.used_at < oldest]
        self._idle = fresh
        for connection in stale:
            self.discard(connection)

    def _take_idle(self) -> HttpConnection | None:
        oldest = trio.current_time() - self._max_idle
        while self._idle:
            connection = self._idle.pop()
            if connection.used_at >= oldest and connection.is_usable():
                connection.is_reused = True
                return connection
            self.discard(connection)
        return None

    async def _connect(self) -> HttpConnection | None:
        address = parse_address(self.address)
        stream = None
        with trio.move_on_after(self._settings.connect_timeout.total_seconds()):
            try:
                stream = await trio.open_tcp_stream(address.host, address.port)
            except OSError:
                return None
        if stream is None:
            return None
        stream.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED,
        )
        return HttpConnection(
            stream,
            max_head=self._settings.max_head,
            opened_at=trio.current_time(),
        )
