"""Requests of other daemons: calls for the own upstream, and questions."""

from datetime import timedelta
from http import HTTPStatus

from verbenamill_calls.body import Body
from verbenamill_calls.call import Call, Fate, Refusal, Reply, refuse
from verbenamill_http.connection import HttpConnection
from verbenamill_calls.handling import Handling
from verbenamill_calls.hop import (
    HopAsk,
    HopCall,
    OwnerReport,
    encode_report,
    pack_refusal,
    whole_milliseconds,
)
from verbenamill_calls.local import LocalUpstream
from verbenamill_http.messages import Header, ReadFailure, RequestHead
from verbenamill_calls.requests import clean_headers
from verbenamill_calls.responses import encode_report_only
from verbenamill_model.typing import RequestId

NOT_A_DAEMON = refuse(
    HTTPStatus.FORBIDDEN,
    Fate.NOT_RUN,
    'only daemons may send these verbenamill headers',
)


class OwnerSide:
    """Runs what other daemons pass on, and never passes it on again."""

    def __init__(self, local: LocalUpstream, handling: Handling) -> None:
        self._local = local
        self._handling = handling
        self._running: set[RequestId] = set()

    async def serve_call(
        self,
        connection: HttpConnection,
        head: RequestHead,
        hop: HopCall,
    ) -> bool:
        """Run one call; tells whether another one may follow."""
        self._handling.stats.hops += 1
        now = self._handling.clock.monotonic()
        deadline = now + timedelta(milliseconds=hop.timeout)
        body = await self._handling.read_body(connection, head, deadline)
        if isinstance(body, ReadFailure):
            return False
        call = _call_of(hop, head, body, deadline, connection)
        self._running.add(call.id)
        try:
            return await self._run(connection, call)
        finally:
            self._running.discard(call.id)

    async def serve_ask(
        self,
        connection: HttpConnection,
        head: RequestHead,
        ask: HopAsk,
    ) -> bool:
        """Say what became of a call."""
        now = self._handling.clock.monotonic()
        deadline = now + timedelta(milliseconds=ask.timeout)
        body = await self._handling.read_body(connection, head, deadline)
        if isinstance(body, ReadFailure):
            return False
        if ask.idempotent:
            report = self._report(is_running=ask.id in self._running)
            return await self._send_report(connection, report)
        answer = await self._local.ask(ask.id, ask.key, deadline=deadline)
        if not isinstance(answer, Reply):
            report = self._report(answer, is_running=answer is None)
            return await self._send_report(connection, report)
        return await self._handling.send_reply(
            connection,
            answer,
            extra=[self._report()],
            deadline=deadline + self._handling.settings.body_timeout,
            close=False,
        )

    async def _run(self, connection: HttpConnection, call: Call) -> bool:
        started = await self._local.begin(call)
        answer = (
            started
            if isinstance(started, Reply | Refusal)
            else await started.wait()
        )
        close = self._handling.must_close(call.body)
        if isinstance(answer, Reply):
            sent = await self._handling.send_reply(
                connection,
                answer,
                extra=[self._report()],
                deadline=call.deadline,
                close=close,
            )
            return sent and not close
        assert isinstance(answer, Refusal)
        report = self._report(answer)
        return await self._send_report(connection, report, close=close)

    async def _send_report(
        self,
        connection: HttpConnection,
        report: Header,
        *,
        close: bool = False,
    ) -> bool:
        reply = encode_report_only(report, status=HTTPStatus.OK, close=close)
        return await connection.send(reply) and not close

    def _report(
        self,
        refusal: Refusal | None = None,
        *,
        is_running: bool = False,
    ) -> Header:
        calls, slots = self._local.load()
        remembers = self._local.ledger.complete_for()
        report = OwnerReport(
            calls=calls,
            slots=slots,
            remembers=whole_milliseconds(remembers),
            refusal=None if refusal is None else pack_refusal(refusal),
            is_running=is_running,
        )
        return encode_report(report)


def _call_of(
    hop: HopCall,
    head: RequestHead,
    body: Body,
    deadline: timedelta,
    connection: HttpConnection,
) -> Call:
    return Call(
        id=hop.id,
        route=hop.route,
        service=hop.service,
        version=hop.version,
        priority=hop.priority,
        idempotent=hop.idempotent,
        deadline=deadline,
        caller=hop.caller,
        method=head.method,
        target=head.target,
        headers=clean_headers(head),
        body=body,
        is_gone=connection.is_closed_by_peer,
        key=hop.key,
        is_shortened=hop.is_shortened,
    )
