"""Options that commands share, and functions that open the log."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Annotated, TypeVar

import trio
import typer
from returns.result import Result

from verbenamill_cli.environment import Environment, require_url
from verbenamill_cli.errors import CliError
from verbenamill_cli.output import Report
from verbenamill_cli.retrying_log import RetryingLog
from verbenamill_runtime import Log

LOG_VARIABLE = 'VERBENAMILL_LOG'
DAEMON_VARIABLE = 'VERBENAMILL_DAEMON'

LogUrl = Annotated[
    str,
    typer.Option('--log', envvar=LOG_VARIABLE, help='URL of the log service.'),
]
DaemonUrl = Annotated[
    str,
    typer.Option(
        '--daemon',
        envvar=DAEMON_VARIABLE,
        help='Admin URL of any daemon.',
    ),
]
AsJson = Annotated[
    bool,
    typer.Option('--json', help='Print JSON, one value per line.'),
]
Timeout = Annotated[
    float,
    typer.Option(
        '--timeout',
        min=0,
        help='Seconds for which calls to an unresponsive log are retried.',
    ),
]
TicketFile = Annotated[Path, typer.Argument(help='Ticket file in TOML.')]

#: Default of ``--timeout``, in seconds.
DEFAULT_TIMEOUT: float = 10

ReportResult = Result[Report, CliError]
Value = TypeVar('Value')
UseLog = Callable[[Log], Awaitable[Result[Value, CliError]]]
UseRetryingLog = Callable[[RetryingLog], Awaitable[Result[Value, CliError]]]


def environment_of(context: typer.Context) -> Environment:
    """Environment that a test passed in the context, else the real one."""
    return context.find_object(Environment) or Environment()


def run_with_log(
    context: typer.Context,
    url: str,
    timeout: float,
    use: UseRetryingLog[Value],
) -> Result[Value, CliError]:
    """Open the log and run ``use`` on it, with reads that are retried.

    :param timeout: time for all attempts of the command together, in seconds.
    """
    environment = environment_of(context)
    limit = timedelta(seconds=timeout)

    async def use_with_retries(log: Log) -> Result[Value, CliError]:
        retrying = RetryingLog(log, limit=limit, random=environment.random)
        return await use(retrying)

    return run_on_log(environment, url, use_with_retries)


def run_on_log(
    environment: Environment,
    url: str,
    use: UseLog[Value],
) -> Result[Value, CliError]:
    """Open the log and run ``use`` on it, without retries or a time limit."""

    async def run(checked_url: str) -> Result[Value, CliError]:
        async with environment.open_log(checked_url) as log:
            return await use(log)

    checked = require_url(url, option='--log', variable=LOG_VARIABLE)
    return checked.bind(lambda valid_url: trio.run(run, valid_url))
