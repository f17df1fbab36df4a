"""Tests of the stand-in upstream, caller and relay over real sockets."""

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
async def serve_upstream(**behaviour):
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


async def put_control(caller, target, **overrides):
    reply = await caller.call(
        target,
        'PUT',
        '/control',
        headers={},
        body=json.dumps(overrides).encode(),
    )
    return json.loads(reply.message.body)['counters']


def test_response_has_call_id_and_repeated_calls_are_counted():
    async def main():
        async with serve_upstream() as (target, caller):
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
            counters = await put_control(caller, target)
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
def test_truncated_or_missing_response_is_a_fault(behaviour, fault):
    async def main():
        async with serve_upstream(**behaviour) as (target, caller):
            reply = await caller.call(
                target, 'GET', '/x', headers={}, timeout=0.2
            )
            assert reply.message is None
            assert reply.fault is fault

    trio.run(main)


def test_call_is_cancelled_when_its_caller_disconnects():
    """The slot of a call is released when its caller times out."""

    async def main():
        async with serve_upstream(latency_ms=60000) as (target, caller):
            await caller.call(target, 'GET', '/x', headers={}, timeout=0.1)
            counters = await put_control(caller, target)
            while counters['running']:
                counters = await put_control(caller, target)
            assert counters['cancelled'] == 1

    trio.run(main)


def test_faults_apply_to_their_prefix_and_full_slots_shed():
    async def main():
        async with serve_upstream(fail_share=1, prefix='/photos') as served:
            target, caller = served
            unaffected = await caller.call(target, 'GET', '/fees', headers={})
            affected = await caller.call(target, 'GET', '/photos/1', headers={})
            assert (unaffected.message.status, affected.message.status) == (
                200,
                500,
            )
            await put_control(caller, target, shed=True, latency_ms=200)
            statuses = []

            async def call():
                reply = await caller.call(target, 'GET', '/x', headers={})
                statuses.append(reply.message.status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                nursery.start_soon(call)
            assert sorted(statuses) == [200, 503]

    trio.run(main)


def test_blackholed_connection_gets_no_response_but_new_ones_work():
    """A middlebox has lost the state of a connection.

    The persistent connection of the caller stays open but transfers no data;
    a new connection to the same address works.
    """

    async def main():
        async with serve_upstream() as (target, caller):
            relay = Relay(target)
            listen = next(free_ports(Random(7)))
            async with trio.open_nursery() as nursery:
                await nursery.start(relay.serve, listen)
                first_reply = await caller.call(listen, 'GET', '/x', headers={})
                assert first_reply.message.status == 200
                relay.blackhole_connections()
                blackholed_reply = await caller.call(
                    listen, 'GET', '/x', headers={}, timeout=0.2
                )
                assert blackholed_reply.fault is CallFault.TIMEOUT
                new_reply = await caller.call(listen, 'GET', '/x', headers={})
                assert new_reply.message.status == 200
                await caller.aclose()
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_reset_connection_does_not_end_the_upstream():
    """A daemon that is killed during a call resets its connection.

    The upstream must continue to serve other connections.
    """

    async def main():
        async with serve_upstream(latency_ms=100) as (target, caller):
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
