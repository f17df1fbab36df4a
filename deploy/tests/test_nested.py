"""Calls that an upstream makes while it runs a request."""

from contextlib import suppress

import trio
from trio.testing import MockClock

from verbenamill_platform_standins.http_server import HttpResponse

WORK = 0.3


def fails(asked):
    """What an upstream answers when a call that it needs has failed."""
    id = asked.headers['x-attempt-id']
    return HttpResponse(
        500, {'X-Attempt-Id': id, 'X-Response-Seal': 's'}, b'failed'
    )


async def call_with_nested(vm, kit, *, nested_path):
    """Run a request and, while it runs, a call of its upstream."""
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


def counted(vm):
    tally = vm.daemon._own_upstream.counts.tally('vm', 'entries', 'v1')
    return sum(one.calls for one in tally.routes)


def test_a_version_is_not_blamed_for_calls_that_were_refused(play, kit):
    # The service that lookups call has no upstream, so each lookup ends in a
    # 500 of its own upstream. Counted against the version, a good one on its
    # way in would be taken back for a service that is full.
    async def scene(site):
        vm = await site.add('vm1', service_time=WORK)
        other = await site.add('vm2', zone='z2', service_time=WORK)
        await site.settled()
        await site.in_force(1)
        vm.upstream.script = fails
        answer, nested = await call_with_nested(vm, kit, nested_path='/photo/1')
        assert nested.status == 503
        assert answer.status == 500
        assert counted(vm) == 0
        # Another upstream would only make the same call again.
        assert not other.upstream.executions

    play(scene)


def test_a_version_is_blamed_for_failures_of_its_own(play, kit):
    async def scene(site):
        vm = await site.add('vm1', service_time=WORK)
        await site.in_force(1)
        vm.upstream.script = fails
        answer = await vm.call('/lookup/1', id='r1')
        assert answer.status == 500
        assert counted(vm) == 1

    play(scene)


def test_a_call_that_went_well_excuses_nothing(play, kit):
    async def scene(site):
        vm = await site.add('vm1', service_time=WORK)
        catalog = await site.add('vm2', service='catalog')
        await site.settled()
        await site.in_force(1)
        vm.upstream.script = fails
        answer, nested = await call_with_nested(vm, kit, nested_path='/photo/1')
        assert nested.status == 200
        assert catalog.upstream.executions
        assert answer.status == 500
        assert counted(vm) == 1

    play(scene)


def test_a_run_in_hand_at_a_stop_still_gets_its_calls_through(play, kit):
    # A daemon stops while its upstream runs a long request, which it finishes.
    # Late in that run the upstream makes a call, through the same daemon. Its
    # port takes no connection any more, so the call fails, and with it the
    # request that the stop waits for.
    async def scene(site):
        rows = [
            kit.row('lookup', '/lookup/', timeout=5000),
            kit.row('photo', '/photo/', kind='upload', service='catalog'),
        ]
        site.store.write_as_operator('config', kit.document(2, rows))
        caller = await site.add('vm1', service='catalog')
        owner = await site.add('vm2')
        await site.settled()
        await site.in_force(2)
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

            await site.until(is_running)
            owner.stopping.set()
            await trio.sleep(3.2)
            nested = await owner.call('/photo/1', id='r1.n1')
            assert nested.status == 200
        assert statuses == [200]

    play(scene, clock=MockClock(autojump_threshold=0))


GRACE = 6.0


def test_a_stop_ends_in_its_time_though_an_upstream_never_answers(play, kit):
    """Guards against a stop that a run in hand keeps from ending."""

    async def scene(site):
        fee = kit.row('fee', '/fee/', kind='non_idempotent', timeout=30_000)
        site.store.write_as_operator('config', kit.document(2, [fee]))
        caller = await site.add('vm1', service='catalog')
        owner = await site.add('vm2', service_time=60)
        await site.settled()
        await site.in_force(2)
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

            await site.until(are_running)
            owner.stopping.set()
            with trio.move_on_after(GRACE):
                await owner.ended.wait()
            assert owner.ended.is_set()
            # Nobody knows whether they have run.
            await trio.sleep(0.5)
            assert [answer.status for answer in answers] == [502, 502]
            nursery.cancel_scope.cancel()

    play(scene, clock=MockClock(autojump_threshold=0))


def test_callers_that_send_half_a_request_do_not_hold_up_a_stop(play, kit):
    """Guards against a stop that new connections keep from ending."""

    async def scene(site):
        lookup = kit.row('lookup', '/lookup/', timeout=5000)
        site.store.write_as_operator('config', kit.document(2, [lookup]))
        owner = await site.add('vm1', service_time=4.5)
        await site.in_force(2)
        statuses = []

        async def call():
            answer = await owner.call('/lookup/1', id='r1', deadline=5000)
            statuses.append(answer.status)

        async def send_halves():
            while True:
                half = await owner.connect()
                await half.send(b'GET /lookup/1 HTTP/1.1\r\nHost: shop')
                await trio.sleep(0.3)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.3)
            owner.stopping.set()
            began = trio.current_time()
            with suppress(OSError), trio.move_on_after(GRACE):
                await send_halves()
            with trio.move_on_at(began + GRACE):
                await owner.ended.wait()
            assert owner.ended.is_set()
        assert statuses == [200]

    play(scene, clock=MockClock(autojump_threshold=0))
