"""Reader of the audit stream, which holds the steps of each move."""

from datetime import datetime

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError
from verbenamill_cli.history import History, read_history
from verbenamill_cli.results import bind_async
from verbenamill_cli.retrying_log import RetryingLog, log_unavailable
from verbenamill_model.typing import Offset
from verbenamill_runtime import LogError, LogFault
from verbenamill_runtime.streams import AUDIT_STREAM, AuditLine


class LogRecords(Struct, frozen=True, kw_only=True):
    """All records of the log about changes and moves.

    :param lines: steps from the audit stream.
    """

    history: History
    lines: list[AuditLine]


async def read_records(
    log: RetryingLog,
    *,
    from_oldest: bool,
) -> Result[LogRecords, CliError]:
    """Read the configuration and the audit stream.

    :param from_oldest: read the configuration as far back as the log allows.
    """

    async def add_lines(history: History) -> Result[LogRecords, CliError]:
        lines = await read_steps(log)
        return lines.map(lambda found: LogRecords(history=history, lines=found))

    history = await read_history(log, from_oldest=from_oldest)
    return await bind_async(history, add_lines)


async def read_steps(log: RetryingLog) -> Result[list[AuditLine], CliError]:
    """Read the steps of all moves, oldest first, without duplicates.

    A daemon that lost the answer of an append writes its line again, so
    equal lines are one step.
    """
    steps: dict[AuditLine, None] = {}
    start = Offset(0)
    while True:
        match await log.read(AUDIT_STREAM, start):
            case Success(page):
                lines = (decode_step(entry.body) for entry in page.entries)
                steps.update((line, None) for line in lines if line is not None)
            case Failure(LogError(fault=LogFault.EXPIRED) as expired):
                start = expired.oldest or start
                continue
            case Failure(error):
                return Failure(log_unavailable(error))
        if not page.entries:
            return Success(sorted(steps, key=_time_of))
        start = Offset(page.entries[-1].offset + 1)


def decode_step(body: bytes) -> AuditLine | None:
    """Decode a step; ``None`` when the record is malformed."""
    try:
        return msgspec.json.decode(body, type=AuditLine)
    except msgspec.MsgspecError:
        return None


def _time_of(line: AuditLine) -> datetime:
    return line.at
