"""Callers are identified by keys, which never leave the daemon beside them."""

import logging

import trio
from msgspec.structs import replace
from trio.testing import MockClock

#: Longer than an owner runs requests that were chosen before a change, in
#: seconds.
GRACE = 0.6
K1 = 'X: 1\r\nApi-Key: test-key-1'
K2 = 'api-key: test-key-2'
ROWS = (
    ['Größe & Söhne', ['test-key-1'], 0, None, None],
    ['b', ['test-key-2'], None, None, None],
)


def publish(site, factories, version, *tenants, **more):
    site.store.write_as_operator(
        'config',
        factories.document(version, tenants=list(tenants), **more),
    )


def names_at(vm):
    return [
        dict(arrival.header_fields).get('x-tenant')
        for arrival in vm.upstream.arrivals
    ]


async def add_pair(site):
    ingress = await site.add_vm('vm1', service='catalog')
    owner = await site.add_vm('vm2')
    await site.wait_until_converged()
    await site.wait_until_configured(1)
    return ingress, owner


def run(run_scenario, scenario):
    run_scenario(
        scenario, configured=False, clock=MockClock(autojump_threshold=0)
    )


def test_upstreams_get_the_name_and_never_the_key(run_scenario, factories):
    """Guards against a key, or a name that a caller forged, at an upstream."""

    async def scenario(site):
        publish(site, factories, 1, *ROWS, public=['fee'])
        ingress, owner = await add_pair(site)
        forged = (
            'X-TENANT: forged',
            'x-tenant: forged',
            'Connection: x-tenant',
            'Verbenamill-Organisation: forged 0000000000000001',
        )
        for vm in (ingress, owner):
            for key in (K1, K2, 'API-KEY:  test-key-2 '):
                extra = (key, *forged)
                answer = await vm.call('/lookup/1', extra=extra)
                assert answer.status == 200
            answer = await vm.call('/fee/1', extra=forged)
            assert answer.status == 200
            extra = (*forged, 'Api-Key: test-key-3')
            answer = await vm.call('/fee/1', extra=extra)
            assert answer.status == 200
        expected = ['Größe & Söhne', 'b', 'b', None, None]
        assert names_at(owner) == expected * 2

    run(run_scenario, scenario)


def test_a_request_without_one_known_key_does_not_run(
    run_scenario, factories, caplog
):
    """Guards against service without a key, also between pipelined requests."""
    caplog.set_level(logging.DEBUG)

    async def scenario(site):
        publish(site, factories, 1, *ROWS)
        ingress, owner = await add_pair(site)
        refused = ((), ('Api-Key:',), ('Api-Key: test-key-3',), (K1, K2))
        caller = await ingress.connect()
        for extra in refused:
            for headers in (extra, (K2,)):
                await caller.send(factories.encode('/lookup/1', extra=headers))
        statuses = [(await caller.answer()).status for _ in range(8)]
        assert statuses == [401, 200] * 4
        assert names_at(owner) == ['b'] * 4
        assert (await ingress.call('/none/')).status == 404
        await caller.send(factories.encode('/lookup/1', method='HEAD'))
        head = await caller.receive_some(65536)
        assert head.startswith(b'HTTP/1.1 401 ')
        assert head.endswith(b'\r\n\r\n')
        assert (await ingress.call('/lookup/1', id='r1.n')).status == 503
        health = await ingress.connect(4)
        await health.send(factories.encode('/metrics'))
        metrics = (await health.answer()).body.decode()
        for reason in ('missing', 'empty', 'repeated', 'unknown', 'orphaned'):
            count = 2.0 if reason == 'missing' else 1.0
            label = f'refused_keys_total{{reason="{reason}"}} {count}'
            assert label in metrics
        assert factories.key_mark not in metrics

    run(run_scenario, scenario)
    lines = repr([record.__dict__ for record in caplog.records])
    assert lines.count("'outcome': 'unknown'") == 1
    assert factories.key_mark not in lines


