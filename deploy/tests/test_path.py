"""The whole path, from a caller over two daemons to an upstream and back."""

import trio

from verbenamill_platform_standins.http_server import HttpResponse


def test_a_call_is_answered_by_the_own_or_another_vm(play):
    async def scene(site):
        entries = await site.add('vm1')
        catalog = await site.add('vm2', service='catalog')
        await site.settled()
        own = await entries.call('/lookup/1?page=2', id='a')
        other = await catalog.call('/lookup/2', id='b')
        photo = await entries.call(
            '/photo/3',
            id='c',
            method='POST',
            body=b'x' * 100_000,
        )
        assert (own.status, own.body) == (200, b'answer to a')
        assert own.headers['x-response-seal'] == 'seal-a'
        assert (other.status, other.body) == (200, b'answer to b')
        assert photo.status == 200
        ran = {one.id: one for one in entries.upstream.executions}
        assert ran['a'].path == '/lookup/1'
        assert ran['a'].headers['x-caller-service'] == 'entries'
        assert ran['b'].headers['x-caller-service'] == 'catalog'
        assert catalog.upstream.executions[0].body == b'x' * 100_000
        assert 0 < int(ran['b'].headers['x-deadline-ms']) <= 1500

    play(scene)


def test_headers_that_daemons_set_are_not_believed(play):
    async def scene(site):
        vm = await site.add('vm1')
        await vm.call(
            '/lookup/1',
            extra=('X-Caller-Service: admin', 'verbenamill-call: []'),
        )
        headers = vm.upstream.executions[0].headers
        assert headers['x-caller-service'] == 'entries'
        assert 'verbenamill-call' not in headers

    play(scene)


def test_before_any_configuration_nothing_is_refused_for_good(play, kit):
    # A daemon that has just started knows no route yet. 404 would tell the
    # caller not to come back, for a route that there is.
    async def scene(site):
        vm = await site.add('vm1')
        answer = await vm.call('/lookup/1')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert await vm.health() == 503
        site.store.write_as_operator('config', kit.document(1))
        await site.in_force(1)
        assert (await vm.call('/lookup/1')).status == 200
        assert await vm.health() == 200

    play(scene, configured=False)


def test_routes_come_and_go_and_versions_never_go_back(play, kit):
    async def scene(site):
        vm = await site.add('vm1')
        assert (await vm.call('/new/1')).status == 404
        rows = [*kit.rows[1:], kit.row('new', '/new/')]
        site.store.write_as_operator('config', kit.document(9, rows))
        await site.in_force(9)
        assert (await vm.call('/new/1')).status == 200
        assert (await vm.call('/lookup/1')).status == 404
        site.store.write_as_operator('config', kit.document(4))
        site.store.write_as_operator('config', kit.document(10, rows))
        await site.in_force(10)
        assert (await vm.call('/lookup/1')).status == 404

    play(scene)


def test_a_configuration_that_cannot_be_read_changes_nothing(play, kit):
    async def scene(site):
        vm = await site.add('vm1')
        bad = kit.document(5)
        bad['routes']['rows'][0][3] = 'sometimes'
        try:
            site.store.write_as_operator('config', bad)
        finally:
            kit.rows[0][3] = 'idempotent'
        site.store.write_as_operator('rollout/entries', {'service': 'other'})
        site.store.write_as_operator('config', kit.document(6))
        await site.in_force(6)
        assert (await vm.call('/lookup/1')).status == 200

    play(scene)


def test_pipelined_answers_come_in_order_and_work_goes_on_beside(play):
    # The first request is slow. Behind it come quick ones on the same
    # connection: their work is not to wait for the first, only their answers.
    async def scene(site):
        vm = await site.add('vm1')
        vm.upstream.service_time = 0.3
        await vm.call('/lookup/0', id='warm')
        caller = await vm.connect()
        requests = [encode_of(vm, f'/lookup/{n}', f'p{n}') for n in range(3)]
        await caller.send(b''.join(requests))
        bodies = [(await caller.answer()).body for _ in range(3)]
        assert bodies == [b'answer to p0', b'answer to p1', b'answer to p2']
        assert vm.upstream.peak_running == 3

    def encode_of(vm, path, id):
        from_kit = (
            f'GET {path} HTTP/1.1\r\nHost: shop.example\r\n'
            f'X-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\r\n'
        )
        return from_kit.encode()

    play(scene)


def test_chunked_bodies_arrive_whole(play):
    async def scene(site):
        vm = await site.add('vm1')
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

    play(scene)


def test_what_two_parsers_may_read_in_two_ways_is_refused(play):
    async def scene(site):
        vm = await site.add('vm1')
        caller = await vm.connect()
        await caller.send(
            b'POST /fee/1 HTTP/1.1\r\nHost: shop.example\r\n'
            b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\nGET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n',
        )
        assert (await caller.answer()).status == 400
        assert not vm.upstream.executions

    play(scene)


def test_too_much_is_refused(play):
    async def scene(site):
        vm = await site.add('vm1')
        large = await vm.call('/fee/1', method='POST', body=b'x' * 200_001)
        head = await vm.call('/lookup/1', extra=(f'X-Pad: {"x" * 5000}',))
        assert large.status == 413
        assert head.status == 431
        assert not vm.upstream.executions

    play(scene)


def test_a_split_keeps_its_weights(play, kit):
    async def scene(site):
        split = [
            {'service': 'entries', 'weight': 3},
            {'service': 'catalog', 'weight': 1},
        ]
        rows = [kit.row('split', '/split/', split=split)]
        site.store.write_as_operator('config', kit.document(2, rows))
        first = await site.add('vm1')
        second = await site.add('vm2', service='catalog')
        await site.settled()
        await site.in_force(2)
        for number in range(20):
            assert (await first.call(f'/split/{number}')).status == 200
        assert len(first.upstream.executions) == 15
        assert len(second.upstream.executions) == 5

    play(scene)


def test_an_upstream_failure_goes_back_unchanged(play):
    async def scene(site):
        vm = await site.add('vm1')
        vm.upstream.script = lambda asked: HttpResponse(
            500,
            {'X-Attempt-Id': 'r1', 'X-Response-Seal': 'bad'},
            b'sorry',
        )
        answer = await vm.call('/fee/1', method='POST')
        assert (answer.status, answer.body) == (500, b'sorry')
        assert answer.headers['x-response-seal'] == 'bad'

    play(scene)
