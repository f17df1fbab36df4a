"""``verbenamill fleet``: daemons, moves and blocked requests of a platform."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Annotated

import trio
import typer
from returns.result import Failure, Success

from verbenamill_cli.environment import Environment
from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.fleet import report_fleet_status, report_moves
from verbenamill_cli.options import AsJson, ReportResult, environment_of
from verbenamill_cli.organisations import report_organisations
from verbenamill_cli.output import print_and_exit
from verbenamill_cli.quarantine import list_blocked_requests, unblock_request
from verbenamill_http.addresses import parse_address
from verbenamill_sidecar.protocol import Store

STORE_VARIABLE = 'VERBENAMILL_STORE'

StoreAddress = Annotated[
    str,
    typer.Option(
        '--store',
        envvar=STORE_VARIABLE,
        help="HOST:PORT of the platform's store.",
    ),
]

app = typer.Typer(
    help='Daemons, moves and blocked requests on a platform.',
    no_args_is_help=True,
)


@app.command('status')
def _status(
    context: typer.Context,
    store: StoreAddress = '',
    as_json: AsJson = False,
) -> None:
    """Show every daemon, its upstream and the configuration it runs.

    Exits with code 6 if any daemon is not in step.
    """
    print_and_exit(
        _run_with_store(environment_of(context), store, report_fleet_status),
        as_json=as_json,
    )


@app.command('moves')
def _moves(
    context: typer.Context,
    store: StoreAddress = '',
    as_json: AsJson = False,
) -> None:
    """Show the newest order of each service and its verdict."""
    print_and_exit(
        _run_with_store(environment_of(context), store, report_moves),
        as_json=as_json,
    )


@app.command('organisations')
def _organisations(
    context: typer.Context,
    store: StoreAddress = '',
    as_json: AsJson = False,
) -> None:
    """Show each organisation, and at how many daemons its keys are in force.

    Exits with code 6 if any daemon lacks the newest configuration.
    """
    print_and_exit(
        _run_with_store(environment_of(context), store, report_organisations),
        as_json=as_json,
    )


@app.command('blocked')
def _blocked(
    context: typer.Context,
    store: StoreAddress = '',
    as_json: AsJson = False,
) -> None:
    """Show the requests that are refused because upstreams crashed on them."""
    environment = environment_of(context)
    list_blocked = partial(list_blocked_requests, now=environment.clock.now())
    print_and_exit(
        _run_with_store(environment, store, list_blocked),
        as_json=as_json,
    )


@app.command('unblock')
def _unblock(
    context: typer.Context,
    fingerprint: Annotated[
        str,
        typer.Argument(help='Fingerprint as shown by `fleet blocked`.'),
    ],
    store: StoreAddress = '',
    as_json: AsJson = False,
) -> None:
    """Let a blocked request run again."""
    environment = environment_of(context)
    unblock = partial(
        unblock_request,
        fingerprint=fingerprint,
        now=environment.clock.now(),
    )
    print_and_exit(
        _run_with_store(environment, store, unblock),
        as_json=as_json,
    )


def _run_with_store(
    environment: Environment,
    address: str,
    use: Callable[[Store], Awaitable[ReportResult]],
) -> ReportResult:
    try:
        parsed = parse_address(address)
    except ValueError:
        return Failure(_address_error(address))
    match environment.open_store(parsed):
        case Success(store):
            return trio.run(_use_and_close, store, use)
        case Failure(error):
            return Failure(error)
    raise AssertionError('unreachable: neither Success nor Failure')


async def _use_and_close(
    store: Store,
    use: Callable[[Store], Awaitable[ReportResult]],
) -> ReportResult:
    try:
        return await use(store)
    finally:
        await store.close()


def _address_error(address: str) -> CliError:
    message = (
        f'--store {address!r} is no address'
        if address
        else ('no store was given')
    )
    return CliError(
        code=ExitCode.USAGE,
        message=message,
        action=f'add --store HOST:PORT, or set {STORE_VARIABLE}',
    )