def test_a_revoked_key_is_refused_on_an_open_connection(
    run_scenario, factories
):
    """Guards against a key that a connection keeps alive."""

    async def scenario(site):
        publish(site, factories, 1, *ROWS)
        ingress, owner = await add_pair(site)
        caller = await ingress.connect()
        request = factories.encode('/lookup/1', extra=(K2,))
        await caller.send(request)
        assert (await caller.answer()).status == 200
        publish(site, factories, 2, ROWS[0])
        await site.wait_until_configured(2)
        await caller.send(request)
        assert (await caller.answer()).status == 401
        # An empty table knows no key; without a table none is required.
        publish(site, factories, 3)
        await site.wait_until_configured(3)
        assert (await ingress.call('/lookup/1', extra=(K1,))).status == 401
        site.store.write_as_operator('config', factories.document(4))
        await site.wait_until_configured(4)
        assert names_at(owner) == ['b']
        extra = (K1, 'X-Tenant: mine')
        assert (await ingress.call('/lookup/1', extra=extra)).status == 200
        # Without organisations no header is removed.
        fields = owner.upstream.arrivals.pop().header_fields
        assert ('api-key', 'test-key-1') in fields
        assert ('x-tenant', 'mine') in fields

    run(run_scenario, scenario)


def test_an_inconsistent_version_changes_nothing(
    run_scenario, factories, caplog
):
    """Guards against keys that vanish by mistake, and keys in the log."""
    caplog.set_level(logging.DEBUG)

    async def scenario(site):
        publish(site, factories, 1, *ROWS)
        ingress, owner = await add_pair(site)
        publish(
            site, factories, 2, ROWS[0], ['c', ['test-key-1'], *ROWS[0][2:]]
        )
        await trio.sleep(3)
        assert owner.daemon._desired_state.version == 1
        assert (await ingress.call('/lookup/1', extra=(K2,))).status == 200

    run(run_scenario, scenario)
    lines = repr([record.__dict__ for record in caplog.records])
    assert 'have a key in common' in lines
    assert factories.key_mark not in lines


async def hang(*_):
    await trio.sleep_forever()


def deafen(vm):
    """Keep a daemon from every change."""

    gossip = vm.daemon._gossip
    gossip._notices.handle = lambda message: None
    gossip._handle_summary = lambda message, sender: None
    follower = vm.daemon._follower
    follower._store.read_newest = hang
    follower._store.read_from = hang
    follower._fetcher.offer = lambda known, stamp: None


def test_an_owner_refuses_a_key_that_its_newer_configuration_lacks(
    run_scenario, factories
):
    """Guards against a revoked key that a daemon cut off still accepts."""

    async def scenario(site):
        publish(site, factories, 1, *ROWS, public=['fee'])
        ingress, owner = await add_pair(site)
        deafen(ingress)
        await trio.sleep(3.2)

        async def knows(version):
            return owner.daemon._desired_state.version == version

        moved = ['c', ['test-key-2'], None, None, None]
        for version, second in ((2, []), (3, [moved])):
            publish(site, factories, version, ROWS[0], *second)
            with trio.fail_after(5):
                while not await knows(version):
                    await trio.sleep(0.02)
            # Within the grace period, requests chosen before still run.
            assert (await ingress.call('/lookup/1', extra=(K2,))).status == 200
            await trio.sleep(GRACE)
            before = len(owner.upstream.arrivals)
            assert (await ingress.call('/lookup/1', extra=(K2,))).status == 503
            # The newer version requires a key on this route.
            assert (await ingress.call('/fee/1')).status == 503
            assert len(owner.upstream.arrivals) == before
            assert (await ingress.call('/lookup/1', extra=(K1,))).status == 200

    run(run_scenario, scenario)


def test_an_owner_removes_what_a_sender_without_organisations_left(
    run_scenario, factories
):
    """Guards against a key or a forged name while a daemon is behind."""

    async def scenario(site):
        site.store.write_as_operator('config', factories.document(1))
        ingress, owner = await add_pair(site)
        deafen(ingress)
        await trio.sleep(3.2)
        publish(site, factories, 2, *ROWS, public=['lookup'])

        async def is_ahead():
            return owner.daemon._desired_state.version == 2

        await site.wait_until(is_ahead)
        extra = (K1, 'X-Tenant: forged')
        assert (await ingress.call('/lookup/1', extra=extra)).status == 200
        assert names_at(owner) == [None]

    run(run_scenario, scenario)


