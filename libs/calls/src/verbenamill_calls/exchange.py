"""One request sent over one connection, and the head of its answer."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum, unique

import trio
from msgspec import Struct

from verbenamill_calls.body import Body, Limits, Relayed
from verbenamill_http.connection import HttpConnection
from verbenamill_http.messages import (
    Header,
    MessageEvent,
    ReadFailure,
    ResponseHead,
    encode_request,
)
from verbenamill_calls.settings import CallSettings
from verbenamill_runtime import Clock

#: How often a waiting call looks whether its caller has hung up, in seconds.
#: A look costs one system call, where a task that watches would cost every
#: call more, also the many that are answered sooner.
POLL = 0.025
#: Time to read an answer that came before the whole request was sent.
_EARLY_ANSWER = 0.1


@unique
class FaultKind(Enum):
    """Why there is no answer.

    Only ``NOT_SENT`` and ``TOO_LATE`` prove that the call did not run.
    """

    NOT_SENT = 'not-sent'
    CALLER_GONE = 'caller-gone'
    TOO_LATE = 'too-late'
    LOST = 'lost'
    TIMED_OUT = 'timed-out'
    BAD_ANSWER = 'bad-answer'


class Fault(Struct, frozen=True):
    """Why there is no answer, and what was seen."""

    kind: FaultKind
    reason: str


class Exchange:
    """One request over one connection.

    :param deadline: on the clock's ``monotonic`` scale.
    :param is_gone: whether whoever asked has hung up.
    """

    def __init__(
        self,
        connection: HttpConnection,
        *,
        deadline: timedelta,
        is_gone: Callable[[], bool],
        clock: Clock,
        settings: CallSettings,
    ) -> None:
        self.connection = connection
        self.started_at = timedelta(0)
        self._deadline = deadline
        self._is_gone = is_gone
        self._clock = clock
        self._settings = settings
        self.limits = Limits(
            deadline,
            clock,
            silence=settings.body_timeout.total_seconds(),
        )

    @property
    def is_silent(self) -> bool:
        """Whether nothing at all came back for suspiciously long."""
        waited = self._clock.monotonic() - self.started_at
        return (
            not self.connection.received_bytes
            and waited > self._settings.silence
        )

    async def send(
        self,
        method: bytes,
        target: bytes,
        headers: list[Header],
        body: Body,
    ) -> Fault | None:
        """Send the request, unless its deadline has passed already."""
        self.started_at = self._clock.monotonic()
        if self.started_at >= self._deadline:
            return Fault(FaultKind.TOO_LATE, 'the deadline passed before')
        head = encode_request(method, target, headers, body.framing)
        self.connection.expect_response(is_bodiless=method == b'HEAD')
        relayed = await body.send(head, self.connection, self.limits)
        if relayed is Relayed.WHOLE:
            return None
        if relayed is Relayed.SOURCE_BROKEN:
            return Fault(FaultKind.CALLER_GONE, "the request's body broke off")
        if self._clock.monotonic() >= self._deadline:
            return Fault(FaultKind.TIMED_OUT, 'the deadline passed')
        return await self._look_for_early_answer()

    async def wait(
        self,
        until: timedelta | None = None,
    ) -> ResponseHead | Fault | None:
        """Wait for the head of the answer.

        :param until: when to return ``None`` if it has not come.
        """
        while True:
            now = self._clock.monotonic()
            if now >= self._deadline:
                return Fault(FaultKind.TIMED_OUT, 'the deadline passed')
            if until is not None and now >= until:
                return None
            event = await self._receive(now, until)
            if event is not None:
                return _read_head(event)
            if self._is_gone():
                return Fault(FaultKind.CALLER_GONE, 'the caller hung up')

    async def _receive(
        self,
        now: timedelta,
        until: timedelta | None,
    ) -> MessageEvent | None:
        end = self._deadline if until is None else min(until, self._deadline)
        event = None
        with trio.move_on_after(min(POLL, (end - now).total_seconds())):
            event = await self.connection.receive()
        return event

    async def _look_for_early_answer(self) -> Fault | None:
        # An upstream may refuse a large body and close before it has read
        # all of it. Its answer tells the caller more than a broken link.
        event = None
        with trio.move_on_after(_EARLY_ANSWER):
            event = await self.connection.receive()
        if isinstance(event, ResponseHead):
            self.connection.push_back(event)
            return None
        return Fault(FaultKind.LOST, 'the connection broke while sending')


def _read_head(event: MessageEvent) -> ResponseHead | Fault:
    if isinstance(event, ReadFailure):
        kind = FaultKind.LOST if event.status is None else FaultKind.BAD_ANSWER
        return Fault(kind, event.reason)
    assert isinstance(event, ResponseHead), event
    if not event.is_framed:
        # Its end could not be told from a lost connection, so a cut answer
        # would pass as whole.
        return Fault(FaultKind.BAD_ANSWER, 'the answer has no length')
    return event
