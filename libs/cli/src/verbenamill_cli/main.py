"""``verbenamill``: the operators' command line."""

from pathlib import Path
from typing import Annotated

import typer

from verbenamill_cli.audit import build_trail, report_trail, select
from verbenamill_cli.checks import check_file
from verbenamill_cli.errors import ExitCode
from verbenamill_cli.request_trace import explain
from verbenamill_cli.fleet_commands import app as fleet_app
from verbenamill_cli.history import read_history
from verbenamill_cli.move_commands import app as move_app
from verbenamill_cli.options import (
    DEFAULT_TIMEOUT,
    AsJson,
    Found,
    LogUrl,
    Timeout,
    environment_of,
    run_on_log,
    run_with_log,
)
from verbenamill_cli.output import Report, finish, print_report
from verbenamill_cli.retrying_log import PatientLog
from verbenamill_cli.status_command import status
from verbenamill_cli.ticket_commands import app as ticket_app
from verbenamill_cli.audit_stream import Records, read_records
from verbenamill_cli.verdicts import (
    Follower,
    report_verdict,
    report_verdicts,
)
from verbenamill_model.accept import MAX_HISTORY
from verbenamill_runtime import Log

_CODES = ', '.join(
    f'{code.value} {code.name.lower().replace("_", " ")}' for code in ExitCode
)

app = typer.Typer(
    help='Publish numbered changes and read what became of them.',
    epilog=f'Exit codes: {_CODES}.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
_config_app = typer.Typer(help='Settings of daemons.', no_args_is_help=True)
app.add_typer(ticket_app, name='ticket')
app.add_typer(move_app, name='move')
app.add_typer(fleet_app, name='fleet')
app.add_typer(_config_app, name='config')
app.command('status')(status)


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


@app.command('explain')
def _explain(
    request: Annotated[str, typer.Argument(help='Id of the request.')],
    files: Annotated[
        list[Path],
        typer.Argument(help='Logs of daemons in JSON; - reads the input.'),
    ],
    as_json: AsJson = False,
) -> None:
    """Tell what became of a request, who decided it and on what belief."""
    finish(explain(request, files), as_json=as_json)


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
