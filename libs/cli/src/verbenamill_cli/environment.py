"""What the commands reach the world by; tests put fakes in its place."""

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

#: Adapters to platforms enter themselves here when they are installed, so
#: that the command line knows none by name.
STORES_GROUP = 'verbenamill.stores'

#: Time for one answer of a daemon.
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
    found = tuple(entry_points(group=STORES_GROUP))
    if len(found) == 1:
        return Success(found[0].load()(address))
    names = ', '.join(entry.name for entry in found) or 'none'
    return Failure(
        CliError(
            code=ExitCode.USAGE,
            message=f'one adapter to a platform is wanted; installed: {names}',
            action='install the adapter to your platform, and only that one',
        ),
    )


@dataclass(frozen=True, kw_only=True)
class Environment:
    """Log, daemons, time and chance."""

    open_log: OpenLog = _open_log
    open_client: OpenClient = _open_client
    open_store: OpenStore = _open_store
    clock: Clock = SystemClock()
    random: Random = SystemRandom()


def need_url(url: str, *, option: str, variable: str) -> Result[str, CliError]:
    """Check that a URL was given, and that it is one."""
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
