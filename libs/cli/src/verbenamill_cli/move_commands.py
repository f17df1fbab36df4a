"""``verbenamill move``: shows the timeline of one move."""

from typing import Annotated

import typer
from msgspec.structs import replace
from returns.result import Result, Success

from verbenamill_cli.audit_stream import read_records
from verbenamill_cli.environment import Environment
from verbenamill_cli.errors import CliError
from verbenamill_cli.move_timeline import (
    MoveTimeline,
    build_timeline,
    fetch_running_move,
    format_timeline,
)
from verbenamill_cli.options import (
    DEFAULT_TIMEOUT,
    AsJson,
    DaemonUrl,
    LogUrl,
    ReportResult,
    Timeout,
    environment_of,
    run_with_log,
)
from verbenamill_cli.output import print_and_exit
from verbenamill_cli.retrying_log import RetryingLog
from verbenamill_model import AuditEntry, Move
from verbenamill_model.typing import Offset

app = typer.Typer(help='Moves of services.', no_args_is_help=True)


@app.callback()
def _group() -> None:
    """Moves of services."""


@app.command('show')
def _show_move(
    context: typer.Context,
    move: Annotated[
        int,
        typer.Argument(help='Id of the move: the offset of its ticket.'),
    ],
    daemon: DaemonUrl = '',
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """Show the timeline of a move: ticket, stages, evidence and verdict."""
    environment = environment_of(context)

    async def read(reader: RetryingLog) -> ReportResult:
        timeline = await _find_timeline(reader, Offset(move))
        match timeline:
            case Success(MoveTimeline(verdict=None) as running):
                updated = await _add_running_state(environment, daemon, running)
                return Success(format_timeline(updated))
        return timeline.map(format_timeline)

    print_and_exit(run_with_log(context, log, timeout, read), as_json=as_json)


async def _find_timeline(
    reader: RetryingLog,
    move: Offset,
) -> Result[MoveTimeline, CliError]:
    """Search the newest records first, then as far back as the log allows."""
    recent = await _read_timeline(reader, move, from_oldest=False)
    match recent:
        case Success(MoveTimeline(move=Move(), opened=AuditEntry())):
            return recent
    return await _read_timeline(reader, move, from_oldest=True)


async def _read_timeline(
    reader: RetryingLog,
    move: Offset,
    *,
    from_oldest: bool,
) -> Result[MoveTimeline, CliError]:
    records = await read_records(reader, from_oldest=from_oldest)
    return records.bind(
        lambda found: build_timeline(found.history, found.lines, move),
    )


async def _add_running_state(
    environment: Environment,
    url: str,
    timeline: MoveTimeline,
) -> MoveTimeline:
    if not url:
        return replace(timeline, daemon='no daemon was asked (give --daemon)')
    async with environment.open_client() as client:
        match await fetch_running_move(client, url.rstrip('/'), timeline.id):
            case str(reason):
                return replace(timeline, daemon=reason)
            case running:
                return replace(timeline, running=running)
