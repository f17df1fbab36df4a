"""Tests of a whole daemon on loopback addresses with an in-memory log."""

import socket
from random import Random

import httpx
import pytest
import trio

from verbenamill_daemon.daemon import build_daemon
from verbenamill_daemon.address_checks import find_unusable_addresses
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

ANNOUNCEMENT = {
    'service': 'entries',
    'version': 'v1',
    'slots': 16,
    'connections': 130,
    'address': '127.0.0.1:9',
}


def find_free_addresses(count):
    sockets = [socket.socket() for _ in range(count)]
    for bound_socket in sockets:
        bound_socket.bind(('127.0.0.1', 0))
    ports = [bound_socket.getsockname()[1] for bound_socket in sockets]
    for bound_socket in sockets:
        bound_socket.close()
    return [f'127.0.0.1:{port}' for port in ports]


def build_test_daemon(log, **announced):
    calls, control, admin = find_free_addresses(3)
    settings = Settings(
        vm=VmSettings(id='vm-1', availability_zone='az-1', region='r-1'),
        listen=ListenSettings(
            calls=calls,
            control=control,
            admin=admin,
            **announced,
        ),
        log=LogServiceSettings(url='http://127.0.0.1:9'),
    )
    return build_daemon(
        settings,
        platform_log=log,
        clock=SystemClock(),
        random=Random(5),
    )


def run_with_daemon(scenario):
    async def run_scenario():
        log = MemoryLog()
        daemon = build_test_daemon(log)
        stopping = trio.Event()
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(daemon.run, stopping)
                await wait_until(lambda: daemon.status().ready)
                base = f'http://{daemon.settings.listen.admin}'
                async with httpx.AsyncClient(base_url=base) as client:
                    await scenario(daemon, log, client)
                stopping.set()

    trio.run(run_scenario)


def test_planned_stop_ends_cleanly():
    """A planned stop crashed the daemon instead of finishing its calls.

    After announcing that it leaves, the daemon was no longer a member, yet
    it looked itself up among the members to compare its upstream.
    """

    async def scenario(daemon, log, client):
        response = await client.put('/upstream', json=ANNOUNCEMENT)
        assert response.status_code == 204
        assert daemon.mesh.own_member.upstream is not None

    run_with_daemon(scenario)


def test_published_ticket_takes_effect_and_is_shown():
    async def scenario(daemon, log, client):
        ticket = Ticket(
            number=1,
            author='ann',
            services=(Service(name='entries', version='v1'),),
            routes=(Route(name='e', prefix='/entries', service='entries'),),
        )
        log.put(CONFIG_STREAM, encode_record(TicketRecord(ticket=ticket)))
        await wait_until(lambda: daemon.status().version == 0)
        configuration = (await client.get('/configuration')).json()
        assert configuration['routes']['e']['service'] == 'entries'
        metrics = (await client.get('/metrics')).text
        assert 'verbenamill_config_version 0.0' in metrics

    run_with_daemon(scenario)


def test_bad_announcement_is_refused_with_its_reason():
    async def scenario(daemon, log, client):
        response = await client.put(
            '/upstream',
            json=ANNOUNCEMENT | {'slots': 0},
        )
        assert response.status_code == 400
        assert 'at least 1' in response.json()['error']
        assert daemon.mesh.own_member.upstream is None

    run_with_daemon(scenario)


def test_announcement_with_invalid_address_is_refused():
    """An upstream announces a host name, or an address without a port.

    When such an address was accepted, the first call to it ended the daemon.
    """

    async def scenario(daemon, log, client):
        for address in ('localhost:80', '127.0.0.1', 'x', '[::1'):
            announced = ANNOUNCEMENT | {'address': address}
            response = await client.put('/upstream', json=announced)
            assert response.status_code == 400
            assert 'not an IP number and port' in response.json()['error']

    run_with_daemon(scenario)


def test_link_switch_needs_the_setting():
    """The switch that cuts links must not be available in production."""

    async def scenario(daemon, log, client):
        response = await client.post('/cut', json={'zones': ['az-2']})
        assert response.status_code == 403

    run_with_daemon(scenario)


def test_new_daemon_refuses_calls_until_it_has_the_configuration():
    """A daemon is replaced while the log is down and no peer is reachable.

    When its port opened at once, the daemon answered 404 to calls that any
    other daemon serves. While the port is closed, callers use the others.
    """

    async def scenario():
        log = MemoryLog()
        log.is_down = True
        daemon = build_test_daemon(log)
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


def test_address_in_use_is_reported_as_a_settings_fault():
    """Two daemons are started with the same settings file."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        control, admin = find_free_addresses(2)
        listen = ListenSettings(calls=address, control=control, admin=admin)
        (fault,) = find_unusable_addresses(listen)
    assert fault.startswith(f'listen.calls = "{address}": cannot listen')
    assert not find_unusable_addresses(listen)


def test_daemon_advertises_another_address_than_it_listens_on():
    """The VM is reached through an address that is not its own.

    If the daemon tried to bind the advertised address, it would not start.
    """

    async def scenario():
        daemon = build_test_daemon(
            MemoryLog(),
            advertise_control='203.0.113.7:7001',
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(daemon.run, trio.Event())
            with trio.fail_after(30):
                await wait_until(lambda: daemon.mesh.ready)
            assert daemon.mesh.own_member.control == '203.0.113.7:7001'
            host, _, port = daemon.settings.listen.control.rpartition(':')
            await (await trio.open_tcp_stream(host, int(port))).aclose()
            nursery.cancel_scope.cancel()

    trio.run(scenario)
