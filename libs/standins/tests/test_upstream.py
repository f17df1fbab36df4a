"""The stand-in upstream and caller over real sockets."""

import json
import socket
import struct
from contextlib import asynccontextmanager
from random import Random

import pytest
import trio

from verbenamill_bench.ports import free_ports
from verbenamill_standins import (
    Behaviour,
    Caller,
    CallFault,
    Relay,
    UpstreamServer,
    digest_body,
)


@asynccontextmanager
async def serving(**behaviour):
    server = UpstreamServer(
        version='v1',
        slots=1,
        behaviour=Behaviour(**behaviour),
        random=Random(1),
    )
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    host, port = listeners[0].socket.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            trio.serve_listeners, server.serve_connection, listeners
        )
        with trio.fail_after(10):
            yield f'{host}:{port}', Caller()
        nursery.cancel_scope.cancel()


async def control(caller, target, **changes):
    reply = await caller.call(
        target,
        'PUT',
        '/control',
        headers={},
        body=json.dumps(changes).encode(),
    )
    return json.loads(reply.message.body)['counters']


def test_answer_names_the_call_and_repeats_are_counted():
    async def main():
        async with serving() as (target, caller):
            for _ in range(2):
                reply = await caller.call(
                    target,
                    'POST',
                    '/fees?size=300000',
                    headers={'x-request-id': 'fee-1'},
                    body=b'steer',
                )
            message = reply.message
            assert message.headers['x-request-id'] == 'fee-1'
            assert message.headers['x-body-digest'] == digest_body(b'steer')
            assert message.headers['x-answer-digest'] == message.digest
            assert message.length == 300000
            counters = await control(caller, target)
            assert (counters['executions'], counters['doubled']) == (2, 1)
            await caller.aclose()

    trio.run(main)


@pytest.mark.parametrize(
    ('behaviour', 'fault'),
    [
        ({'cut_share': 1}, CallFault.BROKEN),
        ({'stall_share': 1}, CallFault.TIMEOUT),
    ],
)
def test_short_or_missing_answer_is_never_whole(behaviour, fault):
    async def main():
        async with serving(**behaviour) as (target, caller):
            reply = await caller.call(
                target, 'GET', '/x', headers={}, timeout=0.2
            )
            assert reply.message is None
            assert reply.fault is fault

    trio.run(main)


def test_caller_that_leaves_cancels_its_work():
    """A caller gives up; the slot that its call held must come free."""

    async def main():
        async with serving(latency_ms=60000) as (target, caller):
            await caller.call(target, 'GET', '/x', headers={}, timeout=0.1)
            counters = await control(caller, target)
            while counters['running']:
                counters = await control(caller, target)
            assert counters['cancelled'] == 1

    trio.run(main)


def test_faults_keep_to_their_path_and_slots_shed():
    async def main():
        async with serving(fail_share=1, prefix='/photos') as found:
            target, caller = found
            good = await caller.call(target, 'GET', '/fees', headers={})
            bad = await caller.call(target, 'GET', '/photos/1', headers={})
            assert (good.message.status, bad.message.status) == (200, 500)
            await control(caller, target, shed=True, latency_ms=200)
            statuses = []

            async def call():
                reply = await caller.call(target, 'GET', '/x', headers={})
                statuses.append(reply.message.status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                nursery.start_soon(call)
            assert sorted(statuses) == [200, 503]

    trio.run(main)


def test_silenced_connection_answers_nothing_while_new_ones_work():
    """Something between the two ends has lost track of a connection.

    The caller's kept connection stays open and mute; a new one to the same
    address works.
    """

    async def main():
        async with serving() as (target, caller):
            relay = Relay(target)
            listen = next(free_ports(Random(7)))
            async with trio.open_nursery() as nursery:
                await nursery.start(relay.serve, listen)
                first = await caller.call(listen, 'GET', '/x', headers={})
                assert first.message.status == 200
                relay.blackhole_connections()
                mute = await caller.call(
                    listen, 'GET', '/x', headers={}, timeout=0.2
                )
                assert mute.fault is CallFault.TIMEOUT
                fresh = await caller.call(listen, 'GET', '/x', headers={})
                assert fresh.message.status == 200
                await caller.aclose()
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_reset_connection_does_not_end_the_upstream():
    """A daemon is killed with a call on its way, and its socket resets.

    The upstream must go on serving others.
    """

    async def main():
        async with serving(latency_ms=100) as (target, caller):
            host, port = target.split(':')
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(b'GET /x HTTP/1.1\r\nhost: x\r\n\r\n')
            await trio.sleep(0.02)
            linger = struct.pack('ii', 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await trio.aclose_forcefully(stream)
            await trio.sleep(0.2)
            reply = await caller.call(target, 'GET', '/x', headers={})
            assert reply.message.status == 200
            await caller.aclose()

    trio.run(main)
