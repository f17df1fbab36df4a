"""Upstreams that report how long requests take at the moment."""

import trio

SLOW_FACTOR = 2


def test_a_reported_pace_reaches_the_ingress_but_no_caller(run_scenario):
    """Guards against requests that are placed on a slow VM unknowingly."""

    async def scenario(site):
        owner = await site.add_vm(
            'vm1',
            extra_headers={'X-Server-Load': f'1,0,4,{100 * SLOW_FACTOR}'},
        )
        ingress = await site.add_vm('vm2', service='catalog')
        await site.wait_until_configured(1)
        await site.wait_until_converged()
        for index in range(6):
            answer = await ingress.call('/lookup/1', id=f'r{index}')
            assert answer.status == 200
            assert 'verbenamill-pace' not in answer.headers
        estimate = ingress.daemon._peers.get('vm1').owner
        assert estimate.pace.factor(trio.current_time()) > 1.8
        assert owner.daemon._own_upstream.pace.figure == 100 * SLOW_FACTOR

    run_scenario(scenario)
