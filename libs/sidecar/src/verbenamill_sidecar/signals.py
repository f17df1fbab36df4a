"""Signals to the daemon."""

import signal
from pathlib import Path

import trio
from returns.result import Failure, Success

from verbenamill_sidecar.settings import load_settings
from verbenamill_telemetry import Event, log


async def watch_signals(
    stopping: trio.Event,
    path: Path,
    *,
    task_status: trio.TaskStatus[None],
) -> None:
    """Set an event at SIGTERM or SIGINT; read the settings at SIGHUP.

    :param stopping: set when the daemon is to stop.
    :param path: settings file.
    """
    with trio.open_signal_receiver(
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGHUP,
    ) as received:
        task_status.started()
        async for number in received:
            if number == signal.SIGHUP:
                _check_again(path)
            else:
                stopping.set()


def _check_again(path: Path) -> None:
    """Say what a changed settings file would do at the next start."""
    match load_settings(path):
        case Success(_):
            log(Event.SETTINGS_RELOADED, outcome='no fault')
        case Failure(faults):
            log(Event.SETTINGS_RELOADED, outcome='; '.join(faults))
