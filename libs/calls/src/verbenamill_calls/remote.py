"""Calls that another daemon's upstream answers."""

from datetime import timedelta
from http import HTTPStatus

from verbenamill_calls.asking import Asked, ask, ask_once, read_report
from verbenamill_calls.attempts import refusal_of, unknown
from verbenamill_calls.body import Relayed
from verbenamill_calls.call import Answer, Call, Fate, Refusal, Reply, refuse
from verbenamill_http.connection import HttpConnection
from verbenamill_calls.exchange import Exchange, Fault, FaultKind
from verbenamill_calls.hop import (
    encode_call,
    unpack_refusal,
)
from verbenamill_calls.ledger import StoredAnswer
from verbenamill_calls.links import Links
from verbenamill_http.messages import EndOfBody, ResponseHead, get_header
from verbenamill_calls.peers import LOST_POINTS, Peer
from verbenamill_calls.stored import read_answer, recall


#: No failure of the owner: it has as many calls from here as it could queue.
_BUSY = refuse(
    HTTPStatus.SERVICE_UNAVAILABLE,
    Fate.NOT_RUN,
    'too many calls to the owner are on their way',
    retry_after=timedelta(milliseconds=100),
)


_BLAMELESS = frozenset((FaultKind.CALLER_GONE, FaultKind.TOO_LATE))


