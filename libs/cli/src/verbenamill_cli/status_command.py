"""``verbenamill status``: asks every daemon and the log."""

from typing import Annotated

import trio
import typer
from returns.result import Failure, Result, Success

from verbenamill_cli.daemons import Surveyed, find_members, survey
from verbenamill_cli.environment import Environment, need_url
from verbenamill_cli.errors import CliError
from verbenamill_cli.history import History, read_history
from verbenamill_cli.options import (
    DAEMON_VARIABLE,
    AsJson,
    DaemonUrl,
    Found,
    LogUrl,
    Timeout,
    environment_of,
    run_with_log,
)
from verbenamill_cli.output import finish
from verbenamill_cli.results import and_then
from verbenamill_cli.status import report_status
from verbenamill_model.traffic import Member
from verbenamill_model.typing import VmId

#: Daemons can be asked without the log, so status does not wait for it long.
STATUS_TIMEOUT: float = 2


def status(
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
