"""``verbenamill ticket``: validate, publish, show and diff."""

from typing import Annotated

import typer

from verbenamill_cli.ticket_diff import diff
from verbenamill_cli.history import History, read_history
from verbenamill_cli.options import (
    DEFAULT_TIMEOUT,
    AsJson,
    Found,
    LogUrl,
    TicketFile,
    Timeout,
    environment_of,
    run_with_log,
)
from verbenamill_cli.output import Report, finish
from verbenamill_cli.retrying_log import PatientLog
from verbenamill_cli.publish import publish
from verbenamill_cli.ticket_lookup import show
from verbenamill_cli.tickets import (
    check_form,
    load_ticket,
    report_published,
    validate,
)
from verbenamill_model import Ticket
from verbenamill_model.typing import TicketNumber

app = typer.Typer(help='Numbered changes.', no_args_is_help=True)


@app.command('validate')
def _validate(
    context: typer.Context,
    file: TicketFile,
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """Say whether a ticket would be accepted; nothing is published.

    Without a log only its form is checked.
    """
    now = environment_of(context).clock.now()

    def check(ticket: Ticket) -> Found:
        if not log:
            return check_form(ticket)

        async def use(reader: PatientLog) -> Found:
            history = await read_history(reader)
            return history.bind(
                lambda known: validate(known, ticket, now=now),
            )

        return run_with_log(context, log, timeout, use)

    finish(load_ticket(file).bind(check), as_json=as_json)


@app.command('publish')
def _publish(
    context: typer.Context,
    file: TicketFile,
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """Publish a ticket and report whether it was accepted.

    Running it again with the same file is harmless.
    """
    now = environment_of(context).clock.now()

    def put(ticket: Ticket) -> Found:
        async def use(writer: PatientLog) -> Found:
            published = await publish(writer, ticket, now=now)
            return published.map(report_published)

        return run_with_log(context, log, timeout, use)

    finish(load_ticket(file).bind(put), as_json=as_json)


@app.command('show')
def _show(
    context: typer.Context,
    number: Annotated[int, typer.Argument(help='Number of the ticket.')],
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """Show a published ticket and what became of it."""

    async def use(reader: PatientLog) -> Found:
        history = await read_history(reader, farthest=True)
        return history.bind(
            lambda known: show(known, TicketNumber(number)),
        )

    finish(run_with_log(context, log, timeout, use), as_json=as_json)


@app.command('diff')
def _diff(
    context: typer.Context,
    file: TicketFile,
    log: LogUrl = '',
    timeout: Timeout = DEFAULT_TIMEOUT,
    as_json: AsJson = False,
) -> None:
    """Show what a ticket would change."""

    def compare(ticket: Ticket) -> Found:
        async def use(reader: PatientLog) -> Found:
            history = await read_history(reader)
            return history.map(lambda known: _report_diff(known, ticket))

        return run_with_log(context, log, timeout, use)

    finish(load_ticket(file).bind(compare), as_json=as_json)


def _report_diff(history: History, ticket: Ticket) -> Report:
    changes = diff(history.state.snapshot, ticket)
    version = history.state.snapshot.version
    return Report(
        data={'version': version, 'changes': changes},
        lines=(f'against version {version}:', *changes),
    )
