"""Relays hold what is new and pass on what is under way."""

import socket

import trio
from trio.testing import MockClock

from verbenamill_soak.relays import Switch, TcpRelay, UdpRelay

HOST = '127.0.0.1'
#: Well below the second after which a kernel asks again for a connection.
MOMENT = 0.3
#: What the kernel and the relay take in although they hold.
HELD = 3


async def echo(stream):
    async with stream:
        async for data in stream:
            await stream.send_all(data)


async def ask(stream):
    with trio.fail_after(5):
        await stream.send_all(b'?')
        assert await stream.receive_some(1) == b'?'


def test_new_connections_are_held_and_open_ones_work():
    # As on a link that is full: the open connection answers at once. The
    # first new ones seem to come about, since the kernel takes them, and
    # bring nothing; the next do not come about before the hold ends.
    async def main():
        switch = Switch()
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, echo, listeners)
            relay = TcpRelay(switch, f'{HOST}:{port}')
            await nursery.start(relay.serve)
            port = int(relay.address.rpartition(':')[2])
            kept = await trio.open_tcp_stream(HOST, port)
            await ask(kept)
            switch.hold(holds=True)
            opened = []
            for _ in range(HELD + 1):
                with trio.move_on_after(MOMENT):
                    opened.append(await trio.open_tcp_stream(HOST, port))
            assert len(opened) <= HELD
            await ask(kept)
            with trio.move_on_after(MOMENT) as waits:
                await ask(opened[0])
            assert waits.cancelled_caught
            switch.hold(holds=False)
            with trio.fail_after(5):
                assert await opened[0].receive_some(1) == b'?'
            await ask(await trio.open_tcp_stream(HOST, port))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_datagrams_are_held_and_come_late():
    async def main():
        switch = Switch()
        target = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        await target.bind((HOST, 0))
        relay = UdpRelay(switch, f'{HOST}:{target.getsockname()[1]}')
        relay.bind()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(relay.serve)
            source = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            switch.hold(holds=True)
            to = (HOST, int(relay.address.rpartition(':')[2]))
            for data in (b'1', b'2'):
                await source.sendto(data, to)
            with trio.move_on_after(MOMENT) as waits:
                await target.recv(1)
            assert waits.cancelled_caught
            switch.hold(holds=False)
            with trio.fail_after(5):
                assert [await target.recv(1) for _ in range(2)] == [b'1', b'2']
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_delays_of_datagrams_do_not_add_up():
    """Guards against a backlog that makes all of a fleet's news late."""

    async def main():
        switch = Switch()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as target:
            target.bind((HOST, 0))
            target.setblocking(False)
            relay = UdpRelay(switch, f'{HOST}:{target.getsockname()[1]}')
            relay.bind()
            port = int(relay.address.rpartition(':')[2])
            switch.delay = MOMENT
            async with trio.open_nursery() as nursery:
                nursery.start_soon(relay.serve)
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as near:
                    for number in range(20):
                        near.sendto(bytes([number]), (HOST, port))
                    began = trio.current_time()
                    for _ in range(20):
                        await trio.lowlevel.wait_readable(target)
                        target.recv(1)
                    assert trio.current_time() - began < 2 * MOMENT
                nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.01))
