"""Runs several daemons in one process, for measurements.

The arguments are settings files. With the environment variable
``DAEMON_PROFILE`` a profile is written there when the process ends.
"""

import cProfile
import os
import signal
import sys
from pathlib import Path

import trio

from verbenamill_node.startup import make_daemon, set_up_collector
from verbenamill_sidecar.settings import Settings, load_settings
from verbenamill_telemetry import set_up_logs
from verbenamill_telemetry.streams import NonBlockingStream

_PROFILE_VARIABLE = 'DAEMON_PROFILE'


def main() -> None:
    """Run the daemons until SIGTERM."""
    settings = [load_settings(Path(name)).unwrap() for name in sys.argv[1:]]
    set_up_logs(settings[0].logging, stream=NonBlockingStream(1))
    set_up_collector()
    profile_path = os.environ.get(_PROFILE_VARIABLE)
    if profile_path is None:
        trio.run(_run, settings)
        return
    profile = cProfile.Profile()
    profile.runcall(trio.run, _run, settings)
    profile.dump_stats(profile_path)


async def _run(settings: list[Settings]) -> None:
    async with trio.open_nursery() as nursery:
        for one in settings:
            nursery.start_soon(make_daemon(one).run, trio.Event())
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                nursery.cancel_scope.cancel()


if __name__ == '__main__':
    main()
