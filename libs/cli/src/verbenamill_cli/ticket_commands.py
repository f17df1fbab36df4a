"""``verbenamill ticket``: validates, publishes, shows and diffs tickets."""

from typing import Annotated

import typer

from verbenamill_cli.history import History, read_history
from verbenamill_cli.options import (
    DEFAULT_TIMEOUT,
    AsJson,
    LogUrl,
    ReportResult,
    TicketFile,
    Timeout,
    environment_of,
    run_with_log,
)
from verbenamill_cli.output import Report, print_and_exit
from verbenamill_cli.publish import publish
from verbenamill_cli.retrying_log import RetryingLog
from verbenamill_cli.ticket_diff import diff
from verbenamill_cli.ticket_lookup import report_ticket
from verbenamill_cli.tickets import (
    format_published,
    load_ticket,
    validate,
    validate_form,
)
from verbenamill_model import Ticket
from verbenamill_model.typing import TicketNumber

app = typer.Typer(help='Numbered changes (tickets).', no_args_is_help=True)


@app.command('validate')
def _validate(
    context: typer.Context,
    file: TicketFile,
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """Check whether a ticket would be accepted, without publishing it.

    Without a log, only the form of the ticket is checked.
    """
    now = environment_of(context).clock.now()

    def check(ticket: Ticket) -> ReportResult:
        if not log:
            return validate_form(ticket)

        async def read(reader: RetryingLog) -> ReportResult:
            history = await read_history(reader)
            return history.bind(
                lambda folded: validate(folded, ticket, now=now),
            )

        return run_with_log(context, log, timeout, read)

    print_and_exit(load_ticket(file).bind(check), as_json=as_json)


@app.command('publish')
def _publish(
    context: typer.Context,
    file: TicketFile,
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """Publish a ticket and report whether it was accepted.

    Running the command again with the same file is safe.
    """
    now = environment_of(context).clock.now()

    def publish_ticket(ticket: Ticket) -> ReportResult:
        async def write(writer: RetryingLog) -> ReportResult:
            published = await publish(writer, ticket, now=now)
            return published.map(format_published)

        return run_with_log(context, log, timeout, write)

    print_and_exit(load_ticket(file).bind(publish_ticket), as_json=as_json)


@app.command('show')
def _show(
    context: typer.Context,
    number: Annotated[int, typer.Argument(help='Number of the ticket.')],
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """Show a published ticket and its outcome."""

    async def read(reader: RetryingLog) -> ReportResult:
        history = await read_history(reader, from_oldest=True)
        return history.bind(
            lambda folded: report_ticket(folded, TicketNumber(number)),
        )

    print_and_exit(run_with_log(context, log, timeout, read), as_json=as_json)


@app.command('diff')
def _diff(
    context: typer.Context,
    file: TicketFile,
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """Show what a ticket would change."""

    def compare(ticket: Ticket) -> ReportResult:
        async def read(reader: RetryingLog) -> ReportResult:
            history = await read_history(reader)
            return history.map(lambda folded: _report_diff(folded, ticket))

        return run_with_log(context, log, timeout, read)

    print_and_exit(load_ticket(file).bind(compare), as_json=as_json)


def _report_diff(history: History, ticket: Ticket) -> Report:
    changes = diff(history.state.snapshot, ticket)
    version = history.state.snapshot.version
    return Report(
        data={'version': version, 'changes': changes},
        lines=(f'against version {version}:', *changes),
    )
