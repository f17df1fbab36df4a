"""Timeline of one move, from its ticket to its verdict."""

from collections.abc import Iterator

import httpx
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.audit import list_known_moves
from verbenamill_cli.daemons import fetch
from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.history import History
from verbenamill_cli.output import Report, format_time
from verbenamill_cli.tickets import describe_move
from verbenamill_model import AuditEntry, Move, Verdict
from verbenamill_model.typing import Offset, VersionName
from verbenamill_moves import MoveState
from verbenamill_runtime.streams import AuditLine


class RunningMove(Struct, frozen=True, kw_only=True):
    """State of a running move as one daemon reports it.

    :param shares: share of each version in the calls that arrive at the
        daemon.
    """

    move: Move
    state: MoveState | None = None
    shares: dict[VersionName, float] = {}


class MoveTimeline(Struct, frozen=True, kw_only=True):
    """Everything that is known about a move.

    :param move: the move; ``None`` when its ticket and verdict have expired.
    :param opened: entry of the audit trail for the ticket.
    :param running: state from a daemon, if the move runs and one was asked.
    :param daemon: why there is no such state.
    """

    id: Offset
    move: Move | None
    opened: AuditEntry | None
    steps: tuple[AuditLine, ...]
    verdict: Verdict | None
    running: RunningMove | None = None
    daemon: str = ''


def build_timeline(
    history: History,
    lines: list[AuditLine],
    move_id: Offset,
) -> Result[MoveTimeline, CliError]:
    """Combine the ticket, steps and verdict of a move.

    :param move_id: id of the move, which is the offset of its ticket.
    """
    steps = tuple(line for line in lines if line.move == move_id)
    moves = {move.id: move for move in list_known_moves(history)}
    move = moves.get(move_id)
    if move is None and not steps:
        return Failure(_not_found(move_id, moves))
    opened = (line for line in history.audit() if line.offset == move_id)
    verdicts = (
        verdict for verdict in history.verdicts() if verdict.move.id == move_id
    )
    return Success(
        MoveTimeline(
            id=move_id,
            move=move,
            opened=next(opened, None),
            steps=steps,
            verdict=next(verdicts, None),
        ),
    )


def _not_found(move_id: Offset, moves: dict[Offset, Move]) -> CliError:
    same_ticket = [
        str(move.id)
        for move in moves.values()
        if int(move.ticket) == int(move_id)
    ]
    if same_ticket:
        action = (
            f'{move_id} is a ticket, and a move is named by the offset of '
            f'its ticket; this one began {", ".join(same_ticket)}'
        )
    elif moves:
        newest = ', '.join(map(str, sorted(moves)[-5:]))
        action = f'the newest moves are {newest}; `verbenamill audit` has all'
    else:
        action = 'no move is known yet; a ticket with a deadline begins one'
    return CliError(
        code=ExitCode.NOT_FOUND,
        message=f'move {move_id} is not known',
        action=action,
    )


async def fetch_running_move(
    client: httpx.AsyncClient,
    url: str,
    move: Offset,
) -> RunningMove | str:
    """Fetch the state of a running move, or the reason why there is none."""
    match await fetch(client, f'{url}/moves', list[RunningMove]):
        case Success(running):
            matching = (state for state in running if state.move.id == move)
            return next(matching, 'the daemon does not run this move')
        case Failure(reason):
            return f'the daemon at {url} {reason}'
    raise AssertionError('unreachable: neither Success nor Failure')


def format_timeline(timeline: MoveTimeline) -> Report:
    """Format the timeline in chronological order."""
    return Report(data=timeline, lines=tuple(_format_lines(timeline)))


def _format_lines(timeline: MoveTimeline) -> Iterator[str]:
    if timeline.move is None:
        yield f'move {timeline.id}: its ticket has expired from the log'
    else:
        yield describe_move(timeline.move)
        yield _format_ticket(timeline, timeline.move)
    for step in timeline.steps:
        yield f'{format_time(step.at)}  {step.vm}: {step.text}'
    if timeline.verdict is not None:
        verdict = timeline.verdict
        yield (
            f'{format_time(verdict.at)}  verdict: {verdict.kind.value}, '
            f'decided by {verdict.decided_by}: {verdict.reason}'
        )
    elif timeline.move is not None:
        yield 'no verdict yet: the move runs'
        yield from _format_running(timeline)


def _format_ticket(timeline: MoveTimeline, move: Move) -> str:
    start = f'{format_time(move.accepted_at)}  ticket {move.ticket} accepted'
    if timeline.opened is None:
        return start
    return f'{start}, of {timeline.opened.author}: {timeline.opened.text}'


def _format_running(timeline: MoveTimeline) -> Iterator[str]:
    if timeline.running is None:
        yield f'shares unknown: {timeline.daemon}'
        return
    shares = ', '.join(
        f'{version} {share:.0%}'
        for version, share in timeline.running.shares.items()
    )
    yield f'shares now, at the daemon that was asked: {shares}'
    yield from _format_state(timeline.running.state or MoveState())


def _format_state(state: MoveState) -> Iterator[str]:
    if state.veto:
        yield f'vetoed, so the new version gets no traffic: {state.reason}'
    stages = ', '.join(
        f'{zone} {stage}' for zone, stage in sorted(state.stages.items())
    )
    yield f'stage by availability zone: {stages or "none yet"}'
