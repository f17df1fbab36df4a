"""Writers that append verdicts and audit lines to the log service."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from random import Random

import msgspec
import trio
from returns.result import Failure, Success

from verbenamill_model import VerdictRecord, decode_record, encode_record
from verbenamill_model.typing import Offset
from verbenamill_runtime import Log, full_jitter
from verbenamill_runtime.streams import AUDIT_STREAM, CONFIG_STREAM, AuditLine

FIRST_RETRY_DELAY = timedelta(milliseconds=200)
MAX_RETRY_DELAY = timedelta(seconds=10)
FLUSH_POLL_INTERVAL = timedelta(milliseconds=20)
#: Audit lines held while the log is unavailable; the oldest are dropped first.
MAX_QUEUED_LINES = 1000


class VerdictWriter:
    """Appends the verdicts that this daemon decided and avoids duplicates.

    :param is_running: whether the move of a verdict is still running
        according to this daemon's configuration.
    :param config_offset: returns the offset of the last record that the
        configuration includes.
    """

    def __init__(
        self,
        log: Log,
        *,
        is_running: Callable[[VerdictRecord], bool],
        config_offset: Callable[[], Offset],
        random: Random,
    ) -> None:
        self._log = log
        self._is_running = is_running
        self._config_offset = config_offset
        self._random = random
        self._moves_in_progress: set[Offset] = set()

    async def append_verdict(self, record: VerdictRecord) -> None:
        """Append a verdict; retry until the log holds one for its move."""
        if record.move in self._moves_in_progress:
            return
        self._moves_in_progress.add(record.move)
        try:
            await self._append_until_settled(record)
        finally:
            self._moves_in_progress.discard(record.move)

    async def _append_until_settled(self, record: VerdictRecord) -> None:
        delays = full_jitter(
            self._random,
            first=FIRST_RETRY_DELAY,
            longest=MAX_RETRY_DELAY,
        )
        while self._is_running(record):
            # An append whose response was lost may have taken effect.
            # Unchecked retries during an outage would each add another copy
            # to the log, so the log is searched for a verdict first. A
            # duplicate that is written nevertheless is ignored because the
            # verdict with the lowest offset counts.
            if await self._has_verdict(record):
                return
            if await self._append(record):
                return
            await trio.sleep(next(delays).total_seconds())

    async def _has_verdict(self, record: VerdictRecord) -> bool:
        start = Offset(self._config_offset() + 1)
        match await self._log.read(CONFIG_STREAM, start):
            case Success(page):
                return any(
                    _is_verdict_for(entry.body, record.move)
                    for entry in page.entries
                )
        return False

    async def _append(self, record: VerdictRecord) -> bool:
        response = await self._log.append(CONFIG_STREAM, encode_record(record))
        return isinstance(response, Success)


def _is_verdict_for(body: bytes, move: Offset) -> bool:
    match decode_record(body):
        case Success(VerdictRecord() as verdict):
            return verdict.move == move
    return False


class AuditWriter:
    """Appends audit lines to the log in the background."""

    def __init__(self, log: Log, *, random: Random) -> None:
        self._log = log
        self._random = random
        self._queue: deque[AuditLine] = deque(maxlen=MAX_QUEUED_LINES)
        self._line_in_progress: AuditLine | None = None
        self._line_added = trio.Event()

    @property
    def pending_lines(self) -> int:
        """Number of lines that are not in the log yet."""
        return len(self._queue) + (self._line_in_progress is not None)

    def add(self, line: AuditLine) -> None:
        """Queue a line without waiting."""
        self._queue.append(line)
        self._line_added.set()

    async def flush(self, limit: timedelta) -> None:
        """Wait until all lines are in the log or the time limit has passed."""
        with trio.move_on_after(limit.total_seconds()):
            while self.pending_lines:
                await trio.sleep(FLUSH_POLL_INTERVAL.total_seconds())

    async def run(self) -> None:
        """Append queued lines until cancelled."""
        while True:
            await self._line_added.wait()
            self._line_added = trio.Event()
            while self._queue:
                self._line_in_progress = self._queue.popleft()
                await self._append_until_written(self._line_in_progress)
                self._line_in_progress = None

    async def _append_until_written(self, line: AuditLine) -> None:
        body = msgspec.json.encode(line)
        delays = full_jitter(
            self._random,
            first=FIRST_RETRY_DELAY,
            longest=MAX_RETRY_DELAY,
        )
        # If the response was lost, the log may already contain the line. It
        # is appended again so that no line is missing; readers drop equal
        # lines.
        while isinstance(
            await self._log.append(AUDIT_STREAM, body),
            Failure,
        ):
            await trio.sleep(next(delays).total_seconds())
