"""Listing and following the verdicts of moves."""

from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta
from random import Random

import trio
from returns.result import Failure, Success

from verbenamill_cli.history import History, read_history
from verbenamill_cli.output import Report, format_table, format_time
from verbenamill_cli.retrying_log import (
    FIRST_RETRY_DELAY,
    MAX_RETRY_DELAY,
    RetryingLog,
)
from verbenamill_model import Verdict
from verbenamill_model.typing import Offset
from verbenamill_runtime import Log, LogError, LogFault, full_jitter
from verbenamill_runtime.streams import CONFIG_STREAM

#: Longest time for which a read of the log waits for the next record.
LONG_POLL_WAIT = timedelta(seconds=20)
#: Time limit of one attempt to read the records that are already on the log.
CATCH_UP_TIMEOUT = timedelta(seconds=30)

HEADER = ('TIME', 'MOVE', 'TICKET', 'SERVICE', 'TO', 'VERDICT', 'WHY')


def format_verdicts(verdicts: Iterable[Verdict]) -> Report:
    """Format a table of verdicts, newest last."""
    listed = tuple(verdicts)
    if not listed:
        return Report(data=listed, lines=('no verdict yet',))
    return Report(data=listed, lines=format_table(HEADER, map(_row, listed)))


def format_verdict(verdict: Verdict) -> Report:
    """Format one verdict as a line, for ``--follow``."""
    line = '  '.join(map(str, _row(verdict)))
    return Report(data=verdict, lines=(line,))


def _row(verdict: Verdict) -> list[object]:
    return [
        format_time(verdict.at),
        verdict.move.id,
        verdict.move.ticket,
        verdict.move.service,
        verdict.move.new,
        verdict.kind.value,
        f'{verdict.reason} (by {verdict.decided_by})',
    ]


class VerdictFollower:
    """Reports each verdict once; an outage of the log only delays it.

    :param on_verdict: is called with each verdict, oldest first.
    :param on_warning: is called with a line about the state of the log.
    """

    def __init__(
        self,
        log: Log,
        *,
        on_verdict: Callable[[Verdict], None],
        on_warning: Callable[[str], None],
        random: Random,
    ) -> None:
        self._log = log
        self._on_verdict = on_verdict
        self._on_warning = on_warning
        self._random = random
        self._last_reported = Offset(-1)
        self._is_unreachable = False

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            history = await self._read_history()
            self._report_new_verdicts(history)
            await self._poll(history)

    async def _read_history(self) -> History:
        while True:
            log = RetryingLog(
                self._log,
                limit=CATCH_UP_TIMEOUT,
                random=self._random,
            )
            match await read_history(log):
                case Success(History() as history):
                    self._warn_of_recovery()
                    return history
                case Failure(error):
                    self._warn_of_outage(error.message)
                    await trio.sleep(MAX_RETRY_DELAY.total_seconds())

    async def _poll(self, history: History) -> None:
        """Read new records until the next one has expired from the log."""
        delays = self._retry_delays()
        while True:
            following = Offset(history.state.offset + 1)
            match await self._log.read(
                CONFIG_STREAM,
                following,
                wait=LONG_POLL_WAIT,
            ):
                case Success(page):
                    self._warn_of_recovery()
                    delays = self._retry_delays()
                    history.records.clear()
                    for entry in page.entries:
                        history.fold(entry)
                    self._report_new_verdicts(history)
                case Failure(LogError(fault=LogFault.EXPIRED)):
                    return
                case Failure(error):
                    self._warn_of_outage(error.detail)
                    await trio.sleep(next(delays).total_seconds())

    def _report_new_verdicts(self, history: History) -> None:
        for verdict in history.verdicts():
            if verdict.offset > self._last_reported:
                self._on_verdict(verdict)
        self._last_reported = max(self._last_reported, history.state.offset)

    def _retry_delays(self) -> Iterator[timedelta]:
        return full_jitter(
            self._random,
            first=FIRST_RETRY_DELAY,
            longest=MAX_RETRY_DELAY,
        )

    def _warn_of_outage(self, detail: str) -> None:
        # Warns once per outage, because repeated warnings would scroll
        # earlier verdicts off the terminal.
        if not self._is_unreachable:
            self._is_unreachable = True
            self._on_warning(f'the log does not answer, trying on: {detail}')

    def _warn_of_recovery(self) -> None:
        if self._is_unreachable:
            self._is_unreachable = False
            self._on_warning('the log answers again')
