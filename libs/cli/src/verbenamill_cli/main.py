"""Entry point and top-level commands of ``verbenamill``."""

from pathlib import Path
from typing import Annotated

import typer

from verbenamill_cli.audit import build_audit_trail, filter_trail, format_trail
from verbenamill_cli.audit_stream import LogRecords, read_records
from verbenamill_cli.checks import check_settings_file
from verbenamill_cli.errors import ExitCode
from verbenamill_cli.fleet_commands import app as fleet_app
from verbenamill_cli.history import read_history
from verbenamill_cli.move_commands import app as move_app
from verbenamill_cli.options import (
    DEFAULT_TIMEOUT,
    AsJson,
    LogUrl,
    ReportResult,
    Timeout,
    environment_of,
    run_on_log,
    run_with_log,
)
from verbenamill_cli.output import Report, print_and_exit, print_report
from verbenamill_cli.request_trace import explain
from verbenamill_cli.retrying_log import RetryingLog
from verbenamill_cli.status_command import status
from verbenamill_cli.ticket_commands import app as ticket_app
from verbenamill_cli.verdicts import (
    VerdictFollower,
    format_verdict,
    format_verdicts,
)
from verbenamill_model.accept import MAX_HISTORY
from verbenamill_runtime import Log

_EXIT_CODES = ', '.join(
    f'{code.value} {code.name.lower().replace("_", " ")}' for code in ExitCode
)

app = typer.Typer(
    help='Publish numbered changes (tickets) and read their outcome.',
    epilog=f'Exit codes: {_EXIT_CODES}.',
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
        typer.Option(
            '--follow',
            help='Wait for further verdicts until interrupted.',
        ),
    ] = False,
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """List the verdicts of moves, newest last."""
    if follow:
        _follow(context, log, as_json)

    async def read(reader: RetryingLog) -> ReportResult:
        history = await read_history(reader)
        return history.map(lambda folded: format_verdicts(folded.verdicts()))

    print_and_exit(run_with_log(context, log, timeout, read), as_json=as_json)


def _follow(context: typer.Context, url: str, as_json: bool) -> None:
    environment = environment_of(context)

    async def follow_verdicts(log: Log) -> ReportResult:
        await VerdictFollower(
            log,
            on_verdict=lambda verdict: print_report(
                format_verdict(verdict),
                as_json=as_json,
            ),
            on_warning=lambda text: typer.echo(text, err=True),
            random=environment.random,
        ).run()
        raise AssertionError('the follower returned without being cancelled')

    try:
        print_and_exit(
            run_on_log(environment, url, follow_verdicts),
            as_json=as_json,
        )
    except KeyboardInterrupt:
        raise typer.Exit(ExitCode.OK) from None


@app.command('audit')
def _audit(
    context: typer.Context,
    ticket: Annotated[
        int | None,
        typer.Option('--ticket', help='Show only entries of this ticket.'),
    ] = None,
    text: Annotated[
        str,
        typer.Option(
            '--match',
            help='Show only entries whose text or author contains this.',
        ),
    ] = '',
    last: Annotated[
        int,
        typer.Option(
            '--last',
            min=0,
            help='Number of newest entries to show; 0 shows all.',
        ),
    ] = 50,
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """Show who changed what, when, and by which ticket and move."""

    async def read(reader: RetryingLog) -> ReportResult:
        needs_old_records = last == 0 or last > MAX_HISTORY or ticket or text
        records = await read_records(
            reader,
            from_oldest=bool(needs_old_records),
        )
        return records.map(format_selected)

    def format_selected(records: LogRecords) -> Report:
        trail = build_audit_trail(records.history, records.lines)
        selected = filter_trail(trail, ticket=ticket, text=text, last=last)
        return format_trail(selected)

    print_and_exit(run_with_log(context, log, timeout, read), as_json=as_json)


@app.command('explain')
def _explain(
    request: Annotated[str, typer.Argument(help='Id of the request.')],
    files: Annotated[
        list[Path],
        typer.Argument(
            help='Log files of daemons in JSON; - reads standard input.',
        ),
    ],
    as_json: AsJson = False,
) -> None:
    """Show the outcome of a request, which daemon decided it, and why."""
    print_and_exit(explain(request, files), as_json=as_json)


@_config_app.command('check')
def _check(
    file: Annotated[Path, typer.Argument(help='Settings file of a daemon.')],
    as_json: AsJson = False,
) -> None:
    """Check a daemon's settings file in full, as the daemon does."""
    print_and_exit(check_settings_file(file), as_json=as_json)


def main() -> None:
    """Entry point of ``verbenamill``."""
    app()
