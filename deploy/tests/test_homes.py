"""Routes whose requests stay in their home regions."""

import json

import trio
from trio.testing import MockClock


def document_with_homes(factories, homes):
    document = factories.document(2)
    document['routes']['columns'] = [
        *document['routes']['columns'],
        'allowedRegions',
    ]
    document['routes']['rows'] = [
        [*row, homes if row[0] == 'lookup' else None]
        for row in document['routes']['rows']
    ]
    return document


async def open_fleet(site, factories, homes):
    """Start upstreams in z1 (r1), z2 (r2) and a zone of unknown region."""
    vms = [
        await site.add_vm(f'vm-{zone}', zone=zone)
        for zone in ('z1', 'z2', 'z9')
    ]
    site.store.write_as_operator(
        'config', document_with_homes(factories, homes)
    )
    await site.wait_until_converged()
    await site.wait_until_configured(2)
    return vms


def test_a_request_is_run_in_a_home_region_only(run_scenario, factories):
    """Guards against a request that leaves the home regions of its route."""

    async def scenario(site):
        vms = await open_fleet(site, factories, ['r2'])
        for number in range(20):
            for vm in vms:
                id = f'{vm.name}-{number}'
                assert (await vm.call('/lookup/1', id=id)).status == 200
        assert not vms[0].upstream.arrivals
        assert len(vms[1].upstream.arrivals) == 60
        assert not vms[2].upstream.arrivals
        assert (await vms[0].call('/fee/1', method='POST')).status == 200

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_request_without_a_reachable_home_is_refused(run_scenario, factories):
    """Guards against requests that wait for a region that is away."""

    async def scenario(site):
        vms = await open_fleet(site, factories, ['r7'])
        began = trio.current_time()
        answer = await vms[0].call('/lookup/1')
        assert answer.status == 503
        assert 'home' in json.loads(answer.body)['reason']
        assert trio.current_time() - began < 0.1

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))
