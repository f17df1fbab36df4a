"""Verdicts of moves, once or as they come."""

from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta
from random import Random

import trio
from returns.result import Failure, Success

from verbenamill_cli.history import History, read_history
from verbenamill_cli.output import Report, show_time, table
from verbenamill_cli.retrying_log import FIRST_WAIT, LONGEST_WAIT, PatientLog
from verbenamill_model import Verdict
from verbenamill_model.typing import Offset
from verbenamill_runtime import Log, LogError, LogFault, full_jitter
from verbenamill_runtime.streams import CONFIG_STREAM

#: Longest a read of the log waits for the next record.
LONG_POLL = timedelta(seconds=20)
#: Time for reading what is on the log already, before it is tried again.
CATCH_UP = timedelta(seconds=30)

HEADER = ('TIME', 'MOVE', 'TICKET', 'SERVICE', 'TO', 'VERDICT', 'WHY')


def report_verdicts(verdicts: Iterable[Verdict]) -> Report:
    """Show verdicts, newest last."""
    found = tuple(verdicts)
    if not found:
        return Report(data=found, lines=('no verdict yet',))
    return Report(data=found, lines=table(HEADER, map(_row, found)))


def report_verdict(verdict: Verdict) -> Report:
    """Show one verdict as it comes."""
    line = '  '.join(map(str, _row(verdict)))
    return Report(data=verdict, lines=(line,))


def _row(verdict: Verdict) -> list[object]:
    return [
        show_time(verdict.at),
        verdict.move.id,
        verdict.move.ticket,
        verdict.move.service,
        verdict.move.new,
        verdict.kind.value,
        f'{verdict.reason} (by {verdict.decided_by})',
    ]


class Follower:
    """Tells each verdict once; an outage of the log only delays them.

    :param tell: takes each verdict, oldest first.
    :param warn: takes a line about the log.
    """

    def __init__(
        self,
        log: Log,
        *,
        tell: Callable[[Verdict], None],
        warn: Callable[[str], None],
        random: Random,
    ) -> None:
        self._log = log
        self._tell = tell
        self._warn = warn
        self._random = random
        self._told = Offset(-1)
        self._is_down = False

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            history = await self._read_history()
            self._pass_on(history)
            await self._poll(history)

    async def _read_history(self) -> History:
        while True:
            log = PatientLog(self._log, limit=CATCH_UP, random=self._random)
            match await read_history(log):
                case Success(History() as history):
                    self._note_answer()
                    return history
                case Failure(error):
                    self._note_fault(error.message)
                    await trio.sleep(LONGEST_WAIT.total_seconds())

    async def _poll(self, history: History) -> None:
        """Follow on, until the log's head has passed this reader by."""
        waits = self._waits()
        while True:
            following = Offset(history.state.offset + 1)
            match await self._log.read(
                CONFIG_STREAM, following, wait=LONG_POLL
            ):
                case Success(page):
                    self._note_answer()
                    waits = self._waits()
                    history.steps.clear()
                    for entry in page.entries:
                        history.take(entry)
                    self._pass_on(history)
                case Failure(LogError(fault=LogFault.EXPIRED)):
                    return
                case Failure(error):
                    self._note_fault(error.detail)
                    await trio.sleep(next(waits).total_seconds())

    def _pass_on(self, history: History) -> None:
        for verdict in history.verdicts():
            if verdict.offset > self._told:
                self._tell(verdict)
        self._told = max(self._told, history.state.offset)

    def _waits(self) -> Iterator[timedelta]:
        return full_jitter(
            self._random,
            first=FIRST_WAIT,
            longest=LONGEST_WAIT,
        )

    def _note_fault(self, detail: str) -> None:
        # Said once an outage: a terminal full of the same line would hide
        # the verdicts before it.
        if not self._is_down:
            self._is_down = True
            self._warn(f'the log does not answer, trying on: {detail}')

    def _note_answer(self) -> None:
        if self._is_down:
            self._is_down = False
            self._warn('the log answers again')
