"""Calls that were sent and wait for their answers."""

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Protocol

from verbenamill_calls.admission import Admission
from verbenamill_calls.body import Relayed
from verbenamill_calls.call import (
    Answer,
    Call,
    Fate,
    Refusal,
    Reply,
    refuse,
)
from verbenamill_http.connection import HttpConnection
from verbenamill_calls.exchange import Exchange, Fault, FaultKind
from verbenamill_calls.ledger import Ledger, Remembered, StoredAnswer
from verbenamill_http.messages import ResponseHead, get_header
from verbenamill_calls.pool import Pool
from verbenamill_calls.settings import CallSettings
from verbenamill_calls.stored import read_answer, recall
from verbenamill_model.traffic import Outcome
from verbenamill_runtime import Clock

#: Header that tells an upstream, in ms, how long its answer is waited for.
#: A caller may send it to shorten the route's timeout.
DEADLINE_HEADER = b'x-request-timeout-ms'


class Owner(Protocol):
    """What an attempt needs of the upstream's owner."""

    admission: Admission
    clock: Clock
    settings: CallSettings

    @property
    def ledger(self) -> Ledger:
        """Calls that may not be repeated."""

    async def take_connection(self) -> tuple[Pool, HttpConnection] | None:
        """A connection of one's own to the upstream."""

    def observe(
        self,
        call: Call,
        outcome: Outcome,
        latency: timedelta,
    ) -> None:
        """Tell how a call ended."""

    def hang_up(
        self,
        pool: Pool,
        connection: HttpConnection,
        free_slot: Callable[[], None],
    ) -> None:
        """Cancel a call; its slot is free once the upstream has closed."""


