"""Ticket files, and whether they would be accepted."""

from datetime import datetime
from pathlib import Path

from returns.result import Failure, Result, Success

from verbenamill_cli.ticket_diff import diff
from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.history import History
from verbenamill_cli.output import Report, show_time
from verbenamill_cli.publish import Published, predict
from verbenamill_model import (
    Applied,
    Move,
    Refusal,
    Duplicate,
    Ticket,
    find_faults,
    find_form_faults,
    read_ticket,
)


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
        case Duplicate():
            text = f'ticket {ticket.number} is in force already'
        case Applied():
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
