"""A fleet of daemons in a process of its own, with stand-ins in this one."""

import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

import trio

from verbenamill_platform_standins import StoreStandIn, UpstreamStandIn
from verbenamill_platform_standins.callers import (
    read_request_id,
    request_headers,
)
from verbenamill_platform_standins.http_server import HttpRequest, HttpResponse
from verbenamill_platform_standins.operators import publish
from verbenamill_platform_standins.ports import find_ports
from verbenamill_soak.nodes import SETTINGS, request_status

HOST = '127.0.0.1'
_SERVICE_HOST = 'shop.example'
_DEADLINE_S = 2.0
#: Requests that an upstream accepts at once, whatever slots it announces.
_ACCEPTED_REQUESTS = 1000
SERVICES = ('entries', 'entries', 'catalog')
_START_TIMEOUT_S = 60.0
#: Time in which daemons learn of each other's upstreams.
_CONVERGENCE_TIME_S = 2.0
#: Address without a listener, for daemons without an upstream.
_NO_UPSTREAM = f'{HOST}:9'

#: Sends a request for a path, with a request id.
SendRequest = Callable[[str, str], Awaitable[None]]


class Upstream(UpstreamStandIn):
    """An upstream that makes a nested call during some requests.

    :ivar call: makes the nested call.
    """

    call: SendRequest

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Run a request."""
        if request.path.startswith('/nesting/'):
            id = read_request_id(request.headers)
            await self.call('/photo/1', f'{id}.n')
        return await super().answer(request)


def make_sender(port: int) -> SendRequest:
    """Make a function that sends requests on persistent connections."""
    idle: list[trio.SocketStream] = []

    async def send(path: str, id: str) -> None:
        stream = idle.pop() if idle else await trio.open_tcp_stream(HOST, port)
        lines = [f'GET {path} HTTP/1.1', f'Host: {_SERVICE_HOST}']
        headers = request_headers(id, deadline=_DEADLINE_S)
        lines.extend(f'{name}: {value}' for name, value in headers)
        await stream.send_all('\r\n'.join((*lines, '', '')).encode())
        answer = b''
        while not answer.endswith(id.encode()):
            part = await stream.receive_some(65_536)
            assert part, 'the connection has ended'
            answer += part
            assert answer.startswith(b'HTTP/1.1 200'), answer
        idle.append(stream)

    return send


def process_cpu(pid: int) -> float:
    """Processor time of another process so far, in milliseconds."""
    # This is the id of its clock, as clock_getcpuclockid(3) derives it.
    return 1000 * time.clock_gettime((~pid << 3) | 2)


def write_settings(
    folder: Path, index: int, ports: list[int], *, upstream: str, store: str
) -> Path:
    """Write the settings file of a daemon."""
    path = folder / f'vm{index}.toml'
    text = SETTINGS.format(
        *ports,
        vm=f'vm{index}',
        zone=f'z{index % 3}',
        calls=f'{HOST}:{ports[1]}',
        datagrams=f'{HOST}:{ports[2]}',
        upstream=upstream,
        store=store,
        grace=2,
    )
    service = SERVICES[index % len(SERVICES)]
    path.write_text(text.replace('"entries"', f'"{service}"'))
    return path


class Fleet:
    """Daemons, each with an upstream or none.

    :param ports: ports of each daemon, in the order of its settings.
    """

    def __init__(self, ports: list[list[int]]) -> None:
        self.ports = ports
        self.store = StoreStandIn()
        self.upstreams: list[Upstream] = []
        self._pid = 0

    @property
    def cpu(self) -> float:
        """Processor time of the daemons so far, in milliseconds."""
        return process_cpu(self._pid)

    async def start_upstreams(self, nursery: trio.Nursery, slots: int) -> None:
        """Start an upstream for each daemon."""
        for index, ports in enumerate(self.ports):
            upstream = Upstream(
                instance=f'i{index}',
                service=SERVICES[index % len(SERVICES)],
                slots=slots,
            )
            upstream.call = make_sender(ports[0])
            await nursery.start(upstream.serve)
            self.upstreams.append(upstream)

    async def start_daemons(self, folder: Path) -> trio.Process:
        """Start the daemons and wait until they are ready."""
        addresses = [one.address for one in self.upstreams]
        addresses = addresses or [_NO_UPSTREAM for _ in self.ports]
        files = [
            write_settings(
                folder, index, ports, upstream=address, store=self.store.address
            )
            for index, (ports, address) in enumerate(
                zip(self.ports, addresses, strict=True)
            )
        ]
        process = await trio.lowlevel.open_process(
            [sys.executable, '-m', 'verbenamill_soak.daemon_host', *files],
            stdout=subprocess.DEVNULL,
        )
        self._pid = process.pid
        return process

    async def wait_until_ready(self) -> None:
        """Wait until the daemons serve callers and know the upstreams."""
        with trio.fail_after(_START_TIMEOUT_S):
            for ports in self.ports:
                await _repeat(ports[4], ('/v1/readiness', b''), 'GET')
            for ports, upstream in zip(
                self.ports, self.upstreams, strict=False
            ):
                await _repeat(ports[3], upstream.heartbeat(), 'POST')
                # Callers that use no daemon exceed the announced slots.
                upstream.slots = _ACCEPTED_REQUESTS
        await trio.sleep(_CONVERGENCE_TIME_S)


async def _repeat(port: int, message: tuple[str, bytes], method: str) -> None:
    """Repeat a request until its status is 200."""
    while await request_status(port, method, *message) != 200:
        await trio.sleep(0.05)


@asynccontextmanager
async def open_fleet(daemons: int, *, slots: int) -> AsyncIterator[Fleet]:
    """Run daemons, a store and an upstream for each daemon.

    :param slots: slots of each upstream; 0 for no upstreams.
    """
    fleet = Fleet([find_ports(5) for _ in range(daemons)])
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.store.serve)
        publish(
            fleet.store,
            1,
            host=_SERVICE_HOST,
            service='entries',
            routes={'lookup': True, 'nesting': True, 'photo': True},
            other_services={'photo': 'catalog'},
        )
        if slots:
            await fleet.start_upstreams(nursery, slots)
        with TemporaryDirectory() as folder:
            process = await fleet.start_daemons(Path(folder))
            try:
                await fleet.wait_until_ready()
                yield fleet
            finally:
                process.terminate()
                await process.wait()
        nursery.cancel_scope.cancel()