class LocalAttempt:
    """A call that holds a slot of the own upstream.

    :param remembered: set for a call that may not be repeated. Such a call
        runs to its end whatever becomes of those who ask, and its answer is
        kept for them.
    """

    def __init__(
        self,
        owner: Owner,
        call: Call,
        remembered: Remembered | None,
    ) -> None:
        self._owner = owner
        self._call = call
        self._remembered = remembered
        self._began_at = owner.clock.monotonic()
        self._holds_slot = True
        self._pool: Pool | None = None
        self._exchange: Exchange | None = None
        self._head: ResponseHead | None = None

    async def send(self) -> Fault | None:
        """Send the request to the upstream."""
        taken = await self._owner.take_connection()
        if taken is None:
            return Fault(FaultKind.NOT_SENT, 'the upstream takes no connection')
        pool, connection = taken
        self._pool = pool
        call = self._call
        self._exchange = Exchange(
            connection,
            deadline=call.deadline,
            is_gone=call.is_gone if self._remembered is None else _never,
            clock=self._owner.clock,
            settings=self._owner.settings,
        )
        left = call.deadline - self._owner.clock.monotonic()
        budget = b'%d' % max(left // timedelta(milliseconds=1), 1)
        return await self._exchange.send(
            call.method,
            call.target,
            [*call.headers, (DEADLINE_HEADER, budget)],
            call.body,
        )

    async def wait(self, until: timedelta | None = None) -> Answer | None:
        """The answer; ``None`` when it has not come by then."""
        assert self._exchange is not None
        head = await self._exchange.wait(until)
        if head is None:
            return None
        if isinstance(head, Fault):
            return self.fail(head)
        self._head = head
        if self._remembered is None:
            return Reply(head, self._exchange.connection, self._finish)
        return await self._store(head, self._remembered)

    async def is_lost(self) -> bool:
        """Whether its connection seems to have lost it for good.

        A new connection carried a handshake just now, so its silence is the
        upstream's own.
        """
        exchange = self._exchange
        assert exchange is not None
        return exchange.is_silent and exchange.connection.is_reused

    def abandon(self) -> None:
        """Cancel the call and free what it holds."""
        self._suspect_silence()
        self._end(Outcome.CANCELLED, is_cancelled=True)
        self._settle(unknown('the call was cancelled'))

    def fail(self, fault: Fault) -> Refusal:
        """End without an answer."""
        kind = fault.kind
        self._suspect_silence()
        is_gone = kind is FaultKind.CALLER_GONE
        is_late = kind is FaultKind.TIMED_OUT
        self._end(
            _outcome_of_fault(kind, is_shortened=self._call.is_shortened),
            is_cancelled=is_gone or is_late,
        )
        refusal = refusal_of(fault)
        self._settle(refusal)
        return refusal

    def _suspect_silence(self) -> None:
        if self._exchange is not None and self._exchange.is_silent:
            assert self._pool is not None
            self._pool.suspect()

    async def _store(
        self,
        head: ResponseHead,
        remembered: Remembered,
    ) -> Answer:
        assert self._exchange is not None
        connection = self._exchange.connection
        settings = self._owner.settings
        stored = await read_answer(
            head,
            connection,
            limit=settings.max_stored_answer,
            limits=self._exchange.limits,
        )
        if isinstance(stored, StoredAnswer):
            self._owner.ledger.finish(remembered, stored)
            self._finish(Relayed.WHOLE)
            return recall(stored)
        if stored is Relayed.SOURCE_BROKEN:
            return self.fail(Fault(FaultKind.LOST, 'the answer broke off'))
        # Too long to keep: it is streamed, and whoever asks for it later
        # learns that it ran but not what it answered.
        self._settle(unknown('the call ran; its answer was too long to keep'))
        return Reply(head, connection, self._finish)

    def _settle(self, refusal: Refusal) -> None:
        if self._remembered is not None:
            settle(self._owner.ledger, self._remembered, refusal)

    def _finish(self, relayed: Relayed) -> None:
        assert self._head is not None
        if relayed is Relayed.WHOLE:
            self._end(_outcome(self._head), is_cancelled=False)
        elif relayed is Relayed.SOURCE_BROKEN:
            self._end(Outcome.FAILED, is_cancelled=False, is_broken=True)
        else:
            self._end(Outcome.CANCELLED, is_cancelled=True)

    def _end(
        self,
        outcome: Outcome,
        *,
        is_cancelled: bool,
        is_broken: bool = False,
    ) -> None:
        if not self._holds_slot:
            return
        self._holds_slot = False
        latency = self._owner.clock.monotonic() - self._began_at
        self._owner.observe(self._call, outcome, latency)
        served = latency if outcome is Outcome.OK else None
        if self._exchange is None:
            self._free_slot()
        elif is_cancelled:
            assert self._pool is not None
            self._owner.hang_up(
                self._pool,
                self._exchange.connection,
                self._free_slot,
            )
        else:
            self._return_connection(is_broken=is_broken)
            self._free_slot(served)

    def _return_connection(self, *, is_broken: bool) -> None:
        assert self._pool is not None
        assert self._exchange is not None
        connection = self._exchange.connection
        head = self._head
        is_whole = head is not None and head.keep_alive and not is_broken
        if is_whole and connection.is_between_messages:
            self._pool.give_back(connection)
        else:
            self._pool.discard(connection)

    def _free_slot(self, served: timedelta | None = None) -> None:
        self._owner.admission.leave(self._call.priority, served)


def refusal_of(fault: Fault) -> Refusal:
    """What a caller is told of a fault."""
    if fault.kind is FaultKind.NOT_SENT:
        # Without a hint: another owner may do at once, and to learn that this
        # one cannot be reached has cost no upstream anything.
        return refuse(HTTPStatus.BAD_GATEWAY, Fate.NOT_RUN, fault.reason)
    if fault.kind is FaultKind.TOO_LATE:
        return refuse(
            HTTPStatus.GATEWAY_TIMEOUT,
            Fate.NOT_RUN,
            fault.reason,
            retry_after=timedelta(seconds=1),
        )
    status = HTTPStatus.BAD_GATEWAY
    if fault.kind is FaultKind.TIMED_OUT:
        status = HTTPStatus.GATEWAY_TIMEOUT
    return refuse(status, Fate.UNKNOWN, fault.reason)


def unknown(reason: str) -> Refusal:
    """Say that a call may have run."""
    return refuse(HTTPStatus.BAD_GATEWAY, Fate.UNKNOWN, reason)


def settle(ledger: Ledger, call: Remembered, refusal: Refusal) -> None:
    """Remember how a call ended without an answer, unless it is known."""
    if call.settled.is_set():
        return
    if refusal.fate is Fate.NOT_RUN:
        ledger.refuse(call, refusal)
    else:
        ledger.finish(call, refusal)


def _outcome_of_fault(kind: FaultKind, *, is_shortened: bool) -> Outcome:
    if kind in {FaultKind.CALLER_GONE, FaultKind.TOO_LATE}:
        return Outcome.CANCELLED
    if kind is FaultKind.TIMED_OUT and is_shortened:
        return Outcome.CANCELLED
    if kind is FaultKind.NOT_SENT:
        # A dead upstream refuses connections until it is missed. Counted as
        # failures, three of these took back a good version whose only VM in
        # a zone had died. Nothing ran, so nothing was seen of the version;
        # one that dies of its calls shows in those that were lost.
        return Outcome.SHED
    return Outcome.FAILED


def _outcome(head: ResponseHead) -> Outcome:
    if head.status == HTTPStatus.TOO_MANY_REQUESTS:
        return Outcome.SHED
    if head.status == HTTPStatus.SERVICE_UNAVAILABLE:
        is_shed = get_header(head.headers, b'retry-after') is not None
        return Outcome.SHED if is_shed else Outcome.FAILED
    if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Outcome.FAILED
    return Outcome.OK


def _never() -> bool:
    return False
