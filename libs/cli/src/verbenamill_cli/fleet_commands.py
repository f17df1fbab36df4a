"""``verbenamill fleet``: daemons, moves and blocked requests."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Annotated

import trio
import typer
from returns.result import Failure, Success

from verbenamill_cli.environment import Environment
from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.fleet import report_fleet_status, report_moves
from verbenamill_cli.options import AsJson, Found, environment_of
from verbenamill_cli.output import finish
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

    Ends with code 6 if any of them is out of step.
    """
    finish(
        _ask(environment_of(context), store, report_fleet_status),
        as_json=as_json,
    )


@app.command('moves')
def _moves(
    context: typer.Context,
    store: StoreAddress = '',
    as_json: AsJson = False,
) -> None:
    """Show the newest order of each service and its verdict."""
    finish(_ask(environment_of(context), store, report_moves), as_json=as_json)


@app.command('blocked')
def _blocked(
    context: typer.Context,
    store: StoreAddress = '',
    as_json: AsJson = False,
) -> None:
    """Show the requests that are refused, as upstreams crashed under them."""
    environment = environment_of(context)
    find = partial(list_blocked_requests, now=environment.clock.now())
    finish(_ask(environment, store, find), as_json=as_json)


@app.command('unblock')
def _unblock(
    context: typer.Context,
    fingerprint: Annotated[
        str,
        typer.Argument(help='As `fleet blocked` shows it.'),
    ],
    store: StoreAddress = '',
    as_json: AsJson = False,
) -> None:
    """Let a blocked request run again."""
    environment = environment_of(context)
    clear = partial(
        unblock_request,
        fingerprint=fingerprint,
        now=environment.clock.now(),
    )
    finish(_ask(environment, store, clear), as_json=as_json)


def _ask(
    environment: Environment,
    address: str,
    use: Callable[[Store], Awaitable[Found]],
) -> Found:
    try:
        checked = parse_address(address)
    except ValueError:
        return Failure(_bad_address(address))
    match environment.open_store(checked):
        case Success(store):
            return trio.run(_use, store, use)
        case Failure(error):
            return Failure(error)
    raise AssertionError('a result is a success or a failure')


async def _use(store: Store, use: Callable[[Store], Awaitable[Found]]) -> Found:
    try:
        return await use(store)
    finally:
        await store.close()


def _bad_address(address: str) -> CliError:
    told = (
        f'--store {address!r} is no address'
        if address
        else ('no store was given')
    )
    return CliError(
        code=ExitCode.USAGE,
        message=told,
        action=f'add --store HOST:PORT, or set {STORE_VARIABLE}',
    )
