"""``verbenamill``: the operators' command line."""

from pathlib import Path
from typing import Annotated

import trio
import typer
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from verbenamill_cli.audit import build_trail, report_trail, select
from verbenamill_cli.checks import check_file
from verbenamill_cli.daemons import Surveyed, find_members, survey
from verbenamill_cli.environment import Environment, need_url
from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.history import History, read_history
from verbenamill_cli.options import (
    DAEMON_VARIABLE,
    DEFAULT_TIMEOUT,
    AsJson,
    DaemonUrl,
    Found,
    LogUrl,
    Timeout,
    environment_of,
    run_on_log,
    run_with_log,
)
from verbenamill_cli.output import Report, finish, print_report
from verbenamill_cli.patience import PatientLog
from verbenamill_cli.results import and_then
from verbenamill_cli.status import report_status
from verbenamill_cli.story import Story, ask_daemon, find_story, report_story
from verbenamill_cli.ticket_commands import app as ticket_app
from verbenamill_cli.trail import Records, read_records
from verbenamill_cli.verdicts import (
    Follower,
    report_verdict,
    report_verdicts,
)
from verbenamill_model import AuditEntry, Move
from verbenamill_model.accept import MAX_HISTORY
from verbenamill_model.traffic import Member
from verbenamill_model.typing import Offset, VmId
from verbenamill_platform import Log

#: Daemons can be asked without the log, so status does not wait for it long.
STATUS_TIMEOUT: float = 2

_CODES = ', '.join(f'{code.value} {code.name.lower()}' for code in ExitCode)

app = typer.Typer(
    help='Publish numbered changes and read what became of them.',
    epilog=f'Exit codes: {_CODES}.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
_move_app = typer.Typer(help='Moves of services.', no_args_is_help=True)
_config_app = typer.Typer(help='Settings of daemons.', no_args_is_help=True)
app.add_typer(ticket_app, name='ticket')
app.add_typer(_move_app, name='move')
app.add_typer(_config_app, name='config')


@app.command('status')
def _status(
    context: typer.Context,
    daemon: DaemonUrl = '',
    log: LogUrl = '',
    timeout: Timeout = STATUS_TIMEOUT,
    show_all: Annotated[
        bool,
        typer.Option('--all', help='Name every daemon of a large fleet.'),
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Show what every daemon runs, which ones lag, and why."""
    environment = environment_of(context)

    def ask(url: str) -> Found:
        history, told = _read_log_if_any(context, log, timeout)
        surveyed = trio.run(_survey, environment, url)
        return surveyed.map(
            lambda found: report_status(
                found,
                history,
                told,
                show_all=show_all,
            ),
        )

    url = need_url(daemon, option='--daemon', variable=DAEMON_VARIABLE)
    finish(url.bind(ask), as_json=as_json)


def _read_log_if_any(
    context: typer.Context,
    url: str,
    timeout: float,
) -> tuple[History | None, str]:
    """The folded log, or ``None`` and what to say of it."""
    if not url:
        return None, 'not asked (give --log)'
    match run_with_log(context, url, timeout, read_history):
        case Success(History() as history):
            return history, 'answers'
        case Failure(CliError(message=message)):
            return None, message
    raise AssertionError('a result is a success or a failure')


async def _survey(
    environment: Environment,
    url: str,
) -> Result[list[Surveyed], CliError]:
    async with environment.open_client() as client:

        async def ask(
            members: dict[VmId, Member],
        ) -> Result[list[Surveyed], CliError]:
            return Success(await survey(client, members))

        return await and_then(await find_members(client, url), ask)


@app.command('verdicts')
def _verdicts(
    context: typer.Context,
    follow: Annotated[
        bool,
        typer.Option('--follow', help='Wait for more, until interrupted.'),
    ] = False,
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """List the verdicts of moves, newest last."""
    if follow:
        _follow(context, log, as_json)

    async def use(reader: PatientLog) -> Found:
        history = await read_history(reader)
        return history.map(lambda known: report_verdicts(known.verdicts()))

    finish(run_with_log(context, log, timeout, use), as_json=as_json)


def _follow(context: typer.Context, url: str, as_json: bool) -> None:
    environment = environment_of(context)

    async def use(log: Log) -> Found:
        await Follower(
            log,
            tell=lambda verdict: print_report(
                report_verdict(verdict),
                as_json=as_json,
            ),
            warn=lambda text: typer.echo(text, err=True),
            random=environment.random,
        ).run()
        raise AssertionError('a follower runs until it is cancelled')

    try:
        finish(run_on_log(environment, url, use), as_json=as_json)
    except KeyboardInterrupt:
        raise typer.Exit(ExitCode.OK) from None


@app.command('audit')
def _audit(
    context: typer.Context,
    ticket: Annotated[
        int | None,
        typer.Option('--ticket', help='Only of this ticket.'),
    ] = None,
    text: Annotated[
        str,
        typer.Option('--match', help='Only with this text or author.'),
    ] = '',
    last: Annotated[
        int,
        typer.Option('--last', min=0, help='The newest so many; 0 for all.'),
    ] = 50,
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """Tell who changed what, when, and by which ticket and move."""

    async def use(reader: PatientLog) -> Found:
        is_deep = last == 0 or last > MAX_HISTORY or ticket or text
        records = await read_records(reader, farthest=bool(is_deep))
        return records.map(show)

    def show(records: Records) -> Report:
        trail = build_trail(records.history, records.lines)
        wanted = select(trail, ticket=ticket, text=text, last=last)
        return report_trail(wanted)

    finish(run_with_log(context, log, timeout, use), as_json=as_json)


@_move_app.command('show')
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


@_config_app.command('check')
def _check(
    file: Annotated[Path, typer.Argument(help='Settings file of a daemon.')],
    as_json: AsJson = False,
) -> None:
    """Check a daemon's settings file whole, as the daemon does."""
    finish(check_file(file), as_json=as_json)


def main() -> None:
    """Entry point of ``verbenamill``."""
    app()
