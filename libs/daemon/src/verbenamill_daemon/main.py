"""``verbenamilld``: starts the daemon from a settings file."""

import signal
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import trio
import typer
from returns.result import Failure, Success

from verbenamill_daemon.daemon import build_daemon
from verbenamill_daemon.listening import find_unusable
from verbenamill_daemon.settings import (
    LoggingSettings,
    Settings,
    load_settings,
)
from verbenamill_runtime import SystemClock
from verbenamill_runtime.http_log import HttpLog
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log, set_up_logs

BAD_SETTINGS = 2


def run(
    config: Annotated[
        Path,
        typer.Option(help='Settings file in TOML; see examples/.'),
    ],
) -> None:
    """Run the daemon beside an upstream until SIGTERM or SIGINT."""
    match load_settings(config):
        case Success(settings):
            _end_if_any(find_unusable(settings.listen), config)
            _run(settings)
        case Failure(faults):
            _end_if_any(faults, config)


def _end_if_any(faults: tuple[str, ...], config: Path) -> None:
    if not faults:
        return
    set_up_logs(LoggingSettings())
    for fault in faults:
        log(Event.SETTINGS_INVALID, path=config, fault=fault)
    raise typer.Exit(BAD_SETTINGS)


def _run(settings: Settings) -> None:
    set_up_logs(settings.logging)
    try:
        trio.run(_run_until_signal, settings)
    except BaseException as error:
        log(Event.INVARIANT_BROKEN, detail=_find_cause(error))
        raise


def _find_cause(error: BaseException) -> str:
    """First innermost exception of nested groups, in one line."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return repr(error)


async def _run_until_signal(settings: Settings) -> None:
    platform_log = HttpLog(settings.log.url)
    daemon = build_daemon(
        settings,
        platform_log=platform_log,
        clock=SystemClock(),
        random=SystemRandom(),
    )
    stopping = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signals, stopping)
        await daemon.run(stopping)
        nursery.cancel_scope.cancel()
    await platform_log.aclose()


async def _watch_signals(stopping: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            stopping.set()


def main() -> None:
    """Entry point of ``verbenamilld``."""
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(run)
    app()
