"""Handles the signals that the daemon receives."""

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
    """Request a stop at SIGTERM or SIGINT; check the settings at SIGHUP.

    :param stopping: set when the daemon has to stop.
    :param path: the settings file.
    """
    with trio.open_signal_receiver(
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGHUP,
    ) as received:
        task_status.started()
        async for number in received:
            if number == signal.SIGHUP:
                _log_settings_check(path)
            else:
                stopping.set()


def _log_settings_check(path: Path) -> None:
    """Log whether the daemon could start with the current settings file."""
    match load_settings(path):
        case Success(_):
            log(Event.SETTINGS_RELOADED, outcome='no fault')
        case Failure(faults):
            log(Event.SETTINGS_RELOADED, outcome='; '.join(faults))
