"""Runs the daemon with the adapter to the platform."""

import gc
import os
import sys
from datetime import UTC, datetime
from pathlib import Path
from random import SystemRandom

import trio
from returns.result import Failure, Success

from verbenamill_http.addresses import parse_address
from verbenamill_platform import HEADERS, PlatformStore, read_announcement
from verbenamill_sidecar.daemon import Daemon, DaemonContext
from verbenamill_sidecar.settings import (
    LoggingSettings,
    Settings,
    load_settings,
)
from verbenamill_sidecar.signals import watch_signals
from verbenamill_telemetry import Event, describe_error, log, set_up_logs
from verbenamill_telemetry.streams import NonBlockingStream

#: Environment variable with the path of the settings file, which is used if
#: the path is not given as an argument.
SETTINGS_VARIABLE = 'VERBENAMILL_BOOT'
INVALID_SETTINGS_EXIT_CODE = 2
#: Net allocations before a garbage collection. The objects of a request are
#: freed by reference counting; a collection would mostly traverse long-lived
#: objects.
_GC_THRESHOLD = 50_000


def main() -> int:
    """Run the daemon until SIGTERM or SIGINT."""
    path = Path(_settings_path())
    match load_settings(path):
        case Success(settings):
            return _run(settings, path)
        case Failure(faults):
            set_up_logs(LoggingSettings(), stream=NonBlockingStream(1))
            for fault in faults:
                log(Event.SETTINGS_INVALID, path=path, fault=fault)
    return INVALID_SETTINGS_EXIT_CODE


def _settings_path() -> str:
    if len(sys.argv) > 1:
        return sys.argv[1]
    return os.environ.get(SETTINGS_VARIABLE, 'daemon.toml')


def _run(settings: Settings, path: Path) -> int:
    set_up_logs(
        settings.logging,
        stream=NonBlockingStream(1),
        vm=settings.vm.id,
    )
    set_up_collector()
    try:
        trio.run(_serve, settings, path)
    except BaseException as error:
        log(Event.INVARIANT_BROKEN, detail=describe_error(error))
        raise
    return 0


def set_up_collector() -> None:
    """Enable collections, make them rare and exempt the present objects."""
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD, 10, 10)
    gc.enable()


def make_daemon(settings: Settings) -> Daemon:
    """Make a daemon with the adapter to the platform."""
    return Daemon(
        DaemonContext(
            settings=settings,
            store=PlatformStore(parse_address(settings.store.address)),
            names=HEADERS,
            read_announcement=read_announcement,
            now=read_wall_clock,
            random=SystemRandom(),
        ),
    )


async def _serve(settings: Settings, path: Path) -> None:
    daemon = make_daemon(settings)
    stopping = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(watch_signals, stopping, path)
        await daemon.run(stopping)
        nursery.cancel_scope.cancel()


def read_wall_clock() -> datetime:
    """Return the wall-clock time."""
    return datetime.now(UTC)
