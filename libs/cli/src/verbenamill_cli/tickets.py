"""Reading, checking and comparing of tickets."""

from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.history import History, Step
from verbenamill_cli.output import Report, show_time
from verbenamill_cli.publish import Published, predict, ticket_of
from verbenamill_model import (
    Answer,
    Changed,
    Move,
    Refusal,
    Repeated,
    Snapshot,
    Ticket,
    find_faults,
    find_form_faults,
    read_ticket,
)
from verbenamill_model.typing import Offset, TicketNumber


def load_ticket(path: Path) -> Result[Ticket, CliError]:
    """Read a ticket file."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure(
            CliError(
                code=ExitCode.FAULTY,
                message=f'{path} cannot be read: {error}',
                action='give the name of a ticket file; see examples/',
            ),
        )
    return read_ticket(text).alt(
        lambda faults: CliError(
            code=ExitCode.FAULTY,
            message=f'{path} is no ticket; {len(faults)} to correct',
            action='correct them all; examples/ has annotated tickets',
            faults=tuple(map(str, faults)),
        ),
    )


def validate(
    history: History,
    ticket: Ticket,
    *,
    now: datetime,
) -> Result[Report, CliError]:
    """Say whether a ticket would be accepted now."""
    faults = find_faults(history.state.snapshot, ticket, now)
    match predict(history, ticket, now=now):
        case Refusal(reason=reason):
            return Failure(_faulty(ticket, faults or (reason,)))
        case Repeated():
            text = f'ticket {ticket.number} is in force already'
        case Changed():
            text = f'ticket {ticket.number} would be accepted'
    changes = diff(history.state.snapshot, ticket)
    return Success(
        Report(
            data={'ticket': ticket.number, 'valid': True, 'changes': changes},
            lines=(text, *(f'  {change}' for change in changes)),
        ),
    )


def check_form(ticket: Ticket) -> Result[Report, CliError]:
    """Check what can be said of a ticket without the log."""
    faults = find_form_faults(ticket)
    if faults:
        return Failure(_faulty(ticket, faults))
    return Success(
        Report(
            data={'ticket': ticket.number, 'valid': None, 'form': True},
            lines=(
                f'the form of ticket {ticket.number} is good; give --log to '
                'check it against what is in force',
            ),
        ),
    )


def _faulty(ticket: Ticket, faults: tuple[str, ...]) -> CliError:
    return CliError(
        code=ExitCode.FAULTY,
        message=f'ticket {ticket.number} would be refused',
        action='correct these and validate again; nothing was published',
        faults=faults,
    )


def report_published(published: Published) -> Report:
    """Tell of an accepted ticket and the moves it began."""
    if published.repeated:
        place = 'was accepted before; nothing new was changed'
    else:
        place = f'accepted at offset {published.offset}'
    moves = (f'  {describe_move(move)}' for move in published.moves)
    hint = ('follow them with: verbenamill verdicts --follow',)
    return Report(
        data=published,
        lines=(
            f'ticket {published.ticket} {place}',
            *moves,
            *(hint if published.moves else ()),
        ),
    )


def describe_move(move: Move) -> str:
    """One line about a move."""
    return (
        f'move {move.id}: {move.service} from {move.old} to {move.new} '
        f'by {show_time(move.deadline)} ({move.profile.value})'
    )


def diff(snapshot: Snapshot, ticket: Ticket) -> tuple[str, ...]:
    """What a ticket would change in a snapshot, a line a resource."""
    return (
        *_diff_services(snapshot, ticket),
        *_diff_routes(snapshot, ticket),
        *(f'- service {name}' for name in ticket.remove_services),
        *(f'- route {name}' for name in ticket.remove_routes),
        *(f'! abort the move of service {name}' for name in ticket.aborts),
    )


def _diff_services(snapshot: Snapshot, ticket: Ticket) -> Iterator[str]:
    for wanted in ticket.services:
        known = snapshot.services.get(wanted.name)
        if known is None:
            yield f'+ service {wanted.name}: version {wanted.version}'
            continue
        changes = _diff_fields(known.service, wanted)
        if known.move is not None:
            changes += (f'ends move {known.move.id} as superseded',)
        if changes:
            yield f'~ service {wanted.name}: {"; ".join(changes)}'
        else:
            yield f'= service {wanted.name}'


def _diff_routes(snapshot: Snapshot, ticket: Ticket) -> Iterator[str]:
    for wanted in ticket.routes:
        known = snapshot.routes.get(wanted.name)
        if known is None:
            yield f'+ route {wanted.name}: {wanted.prefix} to {wanted.service}'
            continue
        changes = _diff_fields(known, wanted)
        if changes:
            yield f'~ route {wanted.name}: {"; ".join(changes)}'
        else:
            yield f'= route {wanted.name}'


def _diff_fields(before: Struct, after: Struct) -> tuple[str, ...]:
    old = msgspec.to_builtins(before)
    new = msgspec.to_builtins(after)
    return tuple(
        f'{name} {old[name]} -> {new[name]}'
        for name in new
        if old[name] != new[name]
    )


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
        case Changed():
            return 'accepted'
        case Repeated():
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
