"""Requests of callers."""

from http import HTTPStatus

from verbenamill_calls.call import Call, Fate, Refusal, refuse
from verbenamill_http.connection import HttpConnection
from verbenamill_calls.context import CallContext
from verbenamill_calls.handling import Handling
from verbenamill_calls.ingress import Ingress
from verbenamill_http.messages import ReadFailure, RequestHead
from verbenamill_calls.requests import deadline_of, make_call
from verbenamill_calls.responses import encode_refusal
from verbenamill_calls.routing import RouteTable


class CallerSide:
    """Turns requests of callers into calls, and answers them."""

    def __init__(
        self,
        context: CallContext,
        ingress: Ingress,
        handling: Handling,
    ) -> None:
        self._context = context
        self._ingress = ingress
        self._handling = handling
        self._routes = RouteTable()

    async def serve(
        self,
        connection: HttpConnection,
        head: RequestHead,
        host: str,
    ) -> bool:
        """Serve one request; tells whether another one may follow."""
        handling = self._handling
        handling.stats.calls += 1
        route = self._routes.find(self._context.snapshot(), head.target)
        if route is None:
            return await handling.reject(connection, _NO_ROUTE)
        now = self._context.clock.monotonic()
        deadline, is_shortened = deadline_of(head, route, now)
        body = await handling.read_body(connection, head, deadline)
        if isinstance(body, ReadFailure):
            return await self._reject_body(connection, body)
        call = make_call(
            head,
            route,
            body,
            caller=host,
            deadline=deadline,
            is_shortened=is_shortened,
            is_gone=connection.is_closed_by_peer,
        )
        if isinstance(call, Refusal):
            return await handling.reject(connection, call)
        return await self._answer(connection, call)

    async def _answer(self, connection: HttpConnection, call: Call) -> bool:
        answer = await self._ingress.answer(call)
        close = self._handling.must_close(call.body)
        if isinstance(answer, Refusal):
            self._count(answer)
            sent = await connection.send(encode_refusal(answer, close=close))
        else:
            sent = await self._handling.send_reply(
                connection,
                answer,
                extra=[],
                deadline=call.deadline,
                close=close,
            )
        return sent and not close

    async def _reject_body(
        self,
        connection: HttpConnection,
        broken: ReadFailure,
    ) -> bool:
        status = broken.status or HTTPStatus.REQUEST_TIMEOUT
        refusal = refuse(status, Fate.NOT_RUN, f'body: {broken.reason}')
        return await self._handling.reject(connection, refusal)

    def _count(self, refusal: Refusal) -> None:
        stats = self._handling.stats
        if refusal.fate is Fate.NOT_RUN:
            stats.not_run += 1
        elif refusal.fate is Fate.UNKNOWN:
            stats.unknown += 1
        else:
            stats.rejected += 1


_NO_ROUTE = refuse(
    HTTPStatus.NOT_FOUND,
    Fate.NOT_RUN,
    'no route has a prefix of this path',
)
