"""Records of the stand-in log, held in memory with limited retention."""

from collections import deque
from datetime import UTC, datetime

import trio
from msgspec import Struct


class Stored(Struct, frozen=True, kw_only=True):
    """One record with its offset and the log's time stamp."""

    offset: int
    at: datetime
    body: bytes


class Stream:
    """One append-only stream.

    :param retention: records kept; older ones expire. ``None`` keeps all.
    """

    def __init__(self, retention: int | None = None) -> None:
        self._stored: deque[Stored] = deque(maxlen=retention)
        self._end = 0
        self._grown = trio.Event()

    @property
    def end(self) -> int:
        """Offset that the next record gets."""
        return self._end

    @property
    def oldest(self) -> int:
        """First offset that has not expired."""
        return self._end - len(self._stored)

    def append(self, body: bytes) -> int:
        """Append one record and return its offset."""
        offset = self._end
        self._stored.append(
            Stored(offset=offset, at=datetime.now(UTC), body=body),
        )
        self._end += 1
        self._grown.set()
        self._grown = trio.Event()
        return offset

    def read(self, start: int, limit: int) -> list[Stored]:
        """Records from an offset that has not expired."""
        skipped = start - self.oldest
        last = min(skipped + limit, len(self._stored))
        return [self._stored[index] for index in range(skipped, last)]

    async def wait_beyond(self, offset: int) -> None:
        """Return once there is a record at ``offset``."""
        while self._end <= offset:
            await self._grown.wait()


class TokenBucket:
    """Rate limit with a burst of one second's worth.

    :param rate: tokens a second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._filled_at = trio.current_time()

    def take(self) -> bool:
        """Take one token if there is one."""
        now = trio.current_time()
        grown = self._tokens + (now - self._filled_at) * self._rate
        self._tokens = min(grown, self._rate)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
