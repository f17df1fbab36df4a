"""The whole story of one move, in order."""

from collections.abc import Iterator

import httpx
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.audit import known_moves
from verbenamill_cli.daemons import fetch
from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.history import History
from verbenamill_cli.output import Report, show_time
from verbenamill_cli.tickets import describe_move
from verbenamill_model import AuditEntry, Move, Verdict
from verbenamill_model.typing import Offset, VersionName
from verbenamill_moves import MoveState
from verbenamill_runtime.streams import AuditLine


class RunningMove(Struct, frozen=True, kw_only=True):
    """What a daemon knows of a running move.

    :param shares: share of each version in the calls that arrive there.
    """

    move: Move
    state: MoveState | None = None
    shares: dict[VersionName, float] = {}


class Story(Struct, frozen=True, kw_only=True):
    """Everything known of a move.

    :param move: ``None`` when its ticket and verdict have expired.
    :param opened: the audit trail's line of the ticket.
    :param running: a daemon's view, when it runs and a daemon was asked.
    :param daemon: why there is no such view.
    """

    id: Offset
    move: Move | None
    opened: AuditEntry | None
    steps: tuple[AuditLine, ...]
    verdict: Verdict | None
    running: RunningMove | None = None
    daemon: str = ''


def find_story(
    history: History,
    lines: list[AuditLine],
    wanted: Offset,
) -> Result[Story, CliError]:
    """Join ticket, steps and verdict of a move.

    :param wanted: the move's id, the offset of its ticket.
    """
    steps = tuple(line for line in lines if line.move == wanted)
    moves = {move.id: move for move in known_moves(history)}
    move = moves.get(wanted)
    if move is None and not steps:
        return Failure(_not_found(wanted, moves))
    opened = (line for line in history.audit() if line.offset == wanted)
    ended = (known for known in history.verdicts() if known.move.id == wanted)
    return Success(
        Story(
            id=wanted,
            move=move,
            opened=next(opened, None),
            steps=steps,
            verdict=next(ended, None),
        ),
    )


def _not_found(wanted: Offset, moves: dict[Offset, Move]) -> CliError:
    same_ticket = [
        str(move.id)
        for move in moves.values()
        if int(move.ticket) == int(wanted)
    ]
    if same_ticket:
        action = (
            f'{wanted} is a ticket, and a move is named by the offset of '
            f'its ticket; this one began {", ".join(same_ticket)}'
        )
    elif moves:
        newest = ', '.join(map(str, sorted(moves)[-5:]))
        action = f'the newest moves are {newest}; `verbenamill audit` has all'
    else:
        action = 'no move is known yet; a ticket with a deadline begins one'
    return CliError(
        code=ExitCode.NOT_FOUND,
        message=f'move {wanted} is not known',
        action=action,
    )


async def ask_daemon(
    client: httpx.AsyncClient,
    url: str,
    move: Offset,
) -> RunningMove | str:
    """A daemon's view of a running move, or why there is none."""
    match await fetch(client, f'{url}/moves', list[RunningMove]):
        case Success(running):
            found = (known for known in running if known.move.id == move)
            return next(found, 'the daemon does not run this move')
        case Failure(reason):
            return f'the daemon at {url} {reason}'
    raise AssertionError('a result is a success or a failure')


def report_story(story: Story) -> Report:
    """Tell the story in the order of time."""
    return Report(data=story, lines=tuple(_tell(story)))


def _tell(story: Story) -> Iterator[str]:
    if story.move is None:
        yield f'move {story.id}: its ticket has expired from the log'
    else:
        yield describe_move(story.move)
        yield _tell_ticket(story, story.move)
    for step in story.steps:
        yield f'{show_time(step.at)}  {step.vm}: {step.text}'
    if story.verdict is not None:
        verdict = story.verdict
        yield (
            f'{show_time(verdict.at)}  verdict: {verdict.kind.value}, '
            f'decided by {verdict.decided_by}: {verdict.reason}'
        )
    elif story.move is not None:
        yield 'no verdict yet: the move runs'
        yield from _tell_running(story)


def _tell_ticket(story: Story, move: Move) -> str:
    start = f'{show_time(move.accepted_at)}  ticket {move.ticket} accepted'
    if story.opened is None:
        return start
    return f'{start}, of {story.opened.author}: {story.opened.text}'


def _tell_running(story: Story) -> Iterator[str]:
    if story.running is None:
        yield f'shares unknown: {story.daemon}'
        return
    shares = ', '.join(
        f'{version} {share:.0%}'
        for version, share in story.running.shares.items()
    )
    yield f'shares now, at the daemon that was asked: {shares}'
    yield from _tell_state(story.running.state or MoveState())


def _tell_state(state: MoveState) -> Iterator[str]:
    if state.veto:
        yield f'vetoed, so the new version gets no traffic: {state.reason}'
    stages = ', '.join(
        f'{zone} {stage}' for zone, stage in sorted(state.stages.items())
    )
    yield f'stage by availability zone: {stages or "none yet"}'
