"""Daemons tell each other their state with the requests they exchange."""

import trio

#: Longer than an owner runs requests that were chosen before a change, in
#: seconds.
GRACE = 0.6


async def _hang(*_):
    await trio.sleep_forever()


def deafen(vm):
    """Keep a daemon from every change, except with the requests it sends."""
    gossip = vm.daemon._gossip
    gossip._notices.handle = lambda message: None
    gossip._handle_summary = lambda message, sender: None
    vm.daemon._follower._store.read_newest = _hang
    vm.daemon._follower._store.read_from = _hang


async def start_site(site):
    ingress = await site.add_vm('vm1', service='catalog')
    owner = await site.add_vm('vm2')
    await site.wait_until_converged()
    await site.wait_until_configured(1)
    # The reads that began before are over.
    deafen(ingress)
    await trio.sleep(3.2)
    return ingress, owner


async def wait_for_version(vm, version):
    with trio.fail_after(5):
        while vm.daemon._desired_state.version != version:
            await trio.sleep(0.01)


def test_an_owner_refuses_what_its_newer_configuration_does_not_allow(
    run_scenario, factories
):
    """Guards against a request that runs where only an old version sends it.

    The ingress cannot fetch the newer configuration either.
    """

    async def scenario(site):
        ingress, owner = await start_site(site)
        ingress.daemon._follower._fetcher.offer = lambda vm, stamp: None
        rows = [
            factories.row('lookup', '/lookup/', service='catalog'),
            *factories.rows[1:],
        ]
        site.store.write_as_operator('config', factories.document(2, rows))
        await wait_for_version(owner, 2)
        await ingress.call('/fee/1', method='POST', body=b'5')
        await trio.sleep(GRACE)
        before = len(owner.upstream.executions)
        answer = await ingress.call('/lookup/1', deadline=500)
        assert answer.status == 503
        assert len(owner.upstream.executions) == before

    run_scenario(scenario)


def test_a_daemon_learns_of_a_change_from_the_answer_of_an_owner(
    run_scenario, factories
):
    """Guards against a daemon that exchanges requests and stays behind."""

    async def scenario(site):
        ingress, owner = await start_site(site)
        site.store.write_as_operator('config', factories.document(2))
        await wait_for_version(owner, 2)
        assert ingress.daemon._desired_state.version == 1
        await ingress.call('/lookup/1')
        await wait_for_version(ingress, 2)

    run_scenario(scenario)


def test_an_owner_learns_of_a_change_from_a_request(run_scenario, factories):
    """Guards against an owner that stays behind the daemons that send to it."""

    async def scenario(site):
        owner, ingress = await start_site(site)
        site.store.write_as_operator('config', factories.document(2))
        await wait_for_version(ingress, 2)
        assert owner.daemon._desired_state.version == 1
        await ingress.call('/photo/1', method='POST', body=b'1')
        await wait_for_version(owner, 2)

    run_scenario(scenario)
