"""Running a stand-in upstream: serving, announcing and draining."""

import logging
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import BinaryIO

import httpx
import trio
from msgspec import Struct

from verbenamill_standins.behaviour import Behaviour
from verbenamill_standins.run import wait_for_signal
from verbenamill_standins.upstream_server import UpstreamServer

#: Time between announcements, in seconds; a quarter of the 2 s lease.
ANNOUNCE_EVERY = 0.5
#: Longest that a draining upstream waits for its last calls, in seconds.
DRAIN_TIMEOUT = 30.0
#: Time a drained upstream stays, so that its daemon tells the others.
LINGER = 0.5

_logger = logging.getLogger(__name__)


class UpstreamSettings(Struct, kw_only=True, frozen=True):
    """Settings of one stand-in upstream.

    :param listen: ``host:port`` where it serves calls.
    :param admin: base URL of its daemon's admin API; empty for none.
    :param journal: file that gets the id of each call that runs.
    :param starting_s: time for which it announces itself as starting.
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
            _logger.warning('announcement failed: %r', error)
            return
        if response.is_error:
            _logger.warning('announcement refused: %s', response.text)


async def run_upstream(settings: UpstreamSettings) -> None:
    """Serve until SIGTERM, then drain and return."""
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
        nursery.start_soon(_announce, announcer, settings, announcing)
        await wait_for_signal()
        announcing.cancel()
        await _drain(server, announcer)
        nursery.cancel_scope.cancel()


async def _announce(
    announcer: _Announcer,
    settings: UpstreamSettings,
    scope: trio.CancelScope,
) -> None:
    ready_at = trio.current_time() + settings.starting_s
    with scope:
        while True:
            is_ready = trio.current_time() >= ready_at
            await announcer.announce('ready' if is_ready else 'starting')
            await trio.sleep(ANNOUNCE_EVERY)


async def _drain(server: UpstreamServer, announcer: _Announcer) -> None:
    server.drain()
    with trio.move_on_after(DRAIN_TIMEOUT):
        await announcer.announce('draining')
        await trio.sleep(LINGER)
        while server.running:
            await announcer.announce('draining')
            await trio.sleep(ANNOUNCE_EVERY / 5)
    await announcer.announce('gone')
