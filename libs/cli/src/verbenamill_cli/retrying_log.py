"""Log client whose reads are retried through a short outage."""

from collections.abc import Iterator
from datetime import timedelta
from random import Random

import trio
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_model.typing import Offset
from verbenamill_runtime import Log, LogError, LogFault, LogPage, full_jitter

FIRST_RETRY_DELAY = timedelta(milliseconds=200)
MAX_RETRY_DELAY = timedelta(seconds=2)


class RetryingLog:
    """A log whose reads are retried until the command's time limit.

    :param limit: time for all attempts of the command together.
    """

    def __init__(self, log: Log, *, limit: timedelta, random: Random) -> None:
        self._log = log
        self._random = random
        self._deadline = trio.current_time() + limit.total_seconds()

    @property
    def is_timed_out(self) -> bool:
        """Whether the command's time limit has passed."""
        return trio.current_time() >= self._deadline

    async def append(
        self,
        stream: str,
        body: bytes,
    ) -> Result[Offset, LogError]:
        """Append once, without a retry; callers handle the failure."""
        return await self._log.append(stream, body)

    async def read(
        self,
        stream: str,
        start: Offset,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> Result[LogPage, LogError]:
        """Read, and retry any failure other than an expired offset."""
        delays = self.retry_delays()
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
            if self.is_timed_out:
                return answer
            await trio.sleep(next(delays).total_seconds())

    def retry_delays(self) -> Iterator[timedelta]:
        """Delays between attempts, with full jitter."""
        return full_jitter(
            self._random,
            first=FIRST_RETRY_DELAY,
            longest=MAX_RETRY_DELAY,
        )


def log_unavailable(error: LogError) -> CliError:
    """Error for a log that did not answer within the time limit."""
    return CliError(
        code=ExitCode.UNAVAILABLE,
        message=f'the log does not answer: {error.detail}',
        action=(
            'check the URL and the log service; nothing was changed, '
            'so the command may be run again'
        ),
    )
