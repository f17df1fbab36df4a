"""Nested requests that an upstream sends while it runs a request."""

from contextlib import suppress

import trio
from trio.testing import MockClock

from verbenamill_platform_standins.http_server import HttpResponse

SERVICE_TIME = 0.3


def fail_request(request):
    """Respond as an upstream whose nested request has failed."""
    id = request.headers['x-attempt-id']
    return HttpResponse(
        500, {'X-Attempt-Id': id, 'X-Response-Seal': 's'}, b'failed'
    )


async def call_with_nested(vm, factories, *, nested_path):
    """Send a request and, while it runs, a nested request of its upstream."""
    answers = []

    async def outer():
        answers.append(await vm.call('/lookup/1', id='r1'))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(outer)
        with trio.fail_after(5):
            while not vm.upstream.executions:
                await trio.sleep(0.01)
        nested = await vm.call(nested_path, id='r1.n1')
    return answers[0], nested


def count_rated_calls(vm):
    tally = vm.daemon._own_upstream.counts.tally('vm', 'entries', 'v1')
    return sum(one.calls for one in tally.routes)


def test_a_failure_due_to_a_rejected_nested_request_is_not_counted(
    run_scenario, factories
):
    # The service that lookups call has no upstream, so each lookup fails with a
    # 500 of its own upstream. If that counted against the version, a good
    # version would be rolled back because another service is at capacity.
    async def scenario(site):
        vm = await site.add_vm('vm1', service_time=SERVICE_TIME)
        other = await site.add_vm('vm2', zone='z2', service_time=SERVICE_TIME)
        await site.wait_until_converged()
        await site.wait_until_configured(1)
        vm.upstream.script = fail_request
        answer, nested = await call_with_nested(
            vm, factories, nested_path='/photo/1'
        )
        assert nested.status == 503
        assert answer.status == 500
        assert count_rated_calls(vm) == 0
        # Another upstream would only send the same nested request again.
        assert not other.upstream.executions

    run_scenario(scenario)


def test_a_failure_without_a_nested_request_is_counted(run_scenario, factories):
    async def scenario(site):
        vm = await site.add_vm('vm1', service_time=SERVICE_TIME)
        await site.wait_until_configured(1)
        vm.upstream.script = fail_request
        answer = await vm.call('/lookup/1', id='r1')
        assert answer.status == 500
        assert count_rated_calls(vm) == 1

    run_scenario(scenario)


def test_a_failure_after_a_successful_nested_request_is_counted(
    run_scenario, factories
):
    async def scenario(site):
        vm = await site.add_vm('vm1', service_time=SERVICE_TIME)
        catalog = await site.add_vm('vm2', service='catalog')
        await site.wait_until_converged()
        await site.wait_until_configured(1)
        vm.upstream.script = fail_request
        answer, nested = await call_with_nested(
            vm, factories, nested_path='/photo/1'
        )
        assert nested.status == 200
        assert catalog.upstream.executions
        assert answer.status == 500
        assert count_rated_calls(vm) == 1

    run_scenario(scenario)


def test_a_request_running_at_a_stop_can_send_nested_requests(
    run_scenario, factories
):
    # A daemon stops while its upstream runs a long request, and waits for that
    # request. Late in its run the upstream sends a nested request through the
    # same daemon. If the daemon accepted no connections any more, the nested
    # request would fail, and with it the request that the stop waits for.
    async def scenario(site):
        rows = [
            factories.row('lookup', '/lookup/', timeout=5000),
            factories.row('photo', '/photo/', kind='upload', service='catalog'),
        ]
        site.store.write_as_operator('config', factories.document(2, rows))
        caller = await site.add_vm('vm1', service='catalog')
        owner = await site.add_vm('vm2')
        await site.wait_until_converged()
        await site.wait_until_configured(2)
        owner.upstream.service_time = 4.5
        statuses = []

        async def call():
            path = '/lookup/1'
            answer = await caller.call(path, id='r1', deadline=5000)
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)

            async def is_running():
                return bool(owner.upstream.running)

            await site.wait_until(is_running)
            owner.stopping.set()
            await trio.sleep(3.2)
            nested = await owner.call('/photo/1', id='r1.n1')
            assert nested.status == 200
        assert statuses == [200]

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


MAX_STOP_TIME = 6.0


def test_a_stop_ends_in_time_although_an_upstream_never_answers(
    run_scenario, factories
):
    """Guards against a stop that a running request blocks forever."""

    async def scenario(site):
        fee = factories.row(
            'fee', '/fee/', kind='non_idempotent', timeout=30_000
        )
        site.store.write_as_operator('config', factories.document(2, [fee]))
        caller = await site.add_vm('vm1', service='catalog')
        owner = await site.add_vm('vm2', service_time=60)
        await site.wait_until_converged()
        await site.wait_until_configured(2)
        answers = []

        async def call(vm, id):
            answers.append(
                await vm.call('/fee/1', method='POST', id=id, deadline=30_000),
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, caller, 'f1')
            nursery.start_soon(call, owner, 'f2')

            async def are_running():
                return owner.upstream.running == 2

            await site.wait_until(are_running)
            owner.stopping.set()
            with trio.move_on_after(MAX_STOP_TIME):
                await owner.ended.wait()
            assert owner.ended.is_set()
            # Whether the requests have run is unknown.
            await trio.sleep(0.5)
            assert [answer.status for answer in answers] == [502, 502]
            nursery.cancel_scope.cancel()

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_callers_that_send_partial_requests_do_not_delay_a_stop(
    run_scenario, factories
):
    """Guards against a stop that new connections block forever."""

    async def scenario(site):
        lookup = factories.row('lookup', '/lookup/', timeout=5000)
        site.store.write_as_operator('config', factories.document(2, [lookup]))
        owner = await site.add_vm('vm1', service_time=4.5)
        await site.wait_until_configured(2)
        statuses = []

        async def call():
            answer = await owner.call('/lookup/1', id='r1', deadline=5000)
            statuses.append(answer.status)

        async def send_partial_requests():
            while True:
                partial_request = await owner.connect()
                await partial_request.send(
                    b'GET /lookup/1 HTTP/1.1\r\nHost: shop'
                )
                await trio.sleep(0.3)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            owner.stopping.set()
            began = trio.current_time()
            with suppress(OSError), trio.move_on_after(MAX_STOP_TIME):
                await send_partial_requests()
            with trio.move_on_at(began + MAX_STOP_TIME):
                await owner.ended.wait()
            assert owner.ended.is_set()
        assert statuses == [200]

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))
