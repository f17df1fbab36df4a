"""Bytes that are no message and have no end, from everywhere.

The bounds: 10 MB of memory, and no longer than the deadline of a request or
the time limit of the port.
"""

import json
import tracemalloc
from contextlib import asynccontextmanager, contextmanager

import pytest
import trio

from verbenamill_model.typing import UpstreamState
from verbenamill_platform_standins.endless import (
    ENDLESS_REQUESTS,
    ENDLESS_RESPONSES,
    EndlessServer,
    send_without_end,
)
from verbenamill_policy.members import MemberRecord, UpstreamRecord

MEMORY_LIMIT_BYTES = 10_000_000
#: Limit on what is awaited, in seconds.
TIME_LIMIT = 12
#: Deadline of requests, beyond that limit.
DEADLINE_MS = 30_000
RESPONSES = [
    pytest.param(answer, id=name) for name, answer in ENDLESS_RESPONSES.items()
]
#: Ports of a daemon, by the place of each among those of a VM.
TCP_PORTS = {'callers': 0, 'daemons': 1, 'announcements': 3, 'health': 4}


@contextmanager
def bounded_memory():
    """Check how much more memory is in use at most."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        yield
        peak = tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()
    assert peak < MEMORY_LIMIT_BYTES


@asynccontextmanager
async def endless_server(answer):
    async with trio.open_nursery() as nursery:
        server = EndlessServer(answer)
        await nursery.start(server.serve)
        yield server
        nursery.cancel_scope.cancel()


def patient_document(factories):
    """Make a configuration whose deadlines are beyond the time limit."""
    return factories.document(
        2,
        [
            factories.row(
                'fee', '/fee/', kind='non_idempotent', timeout=DEADLINE_MS
            ),
            factories.row(
                *('photo', '/photo/'),
                kind='upload',
                service='catalog',
                timeout=DEADLINE_MS,
            ),
            factories.row('lookup', '/lookup/'),
        ],
    )


async def announce(vm, id):
    """Announce an endless server as the upstream beside a daemon."""
    document = {
        'address': vm.upstream.address,
        'born': 200,
        'info': {
            'service': 'entries',
            'version': 'v1',
            'zone': 'z1',
            'slots': 8,
        },
        'status': {'state': 'ready', 'sequence': 1, 'coldRemainingMs': 0},
    }
    target = f'/v1/rpc?call=instances.heartbeat&of={id}'
    body = json.dumps(document).encode()
    assert await vm.send_announcement((target, body)) == 200


@pytest.mark.parametrize('answer', RESPONSES)
def test_an_endless_response_of_an_upstream_is_given_up(
    run_scenario, factories, answer
):
    """Guards against an upstream that fills the memory of its daemon."""

    async def scenario(site):
        site.store.write_as_operator('config', patient_document(factories))
        async with endless_server(answer) as server:
            vm = await site.add_vm('vm0', start=False)
            vm.upstream.address = server.address
            await vm.start()
            await announce(vm, 'i-endless')
            await site.wait_until_configured(2)
            with bounded_memory(), trio.fail_after(TIME_LIMIT):
                async with trio.open_nursery() as nursery:
                    for number in range(8):
                        nursery.start_soon(call_in_vain, vm, number)
                while server.is_sending:
                    await trio.sleep(0.02)
            assert server.answers
            assert await vm.health() == 200

    run_scenario(scenario)


async def call_in_vain(vm, number):
    answer = await vm.call(
        f'/fee/{number}', id=f'r{number}', method='POST', deadline=DEADLINE_MS
    )
    assert answer.status in (502, 503)


@pytest.mark.parametrize('answer', RESPONSES)
def test_an_endless_response_of_a_daemon_is_given_up(
    run_scenario, factories, answer
):
    """Guards against a peer that fills the memory of other daemons."""

    async def scenario(site):
        site.store.write_as_operator('config', patient_document(factories))
        vm = await site.add_vm('vm0')
        async with endless_server(answer) as server:
            upstream = UpstreamRecord(
                *('i-9', 100, 3, 'catalog', 'v1', UpstreamState.READY, 4)
            )
            peer = MemberRecord(
                *('vm9', 9, 2, 'z1', server.address, '127.0.0.1:9'),
                upstream=upstream,
            )
            vm.daemon._gossip.merge_members([peer], spread=False)
            await site.wait_until_configured(2)
            with bounded_memory(), trio.fail_after(TIME_LIMIT):
                answer_of_call = await vm.call(
                    '/photo/1', method='POST', deadline=DEADLINE_MS
                )
                assert answer_of_call.status == 502
                assert await vm.daemon._fetch_state('vm9') is None
                while server.is_sending:
                    await trio.sleep(0.02)
            assert server.answers >= 2

    run_scenario(scenario)


@pytest.mark.parametrize('answer', RESPONSES)
def test_an_endless_response_of_the_store_is_given_up(run_scenario, answer):
    """Guards against a store that fills the memory of all daemons."""

    async def scenario(site):
        async with endless_server(answer) as server:
            site.store.address = server.address
            vm = await site.add_vm('vm0', start=False)
            with bounded_memory(), trio.fail_after(TIME_LIMIT):
                await vm.start()
                await vm.send_heartbeat()
                while server.answers < 4:
                    await trio.sleep(0.1)
                assert await vm.health() == 503
                assert (await vm.call('/lookup/1')).status == 503

    run_scenario(scenario, configured=False)


@pytest.mark.parametrize('port', TCP_PORTS)
def test_endless_requests_are_rejected(run_scenario, port):
    """Guards against a client that fills the memory of a daemon."""

    async def scenario(site):
        vm = await site.add_vm('vm0')
        await site.wait_until_configured(1)
        address = '127.0.0.1', vm.ports[TCP_PORTS[port]]
        with bounded_memory(), trio.fail_after(TIME_LIMIT):
            async with trio.open_nursery() as nursery:
                for request in [*ENDLESS_REQUESTS.values()] * 2:
                    stream = await trio.open_tcp_stream(*address)
                    nursery.start_soon(send_without_end, stream, *request)
        assert (await vm.call('/lookup/1')).status == 200
        assert not any(one.buffered_bytes for one in vm.daemon._servers)

    run_scenario(scenario)
