"""Tickets as they stand on the log, and what became of them."""

from collections.abc import Iterator
from datetime import datetime

from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.ticket_diff import diff
from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.history import History, Step
from verbenamill_cli.output import Report, show_time
from verbenamill_cli.publish import ticket_of
from verbenamill_model import (
    Answer,
    Applied,
    Refusal,
    Duplicate,
    Snapshot,
    Ticket,
)
from verbenamill_model.typing import Offset, TicketNumber


class ShownTicket(Struct, frozen=True, kw_only=True):
    """A ticket on the log and what became of it."""

    offset: Offset
    at: datetime
    outcome: str
    ticket: Ticket


def find_tickets(
    history: History,
    number: TicketNumber,
) -> tuple[ShownTicket, ...]:
    """All records on the log that carry a ticket of this number."""
    return tuple(_shown_tickets(history, number))


def _shown_tickets(
    history: History,
    number: TicketNumber,
) -> Iterator[ShownTicket]:
    for step in history.steps:
        ticket = ticket_of(step)
        if ticket is not None and ticket.number == number:
            yield _shown(step, ticket)


def _shown(step: Step, ticket: Ticket) -> ShownTicket:
    return ShownTicket(
        offset=step.entry.offset,
        at=step.entry.at,
        outcome=describe_answer(step.answer),
        ticket=ticket,
    )


def describe_answer(answer: Answer) -> str:
    """What became of a record, in a few words."""
    match answer:
        case Applied():
            return 'accepted'
        case Duplicate():
            return 'repeated; changed nothing'
        case Refusal(reason=reason):
            return f'refused: {reason}'


def show(
    history: History,
    number: TicketNumber,
) -> Result[Report, CliError]:
    """Show a ticket as it stands on the log."""
    found = find_tickets(history, number)
    if found:
        return Success(
            Report(
                data=found,
                lines=tuple(
                    line for shown in found for line in _show_lines(shown)
                ),
            ),
        )
    return _show_expired(history, number)


def _show_lines(shown: ShownTicket) -> Iterator[str]:
    yield (
        f'ticket {shown.ticket.number} at offset {shown.offset}, '
        f'{show_time(shown.at)}, {shown.outcome}'
    )
    yield f'author: {shown.ticket.author}'
    if shown.ticket.note:
        yield f'note: {shown.ticket.note}'
    yield from (f'  {change}' for change in diff(Snapshot(), shown.ticket))


def _show_expired(
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
                    f'{show_time(line.at)}  {line.author}: {line.text}'
                    for line in lines
                ),
            ),
        ),
    )
