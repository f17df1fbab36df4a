"""External dependencies of the commands, which tests replace by fakes."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta
from importlib.metadata import entry_points
from random import Random, SystemRandom

import httpx
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_http.addresses import Address
from verbenamill_runtime import Clock, Log, SystemClock
from verbenamill_runtime.http_log import HttpLog
from verbenamill_sidecar.protocol import Store

OpenLog = Callable[[str], AbstractAsyncContextManager[Log]]
OpenClient = Callable[[], httpx.AsyncClient]
OpenStore = Callable[[Address], Result[Store, CliError]]

#: Entry point group in which installed platform adapters register their
#: stores, so that the command line depends on no adapter by name.
STORES_GROUP = 'verbenamill.stores'

#: Timeout of one request to a daemon.
DAEMON_TIMEOUT = timedelta(seconds=2)


@asynccontextmanager
async def _open_log(url: str) -> AsyncIterator[Log]:
    log = HttpLog(url)
    try:
        yield log
    finally:
        await log.aclose()


def _open_client() -> httpx.AsyncClient:
    return httpx.AsyncClient(
        timeout=DAEMON_TIMEOUT.total_seconds(),
        trust_env=False,
    )


def _open_store(address: Address) -> Result[Store, CliError]:
    adapters = tuple(entry_points(group=STORES_GROUP))
    if len(adapters) == 1:
        return Success(adapters[0].load()(address))
    names = ', '.join(entry.name for entry in adapters) or 'none'
    return Failure(
        CliError(
            code=ExitCode.USAGE,
            message=f'one adapter to a platform is wanted; installed: {names}',
            action='install the adapter to your platform, and only that one',
        ),
    )


@dataclass(frozen=True, kw_only=True)
class Environment:
    """Access to the log, daemons and store, the clock, and random numbers."""

    open_log: OpenLog = _open_log
    open_client: OpenClient = _open_client
    open_store: OpenStore = _open_store
    clock: Clock = SystemClock()
    random: Random = SystemRandom()


def require_url(
    url: str,
    *,
    option: str,
    variable: str,
) -> Result[str, CliError]:
    """Check that an HTTP URL was given, and strip trailing slashes."""
    if not url:
        return Failure(
            CliError(
                code=ExitCode.USAGE,
                message=f'no URL was given by {option}',
                action=f'add {option} http://HOST:PORT, or set {variable}',
            ),
        )
    if not url.startswith(('http://', 'https://')):
        return Failure(
            CliError(
                code=ExitCode.USAGE,
                message=f'{option} {url!r} is not a URL',
                action='write it as http://HOST:PORT',
            ),
        )
    return Success(url.rstrip('/'))
