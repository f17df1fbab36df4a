"""The audit stream: the steps that deciders noted for each move."""

from datetime import datetime

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError
from verbenamill_cli.history import History, read_history
from verbenamill_cli.retrying_log import PatientLog, unavailable
from verbenamill_cli.results import and_then
from verbenamill_model.typing import Offset
from verbenamill_runtime import LogError, LogFault
from verbenamill_runtime.streams import AUDIT_STREAM, AuditLine


class Records(Struct, frozen=True, kw_only=True):
    """Everything that the log tells of changes and moves."""

    history: History
    lines: list[AuditLine]


async def read_records(
    log: PatientLog,
    *,
    farthest: bool,
) -> Result[Records, CliError]:
    """Read the configuration and the audit stream.

    :param farthest: as far back as the log goes.
    """

    async def add_lines(history: History) -> Result[Records, CliError]:
        lines = await read_trail(log)
        return lines.map(lambda found: Records(history=history, lines=found))

    history = await read_history(log, farthest=farthest)
    return await and_then(history, add_lines)


async def read_trail(log: PatientLog) -> Result[list[AuditLine], CliError]:
    """Read the steps of all moves, oldest first and each once.

    A daemon that lost the answer of an append writes its line again, so
    equal lines are one step.
    """
    kept: dict[AuditLine, None] = {}
    start = Offset(0)
    while True:
        match await log.read(AUDIT_STREAM, start):
            case Success(page):
                lines = (read_line(entry.body) for entry in page.entries)
                kept.update((line, None) for line in lines if line is not None)
            case Failure(LogError(fault=LogFault.EXPIRED) as expired):
                start = expired.oldest or start
                continue
            case Failure(error):
                return Failure(unavailable(error))
        if not page.entries:
            return Success(sorted(kept, key=_time_of))
        start = Offset(page.entries[-1].offset + 1)


def read_line(body: bytes) -> AuditLine | None:
    """A step, or ``None`` for a record that is none."""
    try:
        return msgspec.json.decode(body, type=AuditLine)
    except msgspec.MsgspecError:
        return None


def _time_of(line: AuditLine) -> datetime:
    return line.at
