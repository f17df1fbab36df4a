"""Requests from a caller through up to two daemons to an upstream."""

import trio

from verbenamill_platform_standins.http_server import HttpResponse


def test_a_request_is_served_by_the_local_or_another_vm(run_scenario):
    async def scenario(site):
        local_vm = await site.add_vm('vm1')
        catalog = await site.add_vm('vm2', service='catalog')
        await site.wait_until_converged()
        local = await local_vm.call('/lookup/1?page=2', id='a')
        other = await catalog.call('/lookup/2', id='b')
        photo = await local_vm.call(
            '/photo/3',
            id='c',
            method='POST',
            body=b'x' * 100_000,
        )
        assert (local.status, local.body) == (200, b'answer to a')
        assert local.headers['x-response-seal'] == 'seal-a'
        assert (other.status, other.body) == (200, b'answer to b')
        assert photo.status == 200
        executions_by_id = {one.id: one for one in local_vm.upstream.executions}
        assert executions_by_id['a'].path == '/lookup/1'
        assert executions_by_id['a'].headers['x-caller-service'] == 'entries'
        assert executions_by_id['b'].headers['x-caller-service'] == 'catalog'
        assert catalog.upstream.executions[0].body == b'x' * 100_000
        assert 0 < int(executions_by_id['b'].headers['x-deadline-ms']) <= 1500

    run_scenario(scenario)


def test_headers_reserved_for_daemons_are_ignored_in_requests(run_scenario):
    async def scenario(site):
        vm = await site.add_vm('vm1')
        await vm.call(
            '/lookup/1',
            extra=('X-Caller-Service: admin', 'verbenamill-call: []'),
        )
        headers = vm.upstream.executions[0].headers
        assert headers['x-caller-service'] == 'entries'
        assert 'verbenamill-call' not in headers

    run_scenario(scenario)


def test_without_a_configuration_requests_get_503_instead_of_404(
    run_scenario, factories
):
    # A daemon that has just started knows no routes yet. With 404 the caller
    # would not retry, although the route may exist.
    async def scenario(site):
        vm = await site.add_vm('vm1')
        answer = await vm.call('/lookup/1')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert await vm.health() == 503
        site.store.write_as_operator('config', factories.document(1))
        await site.wait_until_configured(1)
        assert (await vm.call('/lookup/1')).status == 200
        assert await vm.health() == 200

    run_scenario(scenario, configured=False)


def test_routes_change_and_older_configurations_are_ignored(
    run_scenario, factories
):
    async def scenario(site):
        vm = await site.add_vm('vm1')
        assert (await vm.call('/new/1')).status == 404
        rows = [*factories.rows[1:], factories.row('new', '/new/')]
        site.store.write_as_operator('config', factories.document(9, rows))
        await site.wait_until_configured(9)
        assert (await vm.call('/new/1')).status == 200
        assert (await vm.call('/lookup/1')).status == 404
        site.store.write_as_operator('config', factories.document(4))
        site.store.write_as_operator('config', factories.document(10, rows))
        await site.wait_until_configured(10)
        assert (await vm.call('/lookup/1')).status == 404

    run_scenario(scenario)


def test_an_invalid_configuration_changes_nothing(run_scenario, factories):
    async def scenario(site):
        vm = await site.add_vm('vm1')
        invalid = factories.document(5)
        invalid['routes']['rows'][0][3] = 'sometimes'
        try:
            site.store.write_as_operator('config', invalid)
        finally:
            factories.rows[0][3] = 'idempotent'
        site.store.write_as_operator('rollout/entries', {'service': 'other'})
        site.store.write_as_operator('config', factories.document(6))
        await site.wait_until_configured(6)
        assert (await vm.call('/lookup/1')).status == 200

    run_scenario(scenario)


def test_pipelined_requests_run_in_parallel_and_are_answered_in_order(
    run_scenario,
):
    # Three requests are pipelined on one connection. They must run in
    # parallel; only their responses wait for those before them.
    async def scenario(site):
        vm = await site.add_vm('vm1')
        vm.upstream.service_time = 0.3
        await vm.call('/lookup/0', id='warm')
        caller = await vm.connect()
        requests = [
            encode_request(vm, f'/lookup/{n}', f'p{n}') for n in range(3)
        ]
        await caller.send(b''.join(requests))
        bodies = [(await caller.answer()).body for _ in range(3)]
        assert bodies == [b'answer to p0', b'answer to p1', b'answer to p2']
        assert vm.upstream.peak_running == 3

    def encode_request(vm, path, id):
        request = (
            f'GET {path} HTTP/1.1\r\nHost: shop.example\r\n'
            f'X-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\r\n'
        )
        return request.encode()

    run_scenario(scenario)


def test_chunked_bodies_are_delivered_completely(run_scenario):
    async def scenario(site):
        vm = await site.add_vm('vm1')
        caller = await vm.connect()
        head = (
            b'POST /fee/1 HTTP/1.1\r\nHost: shop.example\r\n'
            b'X-Attempt-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        await caller.send(head + b'3\r\nabc\r\n')
        await trio.sleep(0.05)
        await caller.send(b'2\r\nde\r\n0\r\n\r\n')
        assert (await caller.answer()).status == 200
        assert vm.upstream.executions[0].body == b'abcde'

    run_scenario(scenario)


def test_a_request_that_parsers_may_frame_differently_is_rejected(run_scenario):
    async def scenario(site):
        vm = await site.add_vm('vm1')
        caller = await vm.connect()
        await caller.send(
            b'POST /fee/1 HTTP/1.1\r\nHost: shop.example\r\n'
            b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\nGET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n',
        )
        assert (await caller.answer()).status == 400
        assert not vm.upstream.executions

    run_scenario(scenario)


def test_oversized_bodies_and_headers_are_rejected(run_scenario):
    async def scenario(site):
        vm = await site.add_vm('vm1')
        large = await vm.call('/fee/1', method='POST', body=b'x' * 200_001)
        head = await vm.call('/lookup/1', extra=(f'X-Pad: {"x" * 5000}',))
        assert large.status == 413
        assert head.status == 431
        assert not vm.upstream.executions

    run_scenario(scenario)


def test_a_traffic_split_follows_its_weights(run_scenario, factories):
    async def scenario(site):
        split = [
            {'service': 'entries', 'weight': 3},
            {'service': 'catalog', 'weight': 1},
        ]
        rows = [factories.row('split', '/split/', split=split)]
        site.store.write_as_operator('config', factories.document(2, rows))
        first = await site.add_vm('vm1')
        second = await site.add_vm('vm2', service='catalog')
        await site.wait_until_converged()
        await site.wait_until_configured(2)
        for number in range(20):
            assert (await first.call(f'/split/{number}')).status == 200
        assert len(first.upstream.executions) == 15
        assert len(second.upstream.executions) == 5

    run_scenario(scenario)


def test_an_error_response_of_an_upstream_is_forwarded_unchanged(run_scenario):
    async def scenario(site):
        vm = await site.add_vm('vm1')
        vm.upstream.script = lambda _: HttpResponse(
            500,
            {'X-Attempt-Id': 'r1', 'X-Response-Seal': 'bad'},
            b'sorry',
        )
        answer = await vm.call('/fee/1', method='POST')
        assert (answer.status, answer.body) == (500, b'sorry')
        assert answer.headers['x-response-seal'] == 'bad'

    run_scenario(scenario)
