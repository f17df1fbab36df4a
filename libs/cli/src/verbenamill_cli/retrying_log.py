"""Reads of the log that outlast a short outage."""

from collections.abc import Iterator
from datetime import timedelta
from random import Random

import trio
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_model.typing import Offset
from verbenamill_runtime import Log, LogError, LogFault, LogPage, full_jitter

FIRST_WAIT = timedelta(milliseconds=200)
LONGEST_WAIT = timedelta(seconds=2)


class PatientLog:
    """A log whose reads are tried again until a command's time is over.

    :param limit: time for all tries of the command together.
    """

    def __init__(self, log: Log, *, limit: timedelta, random: Random) -> None:
        self._log = log
        self._random = random
        self._deadline = trio.current_time() + limit.total_seconds()

    @property
    def is_over(self) -> bool:
        """Whether the command's time is over."""
        return trio.current_time() >= self._deadline

    async def append(
        self,
        stream: str,
        body: bytes,
    ) -> Result[Offset, LogError]:
        """Append once; the caller decides what a failure means."""
        return await self._log.append(stream, body)

    async def read(
        self,
        stream: str,
        start: Offset,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> Result[LogPage, LogError]:
        """Read; a failure other than an expired offset is tried again."""
        waits = self.waits()
        while True:
            answer = await self._log.read(
                stream,
                start,
                limit=limit,
                wait=wait,
            )
            match answer:
                case Success(_) | Failure(LogError(fault=LogFault.EXPIRED)):
                    return answer
            if self.is_over:
                return answer
            await trio.sleep(next(waits).total_seconds())

    def waits(self) -> Iterator[timedelta]:
        """Waiting times between tries."""
        return full_jitter(
            self._random,
            first=FIRST_WAIT,
            longest=LONGEST_WAIT,
        )


def unavailable(error: LogError) -> CliError:
    """Error for a log that did not answer in time."""
    return CliError(
        code=ExitCode.UNAVAILABLE,
        message=f'the log does not answer: {error.detail}',
        action=(
            'check the URL and the log service; nothing was changed, '
            'so the command may be run again'
        ),
    )