class RemoteAttempt:
    """A call sent to the daemon that owns the chosen upstream.

    A call that may not be repeated and whose connection dies, goes silent
    or brings half an answer is asked for over a new connection.
    """

    def __init__(self, links: Links, peer: Peer, call: Call) -> None:
        self.sent_at = timedelta(0)
        self.peer = peer
        self.call = call
        self._links = links
        self._clock = links.context.clock
        self._exchange: Exchange | None = None
        self._is_counted = True
        peer.in_flight += 1

    async def send(self) -> Answer | None:
        """Send the call; an answer, when that has settled it already."""
        if self.peer.pool.is_full:
            self._end()
            return _BUSY
        connection = await self.peer.pool.take()
        if connection is None:
            fault = Fault(FaultKind.NOT_SENT, 'the owner takes no connection')
            return self._conclude(fault)
        call = self.call
        self.sent_at = self._clock.monotonic()
        self._exchange = Exchange(
            connection,
            deadline=call.deadline,
            is_gone=call.is_gone,
            clock=self._clock,
            settings=self._links.settings,
        )
        broken = await self._exchange.send(
            call.method,
            call.target,
            [*call.headers, encode_call(call, self.sent_at)],
            call.body,
        )
        return None if broken is None else await self._recover(broken)

    async def wait(self, until: timedelta | None = None) -> Answer | None:
        """The answer; ``None`` when it has not come by then.

        :param until: ignored for a call that may not be repeated.
        """
        assert self._exchange is not None
        if not self.call.idempotent:
            until = self._clock.monotonic() + self._links.settings.silence
        head = await self._exchange.wait(until)
        if isinstance(head, ResponseHead):
            return await self._take_answer(head, self._exchange)
        if isinstance(head, Fault):
            return await self._recover(head)
        if self.call.idempotent:
            return None
        fault = Fault(FaultKind.LOST, 'the connection went silent')
        return await self._recover(fault)

    async def is_lost(self) -> bool:
        """Whether the owner has lost the call, asked over a new connection.

        Tells a slow upstream, which is waited for, from a connection that
        something between the ends has lost track of.
        """
        assert self._exchange is not None
        if not self._exchange.is_silent:
            return False
        asked = await ask_once(self._links, self.peer, self.call)
        if not isinstance(asked, Asked) or asked.report.is_running:
            return False
        # Its answer may have come while we asked.
        return self._exchange.connection.is_usable()

    def abandon(self) -> None:
        """Cancel the call: the owner sees its connection close."""
        self._discard()
        self._end()

    async def _take_answer(
        self,
        head: ResponseHead,
        exchange: Exchange,
    ) -> Answer:
        report = read_report(head)
        if report is None:
            fault = Fault(FaultKind.BAD_ANSWER, 'this is no owner of ours')
            return await self._recover(fault)
        now = self._clock.monotonic()
        self.peer.report(report, now)
        if report.refusal is not None:
            return self._take_refusal(unpack_refusal(report.refusal), head)
        self._judge(head)
        if self.call.idempotent:
            return self._make_reply(head, exchange.connection)
        return await self._take_whole(head, exchange)

    async def _take_whole(
        self,
        head: ResponseHead,
        exchange: Exchange,
    ) -> Answer:
        """Read an answer that cannot be had by calling again."""
        stored = await read_answer(
            head,
            exchange.connection,
            limit=self._links.settings.max_stored_answer,
            limits=exchange.limits,
        )
        if isinstance(stored, StoredAnswer):
            self._release(head, Relayed.WHOLE)
            return recall(stored)
        if stored is Relayed.SOURCE_BROKEN:
            fault = Fault(FaultKind.LOST, 'the answer broke off')
            return await self._recover(fault)
        return self._make_reply(head, exchange.connection)

    def _take_refusal(self, refusal: Refusal, head: ResponseHead) -> Refusal:
        assert self._exchange is not None
        is_ended = self._exchange.connection.receive_nowait() is EndOfBody.END
        self._release(
            head,
            Relayed.WHOLE if is_ended else Relayed.SOURCE_BROKEN,
        )
        now = self._clock.monotonic()
        if refusal.fate is Fate.UNKNOWN:
            self.peer.fail(1, now, self._links.context.random)
        elif refusal.fate is Fate.NOT_RUN and refusal.retry_after is None:
            self.peer.avoid(now)
        return refusal

    async def _recover(self, fault: Fault) -> Answer:
        """Find out what became of a call that may not be repeated."""
        is_open = fault.kind in {FaultKind.LOST, FaultKind.BAD_ANSWER}
        if self.call.idempotent or not is_open:
            return self._conclude(fault)
        self._discard()
        try:
            return await ask(self._links, self.peer, self.call, self.sent_at)
        finally:
            self._end()

    def _conclude(self, fault: Fault) -> Refusal:
        """End with what is known from the fault alone."""
        points = 1 if fault.kind is FaultKind.TIMED_OUT else LOST_POINTS
        if fault.kind not in _BLAMELESS:
            now = self._clock.monotonic()
            self.peer.fail(points, now, self._links.context.random)
        self.abandon()
        if fault.kind is FaultKind.NOT_SENT and self.call.key is not None:
            # This call did not run, but an earlier one of its key may have.
            return unknown('the owner of the key cannot be reached')
        return refusal_of(fault)

    def _judge(self, head: ResponseHead) -> None:
        is_failed = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        is_shed = get_header(head.headers, b'retry-after') is not None
        if is_failed and not is_shed:
            now = self._clock.monotonic()
            self.peer.fail(1, now, self._links.context.random)
        else:
            self.peer.succeed()

    def _make_reply(
        self,
        head: ResponseHead,
        connection: HttpConnection,
    ) -> Reply:
        return Reply(
            head,
            connection,
            lambda relayed: self._release(head, relayed),
        )

    def _release(self, head: ResponseHead, relayed: Relayed) -> None:
        exchange = self._exchange
        self._end()
        if exchange is None:
            return
        connection = exchange.connection
        is_whole = relayed is Relayed.WHOLE and head.keep_alive
        if is_whole and connection.is_between_messages:
            self._exchange = None
            self.peer.pool.give_back(connection)
        else:
            self._discard()

    def _discard(self) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is None:
            return
        if exchange.is_silent:
            self.peer.pool.suspect()
        self.peer.pool.discard(exchange.connection)

    def _end(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self.peer.in_flight -= 1
            assert self.peer.in_flight >= 0
