"""Publishing of a ticket, and what became of it.

An append whose answer is lost may have taken effect, so the log is read
before anything is appended again.
"""

from datetime import datetime

import trio
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.history import History, Step, read_history
from verbenamill_cli.retrying_log import PatientLog, unavailable
from verbenamill_cli.results import and_then
from verbenamill_model import (
    Answer,
    Applied,
    Entry,
    Move,
    Refusal,
    Duplicate,
    Ticket,
    TicketRecord,
    accept,
    decode_record,
    encode_record,
    find_faults,
)
from verbenamill_model.typing import Offset, TicketNumber
from verbenamill_runtime import LogError, LogFault
from verbenamill_runtime.streams import CONFIG_STREAM


class Published(Struct, frozen=True, kw_only=True):
    """An accepted ticket.

    :param offset: where the accepted record stands; ``None`` when it is
        long ago.
    :param repeated: whether the change was in force before this command.
    :param moves: moves that it began.
    """

    ticket: TicketNumber
    offset: Offset | None
    repeated: bool
    moves: tuple[Move, ...]


async def publish(
    log: PatientLog,
    ticket: Ticket,
    *,
    now: datetime,
) -> Result[Published, CliError]:
    """Publish a ticket and report whether it was accepted.

    A ticket that would be refused now is not appended at all.
    """
    history = await read_history(log)
    return await and_then(history, lambda known: _try(log, known, ticket, now))


async def _try(
    log: PatientLog,
    known: History,
    ticket: Ticket,
    now: datetime,
) -> Result[Published, CliError]:
    match predict(known, ticket, now=now):
        case Refusal() as refusal:
            faults = find_faults(known.state.snapshot, ticket, now)
            return Failure(_refused(ticket, faults or (refusal.reason,)))
        case Duplicate():
            return Success(_repeated(known, ticket))
    return await _append(log, known, ticket)


def predict(history: History, ticket: Ticket, *, now: datetime) -> Answer:
    """What would become of a ticket that were appended now."""
    entry = Entry(
        offset=Offset(history.state.offset + 1),
        at=now,
        body=encode_record(TicketRecord(ticket=ticket)),
    )
    _, answer = accept(history.state, entry)
    return answer


async def _append(
    log: PatientLog,
    history: History,
    ticket: Ticket,
) -> Result[Published, CliError]:
    body = encode_record(TicketRecord(ticket=ticket))
    before = len(history.steps)
    waits = log.waits()
    may_be_there = False
    while True:
        appended = await log.append(CONFIG_STREAM, body)
        match appended:
            case Success(_) | Failure(LogError(fault=LogFault.UNKNOWN)):
                may_be_there = True
        if await _catch_up(log, history):
            for step in history.steps[before:]:
                if ticket_of(step) == ticket:
                    return _outcome(history, ticket, step)
        if log.is_over:
            return Failure(_not_published(ticket, appended, may_be_there))
        await trio.sleep(next(waits).total_seconds())


async def _catch_up(log: PatientLog, history: History) -> bool:
    """Fold what was appended since; false when the log does not answer."""
    while True:
        following = Offset(history.state.offset + 1)
        match await log.read(CONFIG_STREAM, following):
            case Success(page):
                for entry in page.entries:
                    history.take(entry)
            case Failure(_):
                return False
        if history.state.offset + 1 >= page.end:
            return True


def ticket_of(step: Step) -> Ticket | None:
    """The ticket that a record carries, if it is one."""
    match decode_record(step.entry.body):
        case Success(TicketRecord(ticket=ticket)):
            return ticket
    return None


def _outcome(
    history: History,
    ticket: Ticket,
    step: Step,
) -> Result[Published, CliError]:
    match step.answer:
        case Applied():
            return Success(
                Published(
                    ticket=ticket.number,
                    offset=step.entry.offset,
                    repeated=False,
                    moves=_moves_begun(history, step.entry.offset),
                ),
            )
        case Duplicate():
            return Success(_repeated(history, ticket))
        case Refusal() as refusal:
            return Failure(_refused(ticket, (refusal.reason,)))


def _moves_begun(history: History, offset: Offset) -> tuple[Move, ...]:
    running = (
        known.move
        for known in history.state.snapshot.services.values()
        if known.move is not None
    )
    settled = (verdict.move for verdict in history.verdicts())
    return tuple(move for move in (*running, *settled) if move.id == offset)


def _repeated(history: History, ticket: Ticket) -> Published:
    lines = (line for line in history.audit() if line.ticket == ticket.number)
    first = next((line.offset for line in lines), None)
    return Published(
        ticket=ticket.number,
        offset=first,
        repeated=True,
        moves=() if first is None else _moves_begun(history, first),
    )


def _refused(ticket: Ticket, reasons: tuple[str, ...]) -> CliError:
    return CliError(
        code=ExitCode.REFUSED,
        message=f'ticket {ticket.number} is refused',
        action=(
            'nothing was changed; correct the ticket, look at it with '
            '`verbenamill ticket diff FILE`, and publish it again'
        ),
        faults=reasons,
    )


def _not_published(
    ticket: Ticket,
    last: Result[Offset, LogError],
    may_be_there: bool,
) -> CliError:
    match last:
        case Failure(error) if not may_be_there:
            return unavailable(error)
    return CliError(
        code=ExitCode.UNKNOWN,
        message=(
            f'ticket {ticket.number} may be on the log: an answer was lost '
            'and the log could not be read since'
        ),
        action=(
            'run the same command again with the same file; a ticket that '
            'is there already is recognised and takes no effect twice'
        ),
    )
