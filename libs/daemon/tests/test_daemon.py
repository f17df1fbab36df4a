"""One whole daemon in this process, over loopback, with a log in memory."""

import socket
from random import Random

import httpx
import pytest
import trio

from verbenamill_daemon.daemon import build_daemon
from verbenamill_daemon.listening import find_unusable
from verbenamill_daemon.settings import Settings
from verbenamill_mesh.testing import MemoryLog, wait_until
from verbenamill_model import (
    Route,
    Service,
    Ticket,
    TicketRecord,
    encode_record,
)
from verbenamill_runtime import SystemClock
from verbenamill_runtime.settings import (
    ListenSettings,
    LogServiceSettings,
    VmSettings,
)
from verbenamill_runtime.streams import CONFIG_STREAM

UPSTREAM = {
    'service': 'entries',
    'version': 'v1',
    'slots': 16,
    'connections': 130,
    'address': '127.0.0.1:9',
}


def free_addresses(count):
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind(('127.0.0.1', 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return [f'127.0.0.1:{port}' for port in ports]


def build(log, **told):
    calls, control, admin = free_addresses(3)
    settings = Settings(
        vm=VmSettings(id='vm-1', availability_zone='az-1', region='r-1'),
        listen=ListenSettings(
            calls=calls,
            control=control,
            admin=admin,
            **told,
        ),
        log=LogServiceSettings(url='http://127.0.0.1:9'),
    )
    return build_daemon(
        settings,
        platform_log=log,
        clock=SystemClock(),
        random=Random(5),
    )


def run(scenario):
    async def limited():
        log = MemoryLog()
        daemon = build(log)
        stopping = trio.Event()
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(daemon.run, stopping)
                await wait_until(lambda: daemon.status().ready)
                base = f'http://{daemon.settings.listen.admin}'
                async with httpx.AsyncClient(base_url=base) as client:
                    await scenario(daemon, log, client)
                stopping.set()

    trio.run(limited)


def test_stop_after_leaving_ends_cleanly():
    """A planned stop made the daemon crash instead of finishing its calls.

    It told the others that it leaves, was no member any more, and looked
    itself up among the members to compare its upstream.
    """

    async def scenario(daemon, log, client):
        answer = await client.put('/upstream', json=UPSTREAM)
        assert answer.status_code == 204
        assert daemon.mesh.own_member.upstream is not None

    run(scenario)


def test_published_ticket_is_in_force_and_shown():
    async def scenario(daemon, log, client):
        ticket = Ticket(
            number=1,
            author='ann',
            services=(Service(name='entries', version='v1'),),
            routes=(Route(name='e', prefix='/entries', service='entries'),),
        )
        log.put(CONFIG_STREAM, encode_record(TicketRecord(ticket=ticket)))
        await wait_until(lambda: daemon.status().version == 0)
        shown = (await client.get('/configuration')).json()
        assert shown['routes']['e']['service'] == 'entries'
        metrics = (await client.get('/metrics')).text
        assert 'verbenamill_config_version 0.0' in metrics

    run(scenario)


def test_bad_announcement_is_refused_with_its_reason():
    async def scenario(daemon, log, client):
        answer = await client.put('/upstream', json=UPSTREAM | {'slots': 0})
        assert answer.status_code == 400
        assert 'at least 1' in answer.json()['error']
        assert daemon.mesh.own_member.upstream is None

    run(scenario)


def test_announced_address_that_is_none_is_refused():
    """An upstream announces itself under a name, or a port is left out.

    Taken as it is, the first call to it ended the whole daemon.
    """

    async def scenario(daemon, log, client):
        for address in ('localhost:80', '127.0.0.1', 'x', '[::1'):
            told = UPSTREAM | {'address': address}
            answer = await client.put('/upstream', json=told)
            assert answer.status_code == 400
            assert 'no IP number and port' in answer.json()['error']

    run(scenario)


def test_link_switch_needs_the_setting():
    """A switch that cuts links must not be open in production."""

    async def scenario(daemon, log, client):
        answer = await client.post('/cut', json={'zones': ['az-2']})
        assert answer.status_code == 403

    run(scenario)


def test_fresh_daemon_takes_no_calls_before_it_has_the_configuration():
    """A daemon is replaced while the log is away and no peer is there.

    Open at once, it answered 404 to calls that any other daemon answers;
    closed, its callers go to the others.
    """

    async def scenario():
        log = MemoryLog()
        log.is_down = True
        daemon = build(log)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(daemon.run, trio.Event())
            await trio.sleep(1)
            host, _, port = daemon.settings.listen.calls.rpartition(':')
            with pytest.raises(OSError):
                await trio.open_tcp_stream(host, int(port))
            assert not daemon.status().ready
            log.is_down = False
            with trio.fail_after(30):
                await wait_until(lambda: daemon.status().ready)
            await (await trio.open_tcp_stream(host, int(port))).aclose()
            nursery.cancel_scope.cancel()

    trio.run(scenario)


def test_taken_address_is_a_fault_of_the_settings():
    """Two daemons are started with one settings file."""
    with socket.create_server(('127.0.0.1', 0)) as taken:
        address = f'127.0.0.1:{taken.getsockname()[1]}'
        control, admin = free_addresses(2)
        listen = ListenSettings(calls=address, control=control, admin=admin)
        (fault,) = find_unusable(listen)
    assert fault.startswith(f'listen.calls = "{address}": cannot be')
    assert not find_unusable(listen)


def test_daemon_listens_where_it_is_told_and_tells_another_address():
    """Its VM is reached through another address than it listens on.

    Bound to the one that others are told, which is not its own, the daemon
    would not start at all.
    """

    async def scenario():
        daemon = build(MemoryLog(), advertise_control='203.0.113.7:7001')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(daemon.run, trio.Event())
            with trio.fail_after(30):
                await wait_until(lambda: daemon.mesh.ready)
            assert daemon.mesh.own_member.control == '203.0.113.7:7001'
            host, _, port = daemon.settings.listen.control.rpartition(':')
            await (await trio.open_tcp_stream(host, int(port))).aclose()
            nursery.cancel_scope.cancel()

    trio.run(scenario)
