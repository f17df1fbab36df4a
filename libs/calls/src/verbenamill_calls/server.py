"""Takes calls from callers and from other daemons, over one port."""

from datetime import timedelta
from http import HTTPStatus

import trio

from verbenamill_calls.accepting import KeptListener
from verbenamill_calls.call import Fate, refuse
from verbenamill_calls.caller_side import CallerSide
from verbenamill_http.connection import HttpConnection
from verbenamill_calls.context import CallContext
from verbenamill_calls.handling import Handling
from verbenamill_calls.hop import HopAsk, HopCall, read_hop
from verbenamill_calls.ingress import Ingress
from verbenamill_calls.local import LocalUpstream
from verbenamill_http.messages import MessageEvent, ReadFailure, RequestHead
from verbenamill_calls.owner_side import NOT_A_DAEMON, OwnerSide
from verbenamill_calls.requests import find_fault
from verbenamill_calls.responses import encode_refusal
from verbenamill_calls.settings import CallSettings
from verbenamill_calls.stats import CallStats

#: How often idle connections are looked through, in seconds.
_SWEEP = 1.0
#: Time for a caller to read its last answer before the connection is cut,
#: in seconds. Closing at once would discard what it has not read yet.
_CLOSE_GRACE = 1.0
#: How often a stopping server looks whether all is done, in seconds.
_STOP_POLL = 0.02
#: Age up to which a connection counts as just opened when stopping.
_FRESH = timedelta(milliseconds=500)


