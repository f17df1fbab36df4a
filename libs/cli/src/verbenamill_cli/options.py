"""Options that commands share, and how a command reaches the log."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Annotated, TypeVar

import trio
import typer
from returns.result import Result

from verbenamill_cli.environment import Environment, need_url
from verbenamill_cli.errors import CliError
from verbenamill_cli.output import Report
from verbenamill_cli.retrying_log import PatientLog
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
    typer.Option('--json', help='Answer in JSON, one value a line.'),
]
Timeout = Annotated[
    float,
    typer.Option(
        '--timeout',
        min=0,
        help='Seconds for which a log that does not answer is tried.',
    ),
]
TicketFile = Annotated[Path, typer.Argument(help='Ticket in TOML.')]

DEFAULT_TIMEOUT: float = 10

Found = Result[Report, CliError]
Read = TypeVar('Read')
UseLog = Callable[[Log], Awaitable[Result[Read, CliError]]]
UsePatientLog = Callable[[PatientLog], Awaitable[Result[Read, CliError]]]


def environment_of(context: typer.Context) -> Environment:
    """What the command reaches the world by."""
    return context.find_object(Environment) or Environment()


def run_with_log(
    context: typer.Context,
    url: str,
    timeout: float,
    use: UsePatientLog[Read],
) -> Result[Read, CliError]:
    """Open the log and let a command use it."""
    environment = environment_of(context)
    limit = timedelta(seconds=timeout)

    async def use_patiently(log: Log) -> Result[Read, CliError]:
        patient = PatientLog(log, limit=limit, random=environment.random)
        return await use(patient)

    return run_on_log(environment, url, use_patiently)


def run_on_log(
    environment: Environment,
    url: str,
    use: UseLog[Read],
) -> Result[Read, CliError]:
    """Open the log without a limit on the time that a command tries."""

    async def run(checked: str) -> Result[Read, CliError]:
        async with environment.open_log(checked) as log:
            return await use(log)

    checked = need_url(url, option='--log', variable=LOG_VARIABLE)
    return checked.bind(lambda good: trio.run(run, good))
