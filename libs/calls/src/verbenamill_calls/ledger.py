"""What an owner remembers of calls that may not be repeated.

An ingress that lost its connection asks over a new one. The answer is true
as far back as this memory is complete, which is why a full memory refuses
further calls and forgets none early.
"""

from collections import deque
from datetime import timedelta
from enum import Enum, unique

import trio

from verbenamill_calls.call import Refusal
from verbenamill_http.messages import ResponseHead
from verbenamill_calls.settings import CallSettings
from verbenamill_model.typing import RequestId
from verbenamill_runtime import Clock


class StoredAnswer:
    """A whole answer, kept for those who ask for it again."""

    def __init__(self, head: ResponseHead, body: bytes) -> None:
        self.head = head
        self.body = body


@unique
class Progress(Enum):
    """How far a remembered call has come.

    ``REFUSED`` is final: the call never ran, and a late copy never will.
    """

    PENDING = 'pending'
    FINISHED = 'finished'
    REFUSED = 'refused'


class Remembered:
    """One call that may not be repeated.

    :param digest: of what was asked, to tell a repeated call from another
        one under the same key.
    """

    def __init__(self, digest: bytes, key: str | None) -> None:
        self.digest = digest
        self.key = key
        self.progress = Progress.PENDING
        self.answer: StoredAnswer | Refusal | None = None
        self.settled = trio.Event()


class Ledger:
    """Calls that may not be repeated, by id and by the caller's key."""

    def __init__(self, *, clock: Clock, settings: CallSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._complete_since = clock.monotonic()
        self._by_id: dict[RequestId, Remembered] = {}
        self._by_key: dict[str, Remembered] = {}
        self._order: deque[tuple[timedelta, RequestId]] = deque()
        self._stored: deque[Remembered] = deque()
        self._stored_bytes = 0

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def is_full(self) -> bool:
        """Whether no further call can be remembered."""
        self._forget(self._clock.monotonic())
        return len(self._by_id) >= self._settings.max_remembered

    def complete_for(self) -> timedelta:
        """How far back every call is remembered."""
        now = self._clock.monotonic()
        self._forget(now)
        return now - self._complete_since

    def find(self, id: RequestId, key: str | None) -> Remembered | None:
        """The call with this id, or the first one with this key."""
        found = self._by_id.get(id)
        if found is None and key is not None:
            found = self._by_key.get(key)
        return found

    def begin(
        self,
        id: RequestId,
        *,
        digest: bytes,
        key: str | None,
    ) -> Remembered:
        """Remember a call before it does anything."""
        assert id not in self._by_id, 'a call began twice'
        assert key is None or key not in self._by_key, 'a key began twice'
        call = Remembered(digest, key)
        self._by_id[id] = call
        self._order.append((self._clock.monotonic(), id))
        if key is not None:
            self._by_key[key] = call
        return call

    def add_id(self, id: RequestId, call: Remembered) -> None:
        """Know a call under a second id, by which it came again."""
        if id not in self._by_id:
            self._by_id[id] = call
            self._order.append((self._clock.monotonic(), id))

    def finish(
        self,
        call: Remembered,
        answer: StoredAnswer | Refusal,
    ) -> None:
        """Remember how a call ended, whatever became of its connection."""
        assert call.progress is Progress.PENDING, 'a call ended twice'
        call.progress = Progress.FINISHED
        call.answer = answer
        call.settled.set()
        if isinstance(answer, StoredAnswer):
            self._stored.append(call)
            self._stored_bytes += len(answer.body)
            self._drop_bodies()

    def refuse(self, call: Remembered, refusal: Refusal) -> None:
        """Remember that a call did not run and never will.

        Its key may begin again: nothing happened under it yet.
        """
        assert call.progress is Progress.PENDING, 'a call ended twice'
        call.progress = Progress.REFUSED
        call.answer = refusal
        call.settled.set()
        if call.key is not None:
            self._by_key.pop(call.key)
            call.key = None

    def _forget_call(self, call: Remembered) -> None:
        if call.key is not None:
            self._by_key.pop(call.key)
            call.key = None
        if isinstance(call.answer, StoredAnswer):
            self._stored.remove(call)
            self._stored_bytes -= len(call.answer.body)
            call.answer = None

    def _drop_bodies(self) -> None:
        """Keep the answers within their bytes; the calls stay known."""
        while self._stored_bytes > self._settings.max_stored:
            call = self._stored.popleft()
            assert isinstance(call.answer, StoredAnswer)
            self._stored_bytes -= len(call.answer.body)
            call.answer = None

    def _forget(self, now: timedelta) -> None:
        """Forget calls that nobody can ask for any more."""
        oldest = now - self._settings.remember
        while self._order and self._order[0][0] < oldest:
            began_at, id = self._order[0]
            call = self._by_id[id]
            if call.progress is Progress.PENDING:
                return
            self._order.popleft()
            self._by_id.pop(id)
            self._forget_call(call)
            self._complete_since = max(self._complete_since, began_at)
