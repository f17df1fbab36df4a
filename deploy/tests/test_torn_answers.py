"""Answers of upstreams that break off while the request is still sent."""

import json
import socket

import pytest
import trio

WHOLE = b'answer' * 1500
HALF = len(WHOLE) // 2
BODY = bytes(190_000)
#: Which of two waiting tasks runs first after a reset is random.
ATTEMPTS = 10
SMALL_BUFFER_BYTES = 8 * 1024
SEGMENT_BYTES = 1460
BAD_GATEWAY = 502


class EarlyUpstream:
    """Answers without a length before it has read a request.

    :ivar is_whole: whether its answers are whole; the others are broken off
        by a reset.
    """

    def __init__(self):
        self.is_whole = True
        self._listener = socket.socket()
        # With the large segments of the loopback interface, the kernel takes
        # the whole request at once.
        options = (
            (socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES),
            (socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES),
        )
        for option in options:
            self._listener.setsockopt(*option)
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen()
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'

    async def serve(self):
        listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(self._listener)
        )
        await trio.serve_listeners(self._answer, [listener])

    async def _answer(self, stream):
        async with stream:
            if not await stream.receive_some(1000):
                return
            await stream.send_all(
                b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
                b'X-Response-Seal: s\r\n\r\n' + WHOLE[:HALF]
            )
            await trio.sleep(0.02)
            if self.is_whole:
                await stream.send_all(WHOLE[HALF:])
                stream.socket.shutdown(socket.SHUT_WR)
            # Bytes of the request that were not read reset the connection.


async def announce(vm, address):
    document = {
        'address': address,
        'born': 200,
        'info': {
            'service': 'entries',
            'version': 'v1',
            'zone': 'z1',
            'slots': 8,
        },
        'status': {'state': 'ready', 'sequence': 1, 'coldRemainingMs': 0},
    }
    target = '/v1/rpc?call=instances.heartbeat&of=i-early'
    body = json.dumps(document).encode()
    assert await vm.send_announcement((target, body)) == 200


@pytest.mark.parametrize('hops', [1, 2])
def test_an_answer_that_a_reset_breaks_off_is_not_passed_on(run_scenario, hops):
    """Guards against halves of answers that reach callers as whole ones."""

    async def scenario(site):
        upstream = EarlyUpstream()
        site.nursery.start_soon(upstream.serve)
        owner = await site.add_vm('vm1', start=False)
        owner.upstream.address = upstream.address
        await owner.start()
        await announce(owner, upstream.address)
        caller = owner
        if hops == 2:
            caller = await site.add_vm('vm2', service='catalog')
            await site.wait_until_converged()
        await site.wait_until_configured(1)
        for number in range(ATTEMPTS):
            for is_whole in (True, False):
                upstream.is_whole = is_whole
                answer = await caller.call(
                    '/fee/1', method='POST', id=f'r{number}', body=BODY
                )
                if is_whole:
                    assert answer.status == 200
                    assert answer.body == WHOLE
                else:
                    assert answer.status == BAD_GATEWAY
                    assert 'x-response-seal' not in answer.headers

    run_scenario(scenario)