def test_a_daemon_without_a_configuration_rejects_no_key(
    run_scenario, factories
):
    """Guards against 401 for a valid key while a daemon starts."""

    async def scenario(site):
        publish(site, factories, 1, *ROWS)
        vm = await site.add_vm('vm1')
        await site.wait_until_configured(1)
        await vm.kill()
        site.store.is_down = True
        await vm.start()
        await vm.send_heartbeat()
        for extra in ((), (K1,)):
            assert (await vm.call('/lookup/1', extra=extra)).status == 503
        site.store.is_down = False
        await site.wait_until_configured(1)
        assert (await vm.call('/lookup/1', extra=(K1,))).status == 200

    run(run_scenario, scenario)


def test_a_configuration_of_older_software_is_not_taken(
    run_scenario, factories
):
    """Guards against service without keys during an upgrade.

    Daemons with older software drop the organisations from what they pass on.
    """

    async def scenario(site):
        publish(site, factories, 1, *ROWS)
        older = await site.add_vm('vm1', service='catalog')
        await site.wait_until_configured(1)
        snapshot = older.daemon._desired_state._snapshot
        snapshot.format = 0
        snapshot.configuration = replace(
            snapshot.configuration, organisations=None
        )
        newer = await site.add_vm('vm2')
        await site.wait_until_converged()
        await site.wait_until_configured(1)
        assert (await newer.call('/lookup/1')).status == 401
        assert (await newer.call('/lookup/1', extra=(K1,))).status == 200

    run(run_scenario, scenario)


def test_nested_calls_need_a_parent_in_flight_instead_of_a_key(
    run_scenario, factories
):
    """Guards against nested calls that fail, or that anyone can make."""

    async def scenario(site):
        publish(site, factories, 1, *ROWS)
        ingress = await site.add_vm('vm1', zone='z2', service='catalog')
        owner = await site.add_vm('vm2', service_time=1.0)
        await site.wait_until_converged()
        await site.wait_until_configured(1)
        assert (await owner.call('/photo/1', id='r1.n')).status == 503
        async with trio.open_nursery() as nursery:

            async def call():
                answer = await ingress.call('/lookup/1', id='r1', extra=(K1,))
                assert answer.status == 200

            nursery.start_soon(call)
            while not owner.upstream.running:
                await trio.sleep(0.01)
            extra = ('X-Tenant: forged',)
            answer = await owner.call('/photo/1', id='r1.n', extra=extra)
            assert answer.status == 200
            assert names_at(ingress) == ['Größe & Söhne']
            assert (await owner.call('/photo/1', id='r2')).status == 401
            for _ in range(63):
                answer = await owner.call('/photo/1', id='r1.n')
                assert answer.status == 200
            assert (await owner.call('/photo/1', id='r1.n')).status == 503
        assert (await owner.call('/photo/1', id='r1.n')).status == 503
        assert len(ingress.upstream.executions) == 64

    run(run_scenario, scenario)


def test_a_request_without_an_id_is_nobodys_parent(run_scenario, factories):
    """Guards against any id that counts as nested in a request without one."""

    async def scenario(site):
        publish(site, factories, 1, *ROWS)
        vm = await site.add_vm('vm1', service_time=1.0)
        await site.wait_until_configured(1)
        async with trio.open_nursery() as nursery:

            async def call():
                await vm.call('/lookup/1', id='', extra=(K1,))

            nursery.start_soon(call)
            while not vm.upstream.running:
                await trio.sleep(0.01)
            assert (await vm.call('/lookup/1', id='r2')).status == 401

    run(run_scenario, scenario)


def test_the_priority_of_an_organisation_applies_at_the_owner(
    run_scenario, factories
):
    """Guards against a priority that is lost between daemons."""

    async def scenario(site):
        publish(site, factories, 1, *ROWS)
        ingress, owner = await add_pair(site)
        priorities = []
        run_call = owner.daemon._own_upstream.run

        async def record(call, **more):
            priorities.append(call.priority)
            return await run_call(call, **more)

        owner.daemon._own_upstream.run = record
        for key in (K1, K2):
            await ingress.call('/lookup/1', extra=(key,))
        assert priorities == [0, 1]

    run(run_scenario, scenario)
