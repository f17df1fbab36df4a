"""Relays hold new connections and datagrams but serve open connections."""

import socket

import trio
from trio.testing import MockClock

from verbenamill_soak.relays import LinkControl, TcpRelay, UdpRelay

HOST = '127.0.0.1'
#: Well below the second after which a kernel retries a connection.
SHORT_WAIT_S = 0.3
#: Maximum number of connections that the kernel and the relay accept in a hold.
MAX_ACCEPTED = 3


async def echo(stream):
    async with stream:
        async for data in stream:
            await stream.send_all(data)


async def ask(stream):
    with trio.fail_after(5):
        await stream.send_all(b'?')
        assert await stream.receive_some(1) == b'?'


def test_new_connections_are_held_and_open_ones_work():
    # The relay behaves like a saturated link: an open connection works. The
    # first new connections are established, since the kernel accepts them, but
    # transfer no data; further ones are established only after the hold.
    async def main():
        link = LinkControl()
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, echo, listeners)
            relay = TcpRelay(link, f'{HOST}:{port}')
            await nursery.start(relay.serve)
            port = int(relay.address.rpartition(':')[2])
            established = await trio.open_tcp_stream(HOST, port)
            await ask(established)
            link.set_holding(is_holding=True)
            opened = []
            for _ in range(MAX_ACCEPTED + 1):
                with trio.move_on_after(SHORT_WAIT_S):
                    opened.append(await trio.open_tcp_stream(HOST, port))
            assert len(opened) <= MAX_ACCEPTED
            await ask(established)
            with trio.move_on_after(SHORT_WAIT_S) as wait:
                await ask(opened[0])
            assert wait.cancelled_caught
            link.set_holding(is_holding=False)
            with trio.fail_after(5):
                assert await opened[0].receive_some(1) == b'?'
            await ask(await trio.open_tcp_stream(HOST, port))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_held_datagrams_are_delivered_after_the_hold():
    async def main():
        link = LinkControl()
        target = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        await target.bind((HOST, 0))
        relay = UdpRelay(link, f'{HOST}:{target.getsockname()[1]}')
        relay.bind()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(relay.serve)
            sender = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            link.set_holding(is_holding=True)
            relay_address = (HOST, int(relay.address.rpartition(':')[2]))
            for data in (b'1', b'2'):
                await sender.sendto(data, relay_address)
            with trio.move_on_after(SHORT_WAIT_S) as wait:
                await target.recv(1)
            assert wait.cancelled_caught
            link.set_holding(is_holding=False)
            with trio.fail_after(5):
                assert [await target.recv(1) for _ in range(2)] == [b'1', b'2']
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_delays_of_datagrams_do_not_add_up():
    """Guards against a backlog that delays all datagrams of a fleet."""

    async def main():
        link = LinkControl()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as target:
            target.bind((HOST, 0))
            target.setblocking(False)
            relay = UdpRelay(link, f'{HOST}:{target.getsockname()[1]}')
            relay.bind()
            port = int(relay.address.rpartition(':')[2])
            link.delay = SHORT_WAIT_S
            async with trio.open_nursery() as nursery:
                nursery.start_soon(relay.serve)
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                    for number in range(20):
                        sender.sendto(bytes([number]), (HOST, port))
                    started_at = trio.current_time()
                    for _ in range(20):
                        await trio.lowlevel.wait_readable(target)
                        target.recv(1)
                    assert trio.current_time() - started_at < 2 * SHORT_WAIT_S
                nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.01))
