"""Running a stand-in until SIGTERM or SIGINT arrives."""

import signal

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio


async def wait_for_shutdown_signal() -> None:
    """Wait for the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(aiter(signals))


async def run_app(app: QuartTrio, listen: str) -> None:
    """Serve an application with hypercorn until a signal arrives.

    :param listen: ``host:port`` to listen on.
    """
    config = Config()
    config.bind = [listen]
    config.graceful_timeout = 1
    config.keep_alive_timeout = 75
    await serve(app, config, shutdown_trigger=wait_for_shutdown_signal)
