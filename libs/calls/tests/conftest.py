"""Small daemons and upstreams on loopback, all in one trio loop."""

from datetime import timedelta
from functools import partial
from random import Random

import httptools
import pytest
import trio
import trio.testing

from verbenamill_calls import (
    CallContext,
    CallServer,
    CallSettings,
    LocalUpstream,
)
from verbenamill_model import Route, Service, ServiceState, Snapshot
from verbenamill_model.traffic import Member, Upstream
from verbenamill_model.typing import UpstreamState
from verbenamill_runtime import Announcement, SystemClock

HOST = '127.0.0.1'
#: Real time without any progress after which the mock clock jumps.
AUTOJUMP = 0.005
QUICK = CallSettings(ramp=timedelta(0))


class Answer:
    """Collects one answer, for the client of the tests."""

    def __init__(self):
        self.headers = {}
        self.body = b''
        self.is_whole = False
        self._parser = httptools.HttpResponseParser(self)

    def on_header(self, name, value):
        self.headers[name.lower()] = value

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.is_whole = True

    @property
    def status(self):
        return self._parser.get_status_code()

    @property
    def outcome(self):
        return self.headers.get(b'verbenamill-outcome')

    def feed(self, data):
        self._parser.feed_data(data)


async def read_answer(stream):
    answer = Answer()
    while not answer.is_whole:
        try:
            data = await stream.receive_some(65536)
        except trio.BrokenResourceError:
            data = b''
        if not data:
            break
        answer.feed(data)
    return answer


def encode(method, path, body=b'', **headers):
    lines = [f'{method} {path} HTTP/1.1', 'host: entries']
    lines += [
        f'{name.replace("_", "-")}: {value}' for name, value in headers.items()
    ]
    if body:
        lines.append(f'content-length: {len(body)}')
    return '\r\n'.join([*lines, '\r\n']).encode() + body


class FakeUpstream:
    """Answers each request by ``answer(stream, target)``, and counts."""

    def __init__(self):
        self.targets = []
        self.bodies = []
        self.heads = []
        self.running = 0
        self.most_running = 0
        self.cancelled = 0
        self.answer = self.echo

    async def echo(self, stream, target):
        await self.reply(stream, target)

    async def slow(self, seconds, stream, target):
        await trio.sleep(seconds)
        await self.reply(stream, target)

    async def reply(self, stream, body, status=200, extra=b''):
        head = b'HTTP/1.1 %d OK\r\n%bcontent-length: %d\r\n\r\n'
        await stream.send_all(head % (status, extra, len(body)) + body)

    async def serve(self, stream):
        collector = _Requests()
        parser = httptools.HttpRequestParser(collector)
        try:
            async with trio.open_nursery() as nursery:
                while data := await stream.receive_some(65536):
                    parser.feed_data(data)
                    while collector.whole:
                        request = collector.whole.pop(0)
                        nursery.start_soon(self._run, stream, *request)
                self.cancelled += self.running > 0
                nursery.cancel_scope.cancel()
        except* trio.BrokenResourceError:
            pass
        except* trio.ClosedResourceError:
            pass

    async def _run(self, stream, target, headers, body):
        self.targets.append(target)
        self.heads.append(headers)
        self.bodies.append(body)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await self.answer(stream, target)
        finally:
            self.running -= 1


class _Requests:
    def __init__(self):
        self.whole = []

    def on_message_begin(self):
        self._target = b''
        self._headers = {}
        self._body = b''

    def on_url(self, target):
        self._target += target

    def on_header(self, name, value):
        self._headers[name.lower()] = value

    def on_body(self, body):
        self._body += body

    def on_message_complete(self):
        self.whole.append((self._target, self._headers, self._body))


