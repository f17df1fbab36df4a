"""Upstreams that report how long requests take at the moment."""

import trio

SLOW_FACTOR = 2
USUAL_TIME = 0.1


def test_a_reported_pace_reaches_the_ingress_and_no_learned_time(run_scenario):
    """Guards against an upstream that appears slow after its VM recovered."""

    async def scenario(site):
        owner = await site.add_vm(
            'vm1',
            service_time=USUAL_TIME * SLOW_FACTOR,
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
        admission = owner.daemon._own_upstream._admission
        assert admission.pace.factor(trio.current_time()) > 1.8
        assert admission.times.mean < 1.4 * USUAL_TIME

    run_scenario(scenario)
