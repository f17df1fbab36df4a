"""``verbenamilld``: the command that runs the daemon."""

import signal
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import trio
import typer
from returns.result import Failure, Success

from verbenamill_daemon.daemon import build_daemon
from verbenamill_daemon.address_checks import find_unusable_addresses
from verbenamill_daemon.settings import (
    LoggingSettings,
    Settings,
    load_settings,
)
from verbenamill_runtime import SystemClock
from verbenamill_runtime.http_log import HttpLog
from verbenamill_telemetry.errors import describe_error
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log, set_up_logs

INVALID_SETTINGS_EXIT_CODE = 2


def run(
    config: Annotated[
        Path,
        typer.Option(help='Settings file in TOML; see examples/.'),
    ],
) -> None:
    """Run the daemon beside an upstream until SIGTERM or SIGINT."""
    match load_settings(config):
        case Success(settings):
            _exit_on_faults(find_unusable_addresses(settings.listen), config)
            _run(settings)
        case Failure(faults):
            _exit_on_faults(faults, config)


def _exit_on_faults(faults: tuple[str, ...], config: Path) -> None:
    if not faults:
        return
    set_up_logs(LoggingSettings())
    for fault in faults:
        log(Event.SETTINGS_INVALID, path=config, fault=fault)
    raise typer.Exit(INVALID_SETTINGS_EXIT_CODE)


def _run(settings: Settings) -> None:
    set_up_logs(settings.logging)
    try:
        trio.run(_run_until_signal, settings)
    except BaseException as error:
        log(Event.INVARIANT_BROKEN, detail=describe_error(error))
        raise


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
        nursery.start_soon(_set_on_signal, stopping)
        await daemon.run(stopping)
        nursery.cancel_scope.cancel()
    await platform_log.aclose()


async def _set_on_signal(stopping: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopping.set()


def main() -> None:
    """Entry point of ``verbenamilld``."""
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(run)
    app()
