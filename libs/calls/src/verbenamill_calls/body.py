"""Bodies: kept when small, streamed with flow control when large."""

from datetime import timedelta
from enum import Enum, unique

import trio

from verbenamill_http.connection import EventSource, HttpConnection
from verbenamill_http.messages import (
    LAST_CHUNK,
    EndOfBody,
    Framing,
    MessageEvent,
    ReadFailure,
    encode_chunk,
)
from verbenamill_runtime import Clock


@unique
class Relayed(Enum):
    """How the relay of a body ended."""

    WHOLE = 'whole'
    SOURCE_BROKEN = 'source-broken'
    SINK_BROKEN = 'sink-broken'


class Limits:
    """Bounds on the relay of a message.

    :param deadline: on the clock's ``monotonic`` scale.
    :param silence: longest wait for the next bytes, in seconds.
    """

    def __init__(
        self,
        deadline: timedelta,
        clock: Clock,
        *,
        silence: float,
    ) -> None:
        self._deadline = deadline
        self._clock = clock
        self._silence = silence

    def left(self) -> float:
        """Time to the deadline, in seconds."""
        left = self._deadline - self._clock.monotonic()
        return max(left.total_seconds(), 0)

    async def receive(self, source: EventSource) -> MessageEvent:
        """Next event, or :class:`ReadFailure` after too long a wait."""
        event = None
        with trio.move_on_after(min(self._silence, self.left())):
            event = await source.receive()
        return event or ReadFailure('nothing came for too long')

    async def send(self, sink: HttpConnection, data: bytes) -> bool:
        """Send within the deadline; commonly the socket takes it at once."""
        rest = sink.try_send(data)
        if not rest:
            return rest is not None
        sent = False
        with trio.move_on_after(self.left()):
            sent = await sink.send(rest)
        return sent


class Body:
    """Body of a request.

    :param prefix: what was read so far.
    :param rest: where the rest comes from; ``None`` when nothing is left.
    """

    def __init__(
        self,
        prefix: bytes,
        framing: Framing,
        rest: EventSource | None,
    ) -> None:
        self.framing = framing
        self._prefix = prefix
        self._rest = rest
        self._is_started = False
        self._is_relayed = False

    @property
    def is_repeatable(self) -> bool:
        """Whether it can be sent once more."""
        return self._rest is None or not self._is_started

    @property
    def is_read(self) -> bool:
        """Whether nothing of it is left on its connection."""
        return self._rest is None or self._is_relayed

    @property
    def is_whole(self) -> bool:
        """Whether all of it is in memory."""
        return self._rest is None

    def fingerprint(self) -> bytes:
        """What tells it from another body: all of it, or its length."""
        if self._rest is None:
            return self._prefix
        return b'%a' % self.framing.length

    async def send(
        self,
        head: bytes,
        sink: HttpConnection,
        limits: Limits,
    ) -> Relayed:
        """Send a head and the body behind it."""
        assert self.is_repeatable
        if self._rest is None:
            sent = await limits.send(sink, head + self._encode_prefix())
            return Relayed.WHOLE if sent else Relayed.SINK_BROKEN
        self._is_started = True
        relayed = await relay(
            head,
            self._rest,
            sink,
            self.framing,
            limits=limits,
            prefix=self._prefix,
        )
        self._is_relayed = relayed is Relayed.WHOLE
        return relayed

    def _encode_prefix(self) -> bytes:
        if self.framing.length is not None:
            assert len(self._prefix) == self.framing.length
            return self._prefix
        if not self._prefix:
            return LAST_CHUNK
        return encode_chunk(self._prefix) + LAST_CHUNK


async def read_body(
    source: HttpConnection,
    framing: Framing,
    *,
    limit: int,
    most: int,
    limits: Limits,
) -> Body | ReadFailure:
    """Read a request's body, as far as it may be kept in memory.

    :param limit: bytes kept in memory; the rest is left to be streamed.
    :param most: bytes of the whole body that are allowed.
    """
    if framing.length is not None and framing.length > limit:
        return Body(b'', framing, source)
    parts: list[bytes] = []
    size = 0
    while size <= limit:
        event = source.receive_nowait()
        if event is None:
            event = await limits.receive(source)
        if isinstance(event, bytes):
            parts.append(event)
            size += len(event)
            continue
        if event is EndOfBody.END:
            return Body(b''.join(parts), framing, None)
        assert isinstance(event, ReadFailure)
        return event
    rest = _LimitedSource(source, most - size)
    return Body(b''.join(parts), framing, rest)


class _LimitedSource:
    """Ends a body that grows too long, since no length told it before."""

    def __init__(self, source: EventSource, left: int) -> None:
        self._source = source
        self._left = left

    def receive_nowait(self) -> MessageEvent | None:
        event = self._source.receive_nowait()
        return None if event is None else self._count(event)

    async def receive(self) -> MessageEvent:
        return self._count(await self._source.receive())

    def _count(self, event: MessageEvent) -> MessageEvent:
        if isinstance(event, bytes):
            self._left -= len(event)
        if self._left < 0:
            return ReadFailure('the body is too long')
        return event


async def relay(
    head: bytes,
    source: EventSource,
    sink: HttpConnection,
    framing: Framing | None,
    *,
    limits: Limits,
    prefix: bytes = b'',
) -> Relayed:
    """Pass a message on, and check that it is whole.

    Memory is bounded by one read: nothing more is read before the sink has
    taken what came. A body that ends early leaves the sink's message
    visibly unfinished, since neither its length nor its last chunk came.
    """
    relayed = 0
    pending = [head]
    if prefix:
        pending.append(_frame(prefix, framing))
        relayed = len(prefix)
    while True:
        event = source.receive_nowait()
        if event is None:
            if pending and not await limits.send(sink, b''.join(pending)):
                return Relayed.SINK_BROKEN
            pending.clear()
            event = await limits.receive(source)
        if isinstance(event, bytes):
            relayed += len(event)
            pending.append(_frame(event, framing))
            continue
        if event is not EndOfBody.END:
            return Relayed.SOURCE_BROKEN
        _end_body(pending, framing, relayed)
        if pending and not await limits.send(sink, b''.join(pending)):
            return Relayed.SINK_BROKEN
        return Relayed.WHOLE


def _end_body(
    pending: list[bytes],
    framing: Framing | None,
    relayed: int,
) -> None:
    if framing is None:
        return
    if framing.length is None:
        pending.append(LAST_CHUNK)
    else:
        assert relayed == framing.length, 'a short body was about to pass'


def _frame(body: bytes, framing: Framing | None) -> bytes:
    if framing is not None and framing.length is None:
        return encode_chunk(body)
    return body
