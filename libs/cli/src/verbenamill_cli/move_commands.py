"""``verbenamill move``: the story of one move."""

from typing import Annotated

import typer
from msgspec.structs import replace
from returns.result import Result, Success

from verbenamill_cli.environment import Environment
from verbenamill_cli.errors import CliError
from verbenamill_cli.options import (
    DEFAULT_TIMEOUT,
    AsJson,
    DaemonUrl,
    Found,
    LogUrl,
    Timeout,
    environment_of,
    run_with_log,
)
from verbenamill_cli.output import finish
from verbenamill_cli.retrying_log import PatientLog
from verbenamill_cli.move_timeline import (
    Story,
    ask_daemon,
    find_story,
    report_story,
)
from verbenamill_cli.audit_stream import read_records
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
    """Tell the story of a move: ticket, stages, evidence and verdict."""
    environment = environment_of(context)

    async def use(reader: PatientLog) -> Found:
        story = await _find_story(reader, Offset(move))
        match story:
            case Success(Story(verdict=None) as running):
                asked = await _add_running(environment, daemon, running)
                return Success(report_story(asked))
        return story.map(report_story)

    finish(run_with_log(context, log, timeout, use), as_json=as_json)


async def _find_story(
    reader: PatientLog,
    move: Offset,
) -> Result[Story, CliError]:
    """Look among the newest moves first, then as far back as it goes."""
    near = await _read_story(reader, move, farthest=False)
    match near:
        case Success(Story(move=Move(), opened=AuditEntry())):
            return near
    return await _read_story(reader, move, farthest=True)


async def _read_story(
    reader: PatientLog,
    move: Offset,
    *,
    farthest: bool,
) -> Result[Story, CliError]:
    records = await read_records(reader, farthest=farthest)
    return records.bind(
        lambda known: find_story(known.history, known.lines, move),
    )


async def _add_running(
    environment: Environment,
    url: str,
    story: Story,
) -> Story:
    if not url:
        return replace(story, daemon='no daemon was asked (give --daemon)')
    async with environment.open_client() as client:
        match await ask_daemon(client, url.rstrip('/'), story.id):
            case str(reason):
                return replace(story, daemon=reason)
            case running:
                return replace(story, running=running)
