"""Publishing of a ticket and detection of its outcome.

An append whose answer is lost may have taken effect, so the log is read
before the ticket is appended again.
"""

from datetime import datetime

import trio
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.history import FoldedRecord, History, read_history
from verbenamill_cli.results import bind_async
from verbenamill_cli.retrying_log import RetryingLog, log_unavailable
from verbenamill_model import (
    Answer,
    Applied,
    Duplicate,
    Entry,
    Move,
    Refusal,
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

    :param offset: offset of the accepted record; ``None`` when the audit trail
        no longer holds it.
    :param repeated: whether the change was in force before this command.
    :param moves: moves that the ticket began.
    """

    ticket: TicketNumber
    offset: Offset | None
    repeated: bool
    moves: tuple[Move, ...]


async def publish(
    log: RetryingLog,
    ticket: Ticket,
    *,
    now: datetime,
) -> Result[Published, CliError]:
    """Publish a ticket and report whether it was accepted.

    A ticket that would be refused now is not appended.
    """
    folded = await read_history(log)
    return await bind_async(
        folded,
        lambda history: _publish_after_check(log, history, ticket, now),
    )


async def _publish_after_check(
    log: RetryingLog,
    history: History,
    ticket: Ticket,
    now: datetime,
) -> Result[Published, CliError]:
    match predict_answer(history, ticket, now=now):
        case Refusal() as refusal:
            faults = find_faults(history.state.snapshot, ticket, now)
            return Failure(_refused_error(ticket, faults or (refusal.reason,)))
        case Duplicate():
            return Success(_already_published(history, ticket))
    return await _append(log, history, ticket)


def predict_answer(
    history: History,
    ticket: Ticket,
    *,
    now: datetime,
) -> Answer:
    """Compute the answer that a ticket would get if it were appended now."""
    entry = Entry(
        offset=Offset(history.state.offset + 1),
        at=now,
        body=encode_record(TicketRecord(ticket=ticket)),
    )
    _, answer = accept(history.state, entry)
    return answer


async def _append(
    log: RetryingLog,
    history: History,
    ticket: Ticket,
) -> Result[Published, CliError]:
    body = encode_record(TicketRecord(ticket=ticket))
    first_new = len(history.records)
    delays = log.retry_delays()
    may_be_on_log = False
    while True:
        appended = await log.append(CONFIG_STREAM, body)
        match appended:
            case Success(_) | Failure(LogError(fault=LogFault.UNKNOWN)):
                may_be_on_log = True
        if await _catch_up(log, history):
            for record in history.records[first_new:]:
                if decode_ticket(record) == ticket:
                    return _outcome_of(history, ticket, record)
        if log.is_timed_out:
            return Failure(_publish_error(ticket, appended, may_be_on_log))
        await trio.sleep(next(delays).total_seconds())


async def _catch_up(log: RetryingLog, history: History) -> bool:
    """Fold records appended since; false when the log does not answer."""
    while True:
        following = Offset(history.state.offset + 1)
        match await log.read(CONFIG_STREAM, following):
            case Success(page):
                for entry in page.entries:
                    history.fold(entry)
            case Failure(_):
                return False
        if history.state.offset + 1 >= page.end:
            return True


def decode_ticket(record: FoldedRecord) -> Ticket | None:
    """Decode the ticket of a record; ``None`` when it holds no ticket."""
    match decode_record(record.entry.body):
        case Success(TicketRecord(ticket=ticket)):
            return ticket
    return None


def _outcome_of(
    history: History,
    ticket: Ticket,
    record: FoldedRecord,
) -> Result[Published, CliError]:
    match record.answer:
        case Applied():
            return Success(
                Published(
                    ticket=ticket.number,
                    offset=record.entry.offset,
                    repeated=False,
                    moves=_moves_begun(history, record.entry.offset),
                ),
            )
        case Duplicate():
            return Success(_already_published(history, ticket))
        case Refusal() as refusal:
            return Failure(_refused_error(ticket, (refusal.reason,)))


def _moves_begun(history: History, offset: Offset) -> tuple[Move, ...]:
    running = (
        service.move
        for service in history.state.snapshot.services.values()
        if service.move is not None
    )
    settled = (verdict.move for verdict in history.verdicts())
    return tuple(move for move in (*running, *settled) if move.id == offset)


def _already_published(history: History, ticket: Ticket) -> Published:
    lines = (line for line in history.audit() if line.ticket == ticket.number)
    first = next((line.offset for line in lines), None)
    return Published(
        ticket=ticket.number,
        offset=first,
        repeated=True,
        moves=() if first is None else _moves_begun(history, first),
    )


def _refused_error(ticket: Ticket, reasons: tuple[str, ...]) -> CliError:
    return CliError(
        code=ExitCode.REFUSED,
        message=f'ticket {ticket.number} is refused',
        action=(
            'nothing was changed; correct the ticket, look at it with '
            '`verbenamill ticket diff FILE`, and publish it again'
        ),
        faults=reasons,
    )


def _publish_error(
    ticket: Ticket,
    last_append: Result[Offset, LogError],
    may_be_on_log: bool,
) -> CliError:
    match last_append:
        case Failure(error) if not may_be_on_log:
            return log_unavailable(error)
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
