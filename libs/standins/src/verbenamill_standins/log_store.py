"""In-memory storage of the stand-in log, with limited retention."""

from collections import deque
from datetime import UTC, datetime

import trio
from msgspec import Struct


class StoredRecord(Struct, frozen=True, kw_only=True):
    """A record with its offset and the time at which it was appended."""

    offset: int
    at: datetime
    body: bytes


class Stream:
    """An append-only stream.

    :param retention: number of newest records that are retained; ``None``
        retains all.
    """

    def __init__(self, retention: int | None = None) -> None:
        self._records: deque[StoredRecord] = deque(maxlen=retention)
        self._end = 0
        self._record_appended = trio.Event()

    @property
    def end(self) -> int:
        """Offset of the next record to be appended."""
        return self._end

    @property
    def oldest(self) -> int:
        """Offset of the oldest retained record."""
        return self._end - len(self._records)

    def append(self, body: bytes) -> int:
        """Append a record and return its offset."""
        offset = self._end
        self._records.append(
            StoredRecord(offset=offset, at=datetime.now(UTC), body=body),
        )
        self._end += 1
        self._record_appended.set()
        self._record_appended = trio.Event()
        return offset

    def read(self, start: int, limit: int) -> list[StoredRecord]:
        """Return records from ``start`` on, which must not have expired."""
        first = start - self.oldest
        last = min(first + limit, len(self._records))
        return [self._records[index] for index in range(first, last)]

    async def wait_beyond(self, offset: int) -> None:
        """Wait until a record at ``offset`` has been appended."""
        while self._end <= offset:
            await self._record_appended.wait()


class TokenBucket:
    """Token bucket that holds the tokens of at most one second.

    :param rate: tokens per second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._refilled_at = trio.current_time()

    def try_acquire(self) -> bool:
        """Take a token if one is available; return whether it was."""
        now = trio.current_time()
        refilled = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(refilled, self._rate)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
