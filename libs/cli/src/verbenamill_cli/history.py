"""The log as the command line folds it, with the outcome of each record.

The tool needs no daemon for this: it folds the same records by the same
pure function, so its answers stay valid after every daemon was replaced.
"""

from collections.abc import Iterator

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.results import bind_async
from verbenamill_cli.retrying_log import RetryingLog, log_unavailable
from verbenamill_mesh import Configuration
from verbenamill_mesh.checkpoints import CheckpointRecord
from verbenamill_mesh.newest_records import read_newest_records
from verbenamill_model import (
    Answer,
    AuditEntry,
    Entry,
    Refusal,
    State,
    Verdict,
    accept,
)
from verbenamill_model.typing import Offset
from verbenamill_runtime import LogError, LogFault, LogPage
from verbenamill_runtime.streams import CHECKPOINTS_STREAM, CONFIG_STREAM

#: Newest checkpoints from which a base is chosen. A writer that resumes after a
#: pause appends an old checkpoint after newer ones, so the last alone is not
#: enough.
RECENT_CHECKPOINTS = 4
#: The same when the search is for the oldest usable checkpoint.
MAX_CHECKPOINTS = 64


class FoldedRecord(Struct, frozen=True, kw_only=True):
    """One folded record and its outcome."""

    entry: Entry
    answer: Answer
    audit: tuple[AuditEntry, ...]
    verdicts: tuple[Verdict, ...]


class History(Struct, kw_only=True):
    """The records that the log still holds, and the state that they lead to.

    :param base: state from which folding began: empty, or a checkpoint.
    :param state: state after the last record.
    """

    base: State
    state: State
    records: list[FoldedRecord] = []

    def fold(self, entry: Entry) -> FoldedRecord:
        """Fold the record that follows the last one."""
        assert entry.offset == self.state.offset + 1, (
            'a record is missing before this one'
        )
        state, answer = accept(self.state, entry)
        self.state = state
        record = FoldedRecord(
            entry=entry,
            answer=answer,
            audit=tuple(
                line for line in state.audit if line.offset == entry.offset
            ),
            verdicts=tuple(
                verdict
                for verdict in state.verdicts
                if verdict.offset == entry.offset
            ),
        )
        self.records.append(record)
        return record

    @property
    def is_complete(self) -> bool:
        """Whether the history reaches back to the first record."""
        return self.base.offset < 0

    def audit(self) -> Iterator[AuditEntry]:
        """Audit entries of the changes that took effect, oldest first."""
        yield from self.base.audit
        for record in self.records:
            yield from record.audit

    def verdicts(self) -> Iterator[Verdict]:
        """Verdicts, oldest first."""
        yield from self.base.verdicts
        for record in self.records:
            yield from record.verdicts

    def refusals(self) -> Iterator[Refusal]:
        """Refused records, oldest first."""
        yield from self.base.refusals
        for record in self.records:
            if isinstance(record.answer, Refusal):
                yield record.answer


async def read_history(
    log: RetryingLog,
    *,
    from_oldest: bool = False,
) -> Result[History, CliError]:
    """Fold the log up to its end.

    :param from_oldest: begin as far back as the log allows. Otherwise folding
        begins at the newest checkpoint, which takes far fewer records and
        leads to the same state.
    """
    oldest = Offset(0)
    if from_oldest:
        match await log.read(CONFIG_STREAM, oldest):
            case Success(page):
                return await _fold(log, State(), page)
            case Failure(LogError(fault=LogFault.EXPIRED) as expired):
                oldest = expired.oldest or oldest
            case Failure(error):
                return Failure(log_unavailable(error))
    base = await _find_base(log, oldest, from_oldest=from_oldest)
    return await bind_async(
        base.alt(log_unavailable),
        lambda checkpoint: _fold_after(log, checkpoint or State()),
    )


async def _fold_after(
    log: RetryingLog,
    base: State,
) -> Result[History, CliError]:
    page = await log.read(CONFIG_STREAM, Offset(base.offset + 1))
    return await bind_async(
        page.alt(_read_error),
        lambda first_page: _fold(log, base, first_page),
    )


def _read_error(error: LogError) -> CliError:
    if error.fault is LogFault.EXPIRED:
        return _expired_error(error)
    return log_unavailable(error)


def _expired_error(expired: LogError) -> CliError:
    return CliError(
        code=ExitCode.UNAVAILABLE,
        message=(
            f'records before offset {expired.oldest} have expired, and no '
            'checkpoint leads up to it'
        ),
        action=(
            'ask a daemon instead (verbenamill status); a running daemon '
            'writes a checkpoint again'
        ),
    )


async def _fold(
    log: RetryingLog,
    base: State,
    page: LogPage,
) -> Result[History, CliError]:
    history = History(base=base, state=base)
    while True:
        for entry in page.entries:
            history.fold(entry)
        if history.state.offset + 1 >= page.end:
            return Success(history)
        following = Offset(history.state.offset + 1)
        match await log.read(CONFIG_STREAM, following):
            case Success(page):
                continue
            case Failure(error):
                return Failure(log_unavailable(error))


async def _find_base(
    log: RetryingLog,
    oldest: Offset,
    *,
    from_oldest: bool,
) -> Result[State | None, LogError]:
    """Find a checkpoint after which no record has expired.

    :param oldest: first record that the log still holds.
    """
    count = MAX_CHECKPOINTS if from_oldest else RECENT_CHECKPOINTS
    entries = await read_newest_records(log, CHECKPOINTS_STREAM, count)
    choose = min if from_oldest else max

    def choose_usable(newest: tuple[Entry, ...]) -> State | None:
        states = (decode_checkpoint(entry.body) for entry in newest)
        usable = (
            state
            for state in states
            if state is not None and state.offset + 1 >= oldest
        )
        return choose(usable, key=_offset_of, default=None)

    return entries.map(choose_usable)


def _offset_of(state: State) -> Offset:
    return state.offset


def decode_checkpoint(body: bytes) -> State | None:
    """Decode the state of a checkpoint; ``None`` when that fails."""
    try:
        checkpoint = msgspec.msgpack.decode(body, type=CheckpointRecord)
    except msgspec.MsgspecError:
        return None
    return Configuration().restore(checkpoint.body).value_or(None)