class Daemon:
    """A call server with its upstream."""

    def __init__(self, fleet, number, zone, host):
        self.fleet = fleet
        self.id = f'vm{number}'
        self.zone = zone
        self.host = host
        self.calls_host = host
        self.upstream = FakeUpstream()
        self.observations = []
        self.state = UpstreamState.READY
        self.service = 'entries'
        self.version = 'v1'
        self.slots = 4
        self.context = CallContext(
            member=lambda: fleet.members[self.id],
            snapshot=lambda: fleet.snapshot,
            members=lambda: dict(fleet.members),
            shares=lambda _: fleet.shares,
            observe=self.observations.append,
            clock=SystemClock(),
            random=Random(number),
        )
        self.start_anew()

    def start_anew(self):
        self.local = LocalUpstream(self.context, self.fleet.settings)
        self.server = CallServer(self.context, self.local, self.fleet.settings)

    @property
    def outcomes(self):
        return [one.outcome.value for one in self.observations]

    def announce(self):
        told = Upstream(
            service=self.service,
            version=self.version,
            state=self.state,
            slots=self.slots,
            connections=8,
        )
        address = f'{HOST}:{self.upstream_port}'
        self.local.announce(Announcement(upstream=told, address=address))
        self.fleet.members[self.id] = Member(
            id=self.id,
            availability_zone=self.zone,
            region='texas',
            control=f'{self.host}:1',
            calls=f'{self.calls_host}:{self.calls_port}',
            incarnation=1,
            upstream=self.local.upstream(),
        )

    async def run(self, *, task_status):
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            self.upstream_port = listeners[0].socket.getsockname()[1]
            serve = partial(trio.serve_listeners, self.upstream.serve)
            await nursery.start(serve, listeners)
            listeners = await trio.open_tcp_listeners(0, host=self.host)
            self.port = listeners[0].socket.getsockname()[1]
            self.calls_port = self.port
            self.announce()
            self.server_scope = trio.CancelScope()
            nursery.start_soon(self._announce_often)
            nursery.start_soon(self._serve, listeners)
            task_status.started()

    async def _serve(self, listeners):
        self.server_ended = trio.Event()
        with self.server_scope:
            await self.server.serve(listeners)
        self.server_ended.set()

    async def _announce_often(self):
        while True:
            await trio.sleep(0.5)
            self.announce()

    async def connect(self):
        return await trio.open_tcp_stream(self.host, self.port)

    def stand_aside(self):
        """Own no upstream of the service, so that calls go elsewhere."""
        self.service = 'catalog'
        self.announce()

    async def restart(self, nursery):
        """Lose all memory, as when the process is replaced."""
        self.server_scope.cancel()
        await self.server_ended.wait()
        self.start_anew()
        self.announce()
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        self.server_scope = trio.CancelScope()
        nursery.start_soon(self._serve, listeners)

    async def call(self, *request, **headers):
        stream = await self.connect()
        async with stream:
            await stream.send_all(encode(*request, **headers))
            return await read_answer(stream)


class Link:
    """A TCP relay in front of a daemon that can lose track of connections.

    ``is_deaf`` swallows what goes to the daemon, ``is_mute`` what comes
    back; both hold for connections that were open at the time only.
    """

    def __init__(self, daemon):
        self._daemon = daemon
        self._connections = []

    async def run(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self._daemon.calls_port = listeners[0].socket.getsockname()[1]
        self._daemon.announce()
        await trio.serve_listeners(
            self._serve,
            listeners,
            task_status=task_status,
        )

    def silence(self, *, deaf=True, mute=True):
        for connection in self._connections:
            connection.is_deaf = deaf
            connection.is_mute = mute

    async def deliver_late(self):
        """Deliver what was swallowed on the way to the daemon."""
        for connection in self._connections:
            for data in connection.swallowed:
                await connection.far.send_all(data)

    async def _serve(self, near):
        connection = _Relayed()
        self._connections.append(connection)
        connection.far = await self._daemon.connect()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.forth, near)
            nursery.start_soon(connection.back, near)


class _Relayed:
    def __init__(self):
        self.is_deaf = False
        self.is_mute = False
        self.swallowed = []

    async def forth(self, near):
        try:
            while data := await near.receive_some(65536):
                if self.is_deaf:
                    self.swallowed.append(data)
                else:
                    await self.far.send_all(data)
            if not self.is_deaf:
                await self.far.send_eof()
        except trio.BrokenResourceError:
            return

    async def back(self, near):
        try:
            while data := await self.far.receive_some(65536):
                if not self.is_mute:
                    await near.send_all(data)
            if not self.is_mute:
                await near.send_eof()
        except trio.BrokenResourceError:
            return


class Fleet:
    """Daemons that know each other."""

    def __init__(self, settings, **route):
        self.settings = settings
        self.members = {}
        self.daemons = []
        self.shares = {'v1': 1.0}
        self.route = Route(
            name='entries',
            prefix='/entries',
            service='entries',
            **route,
        )
        service = Service(name='entries', version='v1')
        self.snapshot = Snapshot(
            version=0,
            services={'entries': ServiceState(service=service, version='v1')},
            routes={'entries': self.route},
        )

    async def start(self, nursery, count, *, zone='tx-1', host=HOST):
        for _ in range(count):
            daemon = Daemon(self, len(self.daemons), zone, host)
            self.daemons.append(daemon)
            await nursery.start(daemon.run)
        return self.daemons


def run_fleet(test, count, settings=QUICK, **route):
    """Run ``test(daemons, nursery)`` with that many daemons."""

    async def main():
        with trio.fail_after(300):
            async with trio.open_nursery() as nursery:
                fleet = Fleet(settings, **route)
                await fleet.start(nursery, count)
                await test(fleet.daemons, nursery)
                nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=AUTOJUMP)
    trio.run(main, clock=clock)


@pytest.fixture
def fleet():
    return run_fleet


@pytest.fixture
def http():
    """Client side of HTTP for tests."""
    return _Http


@pytest.fixture
def link():
    """Puts a relay that can go silent in front of a daemon."""

    async def install(daemon, nursery):
        relay = Link(daemon)
        await nursery.start(relay.run)
        return relay

    return install


class _Http:
    encode = staticmethod(encode)
    read_answer = staticmethod(read_answer)
