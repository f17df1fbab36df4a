"""The log folded by the command line, with what became of each record.

The tool needs no daemon for this: it folds the same records by the same
pure function, so that its answers hold after every daemon was replaced.
"""

from collections.abc import Iterator

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.retrying_log import PatientLog, unavailable
from verbenamill_cli.results import and_then
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

#: Newest checkpoints that are looked at. A writer that woke from a pause
#: leaves an old one above newer ones, so the last alone is not enough.
LOOK_BACK = 4
#: The same when the oldest that is of use is wanted.
MAX_CHECKPOINTS = 64


class Step(Struct, frozen=True, kw_only=True):
    """One folded record and what became of it."""

    entry: Entry
    answer: Answer
    audit: tuple[AuditEntry, ...]
    verdicts: tuple[Verdict, ...]


class History(Struct, kw_only=True):
    """What the log still tells.

    :param base: state that folding began from: empty, or a checkpoint.
    :param state: state after the last record.
    """

    base: State
    state: State
    steps: list[Step] = []

    def take(self, entry: Entry) -> Step:
        """Fold the record that follows."""
        assert entry.offset == self.state.offset + 1, 'records follow on'
        state, answer = accept(self.state, entry)
        self.state = state
        step = Step(
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
        self.steps.append(step)
        return step

    @property
    def is_whole(self) -> bool:
        """Whether it reaches back to the first record."""
        return self.base.offset < 0

    def audit(self) -> Iterator[AuditEntry]:
        """Changes that took effect, oldest first."""
        yield from self.base.audit
        for step in self.steps:
            yield from step.audit

    def verdicts(self) -> Iterator[Verdict]:
        """Verdicts, oldest first."""
        yield from self.base.verdicts
        for step in self.steps:
            yield from step.verdicts

    def refusals(self) -> Iterator[Refusal]:
        """Refused records, oldest first."""
        yield from self.base.refusals
        for step in self.steps:
            if isinstance(step.answer, Refusal):
                yield step.answer


async def read_history(
    log: PatientLog,
    *,
    farthest: bool = False,
) -> Result[History, CliError]:
    """Fold the log up to its end.

    :param farthest: begin as early as the log still allows. Otherwise it
        begins at the newest checkpoint, which is much less to fold and
        leads to the same state.
    """
    oldest = Offset(0)
    if farthest:
        match await log.read(CONFIG_STREAM, oldest):
            case Success(page):
                return await _fold(log, State(), page)
            case Failure(LogError(fault=LogFault.EXPIRED) as expired):
                oldest = expired.oldest or oldest
            case Failure(error):
                return Failure(unavailable(error))
    base = await _find_base(log, oldest, farthest=farthest)
    return await and_then(
        base.alt(unavailable),
        lambda found: _resume(log, found or State()),
    )


async def _resume(
    log: PatientLog,
    base: State,
) -> Result[History, CliError]:
    page = await log.read(CONFIG_STREAM, Offset(base.offset + 1))
    return await and_then(
        page.alt(_unreadable),
        lambda found: _fold(log, base, found),
    )


def _unreadable(error: LogError) -> CliError:
    if error.fault is LogFault.EXPIRED:
        return _expired(error)
    return unavailable(error)


def _expired(expired: LogError) -> CliError:
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
    log: PatientLog,
    base: State,
    page: LogPage,
) -> Result[History, CliError]:
    history = History(base=base, state=base)
    while True:
        for entry in page.entries:
            history.take(entry)
        if history.state.offset + 1 >= page.end:
            return Success(history)
        following = Offset(history.state.offset + 1)
        match await log.read(CONFIG_STREAM, following):
            case Success(page):
                continue
            case Failure(error):
                return Failure(unavailable(error))


async def _find_base(
    log: PatientLog,
    oldest: Offset,
    *,
    farthest: bool,
) -> Result[State | None, LogError]:
    """Checkpoint that the record ``oldest`` or a later one follows."""
    count = MAX_CHECKPOINTS if farthest else LOOK_BACK
    found = await read_newest_records(log, CHECKPOINTS_STREAM, count)
    choose = min if farthest else max

    def choose_usable(entries: tuple[Entry, ...]) -> State | None:
        states = (read_checkpoint(entry.body) for entry in entries)
        usable = (
            state
            for state in states
            if state is not None and state.offset + 1 >= oldest
        )
        return choose(usable, key=_offset_of, default=None)

    return found.map(choose_usable)


def _offset_of(state: State) -> Offset:
    return state.offset


def read_checkpoint(body: bytes) -> State | None:
    """State of a checkpoint, or ``None`` when it cannot be read."""
    try:
        checkpoint = msgspec.msgpack.decode(body, type=CheckpointRecord)
    except msgspec.MsgspecError:
        return None
    return Configuration().restore(checkpoint.body).value_or(None)
