"""Lookup of tickets on the log and their outcome."""

from collections.abc import Iterator
from datetime import datetime

from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.history import FoldedRecord, History
from verbenamill_cli.output import Report, format_time
from verbenamill_cli.publish import decode_ticket
from verbenamill_cli.ticket_diff import diff
from verbenamill_model import (
    Answer,
    Applied,
    Duplicate,
    Refusal,
    Snapshot,
    Ticket,
)
from verbenamill_model.typing import Offset, TicketNumber


class TicketOnLog(Struct, frozen=True, kw_only=True):
    """A ticket on the log and its outcome."""

    offset: Offset
    at: datetime
    outcome: str
    ticket: Ticket


def find_ticket_records(
    history: History,
    number: TicketNumber,
) -> tuple[TicketOnLog, ...]:
    """Find all records on the log that hold a ticket with this number."""
    return tuple(_iterate_tickets(history, number))


def _iterate_tickets(
    history: History,
    number: TicketNumber,
) -> Iterator[TicketOnLog]:
    for record in history.records:
        ticket = decode_ticket(record)
        if ticket is not None and ticket.number == number:
            yield _convert_record(record, ticket)


def _convert_record(record: FoldedRecord, ticket: Ticket) -> TicketOnLog:
    return TicketOnLog(
        offset=record.entry.offset,
        at=record.entry.at,
        outcome=describe_outcome(record.answer),
        ticket=ticket,
    )


def describe_outcome(answer: Answer) -> str:
    """Describe the outcome of a record in a few words."""
    match answer:
        case Applied():
            return 'accepted'
        case Duplicate():
            return 'repeated; changed nothing'
        case Refusal(reason=reason):
            return f'refused: {reason}'


def report_ticket(
    history: History,
    number: TicketNumber,
) -> Result[Report, CliError]:
    """Report all records of a ticket, or its audit trail if they expired."""
    tickets = find_ticket_records(history, number)
    if tickets:
        return Success(
            Report(
                data=tickets,
                lines=tuple(
                    line for shown in tickets for line in _format_ticket(shown)
                ),
            ),
        )
    return _report_expired_ticket(history, number)


def _format_ticket(shown: TicketOnLog) -> Iterator[str]:
    yield (
        f'ticket {shown.ticket.number} at offset {shown.offset}, '
        f'{format_time(shown.at)}, {shown.outcome}'
    )
    yield f'author: {shown.ticket.author}'
    if shown.ticket.note:
        yield f'note: {shown.ticket.note}'
    yield from (f'  {change}' for change in diff(Snapshot(), shown.ticket))


def _report_expired_ticket(
    history: History,
    number: TicketNumber,
) -> Result[Report, CliError]:
    lines = tuple(line for line in history.base.audit if line.ticket == number)
    if not lines:
        return Failure(
            CliError(
                code=ExitCode.NOT_FOUND,
                message=f'ticket {number} is not on the log',
                action='`verbenamill audit` lists the tickets that are known',
            ),
        )
    return Success(
        Report(
            data=lines,
            lines=(
                f'ticket {number} has expired from the log; its audit trail:',
                *(
                    f'{format_time(line.at)}  {line.author}: {line.text}'
                    for line in lines
                ),
            ),
        ),
    )
