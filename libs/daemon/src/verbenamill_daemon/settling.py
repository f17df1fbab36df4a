"""Writing verdicts and audit lines to the log without doubling them."""

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

FIRST_WAIT = timedelta(milliseconds=200)
LONGEST_WAIT = timedelta(seconds=10)
FLUSH_POLL = timedelta(milliseconds=20)
#: Audit lines kept while the log is away; the oldest go first.
MAX_LINES = 1000


class Settler:
    """Appends each verdict that this daemon decided, once.

    :param running: whether a move still waits for its verdict, as far as
        this daemon's configuration goes.
    :param read_to: offset up to which the configuration is known.
    """

    def __init__(
        self,
        log: Log,
        *,
        running: Callable[[VerdictRecord], bool],
        read_to: Callable[[], Offset],
        random: Random,
    ) -> None:
        self._log = log
        self._running = running
        self._read_to = read_to
        self._random = random
        self._writing: set[Offset] = set()

    async def settle(self, record: VerdictRecord) -> None:
        """Append a verdict until it, or another one of its move, is there."""
        if record.move in self._writing:
            return
        self._writing.add(record.move)
        try:
            await self._settle(record)
        finally:
            self._writing.discard(record.move)

    async def _settle(self, record: VerdictRecord) -> None:
        waits = full_jitter(
            self._random,
            first=FIRST_WAIT,
            longest=LONGEST_WAIT,
        )
        while self._running(record):
            # An append whose answer was lost may have taken effect. Written
            # again blindly, each try during an outage would leave one more
            # copy on the log; so it is looked for first. A copy written all
            # the same is ignored, since the lowest offset counts.
            if await self._is_settled(record):
                return
            if await self._append(record):
                return
            await trio.sleep(next(waits).total_seconds())

    async def _is_settled(self, record: VerdictRecord) -> bool:
        start = Offset(self._read_to() + 1)
        match await self._log.read(CONFIG_STREAM, start):
            case Success(page):
                return any(
                    _settles(entry.body, record.move) for entry in page.entries
                )
        return False

    async def _append(self, record: VerdictRecord) -> bool:
        answer = await self._log.append(CONFIG_STREAM, encode_record(record))
        return isinstance(answer, Success)


def _settles(body: bytes, move: Offset) -> bool:
    match decode_record(body):
        case Success(VerdictRecord() as found):
            return found.move == move
    return False


class AuditWriter:
    """Passes audit lines to the log in the background."""

    def __init__(self, log: Log, *, random: Random) -> None:
        self._log = log
        self._random = random
        self._lines: deque[AuditLine] = deque(maxlen=MAX_LINES)
        self._written: AuditLine | None = None
        self._added = trio.Event()

    @property
    def waiting(self) -> int:
        """Lines that are not on the log yet."""
        return len(self._lines) + (self._written is not None)

    def add(self, line: AuditLine) -> None:
        """Queue a line; never waits."""
        self._lines.append(line)
        self._added.set()

    async def flush(self, limit: timedelta) -> None:
        """Wait until all lines are on the log, or for a limited time."""
        with trio.move_on_after(limit.total_seconds()):
            while self.waiting:
                await trio.sleep(FLUSH_POLL.total_seconds())

    async def run(self) -> None:
        """Append queued lines until cancelled."""
        while True:
            await self._added.wait()
            self._added = trio.Event()
            while self._lines:
                self._written = self._lines.popleft()
                await self._write(self._written)
                self._written = None

    async def _write(self, line: AuditLine) -> None:
        body = msgspec.json.encode(line)
        waits = full_jitter(
            self._random,
            first=FIRST_WAIT,
            longest=LONGEST_WAIT,
        )
        # After a lost answer the line may stand there already. It is written
        # again all the same: readers drop equal lines, and none is missing.
        while isinstance(
            await self._log.append(AUDIT_STREAM, body),
            Failure,
        ):
            await trio.sleep(next(waits).total_seconds())
