"""Answers of upstreams that break off while the request is still sent."""

import json

import pytest

from verbenamill_platform_standins.early_answers import EarlyServer

WHOLE = b'answer' * 1500
HALF = len(WHOLE) // 2
HEAD = b'HTTP/1.1 200 OK\r\nConnection: close\r\nX-Response-Seal: s\r\n\r\n'
BODY = bytes(190_000)
#: Which of two waiting tasks runs first after a reset is random.
ATTEMPTS = 10
BAD_GATEWAY = 502


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
        upstream = EarlyServer()
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
                parts = (HEAD + WHOLE[:HALF], WHOLE[HALF:])
                upstream.parts = parts if is_whole else parts[:1]
                upstream.ends_output = is_whole
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
