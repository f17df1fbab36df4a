"""``verbenamill status``: queries every daemon and the log."""

from typing import Annotated

import trio
import typer
from returns.result import Failure, Result, Success

from verbenamill_cli.daemons import SurveyedDaemon, find_members, query_daemons
from verbenamill_cli.environment import Environment, require_url
from verbenamill_cli.errors import CliError
from verbenamill_cli.history import History, read_history
from verbenamill_cli.options import (
    DAEMON_VARIABLE,
    AsJson,
    DaemonUrl,
    LogUrl,
    ReportResult,
    Timeout,
    environment_of,
    run_with_log,
)
from verbenamill_cli.output import print_and_exit
from verbenamill_cli.results import bind_async
from verbenamill_cli.status import format_status
from verbenamill_model.traffic import Member
from verbenamill_model.typing import VmId

#: Default of ``--timeout``, in seconds. It is short because the daemons answer
#: without the log.
STATUS_TIMEOUT: float = 2


def status(
    context: typer.Context,
    daemon: DaemonUrl = '',
    log: LogUrl = '',
    timeout: Timeout = STATUS_TIMEOUT,
    show_all: Annotated[
        bool,
        typer.Option('--all', help='List every daemon of a large fleet.'),
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Show the version of every daemon, which ones lag, and why."""
    environment = environment_of(context)

    def report(url: str) -> ReportResult:
        history, log_state = _read_log_if_any(context, log, timeout)
        daemons = trio.run(_query_fleet, environment, url)
        return daemons.map(
            lambda surveyed: format_status(
                surveyed,
                history,
                log_state,
                show_all=show_all,
            ),
        )

    url = require_url(daemon, option='--daemon', variable=DAEMON_VARIABLE)
    print_and_exit(url.bind(report), as_json=as_json)


def _read_log_if_any(
    context: typer.Context,
    url: str,
    timeout: float,
) -> tuple[History | None, str]:
    """Fold the log.

    :returns: the history, ``None`` without an answer of the log, and a text
        that describes the state of the log.
    """
    if not url:
        return None, 'not asked (give --log)'
    match run_with_log(context, url, timeout, read_history):
        case Success(History() as history):
            return history, 'answers'
        case Failure(CliError(message=message)):
            return None, message
    raise AssertionError('unreachable: neither Success nor Failure')


async def _query_fleet(
    environment: Environment,
    url: str,
) -> Result[list[SurveyedDaemon], CliError]:
    async with environment.open_client() as client:

        async def query(
            members: dict[VmId, Member],
        ) -> Result[list[SurveyedDaemon], CliError]:
            return Success(await query_daemons(client, members))

        return await bind_async(await find_members(client, url), query)
