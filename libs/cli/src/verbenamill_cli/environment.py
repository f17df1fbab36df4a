"""What the commands reach the world by; tests put fakes in its place."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta
from random import Random, SystemRandom

import httpx
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_runtime import Clock, Log, SystemClock
from verbenamill_runtime.http_log import HttpLog

OpenLog = Callable[[str], AbstractAsyncContextManager[Log]]
OpenClient = Callable[[], httpx.AsyncClient]

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


@dataclass(frozen=True, kw_only=True)
class Environment:
    """Log, daemons, time and chance."""

    open_log: OpenLog = _open_log
    open_client: OpenClient = _open_client
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
