"""Life cycle of a stand-in upstream: serve, announce, drain."""

import logging
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import BinaryIO

import httpx
import trio
from msgspec import Struct

from verbenamill_standins.behaviour import Behaviour
from verbenamill_standins.run import wait_for_shutdown_signal
from verbenamill_standins.upstream_server import UpstreamServer

#: A quarter of the 2 s lease that an announcement grants.
ANNOUNCE_INTERVAL_SECONDS = 0.5
#: Upper bound on the time for which a drain waits for running calls.
DRAIN_TIMEOUT_SECONDS = 30.0
#: Minimum drain time, in which the daemon informs the other daemons.
LINGER_SECONDS = 0.5

_logger = logging.getLogger(__name__)


class UpstreamSettings(Struct, kw_only=True, frozen=True):
    """Settings of a stand-in upstream.

    :param listen: ``host:port`` on which the upstream serves calls.
    :param admin: base URL of the admin API of its daemon; empty for none.
    :param journal: file to which the ID of each executed call is appended.
    :param starting_s: seconds for which it announces the state ``starting``.
    """

    listen: str
    admin: str
    service: str
    version: str
    slots: int
    connections: int
    starting_s: float = 0
    behaviour: Behaviour = Behaviour()
    seed: int = 0
    journal: Path | None = None


class _Announcer:
    def __init__(self, settings: UpstreamSettings) -> None:
        self._settings = settings
        self._client = httpx.AsyncClient(timeout=1, trust_env=False)

    async def announce(self, state: str) -> None:
        settings = self._settings
        if not settings.admin:
            return
        body = {
            'service': settings.service,
            'version': settings.version,
            'address': settings.listen,
            'slots': settings.slots,
            'connections': settings.connections,
            'state': state,
        }
        try:
            response = await self._client.put(
                f'{settings.admin}/upstream',
                json=body,
            )
        except httpx.HTTPError as error:
            _logger.warning(
                'could not send the announcement to the daemon: %r', error
            )
            return
        if response.is_error:
            _logger.warning(
                'the daemon rejected the announcement: %s', response.text
            )


async def run_upstream(settings: UpstreamSettings) -> None:
    """Serve calls until SIGTERM or SIGINT, then drain and return."""
    with ExitStack() as stack:
        journal: BinaryIO | None = None
        if settings.journal is not None:
            journal = stack.enter_context(
                settings.journal.open('ab', buffering=0),
            )
        await _run(settings, journal)


async def _run(settings: UpstreamSettings, journal: BinaryIO | None) -> None:
    server = UpstreamServer(
        version=settings.version,
        address=settings.listen,
        slots=settings.slots,
        behaviour=settings.behaviour,
        random=Random(settings.seed),
        journal=journal,
    )
    host, port = settings.listen.rsplit(':', 1)
    listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=512)
    announcer = _Announcer(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            trio.serve_listeners,
            server.serve_connection,
            listeners,
        )
        announcing = trio.CancelScope()
        nursery.start_soon(
            _announce_periodically, announcer, settings, announcing
        )
        await wait_for_shutdown_signal()
        announcing.cancel()
        await _drain(server, announcer)
        nursery.cancel_scope.cancel()


async def _announce_periodically(
    announcer: _Announcer,
    settings: UpstreamSettings,
    scope: trio.CancelScope,
) -> None:
    ready_at = trio.current_time() + settings.starting_s
    with scope:
        while True:
            is_ready = trio.current_time() >= ready_at
            await announcer.announce('ready' if is_ready else 'starting')
            await trio.sleep(ANNOUNCE_INTERVAL_SECONDS)


async def _drain(server: UpstreamServer, announcer: _Announcer) -> None:
    server.drain()
    with trio.move_on_after(DRAIN_TIMEOUT_SECONDS):
        await announcer.announce('draining')
        await trio.sleep(LINGER_SECONDS)
        while server.running:
            await announcer.announce('draining')
            await trio.sleep(ANNOUNCE_INTERVAL_SECONDS / 5)
    await announcer.announce('gone')
