"""Loading and validation of ticket files, and reports of the results."""

from datetime import datetime
from pathlib import Path

from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.history import History
from verbenamill_cli.output import Report, format_time
from verbenamill_cli.publish import Published, predict_answer
from verbenamill_cli.ticket_diff import diff
from verbenamill_model import (
    Applied,
    Duplicate,
    Move,
    Refusal,
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
    """Report whether a ticket would be accepted now."""
    faults = find_faults(history.state.snapshot, ticket, now)
    match predict_answer(history, ticket, now=now):
        case Refusal(reason=reason):
            return Failure(_faults_error(ticket, faults or (reason,)))
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


def validate_form(ticket: Ticket) -> Result[Report, CliError]:
    """Check the properties of a ticket that do not depend on the log."""
    faults = find_form_faults(ticket)
    if faults:
        return Failure(_faults_error(ticket, faults))
    return Success(
        Report(
            data={'ticket': ticket.number, 'valid': None, 'form': True},
            lines=(
                f'the form of ticket {ticket.number} is good; give --log to '
                'check it against what is in force',
            ),
        ),
    )


def _faults_error(ticket: Ticket, faults: tuple[str, ...]) -> CliError:
    return CliError(
        code=ExitCode.FAULTY,
        message=f'ticket {ticket.number} would be refused',
        action='correct these and validate again; nothing was published',
        faults=faults,
    )


def format_published(published: Published) -> Report:
    """Format an accepted ticket and the moves that it began."""
    if published.repeated:
        outcome = 'was accepted before; nothing new was changed'
    else:
        outcome = f'accepted at offset {published.offset}'
    moves = (f'  {describe_move(move)}' for move in published.moves)
    hint = ('follow them with: verbenamill verdicts --follow',)
    return Report(
        data=published,
        lines=(
            f'ticket {published.ticket} {outcome}',
            *moves,
            *(hint if published.moves else ()),
        ),
    )


def describe_move(move: Move) -> str:
    """Describe a move in one line."""
    return (
        f'move {move.id}: {move.service} from {move.old} to {move.new} '
        f'by {format_time(move.deadline)} ({move.profile.value})'
    )