class CallServer:
    """Takes calls, finds who answers them, and brings the answers back."""

    def __init__(
        self,
        context: CallContext,
        local: LocalUpstream,
        settings: CallSettings,
    ) -> None:
        self._clock = context.clock
        self._local = local
        self._settings = settings
        self._stats = CallStats()
        self._ingress = Ingress(context, local, settings, self._stats)
        self._handling = Handling(settings, context.clock, self._stats)
        self._callers = CallerSide(context, self._ingress, self._handling)
        self._owner = OwnerSide(local, self._handling)
        self._seats: set[_Seat] = set()
        self._accepting: trio.CancelScope | None = None
        self._accepted = trio.Event()
        self._serving: trio.CancelScope | None = None

    async def serve(
        self,
        listeners: list[trio.SocketListener],
        *,
        task_status: trio.TaskStatus[
            list[trio.SocketListener]
        ] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take calls until :meth:`stop` or cancellation."""
        async with trio.open_nursery() as nursery:
            self._serving = nursery.cancel_scope
            self._local.attach(nursery)
            nursery.start_soon(self._sweep)
            kept = [KeptListener(listener) for listener in listeners]
            task_status.started(listeners)
            try:
                await self._accept(kept, nursery)
            finally:
                for listener in kept:
                    listener.close()
            self._accepted.set()
            await trio.sleep_forever()

    async def _accept(
        self,
        kept: list[KeptListener],
        nursery: trio.Nursery,
    ) -> None:
        accepting = trio.CancelScope()
        self._accepting = accepting
        with accepting:
            await trio.serve_listeners(
                self._serve_connection,
                kept,
                handler_nursery=nursery,
            )
        for listener in kept:
            await listener.empty(self._serve_connection, nursery)

    async def stop(self) -> None:
        """Stop gracefully: finish what is in hand, and cut nothing.

        The own upstream takes no more calls at once. Callers are still
        served for a while, and told to use another connection; so are
        daemons that ask what became of a call, until none can be left.
        """
        self._handling.is_stopping = True
        timeout = self._settings.stop_timeout.total_seconds()
        with trio.move_on_after(timeout):
            await self._local.drain()
            await trio.sleep(self._settings.linger.total_seconds())
            await self._finish_connections()
        self._ingress.peers.close()
        self._local.close()
        if self._serving is not None:
            self._serving.cancel()

    def stats(self) -> CallStats:
        """Counters since the start, and gauges of now."""
        self._stats.running = self._local.admission.running
        self._stats.queued = self._local.admission.queued
        self._stats.remembered = len(self._local.ledger)
        return self._stats

    def _dismiss_idle(self) -> None:
        """End connections whose callers do not use them.

        One that was opened just now has a request on its way.
        """
        oldest = self._clock.monotonic() - _FRESH
        for seat in self._seats:
            waits_since = seat.waits_since
            if waits_since is None or not seat.connection.is_between_messages:
                continue
            if waits_since < oldest:
                seat.dismiss(_STOPPING)

    async def _finish_connections(self) -> None:
        """Close the port, and wait until no connection is served."""
        if self._accepting is not None:
            self._accepting.cancel()
            await self._accepted.wait()
        # Those accepted last have yet to take their seats.
        await trio.sleep(_STOP_POLL)
        while self._seats:
            self._dismiss_idle()
            await trio.sleep(_STOP_POLL)

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(_SWEEP)
            self._ingress.peers.sweep()
            self._local.sweep()
            self._dismiss_slow()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = HttpConnection(stream, max_head=self._settings.max_head)
        seat = _Seat(connection)
        self._stats.connections += 1
        self._seats.add(seat)
        try:
            if self._stats.connections <= self._settings.max_connections:
                await self._serve_requests(seat, _peer_host(stream))
        finally:
            self._leave(seat)

    def _leave(self, seat: '_Seat') -> None:
        self._seats.remove(seat)
        self._stats.connections -= 1
        seat.connection.close()

    async def _serve_requests(self, seat: '_Seat', host: str) -> None:
        connection = seat.connection
        connection.expect_requests()
        keep = True
        while keep:
            event = await self._next_request(seat)
            if isinstance(event, RequestHead):
                keep = await self._serve_request(connection, event, host)
                continue
            if event.status is not None:
                self._stats.rejected += 1
                refusal = refuse(event.status, Fate.FAILED, event.reason)
                await connection.send(encode_refusal(refusal, close=True))
            keep = False
        await connection.close_gracefully(_CLOSE_GRACE)

    async def _next_request(self, seat: '_Seat') -> RequestHead | ReadFailure:
        connection = seat.connection
        event = connection.receive_nowait() or await self._wait_for_event(seat)
        if isinstance(event, ReadFailure) and seat.dismissal is not None:
            # A request that came just before its connection was to end, on
            # a busy loop long before, would be thrown away: its caller sees
            # the connection close without an answer. It is served instead.
            if not connection.is_between_messages or connection.is_usable():
                return seat.dismissal
            seat.dismissal = None
            event = await self._wait_for_event(seat)
        assert isinstance(event, RequestHead | ReadFailure)
        return event

    async def _wait_for_event(self, seat: '_Seat') -> MessageEvent:
        seat.waits_since = self._clock.monotonic()
        event = await seat.connection.receive()
        seat.waits_since = None
        return event

    def _dismiss_slow(self) -> None:
        """End connections that wait for long: longer between requests."""
        now = self._clock.monotonic()
        for seat in self._seats:
            if seat.waits_since is None:
                continue
            waited = now - seat.waits_since
            if not seat.connection.is_between_messages:
                if waited > self._settings.head_timeout:
                    seat.dismiss(_SLOW_HEAD)
            elif waited > self._settings.idle_timeout:
                seat.dismiss(_IDLE)

    async def _serve_request(
        self,
        connection: HttpConnection,
        head: RequestHead,
        host: str,
    ) -> bool:
        self._stats.in_hand += 1
        try:
            return await self._dispatch(connection, head, host)
        finally:
            self._stats.in_hand -= 1

    async def _dispatch(
        self,
        connection: HttpConnection,
        head: RequestHead,
        host: str,
    ) -> bool:
        refusal = find_fault(head, self._settings)
        if refusal is not None:
            return await self._handling.reject(connection, refusal)
        told = read_hop(head.headers)
        if told is None:
            return await self._callers.serve(connection, head, host)
        is_member = self._ingress.peers.is_member_host(host)
        if isinstance(told, HopCall) and is_member:
            return await self._owner.serve_call(connection, head, told)
        if isinstance(told, HopAsk) and is_member:
            return await self._owner.serve_ask(connection, head, told)
        return await self._handling.reject(connection, NOT_A_DAEMON)


class _Seat:
    """A connection that is served.

    :ivar waits_since: when it began to wait for a request's head.
    :ivar dismissal: why it was ended while it waited.
    """

    def __init__(self, connection: HttpConnection) -> None:
        self.connection = connection
        self.waits_since: timedelta | None = None
        self.dismissal: ReadFailure | None = None

    def dismiss(self, dismissal: ReadFailure) -> None:
        """End the wait, unless a request has come meanwhile."""
        self.dismissal = dismissal
        self.connection.interrupt_receive()


_STOPPING = ReadFailure('the daemon stops')
_IDLE = ReadFailure('idle for too long')
_SLOW_HEAD = ReadFailure('head is too slow', HTTPStatus.REQUEST_TIMEOUT)


def _peer_host(stream: trio.SocketStream) -> str:
    try:
        name: tuple[str, int] = stream.socket.getpeername()
    except OSError:
        return ''
    return name[0]
