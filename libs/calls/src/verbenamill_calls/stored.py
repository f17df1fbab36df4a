"""Answers that are given from memory."""

from collections import deque
from http import HTTPStatus

from verbenamill_calls.body import Limits, Relayed
from verbenamill_calls.call import Fate, Refusal, Reply, refuse
from verbenamill_http.connection import HttpConnection
from verbenamill_calls.ledger import StoredAnswer
from verbenamill_http.messages import (
    EndOfBody,
    Framing,
    MessageEvent,
    ResponseHead,
)


class MemorySource:
    """Events that are all there."""

    def __init__(self, events: list[MessageEvent]) -> None:
        self._events = deque(events)

    def receive_nowait(self) -> MessageEvent | None:
        """Next event that needs no waiting."""
        return self._events.popleft()

    async def receive(self) -> MessageEvent:
        """Next event."""
        return self._events.popleft()


async def read_answer(
    head: ResponseHead,
    connection: HttpConnection,
    *,
    limit: int,
    limits: Limits,
) -> StoredAnswer | Relayed:
    """Read an answer into memory.

    An answer over the limit is put back, to be streamed, and is ``WHOLE``
    in so far as nothing of it was lost.
    """
    parts: list[MessageEvent] = []
    size = 0
    while size <= limit:
        event = connection.receive_nowait()
        if event is None:
            event = await limits.receive(connection)
        if event is EndOfBody.END:
            body = b''.join(part for part in parts if isinstance(part, bytes))
            return _store(head, body)
        if not isinstance(event, bytes):
            return Relayed.SOURCE_BROKEN
        parts.append(event)
        size += len(event)
    connection.push_back(*parts)
    return Relayed.WHOLE


def _store(head: ResponseHead, body: bytes) -> StoredAnswer:
    if not head.is_bodiless:
        expected = head.framing.length
        assert expected is None or expected == len(body)
        head.framing = Framing(len(body))
    return StoredAnswer(head, body)


def recall(answer: StoredAnswer | Refusal | None) -> Reply | Refusal:
    """Give a remembered answer once more."""
    if answer is None:
        return refuse(
            HTTPStatus.BAD_GATEWAY,
            Fate.UNKNOWN,
            'the call ran, but its answer is no longer kept',
        )
    if isinstance(answer, Refusal):
        return answer
    events: list[MessageEvent] = [answer.body] if answer.body else []
    events.append(EndOfBody.END)
    return Reply(answer.head, MemorySource(events), _forget)


def _forget(_: Relayed) -> None:
    """A stored answer holds nothing that must be freed."""
